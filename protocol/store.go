package protocol

import "github.com/fxamacker/cbor/v2"

// Entry is a key of the key-value store with its value.
type Entry struct {
	Key      string          `cbor:"key"`
	Data     cbor.RawMessage `cbor:"data"`  // the value, still encoded
	Revision uint64          `cbor:"stamp"` // the store's revision when the key was last written
}

// EntryList is a page of the entries whose keys have a prefix, sorted by key.
type EntryList struct {
	Entries       []Entry `cbor:"entries"`
	HasNext       bool    `cbor:"has_next"` // more pages follow
	StoreRevision uint64  `cbor:"epoch"`    // the store's revision when the page was read
}

// Guard is a condition of a compare-and-swap transaction: the key's revision is still the
// given one, or, with revision 0, the key does not exist.
type Guard struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Change is a put or a delete in a transaction: either PutKey or DeleteKey is set.
type Change struct {
	PutKey    string          `cbor:"set,omitempty"`
	Data      cbor.RawMessage `cbor:"data,omitempty"`   // the value to put, encoded
	LeaseID   uint64          `cbor:"permit,omitempty"` // lease that the key is attached to; 0: none
	DeleteKey string          `cbor:"delete,omitempty"`
}

// Transaction applies all of its changes at one revision if all of its guards hold, and
// otherwise none.
type Transaction struct {
	Guards  []Guard  `cbor:"guards"`
	Changes []Change `cbor:"then"`
}

// Put adds a change that sets a key to a value. It returns an error if the value cannot be
// encoded.
func (t *Transaction) Put(key string, value any) error {
	data, err := Marshal(value)
	if err != nil {
		return err
	}
	t.Changes = append(t.Changes, Change{PutKey: key, Data: data})
	return nil
}

// TransactionReply is the store's reply to a transaction.
type TransactionReply struct {
	FailedGuards  []string `cbor:"failed"` // keys of the guards that did not hold; empty if the changes were applied
	StoreRevision uint64   `cbor:"epoch"`  // the store's revision after the transaction
}

// Lease is the body of two messages: the request for a lease has the time to live, and the
// store's reply has the lease's id. The keys that are attached to a lease are deleted when it
// expires. On the wire, the path of leases is /grants, and the key of a lease's id is permit.
type Lease struct {
	TTLMS int    `cbor:"life_ms,omitempty"` // time to live without a renewal, in milliseconds
	ID    uint64 `cbor:"permit,omitempty"`
}

// Event is a change that a watch observed: either PutKey or DeleteKey is set.
type Event struct {
	PutKey    string          `cbor:"set"`
	Data      cbor.RawMessage `cbor:"data"`  // the value that was put, still encoded
	Revision  uint64          `cbor:"stamp"` // the store's revision of the change
	DeleteKey string          `cbor:"delete"`
}

// WatchReply is the store's reply to a watch of a prefix.
type WatchReply struct {
	StoreRevision uint64  `cbor:"epoch"` // continue the watch after this revision
	Events        []Event `cbor:"news"`  // in the order in which they happened
}
