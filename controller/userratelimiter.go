package controller

import (
	"sync"

	"golang.org/x/time/rate"

	"junipershelf/settings"
)

// userCall is a kind of call by users, by what it reads or writes.
type userCall int

const (
	callRead userCall = iota
	callSubmit
	callCancel
)

// callShares are the parts of the state service's requests that each kind may use.
var callShares = map[userCall]float64{callRead: 0.2, callSubmit: 0.3, callCancel: 0.2}

// minCallBurst is the least burst of a kind, however small its part is.
const minCallBurst = 4

// userRateLimiter keep polls, submissions and cancellations from starving each other. What finds
// no budget is refused at once and told when to come back.
type userRateLimiter struct {
	limiters map[userCall]*rate.Limiter

	mu      sync.Mutex
	refused int
}

func newUserRateLimiter(limits settings.StoreLimits) *userRateLimiter {
	b := &userRateLimiter{limiters: map[userCall]*rate.Limiter{}}
	for kind, share := range callShares {
		b.limiters[kind] = rate.NewLimiter(rate.Limit(limits.RPS*share), max(minCallBurst, int(limits.RPS*share)))
	}
	return b
}

// allow takes one call's worth, or tells that there is none.
func (b *userRateLimiter) allow(kind userCall) bool {
	if b.limiters[kind].Allow() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	return false
}

// snapshotAndResetRefused gives how many calls were refused since the last look.
func (b *userRateLimiter) snapshotAndResetRefused() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.refused
	b.refused = 0
	return n
}
