package controller

import (
	"maps"
	"sync"
	"time"
)

// returnWithin: a worker that comes back within this after it was sent to its owner
// cannot reach the owner.
const returnWithin = 10 * time.Second

// redirectTracker remembers the workers whose misdirected reports were answered with their
// owner's name.
type redirectTracker struct {
	most int // workers that are remembered: as many as the fleet may have
	full func()

	mu   sync.Mutex
	last map[string]time.Time
}

func newRedirectTracker(most int, full func()) *redirectTracker {
	return &redirectTracker{most: most, full: full, last: map[string]time.Time{}}
}

// record remembers a misdirected report and tells whether its worker was sent away a moment
// ago already.
func (r *redirectTracker) record(machine string, now time.Time) (cameBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.last[machine]
	if !known && len(r.last) >= r.most {
		maps.DeleteFunc(r.last, func(_ string, at time.Time) bool { return now.Sub(at) >= returnWithin })
		if len(r.last) >= r.most {
			r.full()
			return false
		}
	}
	r.last[machine] = now
	return known && now.Sub(last) < returnWithin
}
