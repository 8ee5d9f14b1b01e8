package statestore

import "time"

// The store may grant less than the limits in the settings: its limits can fall without notice, and other
// callers share them. Each rate is therefore adapted: it is cut when calls within this node's share are
// repeatedly rate limited, and grows back gradually once they succeed.
const (
	// A single refusal can come from a burst of the other nodes; refusalsToCut of them within refusalWindow
	// indicate a lower limit.
	refusalWindow = 3 * time.Second
	refusalsToCut = 2
	// cutInterval is the minimum time between two cuts, so that calls that were in flight when the rate was
	// cut do not cut it again.
	cutInterval = time.Second
	// cutFactor is what a cut multiplies the rate by, and minFactor the smallest fraction of the nominal
	// rate that cuts can reach.
	cutFactor = 0.75
	minFactor = 0.05
	// recoverAfter is the time without a refusal after which the rate grows again, by recoverPerSecond of
	// the nominal rate.
	recoverAfter     = 2 * time.Second
	recoverPerSecond = 0.03
)

// learnedRate is the fraction of a nominal rate that the store is known to grant. It is not safe for
// concurrent use.
type learnedRate struct {
	factor      float64 // between minFactor and 1
	refusals    int     // in the current window
	windowStart time.Time
	lastRefusal time.Time
	lastCut     time.Time
	lastChange  time.Time // of the factor
}

func newLearnedRate() learnedRate { return learnedRate{factor: 1} }

// recordRefusal records that a call was rate limited, and reports whether the factor has changed.
func (l *learnedRate) recordRefusal(now time.Time) (changed bool) {
	l.lastRefusal = now
	if now.Sub(l.windowStart) > refusalWindow {
		l.windowStart, l.refusals = now, 0
	}
	l.refusals++
	if l.refusals < refusalsToCut || now.Sub(l.lastCut) < cutInterval {
		return false
	}
	l.lastCut, l.lastChange = now, now
	l.factor = max(l.factor*cutFactor, minFactor)
	return true
}

// recordSuccess records that a call was not rate limited, and reports whether the factor has changed.
func (l *learnedRate) recordSuccess(now time.Time) (changed bool) {
	if l.factor == 1 || now.Sub(l.lastRefusal) < recoverAfter {
		return false
	}
	growsSince := l.lastChange
	if earliest := l.lastRefusal.Add(recoverAfter); earliest.After(growsSince) {
		growsSince = earliest
	}
	l.factor = min(l.factor+recoverPerSecond*now.Sub(growsSince).Seconds(), 1)
	l.lastChange = now
	return true
}

// reduced reports whether less than the nominal rate is granted.
func (l *learnedRate) reduced() bool { return l.factor < 1 }
