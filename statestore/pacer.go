package statestore

import (
	"time"

	"golang.org/x/time/rate"
)

// pacer shares one rate of the store among the priorities of this node's calls. The caller holds a lock;
// only a limiter that was read under it may be waited for without.
type pacer struct {
	nominal nominalRate
	learned learnedRate
	// all is what every call is paid from. Calls that are sent at once leave a debt there, which those
	// that wait for their turn pay off.
	all *rate.Limiter
	// users limits the users' calls to the whole of the rate while it is scarce. What is beyond it is
	// refused here, in place of being sent to be refused by the store.
	users *rate.Limiter
	// sent has the nominal rate and counts what is sent. Users' calls may exceed it for seconds when
	// they come in a burst: what is refused then proves nothing about the limits.
	sent           *rate.Limiter
	lastExcessSent time.Time // when more than the nominal rate was last sent
}

func newPacer(nominal nominalRate) *pacer {
	p := &pacer{nominal: nominal, learned: newLearnedRate()}
	p.refill()
	return p
}

// grantedPerSecond is the part of the nominal rate that the store is known to grant.
func (p *pacer) grantedPerSecond() float64 { return p.nominal.perSecond * p.learned.factor }

// apply sets the limiters to the nominal and the learned rate.
func (p *pacer) apply() {
	granted := rate.Limit(p.grantedPerSecond())
	for _, limiter := range []*rate.Limiter{p.all, p.users} {
		limiter.SetLimit(granted)
		limiter.SetBurst(p.nominal.burst)
	}
	p.sent.SetLimit(rate.Limit(p.nominal.perSecond))
	p.sent.SetBurst(p.nominal.burst)
}

// refill replaces the limiters by ones with their full burst.
func (p *pacer) refill() {
	granted := rate.Limit(p.grantedPerSecond())
	p.all = rate.NewLimiter(granted, p.nominal.burst)
	p.users = rate.NewLimiter(granted, p.nominal.burst)
	p.sent = rate.NewLimiter(rate.Limit(p.nominal.perSecond), p.nominal.burst)
}

// recordSent counts n requests or changes that are sent.
func (p *pacer) recordSent(now time.Time, n int) {
	if !p.sent.AllowN(now, min(n, p.sent.Burst())) {
		p.lastExcessSent = now
	}
}

// recordRefusal records that a call was rate limited, and reports whether the rate has changed. That is
// evidence of a lower limit only for a call that had waited for its turn, and while this node has kept to
// its share: users' calls are sent at once, by all nodes, and together exceed the limit when they come in
// a burst.
func (p *pacer) recordRefusal(now time.Time, priority Priority) (changed bool) {
	paced := !priority.immediate() || p.learned.scarce()
	keptToShare := now.Sub(p.lastExcessSent) > refusalWindow
	return paced && keptToShare && p.learned.recordRefusal(now)
}

// allowUser reports whether a user's call with n requests or changes may be sent now, and pays for it.
func (p *pacer) allowUser(now time.Time, n int) bool {
	return !p.learned.scarce() || p.users.AllowN(now, min(n, p.users.Burst()))
}

// charge takes n requests or changes that were sent unpaid from the rate. It may leave a debt.
func charge(limiter *rate.Limiter, n int) {
	limiter.ReserveN(time.Now(), min(n, limiter.Burst()))
}
