package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// Handler returns the handler of the store's API.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.refuseOrDelay)
	r.Get("/store/*", s.get)
	r.Get("/store", s.list)
	r.Post("/multi", s.commit)
	r.Post("/grants", s.grantLease)
	r.Post("/grants/{id}/touch", s.renewLease)
	r.Get("/watch", s.watch)
	return r
}

// refuseOrDelay refuses requests during an outage or above the rate limit, and delays all by the
// latency. A watch is not refused during an outage; it stays open without events.
func (s *Store) refuseOrDelay(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		inOutage := s.faults.refuses(r.RemoteAddr)
		aboveRate := s.faults.requests != nil && !inOutage && !s.faults.requests.Allow()
		if aboveRate {
			s.RefusedForRate++
		}
		latency := s.faults.latency
		s.mu.Unlock()
		time.Sleep(latency)
		switch {
		case aboveRate:
			replyError(w, http.StatusTooManyRequests, "busy")
		case inOutage && !strings.HasPrefix(r.URL.Path, "/watch"):
			replyError(w, http.StatusServiceUnavailable, "trouble")
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// get serves a read of a key.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.keys[key]; !ok {
		reply(w, http.StatusNotFound, protocol.TransactionReply{StoreRevision: s.revision})
		return
	}
	reply(w, http.StatusOK, s.entry(r.RemoteAddr, key))
}

// entry returns a key's value, translated for the client. The caller holds s.mu.
func (s *Store) entry(caller, key string) protocol.Entry {
	value := s.keys[key]
	return protocol.Entry{Key: key, Data: s.faults.translated(caller, key, value.data), Revision: value.revision}
}

// list serves a page of the keys with a prefix.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("most")) // without a limit the page is empty
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	keys := s.keysAfter(query.Get("under"), query.Get("since"))
	page := protocol.EntryList{StoreRevision: s.revision, HasNext: len(keys) > limit}
	for _, key := range keys[:min(limit, len(keys))] {
		page.Entries = append(page.Entries, s.entry(r.RemoteAddr, key))
	}
	reply(w, http.StatusOK, page)
}

// commit serves a transaction, subject to the injected faults.
func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t protocol.Transaction
	if !decode(w, r, &t) {
		return
	}
	s.mu.Lock()
	for i := range t.Changes {
		if c := &t.Changes[i]; c.PutKey != "" {
			c.Data = s.faults.translated(r.RemoteAddr, c.PutKey, c.Data)
		}
	}
	if refused := s.refusalOf(&t); refused != nil {
		s.mu.Unlock()
		replyError(w, refused.code, refused.text)
		return
	}
	if s.maybeDelay(&t) {
		s.mu.Unlock()
		<-r.Context().Done() // the reply is never sent
		return
	}
	code, message := s.apply(&t)
	lost := s.faults.loseReply != nil && s.faults.loseReply()
	if s.faults.repeatTransaction != nil && s.faults.repeatTransaction() {
		s.applyAfter(repeatDelay, &t)
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, code, message)
}

// grantLease serves the creation of a lease.
func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var lease protocol.Lease
	if !decode(w, r, &lease) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeaseID++
	ttl := time.Duration(lease.TTLMS) * time.Millisecond
	s.leaseTTL[s.lastLeaseID], s.leases[s.lastLeaseID] = ttl, time.Now().Add(ttl)
	reply(w, http.StatusOK, protocol.Lease{ID: s.lastLeaseID})
}

// renewLease serves the renewal of a lease.
func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64) // a malformed id gives 0, which is no lease
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		replyError(w, http.StatusNotFound, "no such lease")
		return
	}
	s.leases[id] = time.Now().Add(s.leaseTTL[id])
	reply(w, http.StatusOK, protocol.Lease{ID: id})
}

// outageWatchPoll is how often a watch past its wait time checks whether an outage has ended.
const outageWatchPoll = time.Second

// watch serves a watch, which waits for events under a prefix. During an outage, watches stay open.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("under")
	since, _ := strconv.ParseUint(query.Get("since"), 10, 64) // without a revision: from the first
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases()
		if since+1 < s.oldestRevision {
			s.mu.Unlock()
			replyError(w, http.StatusGone, "too old")
			return
		}
		watchReply := protocol.WatchReply{StoreRevision: s.revision, Events: s.eventsAfter(r.RemoteAddr, prefix, since)}
		changed, refused := s.changed, s.faults.refuses(r.RemoteAddr)
		s.mu.Unlock()
		if len(watchReply.Events) > 0 && !refused {
			reply(w, http.StatusOK, watchReply)
			return
		}
		left := time.Until(deadline)
		if left <= 0 && !refused {
			reply(w, http.StatusOK, watchReply)
			return
		}
		if left <= 0 {
			left = outageWatchPoll
		}
		// A new timer in each round, so that none is due already when it is selected on (see ctxtime.Sleep).
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}
