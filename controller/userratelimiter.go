package controller

import (
	"sync"

	"golang.org/x/time/rate"

	"junipershelf/settings"
)

// userCall is a kind of users' requests, by what it does in the key-value store.
type userCall int

const (
	callRead   userCall = iota // a status read that takes a read of its own
	callSubmit                 // a submission
	callCancel                 // a cancellation
)

// userCallShares are the parts of the key-value store's request rate that each kind may use.
var userCallShares = map[userCall]float64{callRead: 0.2, callSubmit: 0.3, callCancel: 0.2}

// minUserCallBurst is the smallest burst of a kind, however small its share is.
const minUserCallBurst = 4

// userRateLimiter keeps status reads, submissions and cancellations from starving each other of
// requests to the key-value store. Its lock is taken after nodeState.mu, never before.
type userRateLimiter struct {
	limiters map[userCall]*rate.Limiter

	mu      sync.Mutex
	refused int
}

// newUserRateLimiter shares the key-value store's rate limits out.
func newUserRateLimiter(store settings.StateLimits) *userRateLimiter {
	l := &userRateLimiter{limiters: map[userCall]*rate.Limiter{}}
	for kind, share := range userCallShares {
		requestRate := store.RPS * share
		l.limiters[kind] = rate.NewLimiter(rate.Limit(requestRate), max(minUserCallBurst, int(requestRate)))
	}
	return l
}

// allow takes room for one request of a kind. It reports false if there is none: the request is
// to be refused at once.
func (l *userRateLimiter) allow(kind userCall) bool {
	if l.limiters[kind].Allow() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	return false
}

// snapshotAndResetRefused returns how many requests were refused since it was last called.
func (l *userRateLimiter) snapshotAndResetRefused() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := l.refused
	l.refused = 0
	return refused
}
