package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"junipershelf/protocol"
)

type value struct {
	data     cbor.RawMessage
	revision uint64
	leaseID  uint64
}

// Store is the state service. The zero Fault fields make it well-behaved.
type Store struct {
	mu             sync.Mutex
	keys           map[string]value
	revision       uint64
	leases         map[uint64]time.Time
	leaseTTL       map[uint64]time.Duration
	nextID         uint64
	events         []protocol.Event
	oldestRevision uint64 // revision of the oldest change that is kept, 0 while all are
	changed        chan struct{}

	outage            func(from string) bool
	loseReply         func() bool // carried out, but the answer is lost
	repeatTransaction func() bool // carried out once more a second later
	delayTransaction  func() (time.Duration, bool)
	latency           time.Duration
	OversizedValues   int // values over the limit, which must stay 0
	maxValueBytes     int
	loweredLimits     *transactionLimits // what is refused, once the limits have fallen
	RefusedForSize    int                // with 400 for their size
	RefusedForRate    int                // with 429

	requests, changes *rate.Limiter // nil: no limit

	translate func(host, key string, data []byte) []byte
}

// SetTranslation sets what becomes of each value that a host writes or reads.
func (s *Store) SetTranslation(f func(host, key string, data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.translate = f
}

// translated is a value as a host writes or reads it.
func (s *Store) translated(host, key string, data []byte) []byte {
	if s.translate == nil {
		return data
	}
	return s.translate(host, key, data)
}

// LimitRates makes the service answer 429 beyond so many requests and changes a second, with
// bursts of one second's worth.
func (s *Store) LimitRates(requests, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = rate.NewLimiter(rate.Limit(requests), int(requests))
	s.changes = rate.NewLimiter(rate.Limit(changes), int(changes))
}

// RefusedCounts reads the counters of refused calls.
func (s *Store) RefusedCounts() (size, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.RefusedForSize, s.RefusedForRate
}

type transactionLimits struct{ value, ops int }

// LowerLimits lowers the limits: larger values, counted in their JSON form, and transactions of
// more changes are answered 400 from now on, and changes beyond the rate 429.
func (s *Store) LowerLimits(value, ops int, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loweredLimits = &transactionLimits{value, ops}
	s.changes = rate.NewLimiter(rate.Limit(changes), int(changes))
}

// tooLarge tells whether a transaction is beyond the limits.
func (s *Store) tooLarge(m *protocol.Transaction) bool {
	if s.loweredLimits == nil {
		return false
	}
	large := len(m.Changes) > s.loweredLimits.ops || len(m.Guards) > 4*s.loweredLimits.ops
	for _, c := range m.Changes {
		large = large || c.PutKey != "" && JSONBytes(c.Data) > s.loweredLimits.value
	}
	return large
}

// JSONBytes is the length of a CBOR value in its JSON form.
func JSONBytes(raw []byte) int {
	var v any
	if err := cbor.Unmarshal(raw, &v); err != nil {
		panic(err)
	}
	text, err := json.Marshal(jsonable(v))
	if err != nil {
		panic(err)
	}
	return len(text)
}

func jsonable(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, x := range v {
			out[fmt.Sprint(k)] = jsonable(x)
		}
		return out
	case []any:
		for i := range v {
			v[i] = jsonable(v[i])
		}
	}
	return v
}

// LargestValue is the size of the largest value under a prefix, in its JSON form.
func (s *Store) LargestValue(prefix string) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.keys {
		if strings.HasPrefix(k, prefix) {
			most = max(most, JSONBytes(v.data))
		}
	}
	return most
}

// NewStore makes an empty store.
func NewStore(maxSize int) *Store {
	return &Store{
		keys: map[string]value{}, leases: map[uint64]time.Time{}, leaseTTL: map[uint64]time.Duration{},
		changed: make(chan struct{}), maxValueBytes: maxSize,
	}
}

// SetOutage makes the service refuse the callers for which f is true.
func (s *Store) SetOutage(f func(from string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage != nil && f == nil {
		// After an outage every lease has its full time again.
		for id, life := range s.leaseTTL {
			if _, ok := s.leases[id]; ok {
				s.leases[id] = time.Now().Add(life)
			}
		}
	}
	s.outage = f
}

// SetReplyFaults sets which answers to changes are lost and which are repeated late.
func (s *Store) SetReplyFaults(mute, again func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReply, s.repeatTransaction = mute, again
}

// DelayTransactions sets which transactions get no answer and are carried out so much later, after
// newer ones.
func (s *Store) DelayTransactions(late func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayTransaction = late
}

// SetLatency sets how long the service takes for each answer.
func (s *Store) SetLatency(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = by
}

// ReplaceValue puts other bytes in place of a key's value, as a fault of the storage would, and
// gives those that stood there.
func (s *Store) ReplaceValue(key string, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.keys[key]
	s.revision++
	s.keys[key] = value{data, s.revision, was.leaseID}
	s.events = append(s.events, protocol.Event{PutKey: key, Data: data, Revision: s.revision})
	s.wakeWatches()
	return was.data
}

// Keys lists the keys with a prefix.
func (s *Store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Has tells whether a key exists.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.keys[key]
	return ok
}

// Read decodes a key's value.
func (s *Store) Read(key string, out any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.keys[key]
	return ok && protocol.Unmarshal(v.data, out) == nil
}

func (s *Store) expireLeases() {
	now := time.Now()
	if s.outage != nil && s.outage("") {
		return
	}
	for id, at := range s.leases {
		if now.After(at) {
			delete(s.leases, id)
			s.expireLease(id)
		}
	}
}

func (s *Store) expireLease(id uint64) {
	var keys []string
	for k, v := range s.keys {
		if v.leaseID == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > 0 {
		s.revision++
		for _, k := range keys {
			delete(s.keys, k)
			s.events = append(s.events, protocol.Event{DeleteKey: k, Revision: s.revision})
		}
		s.wakeWatches()
	}
}

func (s *Store) wakeWatches() {
	if len(s.events) > 2*keptEvents {
		s.events = append(s.events[:0:0], s.events[len(s.events)-keptEvents:]...)
		s.oldestRevision = s.events[0].Revision
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) apply(m *protocol.Transaction) (int, any) {
	s.expireLeases()
	var failed []string
	for _, g := range m.Guards {
		if s.keys[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TransactionReply{FailedGuards: failed, StoreRevision: s.revision}
	}
	for _, c := range m.Changes {
		if _, ok := s.leases[c.LeaseID]; c.PutKey != "" && c.LeaseID != 0 && !ok {
			return 400, protocol.ErrorBody{Error: "no such lease"}
		}
	}
	if len(m.Changes) > 0 {
		s.revision++
	}
	for _, c := range m.Changes {
		if c.PutKey != "" {
			if len(c.Data) > s.maxValueBytes {
				s.OversizedValues++
			}
			s.keys[c.PutKey] = value{c.Data, s.revision, c.LeaseID}
			s.events = append(s.events, protocol.Event{PutKey: c.PutKey, Data: c.Data, Revision: s.revision})
		} else if _, ok := s.keys[c.DeleteKey]; ok {
			delete(s.keys, c.DeleteKey)
			s.events = append(s.events, protocol.Event{DeleteKey: c.DeleteKey, Revision: s.revision})
		}
	}
	if len(m.Changes) > 0 {
		s.wakeWatches()
	}
	return 200, protocol.TransactionReply{StoreRevision: s.revision}
}

// Serve serves the store on an address until the context ends.
func (s *Store) Serve(ctx context.Context, n Network, a string) error {
	return serve(ctx, n, a, s.Handler())
}

func serve(ctx context.Context, n Network, a string, h http.Handler) error {
	l, err := n.Listen("tcp4", a)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	go func() { <-ctx.Done(); srv.Close(); l.Close() }()
	return nil
}

func reply(w http.ResponseWriter, code int, body any) {
	raw, err := protocol.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	w.Write(raw)
}

func body(r *http.Request, out any) bool {
	raw := make([]byte, 0, 1024)
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		raw = append(raw, buf[:n]...)
		if err != nil {
			break
		}
	}
	return protocol.Unmarshal(raw, out) == nil
}
