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
	requests = max(minRequestBurst, int(c.limits.RPS*usedShare/n))
	changes = max(c.limits.TransactionChanges, int(c.limits.WriteRPS*usedShare*(1-leaderChangesShare)/n))
	return requests, changes
}

// The limits are shared out among the nodes.
const (
	// usedShare is how much of them is used at all, since clocks and bursts add to it.
	usedShare = 0.9
	// leaderChangesShare is the leader's own part of the changes: it keeps the jobs' records.
	leaderChangesShare = 0.15
	minRequestBurst    = 4
)

// rates is this node's share of requests and changes.
func (c *Client) rates() (requests, changes float64) {
	n := float64(c.nodes)
	changes = c.limits.WriteRPS * usedShare * (1 - leaderChangesShare) / n
	if c.leads {
		changes += c.limits.WriteRPS * usedShare * leaderChangesShare
	}
	return c.limits.RPS * usedShare / n, changes
}

// SetShare says how many nodes use the state service, and whether this one leads.
func (c *Client) SetShare(nodes int, leads bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes, c.leads = max(nodes, 1), leads
	c.adjust()
}

// RequestRate is this node's share of the requests, as far as it is granted.
func (c *Client) RequestRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, _ := c.rates()
	return requests * c.requests.learned.factor
}

// ChangeRate is this node's share of the changes, as far as it is granted.
func (c *Client) ChangeRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, changes := c.rates()
	return changes * c.changes.learned.factor
}

// recordSent counts a call that goes out.
func (c *Client) recordSent(changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.requests.recordSent(now, 1)
	if changes > 0 {
		c.changes.recordSent(now, changes)
	}
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
// service grants all nodes in a second, which is the burst that it allows. It would refuse
// a larger one for ever.
func (c *Client) MaxChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(c.limits.TransactionChanges, max(int(c.limits.WriteRPS*c.changes.learned.factor), MinChanges))
}

// waitForTurn waits until a call may go out. Calls of PriorityMembership go at once, and so do the
// users' as long as they alone do not exceed what is granted; PriorityPlacement waits for what they
// leave, and PriorityBackground for what that leaves while there is less than the settings name.
func (c *Client) waitForTurn(ctx context.Context, priority Priority, n int) error {
	switch priority {
	case PriorityMembership:
		return nil
	case PriorityUser:
		return c.admitUser(n)
	case PriorityBackground:
		if err := c.yieldToPlacement(ctx); err != nil {
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

// The longest that a call of PriorityBackground lets those of PriorityPlacement go first, and how often it looks.
const (
	yieldFor   = 2 * time.Second
	yieldEvery = 50 * time.Millisecond
)

// yieldToPlacement waits while the limits are scarce and placements wait for their turn.
func (c *Client) yieldToPlacement(ctx context.Context) error {
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

// observeOutcome takes what an answer tells of the rates: a transaction is refused for its changes,
// any other call for itself.
func (c *Client) observeOutcome(priority Priority, changes int, err error) {
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
		changed = limit.recordRefusal(now, priority)
	} else {
		changed = c.requests.learned.recordSuccess(now)
		if changes > 0 {
			changed = c.changes.learned.recordSuccess(now) || changed
		}
	}
	if changed {
		c.adjust()
	}
}
