package controller

import (
	"sync"
	"time"
)

const (
	// returnWithin: a worker that comes back within this after it was sent to its owner
	// cannot reach the owner.
	returnWithin = 10 * time.Second
	// maxRedirects bounds how many workers are remembered.
	maxRedirects = 5000
)

// redirects remembers the workers whose misdirected reports were answered with their
// owner's name.
type redirects struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newRedirects() *redirects { return &redirects{last: map[string]time.Time{}} }

// note remembers a misdirected report and tells whether its worker was sent away a moment
// ago already.
func (r *redirects) note(machine string, now time.Time) (cameBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.last[machine]
	r.last[machine] = now
	if len(r.last) > maxRedirects {
		clear(r.last)
	}
	return known && now.Sub(last) < returnWithin
}
