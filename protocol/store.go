package protocol

import "github.com/fxamacker/cbor/v2"

// Entry is a key of the state service with its value.
type Entry struct {
	Key      string          `cbor:"key"`
	Data     cbor.RawMessage `cbor:"data"`
	Revision uint64          `cbor:"stamp"`
}

// EntryList is a page of keys.
type EntryList struct {
	Entries       []Entry `cbor:"entries"`
	HasNext       bool    `cbor:"has_next"`
	StoreRevision uint64  `cbor:"epoch"`
}

// Guard is a condition of a transaction.
type Guard struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Change is a put or a delete of a transaction.
type Change struct {
	PutKey    string          `cbor:"set,omitempty"`
	Data      cbor.RawMessage `cbor:"data,omitempty"`
	LeaseID   uint64          `cbor:"permit,omitempty"`
	DeleteKey string          `cbor:"delete,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Guards  []Guard  `cbor:"guards"`
	Changes []Change `cbor:"then"`
}

// Put adds a change that sets a key to a value.
func (t *Transaction) Put(key string, value any) error {
	data, err := Marshal(value)
	if err != nil {
		return err
	}
	t.Changes = append(t.Changes, Change{PutKey: key, Data: data})
	return nil
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	FailedGuards  []string `cbor:"failed"`
	StoreRevision uint64   `cbor:"epoch"`
}

// Lease is a lease of the state service.
type Lease struct {
	TTLMS int    `cbor:"life_ms,omitempty"`
	ID    uint64 `cbor:"permit,omitempty"`
}

// Event is a change that a watch saw.
type Event struct {
	PutKey    string          `cbor:"set"`
	Data      cbor.RawMessage `cbor:"data"`
	Revision  uint64          `cbor:"stamp"`
	DeleteKey string          `cbor:"delete"`
}

// WatchReply answers a watch.
type WatchReply struct {
	StoreRevision uint64  `cbor:"epoch"`
	Events        []Event `cbor:"news"`
}
