package controller

import (
	"maps"
	"sync"
	"time"
)

// returnWithin: a worker that comes back within this after it was redirected to its owner cannot
// reach the owner.
const returnWithin = 10 * time.Second

// redirectTracker remembers when each worker was last redirected to its owner. It has a lock of
// its own, under which no other is taken but the one of the limit counter.
type redirectTracker struct {
	limit  int    // workers that are remembered: as many as the fleet may have machines
	onFull func() // called for each worker that cannot be remembered

	mu             sync.Mutex
	lastRedirected map[string]time.Time // by machine
}

func newRedirectTracker(limit int, onFull func()) *redirectTracker {
	return &redirectTracker{limit: limit, onFull: onFull, lastRedirected: map[string]time.Time{}}
}

// record records that a worker is being redirected. It reports whether the worker has come back,
// that is whether it was redirected a moment ago already.
func (r *redirectTracker) record(machine string, now time.Time) (cameBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.lastRedirected[machine]
	if !known && !r.makeRoom(now) {
		r.onFull()
		return false
	}
	r.lastRedirected[machine] = now
	return known && now.Sub(last) < returnWithin
}

// makeRoom forgets the workers that were redirected long ago if there is no room for one more.
// It reports whether there is room then. The caller holds the lock.
func (r *redirectTracker) makeRoom(now time.Time) bool {
	if len(r.lastRedirected) >= r.limit {
		maps.DeleteFunc(r.lastRedirected, func(_ string, at time.Time) bool { return now.Sub(at) >= returnWithin })
	}
	return len(r.lastRedirected) < r.limit
}
