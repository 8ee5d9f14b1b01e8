package controller

import (
	"maps"
	"sync"
	"time"
)

// returnWindow is the time after a redirect within which an agent that returns is taken to be unable
// to reach the owner of its machine.
const returnWindow = 10 * time.Second

// redirectTracker remembers when the agent of each machine was last redirected to the owner. While its
// lock is held, only the limit counter's lock is acquired.
type redirectTracker struct {
	limit  int    // maximum number of remembered machines: the node's limit of machines
	onFull func() // called for each redirect that cannot be remembered

	mu             sync.Mutex
	lastRedirected map[string]time.Time // by machine
}

func newRedirectTracker(limit int, onFull func()) *redirectTracker {
	return &redirectTracker{limit: limit, onFull: onFull, lastRedirected: map[string]time.Time{}}
}

// record records that the agent of a machine is being redirected. It reports whether the agent has
// returned: its previous redirect was less than returnWindow ago.
func (r *redirectTracker) record(machine string, now time.Time) (returned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.lastRedirected[machine]
	if !known && !r.evictExpired(now) {
		r.onFull()
		return false
	}
	r.lastRedirected[machine] = now
	return known && now.Sub(last) < returnWindow
}

// evictExpired drops the entries older than returnWindow if the tracker is full. It reports whether
// one more entry fits. The caller holds the lock.
func (r *redirectTracker) evictExpired(now time.Time) bool {
	if len(r.lastRedirected) >= r.limit {
		maps.DeleteFunc(r.lastRedirected, func(_ string, at time.Time) bool { return now.Sub(at) >= returnWindow })
	}
	return len(r.lastRedirected) < r.limit
}
