package controller

import (
	"sync"

	"golang.org/x/time/rate"

	"junipershelf/settings"
)

// userCall is a kind of user request that calls the key-value store.
type userCall int

const (
	callRead userCall = iota // a status read that needs its own read of the store
	callSubmit
	callCancel
)

// userCallShares are the fractions of the key-value store's request rate that each kind may use.
var userCallShares = map[userCall]float64{callRead: 0.2, callSubmit: 0.3, callCancel: 0.2}

// minUserCallBurst is the minimum burst size of a kind, regardless of its share.
const minUserCallBurst = 4

// userRateLimiter prevents status reads, submissions and cancellations from starving each other of
// requests to the key-value store. Its lock is acquired after nodeState.mu, never before it.
type userRateLimiter struct {
	limiters map[userCall]*rate.Limiter

	mu      sync.Mutex
	refused int
}

// newUserRateLimiter creates a limiter that divides the key-value store's request rate by
// userCallShares.
func newUserRateLimiter(store settings.StoreLimits) *userRateLimiter {
	l := &userRateLimiter{limiters: map[userCall]*rate.Limiter{}}
	for kind, share := range userCallShares {
		requestRate := store.RPS * share
		l.limiters[kind] = rate.NewLimiter(rate.Limit(requestRate), max(minUserCallBurst, int(requestRate)))
	}
	return l
}

// allow consumes one request of a kind's rate. It reports false if the rate is used up; the caller
// must then refuse the request at once.
func (l *userRateLimiter) allow(kind userCall) bool {
	if l.limiters[kind].Allow() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	return false
}

// snapshotAndResetRefused returns the number of requests refused since the previous call.
func (l *userRateLimiter) snapshotAndResetRefused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refused
	l.refused = 0
	return refused
}
