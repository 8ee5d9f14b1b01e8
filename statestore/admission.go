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

// The priorities, the most urgent first. Calls of the first two are sent at once and paid for by the
// others, who wait for their turn.
const (
	PriorityMembership Priority = iota // leases and the view
	PriorityUser                       // users' calls
	PriorityPlacement                  // placements, completions, messages
	PriorityBackground                 // all that can be late
)

// immediate reports whether calls of a priority are sent without waiting for their turn.
func (p Priority) immediate() bool { return p <= PriorityUser }

// The longest that a call of PriorityBackground lets others go first, and how often it looks.
const (
	yieldTimeout  = 2 * time.Second
	yieldInterval = 50 * time.Millisecond
)

// MinChanges is the fewest changes that a transaction must be able to hold: at a job's end one record is
// deleted and another written.
const MinChanges = 2

// admission decides when a call may be sent, by the node's share of the store's limits, by what the store
// is known to grant of it, and by the call's priority.
type admission struct {
	limits settings.StateLimits

	// mu guards all below. It is not held while a call waits for its turn.
	mu       sync.Mutex
	share    Share
	requests *pacer
	changes  *pacer
	waiting  int // calls that wait for their turn, beside those that yield
}

// newAdmission has all of the limits until setShare says otherwise.
func newAdmission(limits settings.StateLimits) *admission {
	share := Share{Nodes: 1}
	return &admission{
		limits:   limits,
		share:    share,
		requests: newPacer(share.requests(limits)),
		changes:  newPacer(share.changes(limits)),
	}
}

func (a *admission) setShare(share Share) {
	a.mu.Lock()
	defer a.mu.Unlock()
	share.Nodes = max(share.Nodes, 1)
	a.share = share
	a.requests.nominal = share.requests(a.limits)
	a.changes.nominal = share.changes(a.limits)
	a.apply()
}

// apply sets the pace to what is known of the limits. The caller holds the lock.
func (a *admission) apply() {
	a.requests.apply()
	a.changes.apply()
}

// refill grants full bursts and drops all debts. Calls refused in an outage used nothing of the limits:
// what was paid for them must not hold others up once the store is back.
func (a *admission) refill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests.refill()
	a.changes.refill()
}

// admit returns once a call with a number of changes may be sent. Calls of PriorityMembership may at once, and
// so may the users' as long as they alone do not exceed what is granted; PriorityPlacement waits for what
// they leave, and PriorityBackground for what that leaves while less is granted than the settings name.
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
	return a.waitForTurn(ctx, changes)
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

// waitForTurn waits until the rates allow a call, and pays for it.
func (a *admission) waitForTurn(ctx context.Context, changes int) error {
	a.beginWaiting()
	defer a.endWaiting()
	requestLimiter, changeLimiter := a.limiters()
	if err := requestLimiter.Wait(ctx); err != nil {
		return noTurn(err)
	}
	if changes > 0 {
		if err := changeLimiter.WaitN(ctx, min(changes, changeLimiter.Burst())); err != nil {
			return noTurn(err)
		}
	}
	return nil
}

// noTurn is the failure of a call whose turn did not come before the end of its context.
func noTurn(err error) error { return fmt.Errorf("%w: no turn: %w", ErrRefused, err) }

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

// limiters returns the limiters that calls are paid from; a refill replaces them.
func (a *admission) limiters() (requests, changes *rate.Limiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests.all, a.changes.all
}

// yieldToPlacement waits, up to yieldTimeout, while the limits are scarce and others wait for their turn.
func (a *admission) yieldToPlacement(ctx context.Context) error {
	for end := time.Now().Add(yieldTimeout); time.Now().Before(end); {
		if !a.mustYield() {
			return nil
		}
		select {
		case <-ctx.Done():
			return noTurn(ctx.Err())
		case <-time.After(yieldInterval):
		}
	}
	return nil
}

func (a *admission) mustYield() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting > 0 && (a.requests.learned.scarce() || a.changes.learned.scarce())
}

// recordSent counts a call that is sent.
func (a *admission) recordSent(changes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.requests.recordSent(now, 1)
	if changes > 0 {
		a.changes.recordSent(now, changes)
	}
}

// recordOutcome learns from the outcome of a call that was sent, and charges one that was sent at once.
// It is charged afterwards, since a refused call uses nothing: a debt for it once held all commits up for
// seconds after an outage.
func (a *admission) recordOutcome(priority Priority, changes int, err error) {
	a.learn(priority, changes, err)
	if !priority.immediate() || errors.Is(err, ErrRefused) {
		return
	}
	requestLimiter, changeLimiter := a.limiters()
	charge(requestLimiter, 1)
	if changes > 0 {
		charge(changeLimiter, changes)
	}
}

// learn adjusts the rates to a call's outcome. An outage or a lost reply proves nothing about them.
func (a *admission) learn(priority Priority, changes int, err error) {
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
		a.apply()
	}
}

// recordRefusal records that a call was rate limited, and reports whether a rate has changed. A
// transaction is refused for its changes, any other call as a request. The caller holds the lock.
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

// grantedRates are this node's shares as far as they are granted, in requests and in changes a second.
func (a *admission) grantedRates() (requests, changes float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests.grantedPerSecond(), a.changes.grantedPerSecond()
}

// grantedShares are the parts of this node's shares that are granted.
func (a *admission) grantedShares() (requests, changes float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests.learned.factor, a.changes.learned.factor
}

// maxChanges is the most changes that a transaction should hold now.
func (a *admission) maxChanges() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	burstOfAllNodes := int(a.limits.WriteRPS * a.changes.learned.factor)
	return min(a.limits.TxnOps, max(burstOfAllNodes, MinChanges))
}
