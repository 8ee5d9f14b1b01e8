package statestore

import (
	"sync"
	"time"
)

// availability follows whether the store executes calls.
type availability struct {
	mu        sync.Mutex
	lastReply time.Time
	outage    bool // a call was answered that the store is unavailable, and none was handled since
}

// newAvailability counts the start as a reply.
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

// recordOutage records that a call was answered that the store is unavailable.
func (a *availability) recordOutage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outage = true
}

// sinceLastReply is the time since the last reply to a call that the store handled.
func (a *availability) sinceLastReply() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.lastReply)
}
