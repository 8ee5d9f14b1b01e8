package standin

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
	"github.com/go-chi/chi/v5"
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
	mu       sync.Mutex
	keys     map[string]value
	revision uint64
	leases   map[uint64]time.Time
	leaseTTL map[uint64]time.Duration
	nextID   uint64
	events   []protocol.Event
	changed  chan struct{}

	outage     func(from string) bool
	loseAnswer func() bool // carried out, but the answer is lost
	repeatLate func() bool // carried out once more a second later
	late       func() (time.Duration, bool)
	slow       time.Duration
	Oversized  int // values over the limit, which must stay 0
	maxSize    int
	fallen     *limits // what is refused, once the limits have fallen
	Refused    int     // with 400 for their size
	Busy       int     // with 429

	requests, changes *rate.Limiter // nil: no limit

	translate func(host, key string, data []byte) []byte
}

// Translate sets what becomes of each value that a host writes or reads.
func (s *Store) Translate(f func(host, key string, data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.translate = f
}

// seen is a value as a host writes or reads it.
func (s *Store) seen(host, key string, data []byte) []byte {
	if s.translate == nil {
		return data
	}
	return s.translate(host, key, data)
}

// Limit makes the service answer 429 beyond so many requests and changes a second, with
// bursts of one second's worth.
func (s *Store) Limit(requests, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = rate.NewLimiter(rate.Limit(requests), int(requests))
	s.changes = rate.NewLimiter(rate.Limit(changes), int(changes))
}

func (s *Store) countBusy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Busy++
}

// Count reads the counters of refused calls.
func (s *Store) Count() (size, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Refused, s.Busy
}

type limits struct{ value, ops int }

// Fall lowers the limits: larger values, counted in their JSON form, and transactions of
// more changes are answered 400 from now on, and changes beyond the rate 429.
func (s *Store) Fall(value, ops int, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fallen = &limits{value, ops}
	s.changes = rate.NewLimiter(rate.Limit(changes), int(changes))
}

// tooLarge tells whether a transaction is beyond the limits.
func (s *Store) tooLarge(m *protocol.Transaction) bool {
	if s.fallen == nil {
		return false
	}
	large := len(m.Changes) > s.fallen.ops || len(m.Guards) > 4*s.fallen.ops
	for _, c := range m.Changes {
		large = large || c.Set != "" && JSONBytes(c.Data) > s.fallen.value
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

// Largest is the size of the largest value under a prefix, in its JSON form.
func (s *Store) Largest(prefix string) (most int) {
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
	return &Store{keys: map[string]value{}, leases: map[uint64]time.Time{}, leaseTTL: map[uint64]time.Duration{},
		changed: make(chan struct{}), maxSize: maxSize}
}

// Outage makes the service refuse the callers for which f is true.
func (s *Store) Outage(f func(from string) bool) {
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

// Faults sets which answers to changes are lost and which are repeated late.
func (s *Store) Faults(mute, again func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer, s.repeatLate = mute, again
}

// Late sets which transactions get no answer and are carried out so much later, after
// newer ones.
func (s *Store) Late(late func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// Slow sets how long the service takes for each answer.
func (s *Store) Slow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = by
}

// Swap puts other bytes in place of a key's value, as a fault of the storage would, and
// gives those that stood there.
func (s *Store) Swap(key string, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.keys[key]
	s.revision++
	s.keys[key] = value{data, s.revision, was.leaseID}
	s.events = append(s.events, protocol.Event{Set: key, Data: data, Revision: s.revision})
	s.wake()
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

func (s *Store) expire() {
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
			s.events = append(s.events, protocol.Event{Delete: k, Revision: s.revision})
		}
		s.wake()
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) apply(m *protocol.Transaction) (int, any) {
	s.expire()
	var failed []string
	for _, g := range m.Guards {
		if s.keys[g.Key].revision != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TransactionReply{Failed: failed, StoreRevision: s.revision}
	}
	for _, c := range m.Changes {
		if _, ok := s.leases[c.LeaseID]; c.Set != "" && c.LeaseID != 0 && !ok {
			return 400, protocol.ErrorBody{Error: "no such lease"}
		}
	}
	if len(m.Changes) > 0 {
		s.revision++
	}
	for _, c := range m.Changes {
		if c.Set != "" {
			if len(c.Data) > s.maxSize {
				s.Oversized++
			}
			s.keys[c.Set] = value{c.Data, s.revision, c.LeaseID}
			s.events = append(s.events, protocol.Event{Set: c.Set, Data: c.Data, Revision: s.revision})
		} else if _, ok := s.keys[c.Delete]; ok {
			delete(s.keys, c.Delete)
			s.events = append(s.events, protocol.Event{Delete: c.Delete, Revision: s.revision})
		}
	}
	if len(m.Changes) > 0 {
		s.wake()
	}
	return 200, protocol.TransactionReply{StoreRevision: s.revision}
}

// Serve serves the store on an address until the context ends.
func (s *Store) Serve(ctx context.Context, n *Net, a string) error {
	return serve(ctx, n, a, s.Handler())
}

func serve(ctx context.Context, n *Net, a string, h http.Handler) error {
	l, err := n.Listen("mem", a)
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

// Handler serves the protocol.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			out := s.outage != nil && s.outage(r.RemoteAddr)
			busy := s.requests != nil && !out && !s.requests.Allow()
			slow := s.slow
			s.mu.Unlock()
			time.Sleep(slow)
			if busy {
				s.countBusy()
				reply(w, 429, protocol.ErrorBody{Error: "busy"})
				return
			}
			if out && !strings.HasPrefix(r.URL.Path, "/watch") {
				reply(w, 503, protocol.ErrorBody{Error: "trouble"})
				return
			}
			next.ServeHTTP(w, r)
		})
	})
	r.Get("/store/*", func(w http.ResponseWriter, r *http.Request) {
		key := chi.URLParam(r, "*")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if v, ok := s.keys[key]; ok {
			reply(w, 200, protocol.Entry{Key: key, Data: s.seen(r.RemoteAddr, key, v.data), Revision: v.revision})
		} else {
			reply(w, 404, protocol.TransactionReply{StoreRevision: s.revision})
		}
	})
	r.Get("/store", func(w http.ResponseWriter, r *http.Request) {
		under, since := r.URL.Query().Get("under"), r.URL.Query().Get("since")
		most, _ := strconv.Atoi(r.URL.Query().Get("most"))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		var keys []string
		for k := range s.keys {
			if strings.HasPrefix(k, under) && k > since {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		l := protocol.EntryList{StoreRevision: s.revision, HasNext: len(keys) > most}
		for _, k := range keys[:min(most, len(keys))] {
			l.Entries = append(l.Entries, protocol.Entry{Key: k, Data: s.seen(r.RemoteAddr, k, s.keys[k].data), Revision: s.keys[k].revision})
		}
		reply(w, 200, l)
	})
	r.Post("/multi", func(w http.ResponseWriter, r *http.Request) {
		var m protocol.Transaction
		if !body(r, &m) {
			reply(w, 400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		s.mu.Lock()
		for i := range m.Changes {
			if c := &m.Changes[i]; c.Set != "" {
				c.Data = s.seen(r.RemoteAddr, c.Set, c.Data)
			}
		}
		if s.tooLarge(&m) {
			s.Refused++
			s.mu.Unlock()
			reply(w, 400, protocol.ErrorBody{Error: "too large"})
			return
		}
		// What fails its guards counts as well.
		if len(m.Changes) > 0 && s.changes != nil && !s.changes.AllowN(time.Now(), len(m.Changes)) {
			s.Busy++
			s.mu.Unlock()
			reply(w, 429, protocol.ErrorBody{Error: "busy"})
			return
		}
		if s.late != nil && len(m.Changes) > 0 {
			if after, ok := s.late(); ok {
				s.mu.Unlock()
				time.AfterFunc(after, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.apply(&m)
				})
				// The caller waits in vain.
				<-r.Context().Done()
				return
			}
		}
		code, out := s.apply(&m)
		mute := s.loseAnswer != nil && s.loseAnswer()
		if s.repeatLate != nil && s.repeatLate() {
			go func() {
				time.Sleep(time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.apply(&m)
			}()
		}
		s.mu.Unlock()
		if mute {
			panic(http.ErrAbortHandler)
		}
		reply(w, code, out)
	})
	r.Post("/grants", func(w http.ResponseWriter, r *http.Request) {
		var g protocol.Lease
		body(r, &g)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		life := time.Duration(g.TTLMS) * time.Millisecond
		s.leaseTTL[s.nextID], s.leases[s.nextID] = life, time.Now().Add(life)
		reply(w, 200, protocol.Lease{ID: s.nextID})
	})
	r.Post("/grants/{id}/touch", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		if _, ok := s.leases[id]; !ok {
			reply(w, 404, protocol.ErrorBody{Error: "no such lease"})
			return
		}
		s.leases[id] = time.Now().Add(s.leaseTTL[id])
		reply(w, 200, protocol.Lease{ID: id})
	})
	r.Get("/watch", func(w http.ResponseWriter, r *http.Request) {
		under := r.URL.Query().Get("under")
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		limit := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			s.expire()
			out := protocol.WatchReply{StoreRevision: s.revision, Events: []protocol.Event{}}
			for _, n := range s.events {
				if n.Revision > since && (strings.HasPrefix(n.Set, under) && n.Set != "" || strings.HasPrefix(n.Delete, under) && n.Delete != "") {
					if n.Set != "" {
						n.Data = s.seen(r.RemoteAddr, n.Set, n.Data)
					}
					out.Events = append(out.Events, n)
				}
			}
			changed, down := s.changed, s.outage != nil && s.outage(r.RemoteAddr)
			s.mu.Unlock()
			if len(out.Events) > 0 && !down {
				reply(w, 200, out)
				return
			}
			select {
			case <-changed:
			case <-limit:
				if !down {
					reply(w, 200, out)
					return
				}
				limit = time.After(time.Second)
			case <-r.Context().Done():
				return
			}
		}
	})
	return r
}
