package statestore

import (
	"time"

	"golang.org/x/time/rate"
)

// priorityLimiter applies one of the store's rate limits to this node's calls, by their priority. The caller
// holds a lock, except while it waits for a limiter that it has read under the lock.
type priorityLimiter struct {
	nominal nominalRate
	learned learnedRate
	// allCalls is the limiter that every call consumes tokens from. Calls that are sent without waiting can
	// make the number of tokens negative, which delays the calls that wait.
	allCalls *rate.Limiter
	// userCalls limits the users' calls to the granted rate while that is reduced. Calls beyond it are
	// refused here instead of being sent and refused by the store.
	userCalls *rate.Limiter
	// sent has the nominal rate and counts what is sent. A burst of users' calls may exceed it for seconds:
	// refusals during that time say nothing about the store's limits.
	sent           *rate.Limiter
	lastExcessSent time.Time // when more than the nominal rate was last sent
}

func newPriorityLimiter(nominal nominalRate) *priorityLimiter {
	p := &priorityLimiter{nominal: nominal, learned: newLearnedRate()}
	p.refill()
	return p
}

// grantedPerSecond returns how much of the nominal rate the store is known to grant.
func (p *priorityLimiter) grantedPerSecond() float64 { return p.nominal.perSecond * p.learned.factor }

// updateLimiters sets the limiters to the nominal and the learned rate.
func (p *priorityLimiter) updateLimiters() {
	granted := rate.Limit(p.grantedPerSecond())
	for _, limiter := range []*rate.Limiter{p.allCalls, p.userCalls} {
		limiter.SetLimit(granted)
		limiter.SetBurst(p.nominal.burst)
	}
	p.sent.SetLimit(rate.Limit(p.nominal.perSecond))
	p.sent.SetBurst(p.nominal.burst)
}

// refill replaces the limiters by ones that are filled to their burst.
func (p *priorityLimiter) refill() {
	granted := rate.Limit(p.grantedPerSecond())
	p.allCalls = rate.NewLimiter(granted, p.nominal.burst)
	p.userCalls = rate.NewLimiter(granted, p.nominal.burst)
	p.sent = rate.NewLimiter(rate.Limit(p.nominal.perSecond), p.nominal.burst)
}

// recordSent counts n requests or changes that are about to be sent.
func (p *priorityLimiter) recordSent(now time.Time, n int) {
	if !p.sent.AllowN(now, min(n, p.sent.Burst())) {
		p.lastExcessSent = now
	}
}

// recordRefusal records that a call was rate limited, and reports whether the rate has changed. A refusal
// indicates a lower limit only if this node limited the call before sending it, and has stayed within its
// share. While the rate is not reduced, no node limits users' calls, so a burst of them can exceed the store's
// limit.
func (p *priorityLimiter) recordRefusal(now time.Time, priority Priority) (changed bool) {
	limited := !priority.immediate() || p.learned.reduced()
	withinShare := now.Sub(p.lastExcessSent) > refusalWindow
	return limited && withinShare && p.learned.recordRefusal(now)
}

// allowUser reports whether a user's call with n requests or changes may be sent now, and consumes tokens
// for it.
func (p *priorityLimiter) allowUser(now time.Time, n int) bool {
	return !p.learned.reduced() || p.userCalls.AllowN(now, min(n, p.userCalls.Burst()))
}

// charge consumes the tokens of n requests or changes that were sent without waiting. The number of tokens
// may become negative.
func charge(limiter *rate.Limiter, n int) {
	limiter.ReserveN(time.Now(), min(n, limiter.Burst()))
}
