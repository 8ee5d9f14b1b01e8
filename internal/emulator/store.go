package emulator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"junipershelf/protocol"
)

// minKeptEvents is the minimum number of past changes that a watch can start from.
const minKeptEvents = 10000

// storedValue is a key's value with its revision and lease.
type storedValue struct {
	data     cbor.RawMessage
	revision uint64 // of its last change
	leaseID  uint64 // 0: none
}

// Store emulates the key-value store. Its faults are off until they are set.
type Store struct {
	mu             sync.Mutex
	keys           map[string]storedValue
	revision       uint64                   // of the last change
	leases         map[uint64]time.Time     // expiry, by lease id
	leaseTTL       map[uint64]time.Duration // by lease id
	lastLeaseID    uint64
	events         []protocol.Event
	oldestRevision uint64        // among events; 0 while no event has been dropped
	changed        chan struct{} // closed and replaced at each change
	maxValueBytes  int
	faults         storeFaults

	// OversizedValues counts puts of values whose encoding exceeds the limit; it must stay 0.
	OversizedValues int
	// RefusedForSize counts transactions refused with 400 since the limits were lowered.
	RefusedForSize int
	// RefusedForRate counts requests and transactions refused with 429.
	RefusedForRate int
}

// NewStore returns an empty store that counts puts of values of more than maxValueBytes.
func NewStore(maxValueBytes int) *Store {
	return &Store{
		keys:          map[string]storedValue{},
		leases:        map[uint64]time.Time{},
		leaseTTL:      map[uint64]time.Duration{},
		changed:       make(chan struct{}),
		maxValueBytes: maxValueBytes,
	}
}

// Serve serves the store on an address until the context ends.
func (s *Store) Serve(ctx context.Context, n Network, address string) error {
	return serve(ctx, n, address, s.Handler())
}

// RefusedCounts returns RefusedForSize and RefusedForRate.
func (s *Store) RefusedCounts() (forSize, forRate int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.RefusedForSize, s.RefusedForRate
}

// LargestValue returns the size of the largest value under a prefix, in bytes of JSON.
func (s *Store) LargestValue(prefix string) (largest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range s.keys {
		if strings.HasPrefix(key, prefix) {
			largest = max(largest, JSONBytes(value.data))
		}
	}
	return largest
}

// Keys returns the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keysAfter(prefix, "")
}

// keysAfter returns the keys with a prefix that sort after a key, sorted. The caller holds s.mu.
func (s *Store) keysAfter(prefix, after string) (keys []string) {
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Has reports whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.keys[key]
	return ok
}

// Read decodes a key's value. It reports whether the key exists and was decoded.
func (s *Store) Read(key string, out any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.keys[key]
	return ok && protocol.Unmarshal(value.data, out) == nil
}

// expireLeases ends the leases that have expired, unless the outage stops the expiry. The caller
// holds s.mu.
func (s *Store) expireLeases() {
	if s.faults.outage != nil && s.faults.outage("") {
		return
	}
	now := time.Now()
	for id, expiry := range s.leases {
		if now.After(expiry) {
			delete(s.leases, id)
			s.deleteKeysOfLease(id)
		}
	}
}

// deleteKeysOfLease deletes the keys of an expired lease. The caller holds s.mu.
func (s *Store) deleteKeysOfLease(id uint64) {
	var keys []string
	for key, value := range s.keys {
		if value.leaseID == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		s.delete(key)
	}
	s.notifyWatches()
}

// put sets a key at the current revision. The caller holds s.mu.
func (s *Store) put(key string, data cbor.RawMessage, leaseID uint64) {
	s.keys[key] = storedValue{data: data, revision: s.revision, leaseID: leaseID}
	s.events = append(s.events, protocol.Event{PutKey: key, Data: data, Revision: s.revision})
}

// delete deletes a key at the current revision. The caller holds s.mu.
func (s *Store) delete(key string) {
	delete(s.keys, key)
	s.events = append(s.events, protocol.Event{DeleteKey: key, Revision: s.revision})
}

// notifyWatches makes open watches check for new events, and drops the oldest events if there are
// too many. The caller holds s.mu.
func (s *Store) notifyWatches() {
	if len(s.events) > 2*minKeptEvents {
		s.events = slices.Clone(s.events[len(s.events)-minKeptEvents:])
		s.oldestRevision = s.events[0].Revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies a transaction if its guards hold, and returns the status code and the body of the
// reply. The caller holds s.mu.
func (s *Store) apply(t *protocol.Transaction) (code int, message any) {
	s.expireLeases()
	if failed := s.failedGuards(t); failed != nil {
		return http.StatusConflict, protocol.TransactionReply{FailedGuards: failed, StoreRevision: s.revision}
	}
	if !s.leasesExist(t) {
		return http.StatusBadRequest, protocol.ErrorBody{Error: "no such lease"}
	}
	if len(t.Changes) == 0 {
		return http.StatusOK, protocol.TransactionReply{StoreRevision: s.revision}
	}
	s.revision++
	for _, change := range t.Changes {
		s.applyChange(change)
	}
	s.notifyWatches()
	return http.StatusOK, protocol.TransactionReply{StoreRevision: s.revision}
}

func (s *Store) applyChange(change protocol.Change) {
	if change.PutKey != "" {
		if len(change.Data) > s.maxValueBytes {
			s.OversizedValues++
		}
		s.put(change.PutKey, change.Data, change.LeaseID)
		return
	}
	if _, ok := s.keys[change.DeleteKey]; ok {
		s.delete(change.DeleteKey)
	}
}

// failedGuards returns the keys of the guards that do not hold.
func (s *Store) failedGuards(t *protocol.Transaction) (failed []string) {
	for _, guard := range t.Guards {
		if s.keys[guard.Key].revision != guard.Revision {
			failed = append(failed, guard.Key)
		}
	}
	return failed
}

// leasesExist reports whether the leases of all puts exist.
func (s *Store) leasesExist(t *protocol.Transaction) bool {
	for _, change := range t.Changes {
		if _, ok := s.leases[change.LeaseID]; change.PutKey != "" && change.LeaseID != 0 && !ok {
			return false
		}
	}
	return true
}

// eventsAfter returns the changes under a prefix after a revision, with values translated for the
// client. The caller holds s.mu.
func (s *Store) eventsAfter(caller, prefix string, since uint64) []protocol.Event {
	events := []protocol.Event{}
	first, _ := slices.BinarySearchFunc(s.events, since+1, func(e protocol.Event, revision uint64) int {
		return cmp.Compare(e.Revision, revision)
	})
	for _, event := range s.events[first:] {
		if !strings.HasPrefix(event.PutKey+event.DeleteKey, prefix) {
			continue
		}
		if event.PutKey != "" {
			event.Data = s.faults.translated(caller, event.PutKey, event.Data)
		}
		events = append(events, event)
	}
	return events
}

// JSONBytes returns the length of a CBOR value encoded as JSON, to which the store's size limits
// apply. It panics if the value cannot be decoded.
func JSONBytes(raw []byte) int {
	var value any
	if err := cbor.Unmarshal(raw, &value); err != nil {
		panic(err)
	}
	text, err := json.Marshal(withStringKeys(value))
	if err != nil {
		panic(err)
	}
	return len(text)
}

// withStringKeys converts the maps in a decoded CBOR value to maps that JSON can encode.
func withStringKeys(value any) any {
	switch value := value.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, v := range value {
			out[fmt.Sprint(k)] = withStringKeys(v)
		}
		return out
	case []any:
		for i := range value {
			value[i] = withStringKeys(value[i])
		}
	}
	return value
}

// newBurstLimiter returns a limiter of perSecond events per second, with bursts of one second's worth.
func newBurstLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}
