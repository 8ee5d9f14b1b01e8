package emulator

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"junipershelf/protocol"

	"github.com/go-chi/chi/v5"
)

// Handler serves the protocol.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.admit)
	r.Get("/store/*", s.get)
	r.Get("/store", s.list)
	r.Post("/multi", s.commit)
	r.Post("/grants", s.grant)
	r.Post("/grants/{id}/touch", s.renew)
	r.Get("/watch", s.watch)
	return r
}

// admit refuses calls in an outage and beyond the rate, and makes the others wait.
func (s *Store) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		out := s.outage != nil && s.outage(r.RemoteAddr)
		busy := s.requests != nil && !out && !s.requests.Allow()
		if busy {
			s.RefusedForRate++
		}
		slow := s.latency
		s.mu.Unlock()
		time.Sleep(slow)
		switch {
		case busy:
			reply(w, http.StatusTooManyRequests, protocol.ErrorBody{Error: "busy"})
		case out && !strings.HasPrefix(r.URL.Path, "/watch"):
			reply(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// get serves a read of one key.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if v, ok := s.keys[key]; ok {
		reply(w, http.StatusOK, protocol.Entry{Key: key, Data: s.translated(r.RemoteAddr, key, v.data), Revision: v.revision})
	} else {
		reply(w, http.StatusNotFound, protocol.TransactionReply{StoreRevision: s.revision})
	}
}

// list serves a page of the keys with a prefix.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, since := r.URL.Query().Get("under"), r.URL.Query().Get("since")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > since {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	l := protocol.EntryList{StoreRevision: s.revision, HasNext: len(keys) > most}
	for _, k := range keys[:min(most, len(keys))] {
		l.Entries = append(l.Entries, protocol.Entry{Key: k, Data: s.translated(r.RemoteAddr, k, s.keys[k].data), Revision: s.keys[k].revision})
	}
	reply(w, http.StatusOK, l)
}

// commit serves a transaction, with the faults that are set.
func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t protocol.Transaction
	if !body(r, &t) {
		reply(w, http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"})
		return
	}
	s.mu.Lock()
	for i := range t.Changes {
		if c := &t.Changes[i]; c.PutKey != "" {
			c.Data = s.translated(r.RemoteAddr, c.PutKey, c.Data)
		}
	}
	if code, why := s.refuse(&t); code != 0 {
		s.mu.Unlock()
		reply(w, code, protocol.ErrorBody{Error: why})
		return
	}
	if s.delayTransaction != nil && len(t.Changes) > 0 {
		if after, ok := s.delayTransaction(); ok {
			s.mu.Unlock()
			time.AfterFunc(after, func() { s.applyAgain(&t) })
			<-r.Context().Done() // the caller waits in vain
			return
		}
	}
	code, out := s.apply(&t)
	lost := s.loseReply != nil && s.loseReply()
	if s.repeatTransaction != nil && s.repeatTransaction() {
		time.AfterFunc(time.Second, func() { s.applyAgain(&t) })
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, code, out)
}

// refuse tells with which status a transaction is refused for the limits; 0: it is not. What
// fails its guards counts against the rate as well.
func (s *Store) refuse(t *protocol.Transaction) (code int, why string) {
	if s.tooLarge(t) {
		s.RefusedForSize++
		return http.StatusBadRequest, "too large"
	}
	if len(t.Changes) > 0 && s.changes != nil && !s.changes.AllowN(time.Now(), len(t.Changes)) {
		s.RefusedForRate++
		return http.StatusTooManyRequests, "busy"
	}
	return 0, ""
}

// applyAgain carries a transaction out, late.
func (s *Store) applyAgain(t *protocol.Transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(t)
}

// grant serves a new lease.
func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var lease protocol.Lease
	body(r, &lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(lease.TTLMS) * time.Millisecond
	s.leaseTTL[s.nextID], s.leases[s.nextID] = ttl, time.Now().Add(ttl)
	reply(w, http.StatusOK, protocol.Lease{ID: s.nextID})
}

// renew serves a lease's renewal.
func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		reply(w, http.StatusNotFound, protocol.ErrorBody{Error: "no such lease"})
		return
	}
	s.leases[id] = time.Now().Add(s.leaseTTL[id])
	reply(w, http.StatusOK, protocol.Lease{ID: id})
}

// watch serves a watch. During an outage open watches remain open.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("under")
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases()
		if since+1 < s.oldestRevision {
			s.mu.Unlock()
			reply(w, http.StatusGone, protocol.ErrorBody{Error: "too old"})
			return
		}
		out := protocol.WatchReply{StoreRevision: s.revision, Events: s.eventsAfter(r.RemoteAddr, prefix, since)}
		changed, down := s.changed, s.outage != nil && s.outage(r.RemoteAddr)
		s.mu.Unlock()
		if len(out.Events) > 0 && !down {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-limit:
			if !down {
				reply(w, http.StatusOK, out)
				return
			}
			limit = time.After(time.Second)
		case <-r.Context().Done():
			return
		}
	}
}

// keptEvents is how many changes a watch may go back at the least.
const keptEvents = 10000

// eventsAfter lists the changes under a prefix since a revision, as a host sees them.
func (s *Store) eventsAfter(host, prefix string, since uint64) []protocol.Event {
	events := []protocol.Event{}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > since })
	for _, e := range s.events[first:] {
		if !strings.HasPrefix(e.PutKey+e.DeleteKey, prefix) {
			continue
		}
		if e.PutKey != "" {
			e.Data = s.translated(host, e.PutKey, e.Data)
		}
		events = append(events, e)
	}
	return events
}
