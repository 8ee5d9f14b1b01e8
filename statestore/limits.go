package statestore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// refill gives both limits their full burst.
func (c *Client) refill() {
	requests, changes := c.rates()
	few, many := c.bursts()
	c.requests.refill(requests, few)
	c.changes.refill(changes, many)
}

// adjust sets the pace to what is known of the limits.
func (c *Client) adjust() {
	requests, changes := c.rates()
	few, many := c.bursts()
	c.requests.set(requests, few)
	c.changes.set(changes, many)
}

// bursts are of requests and changes: one second's worth, and a whole transaction.
func (c *Client) bursts() (requests, changes int) {
	n := float64(c.nodes)
	return max(4, int(c.limits.RPS*usedShare/n)), max(c.limits.TxnOps, int(c.limits.WriteRPS*usedShare*(1-leaderChangesShare)/n))
}

// The limits are shared out: paced is the part of them that is used at all, since
// clocks and bursts add to it, and of the changes the node that keeps the jobs'
// records has a part of its own.
const (
	usedShare          = 0.9
	leaderChangesShare = 0.15
)

// rates is this node's share of requests and changes, as far as the service leases it.
func (c *Client) rates() (requests, changes float64) {
	n := float64(c.nodes)
	changes = c.limits.WriteRPS * usedShare * (1 - leaderChangesShare) / n
	if c.leads {
		changes += c.limits.WriteRPS * usedShare * leaderChangesShare
	}
	return c.limits.RPS * usedShare / n * c.requests.learned.factor, changes * c.changes.learned.factor
}

// SetShare says how many nodes use the state service, and whether this one keeps the
// jobs' records.
func (c *Client) SetShare(nodes int, keeper bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes, c.leads = max(nodes, 1), keeper
	c.adjust()
}

// RequestRate is this node's share of the requests.
func (c *Client) RequestRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, _ := c.rates()
	return requests
}

// ChangesAvailable is how many changes could be made right now without waiting.
func (c *Client) ChangesAvailable() int {
	_, changes := c.limiters()
	return int(changes.Tokens())
}

// GrantedShare is the part of this node's share of requests and changes that the service is
// known to lease: below 1 once it has answered 429 within them.
func (c *Client) GrantedShare() (requests, changes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.learned.factor, c.changes.learned.factor
}

func (c *Client) limiters() (requests, changes *rate.Limiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.all, c.changes.all
}

// MinChanges is the fewest changes that a transaction must be able to make: a job's end
// deletes one record and writes another.
const MinChanges = 2

// MaxChanges is the most changes that a transaction should hold now: no more than the
// service leases all nodes in a second, which is the burst that it allows. It would refuse
// a larger one for ever.
func (c *Client) MaxChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(c.limits.TxnOps, max(int(c.limits.WriteRPS*c.changes.learned.factor), MinChanges))
}

// waitForTurn lets a call go out when it is its turn. Calls of Roster go at once, and so do the
// users' as long as they alone do not exceed what is granted; Part waits for what they
// leave, and Rest for what Part leaves while there is less than the settings name.
func (c *Client) waitForTurn(ctx context.Context, class Priority, n int) error {
	switch class {
	case PriorityMembership:
		return nil
	case PriorityUser:
		return c.admitUser(n)
	case PriorityBackground:
		if err := c.yieldToPart(ctx); err != nil {
			return err
		}
	}
	c.countWaiting(1)
	defer c.countWaiting(-1)
	requests, changes := c.limiters()
	if err := requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrRefused, err)
	}
	if n > 0 {
		if err := changes.WaitN(ctx, min(n, changes.Burst())); err != nil {
			return fmt.Errorf("%w: %v", ErrRefused, err)
		}
	}
	return nil
}

// admitUser refuses a user's call that the service would refuse.
func (c *Client) admitUser(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.requests.allowUser(now, 1) || n > 0 && !c.changes.allowUser(now, n) {
		return ErrRateLimited
	}
	return nil
}

func (c *Client) countWaiting(by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += by
}

// The longest that a call of Rest lets those of Part go first, and how often it looks.
const (
	yieldFor   = 2 * time.Second
	yieldEvery = 50 * time.Millisecond
)

// yieldToPart waits while the limits are scarce and calls of Part wait for their turn.
func (c *Client) yieldToPart(ctx context.Context) error {
	for end := time.Now().Add(yieldFor); time.Now().Before(end); {
		c.mu.Lock()
		first := c.waiting > 0 && (c.requests.learned.scarce() || c.changes.learned.scarce())
		c.mu.Unlock()
		if !first {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %v", ErrRefused, ctx.Err())
		case <-time.After(yieldEvery):
		}
	}
	return nil
}

// learn takes what an answer tells of the rates: a transaction is refused for its changes,
// any other call for itself.
func (c *Client) learn(changes int, err error) {
	if err != nil && !errors.Is(err, ErrRateLimited) {
		return // an outage or a lost answer tells nothing of the rates
	}
	now := time.Now()
	changed := false
	if err != nil {
		limit := c.requests
		if changes > 0 {
			limit = c.changes
		}
		changed = limit.learned.refused(now)
	} else {
		changed = c.requests.learned.passed(now)
		if changes > 0 {
			changed = c.changes.learned.passed(now) || changed
		}
	}
	if changed {
		c.adjust()
	}
}
