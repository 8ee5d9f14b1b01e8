package statestore

import (
	"time"

	"golang.org/x/time/rate"
)

// The state service may grant less than the settings name: its limits fall without
// notice, and other callers share them. Each rate is therefore learned: it is cut when
// calls within this node's share are answered 429 again and again, and grows back a
// little at a time once they pass.
const (
	// refusalWindow and refusalsToCut: a single 429 is a burst of the other nodes, two within the
	// window are a limit.
	refusalWindow = 3 * time.Second
	refusalsToCut = 2
	// cutInterval is the shortest time between two cuts, so that calls that were on their
	// way when the rate was cut do not cut it again.
	cutInterval = time.Second
	cutFactor   = 0.75
	minFactor   = 0.05
	// recoverAfter is how long no 429 may have come before the rate grows again, by
	// recoverPerSecond of the nominal rate.
	recoverAfter     = 2 * time.Second
	recoverPerSecond = 0.03
)

// learnedRate is the part of a nominal rate that the service is known to grant.
type learnedRate struct {
	factor      float64 // between minFactor and 1
	refusals    int     // answers of 429 in the current window
	windowStart time.Time
	lastRefusal time.Time
	lastCut     time.Time
	grown       time.Time // when the factor was last raised
}

func newLearnedRate() learnedRate { return learnedRate{factor: 1} }

// recordRefusal takes a 429 and tells whether the factor has changed.
func (l *learnedRate) recordRefusal(now time.Time) bool {
	l.lastRefusal = now
	if now.Sub(l.windowStart) > refusalWindow {
		l.windowStart, l.refusals = now, 0
	}
	l.refusals++
	if l.refusals < refusalsToCut || now.Sub(l.lastCut) < cutInterval {
		return false
	}
	l.lastCut, l.grown = now, now
	l.factor = max(l.factor*cutFactor, minFactor)
	return true
}

// recordSuccess takes an answer that was no 429 and tells whether the factor has changed.
func (l *learnedRate) recordSuccess(now time.Time) bool {
	if l.factor == 1 || now.Sub(l.lastRefusal) < recoverAfter {
		return false
	}
	since := l.grown
	if earliest := l.lastRefusal.Add(recoverAfter); earliest.After(since) {
		since = earliest
	}
	l.factor = min(l.factor+recoverPerSecond*now.Sub(since).Seconds(), 1)
	l.grown = now
	return true
}

// scarce tells whether less than the nominal rate is granted.
func (l *learnedRate) scarce() bool { return l.factor < 1 }

// pacer shares one rate of the state service among the classes of this node's calls.
type pacer struct {
	learned learnedRate
	// all is what every call is paid from; calls that go out at once leave a debt there,
	// which those that wait for their turn pay off.
	all *rate.Limiter
	// users bounds the users' calls to the whole of the rate while it is scarce. What is
	// beyond that is refused here, not sent to be refused there.
	users *rate.Limiter
	// sent has the nominal rate and counts what goes out. Users' calls may exceed it, at the
	// start of a day for seconds: what is refused then tells nothing of the limits.
	sent     *rate.Limiter
	overSent time.Time // when more than the nominal rate was last sent
}

func newPacer(perSecond float64, burst int) *pacer {
	p := &pacer{learned: newLearnedRate()}
	p.refill(perSecond, burst)
	return p
}

// set changes the nominal rate.
func (p *pacer) set(perSecond float64, burst int) {
	for _, limiter := range []*rate.Limiter{p.all, p.users} {
		limiter.SetLimit(rate.Limit(perSecond * p.learned.factor))
		limiter.SetBurst(burst)
	}
	p.sent.SetLimit(rate.Limit(perSecond))
	p.sent.SetBurst(burst)
}

// refill gives the limiters their full burst.
func (p *pacer) refill(perSecond float64, burst int) {
	granted := rate.Limit(perSecond * p.learned.factor)
	p.all = rate.NewLimiter(granted, burst)
	p.users = rate.NewLimiter(granted, burst)
	p.sent = rate.NewLimiter(rate.Limit(perSecond), burst)
}

// recordSent counts what goes out.
func (p *pacer) recordSent(now time.Time, n int) {
	if !p.sent.AllowN(now, min(n, p.sent.Burst())) {
		p.overSent = now
	}
}

// recordRefusal takes a 429 and tells whether the rate has changed. It is evidence of a lower limit
// only for a call that had waited for its turn, and while this node has kept to its share:
// users' calls go out at once, on all nodes, and together exceed the limit at the start of a
// day.
func (p *pacer) recordRefusal(now time.Time, priority Priority) bool {
	paced := priority >= PriorityPlacement || p.learned.scarce()
	return paced && now.Sub(p.overSent) > refusalWindow && p.learned.recordRefusal(now)
}

// allowUser tells whether a user's call may go out now.
func (p *pacer) allowUser(now time.Time, n int) bool {
	return !p.learned.scarce() || p.users.AllowN(now, min(n, p.users.Burst()))
}
