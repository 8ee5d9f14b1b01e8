package controller

import (
	"junipershelf/partition"
	"junipershelf/protocol"
)

// decodeShardRecord decodes and validates a shard record. The bucket is parsed from the key. All
// errors are of type *protocol.DecodeError and name the key.
func decodeShardRecord(key string, data []byte) (bucket int, record partition.Record, err error) {
	if bucket, _, err = partition.ParseShardKey(key); err != nil {
		return 0, record, &protocol.DecodeError{Source: key, Err: err}
	}
	if err = protocol.DecodeRecord(key, data, &record); err != nil {
		return 0, record, err
	}
	if err = record.Check(); err != nil {
		return 0, record, &protocol.DecodeError{Source: key, Err: err}
	}
	return bucket, record, nil
}
