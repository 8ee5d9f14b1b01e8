package statestore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/settings"
)

// Priority orders calls by urgency.
type Priority int

// The priorities, the most urgent first. Calls of the first two are sent without waiting; the
// tokens that they use are deducted from those of the others, which wait for the rate limiters.
const (
	PriorityMembership Priority = iota // leases and the cluster's view
	PriorityUser                       // calls on behalf of users
	PriorityPlacement                  // placements, completions, messages
	PriorityBackground                 // calls that may be delayed
)

// immediate reports whether calls of a priority are sent without waiting for the rate limiters.
func (p Priority) immediate() bool { return p <= PriorityUser }

// How long a call of PriorityBackground lets waiting calls go first, and how often it checks for them.
const (
	yieldTimeout  = 2 * time.Second
	yieldInterval = 50 * time.Millisecond
)

// MinChanges is the number of changes that a transaction may hold at any granted rate. The end of a job takes
// two: one record is deleted and another one written.
const MinChanges = 2

// admission decides when a call may be sent, based on the node's share of the store's limits, how
// much of it the store is known to grant, and the call's priority.
type admission struct {
	limits settings.StoreLimits

	// mu guards the fields below. It is not held while a call waits for a limiter.
	mu       sync.Mutex
	share    Share
	requests *priorityLimiter
	changes  *priorityLimiter
	waiting  int // calls that wait for a limiter, excluding calls of PriorityBackground that let others go first
}

// newAdmission starts with the share of a single node.
func newAdmission(limits settings.StoreLimits) *admission {
	share := Share{Nodes: 1}
	return &admission{
		limits:   limits,
		share:    share,
		requests: newPriorityLimiter(share.requests(limits)),
		changes:  newPriorityLimiter(share.changes(limits)),
	}
}

func (a *admission) setShare(share Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	share.Nodes = max(share.Nodes, 1)
	a.share = share
	a.requests.nominal = share.requests(a.limits)
	a.changes.nominal = share.changes(a.limits)
	a.updateLimiters()
}

// updateLimiters sets the limiters to the current rates. The caller holds the lock.
func (a *admission) updateLimiters() {
	a.requests.updateLimiters()
	a.changes.updateLimiters()
}

// refill fills all limiters to their burst. Calls that were refused in an outage used nothing of the store's
// limits, so the tokens consumed for them must not delay others once the store is available again.
func (a *admission) refill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests.refill()
	a.changes.refill()
}

// admit returns once a call with a number of changes may be sent. Calls of PriorityMembership are always
// admitted at once. Calls of PriorityUser are also admitted at once, but while the store grants less than the
// nominal rate, users' calls beyond the granted rate are refused. All other calls wait for tokens of the
// limiters, from which the calls admitted at once are deducted as well. While a rate is reduced, a call of
// PriorityBackground first lets waiting calls go ahead.
func (a *admission) admit(ctx context.Context, priority Priority, changes int) error {
	switch priority {
	case PriorityMembership:
		return nil
	case PriorityUser:
		return a.admitUser(changes)
	case PriorityBackground:
		if err := a.yieldToPlacement(ctx); err != nil {
			return err
		}
	case PriorityPlacement:
	}
	return a.waitForTokens(ctx, changes)
}

// admitUser refuses a user's call that the store would refuse.
func (a *admission) admitUser(changes int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.requests.allowUser(now, 1) {
		return ErrRateLimited
	}
	if changes > 0 && !a.changes.allowUser(now, changes) {
		return ErrRateLimited
	}
	return nil
}

// waitForTokens waits until the limiters allow a call, and consumes its tokens.
func (a *admission) waitForTokens(ctx context.Context, changes int) error {
	a.beginWaiting()
	defer a.endWaiting()
	requestLimiter, changeLimiter := a.limiters()
	if err := requestLimiter.Wait(ctx); err != nil {
		return notAdmitted(err)
	}
	if changes > 0 {
		if err := changeLimiter.WaitN(ctx, min(changes, changeLimiter.Burst())); err != nil {
			return notAdmitted(err)
		}
	}
	return nil
}

// notAdmitted returns the error for a call that was not admitted before the end of its context.
func notAdmitted(err error) error {
	return fmt.Errorf("%w: not admitted by the client's rate limits: %w", ErrRefused, err)
}

func (a *admission) beginWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting++
}

func (a *admission) endWaiting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

// limiters returns the limiters that all calls consume tokens from. A refill replaces them.
func (a *admission) limiters() (requests, changes *rate.Limiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests.allCalls, a.changes.allCalls
}

// yieldToPlacement waits, up to yieldTimeout, while a rate is reduced and other calls wait for a limiter.
func (a *admission) yieldToPlacement(ctx context.Context) error {
	for end := time.Now().Add(yieldTimeout); time.Now().Before(end); {
		if !a.mustYield() {
			return nil
		}
		select {
		case <-ctx.Done():
			return notAdmitted(ctx.Err())
		case <-time.After(yieldInterval):
		}
	}
	return nil
}

func (a *admission) mustYield() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting > 0 && (a.requests.learned.reduced() || a.changes.learned.reduced())
}

// recordSent counts a call that is about to be sent, with its changes.
func (a *admission) recordSent(changes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.requests.recordSent(now, 1)
	if changes > 0 {
		a.changes.recordSent(now, changes)
	}
}

// recordOutcome adjusts the rates to the outcome of a call, and consumes the tokens of one that was sent
// without waiting. These are consumed only now, since a refused call uses nothing of the store's limits:
// charging refused calls once delayed all commits for seconds after an outage.
func (a *admission) recordOutcome(priority Priority, changes int, err error) {
	a.adjustRates(priority, changes, err)
	if !priority.immediate() || errors.Is(err, ErrRefused) {
		return
	}
	requestLimiter, changeLimiter := a.limiters()
	charge(requestLimiter, 1)
	if changes > 0 {
		charge(changeLimiter, changes)
	}
}

// adjustRates adjusts the rates to a call's outcome. An outage or a lost reply says nothing about them.
func (a *admission) adjustRates(priority Priority, changes int, err error) {
	rateLimited := errors.Is(err, ErrRateLimited)
	if err != nil && !rateLimited {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	changed := false
	if rateLimited {
		changed = a.recordRefusal(now, priority, changes)
	} else {
		changed = a.recordSuccess(now, changes)
	}
	if changed {
		a.updateLimiters()
	}
}

// recordRefusal records that a call was rate limited, and reports whether a rate has changed. The
// refusal of a call with changes counts against the rate of changes, that of any other call against the rate
// of requests. The caller holds the lock.
func (a *admission) recordRefusal(now time.Time, priority Priority, changes int) (changed bool) {
	if changes > 0 {
		return a.changes.recordRefusal(now, priority)
	}
	return a.requests.recordRefusal(now, priority)
}

// recordSuccess records that a call was not rate limited, and reports whether a rate has changed. The
// caller holds the lock.
func (a *admission) recordSuccess(now time.Time, changes int) (changed bool) {
	changed = a.requests.learned.recordSuccess(now)
	if changes > 0 && a.changes.learned.recordSuccess(now) {
		changed = true
	}
	return changed
}

// grantedRates returns how much of this node's rates is granted, in requests and in changes per
// second.
func (a *admission) grantedRates() (requests, changes float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests.grantedPerSecond(), a.changes.grantedPerSecond()
}

// grantedShares returns the fractions of this node's rates that are granted.
func (a *admission) grantedShares() (requests, changes float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests.learned.factor, a.changes.learned.factor
}

// maxChanges returns the maximum number of changes that a transaction should hold now.
func (a *admission) maxChanges() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	clusterBurst := int(a.limits.WriteRPS * a.changes.learned.factor)
	return min(a.limits.TransactionChanges, max(clusterBurst, MinChanges))
}
