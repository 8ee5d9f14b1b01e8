// Package state is the paced client of the state service.
package state

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/internal/wire"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// The outcomes that callers tell apart.
var (
	// ErrRefused says that the request was not executed (429 or 503).
	ErrRefused = errors.New("state service refused")
	// ErrBusy is an ErrRefused for want of room in the limits (429): soon over.
	ErrBusy = fmt.Errorf("%w for now", ErrRefused)
	// ErrNoPermit says that the grant is over.
	ErrNoPermit = errors.New("no such grant")
	// ErrTooLarge says that a value or a transaction is beyond the limits: the same one
	// never passes.
	ErrTooLarge = errors.New("beyond the state service's limits")
	// ErrGone says that a watch is too old.
	ErrGone = errors.New("watch too old")
	// ErrUnknown says that the request may have been or may yet be executed.
	ErrUnknown = wire.ErrUnknown
)

// Conflict lists the guards that did not hold; nothing was changed.
type Conflict struct{ Failed []string }

func (c *Conflict) Error() string { return fmt.Sprintf("guards failed: %v", c.Failed) }

// Class orders the calls by how pressing they are.
type Class int

// The classes: calls of Roster and User go out at once and are paid for by the
// others, who wait for their turn.
const (
	Roster Class = iota
	User
	Part
	Rest
)

// Client calls the state service within a node's share of its limits.
type Client struct {
	call, long *wire.Client
	lim        settings.StateLimits

	mu       sync.Mutex
	nodes    int  // that share the limits
	keeper   bool // of the jobs' records
	requests *pacer
	changes  *pacer
	waiting  int // calls of Part that wait for their turn
	lastOK   time.Time
	down     bool // the last answer was 503
	counts   Counts
}

// Counts is what has been used of the limits since the last look, and what was
// refused for want of room in them.
type Counts struct{ Requests, Changes, Refused int }

// Timeout is how long a call may take.
const Timeout = 1500 * time.Millisecond

// New makes a client. It has all of the limits until Share says otherwise.
func New(dial wire.Dial, addr string, lim settings.StateLimits) *Client {
	c := &Client{call: wire.New(dial, addr, 16), long: wire.New(dial, addr, 4), lim: lim, lastOK: time.Now(), nodes: 1}
	c.requests, c.changes = newPacer(0, 0), newPacer(0, 0)
	c.refill()
	return c
}

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
	return max(4, int(c.lim.RPS*paced/n)), max(c.lim.TxnOps, int(c.lim.WriteRPS*paced*(1-merges)/n))
}

// The limits are shared out: paced is the part of them that is used at all, since
// clocks and bursts add to it, and of the changes the node that keeps the jobs'
// records has a part of its own.
const (
	paced  = 0.9
	merges = 0.15
)

// rates is this node's share of requests and changes, as far as the service grants it.
func (c *Client) rates() (requests, changes float64) {
	n := float64(c.nodes)
	changes = c.lim.WriteRPS * paced * (1 - merges) / n
	if c.keeper {
		changes += c.lim.WriteRPS * paced * merges
	}
	return c.lim.RPS * paced / n * c.requests.learned.factor, changes * c.changes.learned.factor
}

// Share says how many nodes use the state service, and whether this one keeps the
// jobs' records.
func (c *Client) Share(nodes int, keeper bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes, c.keeper = max(nodes, 1), keeper
	c.adjust()
}

// RequestRate is this node's share of the requests.
func (c *Client) RequestRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests, _ := c.rates()
	return requests
}

// Spare is how many changes could be made right now without waiting.
func (c *Client) Spare() int {
	_, changes := c.limits()
	return int(changes.Tokens())
}

// Granted is the part of this node's share of requests and changes that the service is
// known to grant: below 1 once it has answered 429 within them.
func (c *Client) Granted() (requests, changes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.learned.factor, c.changes.learned.factor
}

// Used gives the counts since the last look.
func (c *Client) Used() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	c.counts = Counts{}
	return n
}

func (c *Client) limits() (requests, changes *rate.Limiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.all, c.changes.all
}

// TxnOps is the most changes that a transaction may hold.
func (c *Client) TxnOps() int { return c.lim.TxnOps }

// MinChanges is the fewest changes that a transaction must be able to make: a job's end
// deletes one record and writes another.
const MinChanges = 2

// MaxChanges is the most changes that a transaction should hold now: no more than the
// service grants all nodes in a second, which is the burst that it allows. It would refuse
// a larger one for ever.
func (c *Client) MaxChanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(c.lim.TxnOps, max(int(c.lim.WriteRPS*c.changes.learned.factor), MinChanges))
}

// ValueBytes is the largest value, counted in the JSON form.
func (c *Client) ValueBytes() int { return int(c.lim.ValueKB * 1024) }

// Silence is how long ago the service last answered.
func (c *Client) Silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastOK)
}

// pace lets a call go out when it is its turn. Calls of Roster go at once, and so do the
// users' as long as they alone do not exceed what is granted; Part waits for what they
// leave, and Rest for what Part leaves while there is less than the settings name.
func (c *Client) pace(ctx context.Context, class Class, n int) error {
	switch class {
	case Roster:
		return nil
	case User:
		return c.paceUser(n)
	case Rest:
		if err := c.yieldToPart(ctx); err != nil {
			return err
		}
	}
	c.wait(1)
	defer c.wait(-1)
	requests, changes := c.limits()
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

// paceUser refuses a user's call that the service would refuse.
func (c *Client) paceUser(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.requests.allowUser(now, 1) || n > 0 && !c.changes.allowUser(now, n) {
		return ErrBusy
	}
	return nil
}

func (c *Client) wait(by int) {
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
	if err != nil && !errors.Is(err, ErrBusy) {
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

func (c *Client) do(ctx context.Context, class Class, changes int, method, path string, body, out any) (int, error) {
	if err := c.pace(ctx, class, changes); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	code, err := c.finish(c.call.Call(ctx, method, path, body, out))
	c.mu.Lock()
	c.learn(changes, err)
	c.counts.Requests++
	if errors.Is(err, ErrRefused) {
		c.counts.Refused++
	} else {
		c.counts.Changes += changes
	}
	c.mu.Unlock()
	if class <= User && !errors.Is(err, ErrRefused) {
		// Paid for afterwards, since what is refused is not used: a debt for it
		// once held all commits up for seconds after an outage.
		requests, paid := c.limits()
		requests.ReserveN(time.Now(), 1)
		if changes > 0 {
			paid.ReserveN(time.Now(), min(changes, paid.Burst()))
		}
	}
	return code, err
}

func (c *Client) finish(code int, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch code {
	case 429:
		return code, ErrBusy
	case 503:
		c.down = true
		return code, ErrRefused
	case 200, 404, 409, 410, 400:
		c.lastOK = time.Now()
		if c.down {
			// What was refused in an outage was not used: calls that paid for
			// it must not be held up by that once the service is back.
			c.down = false
			c.refill()
		}
		return code, nil
	}
	return code, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// Get reads a key; Stamp 0 says that it does not exist.
func (c *Client) Get(ctx context.Context, class Class, key string) (protocol.Entry, error) {
	var e protocol.Entry
	code, err := c.do(ctx, class, 0, "GET", "/store/"+key, nil, &e)
	if err != nil {
		return e, err
	}
	switch code {
	case 200:
		return e, nil
	case 404:
		return protocol.Entry{Key: key}, nil
	}
	return e, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// List reads all keys with a prefix. The epoch is that of the first page, so a
// watch from it misses nothing.
func (c *Client) List(ctx context.Context, class Class, prefix string) ([]protocol.Entry, uint64, error) {
	var all []protocol.Entry
	var epoch uint64
	since := ""
	for {
		path := "/store?under=" + url.QueryEscape(prefix) + "&most=500"
		if since != "" {
			path += "&since=" + url.QueryEscape(since)
		}
		var page protocol.EntryList
		code, err := c.do(ctx, class, 0, "GET", path, nil, &page)
		if err != nil {
			return nil, 0, err
		}
		if code != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
		}
		if epoch == 0 {
			epoch = page.Epoch
		}
		all = append(all, page.Entries...)
		if !page.HasNext || len(page.Entries) == 0 {
			return all, epoch, nil
		}
		since = page.Entries[len(page.Entries)-1].Key
	}
}

// Multi runs a transaction and returns its epoch.
func (c *Client) Multi(ctx context.Context, class Class, m protocol.Multi) (uint64, error) {
	if m.Guards == nil {
		m.Guards = []protocol.Guard{}
	}
	if m.Then == nil {
		m.Then = []protocol.Change{}
	}
	var r protocol.MultiReply
	code, err := c.do(ctx, class, len(m.Then), "POST", "/multi", m, &r)
	if err != nil {
		return 0, err
	}
	switch code {
	case 200:
		return r.Epoch, nil
	case 409:
		return r.Epoch, &Conflict{Failed: r.Failed}
	case 400:
		for _, ch := range m.Then {
			if ch.Permit != 0 {
				return 0, ErrNoPermit
			}
		}
		return 0, ErrTooLarge
	}
	return 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// Grant takes out a lease.
func (c *Client) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	var g protocol.Grant
	code, err := c.do(ctx, Roster, 0, "POST", "/grants", protocol.Grant{LifeMS: int(life.Milliseconds())}, &g)
	if err == nil && (code != 200 || g.Permit == 0) {
		err = fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return g.Permit, err
}

// Touch renews a lease.
func (c *Client) Touch(ctx context.Context, permit uint64) error {
	code, err := c.do(ctx, Roster, 0, "POST", "/grants/"+strconv.FormatUint(permit, 10)+"/touch", struct{}{}, nil)
	if err == nil && code == 404 {
		return ErrNoPermit
	}
	return err
}

// Watch waits for changes under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (protocol.WatchReply, error) {
	var r protocol.WatchReply
	if err := c.pace(ctx, Part, 0); err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+Timeout)
	defer cancel()
	path := fmt.Sprintf("/watch?under=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	code, err := c.finish(c.long.Call(ctx, "GET", path, nil, &r))
	if err != nil {
		return r, err
	}
	switch code {
	case 200:
		return r, nil
	case 410:
		return r, ErrGone
	}
	return r, fmt.Errorf("%w: status %d", ErrUnknown, code)
}
