package statestore

import (
	"sync"
	"time"
)

// availability tracks when the store last handled a call, and outages of the store.
type availability struct {
	mu        sync.Mutex
	lastReply time.Time
	outage    bool // the store replied that it is unavailable, and has handled no call since
}

// newAvailability counts the current time as that of the last reply.
func newAvailability() *availability { return &availability{lastReply: time.Now()} }

// recordReply records a reply to a call that the store handled, and reports whether it ends an outage.
func (a *availability) recordReply() (outageEnded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReply = time.Now()
	outageEnded = a.outage
	a.outage = false
	return outageEnded
}

// recordOutage records a reply that the store is unavailable.
func (a *availability) recordOutage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outage = true
}

// sinceLastReply returns the time since the last reply to a call that the store handled.
func (a *availability) sinceLastReply() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.lastReply)
}
