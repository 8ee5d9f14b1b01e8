// Package statestore is the client of the state service. It keeps a node within its share of
// the service's limits, and learns when less is granted.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// The outcomes that callers tell apart.
var (
	// ErrRefused says that the request was not executed (429 or 503).
	ErrRefused = errors.New("state service refused")
	// ErrRateLimited is an ErrRefused for want of room in the limits (429): soon over.
	ErrRateLimited = fmt.Errorf("%w for now", ErrRefused)
	// ErrLeaseExpired says that the lease is over.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrTooLarge says that a value or a transaction is beyond the limits: the same one
	// never passes.
	ErrTooLarge = errors.New("beyond the state service's limits")
	// ErrRevisionCompacted says that a watch is too old.
	ErrRevisionCompacted = errors.New("watch too old")
	// ErrUnknown says that the request may have been or may yet be executed.
	ErrUnknown = httpcall.ErrUnknown
)

// ConflictError lists the guards that did not hold; nothing was changed.
type ConflictError struct{ FailedGuards []string }

// Error names the guards.
func (c *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", c.FailedGuards) }

// Priority orders the calls by how pressing they are.
type Priority int

// The priorities, the most pressing first. Calls of the first two go out at once and are paid
// for by the others, who wait for their turn.
const (
	PriorityMembership Priority = iota // leases and the view
	PriorityUser                       // users' calls
	PriorityPlacement                  // placements, completions, messages
	PriorityBackground
)

// Client calls the state service within a node's share of its limits.
type Client struct {
	calls, watches *httpcall.Client
	limits         settings.StoreLimits

	mu       sync.Mutex
	nodes    int  // that share the limits
	leads    bool // and so keeps the jobs' records
	requests *pacer
	changes  *pacer
	waiting  int // calls of PriorityPlacement that wait for their turn
	lastOK   time.Time
	outage   bool // the last answer was 503
	metrics  Metrics
}

// Metrics is what has been used of the limits since the last look, and what was
// refused for want of room in them.
type Metrics struct{ Requests, Changes, Refused int }

// CallTimeout is how long a call may take.
const CallTimeout = 1500 * time.Millisecond

// New makes a client that takes answers of at most so many bytes. It has all of the limits
// until SetShare says otherwise.
func New(dial httpcall.Dial, addr string, limits settings.StoreLimits, maxReply int) *Client {
	c := &Client{calls: httpcall.New(dial, addr, 16, maxReply), watches: httpcall.New(dial, addr, 4, maxReply), limits: limits, lastOK: time.Now(), nodes: 1}
	c.requests, c.changes = newPacer(0, 0), newPacer(0, 0)
	c.refill()
	return c
}

// SnapshotAndResetMetrics gives the counts since the last look.
func (c *Client) SnapshotAndResetMetrics() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.metrics
	c.metrics = Metrics{}
	return n
}

// TransactionChanges is the most changes that a transaction may hold.
func (c *Client) TransactionChanges() int { return c.limits.TransactionChanges }

// ValueBytes is the largest value, counted in the JSON form.
func (c *Client) ValueBytes() int { return int(c.limits.ValueKB * 1024) }

// SinceLastAnswer is how long ago the service last answered.
func (c *Client) SinceLastAnswer() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.lastOK)
}

// do makes a call of so many changes and takes from its answer what it tells of the limits.
func (c *Client) do(ctx context.Context, priority Priority, changes int, method, path string, body, out any) (int, error) {
	if err := c.waitForTurn(ctx, priority, changes); err != nil {
		return 0, err
	}
	c.recordSent(changes)
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	code, err := c.outcome(c.calls.Call(ctx, method, path, body, out))
	c.mu.Lock()
	c.observeOutcome(priority, changes, err)
	c.metrics.Requests++
	if errors.Is(err, ErrRefused) {
		c.metrics.Refused++
	} else {
		c.metrics.Changes += changes
	}
	c.mu.Unlock()
	if priority <= PriorityUser && !errors.Is(err, ErrRefused) {
		// Paid for afterwards, since what is refused is not used: a debt for it
		// once held all commits up for seconds after an outage.
		requests, paid := c.limiters()
		requests.ReserveN(time.Now(), 1)
		if changes > 0 {
			paid.ReserveN(time.Now(), min(changes, paid.Burst()))
		}
	}
	return code, err
}

func (c *Client) outcome(code int, err error) (int, error) {
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch code {
	case 429:
		return code, ErrRateLimited
	case 503:
		c.outage = true
		return code, ErrRefused
	case 200, 404, 409, 410, 400:
		c.lastOK = time.Now()
		if c.outage {
			// What was refused in an outage was not used: calls that paid for
			// it must not be held up by that once the service is back.
			c.outage = false
			c.refill()
		}
		return code, nil
	}
	return code, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// Get reads a key; Stamp 0 says that it does not exist.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (protocol.Entry, error) {
	var e protocol.Entry
	code, err := c.do(ctx, priority, 0, http.MethodGet, "/store/"+key, nil, &e)
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

// List reads all keys with a prefix. The revision is that of the first page, so a
// watch from it misses nothing.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) ([]protocol.Entry, uint64, error) {
	var all []protocol.Entry
	var epoch uint64
	since := ""
	for {
		path := "/store?under=" + url.QueryEscape(prefix) + "&most=500"
		if since != "" {
			path += "&since=" + url.QueryEscape(since)
		}
		var page protocol.EntryList
		code, err := c.do(ctx, priority, 0, http.MethodGet, path, nil, &page)
		if err != nil {
			return nil, 0, err
		}
		if code != 200 {
			return nil, 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
		}
		if epoch == 0 {
			epoch = page.StoreRevision
		}
		all = append(all, page.Entries...)
		if !page.HasNext || len(page.Entries) == 0 {
			return all, epoch, nil
		}
		since = page.Entries[len(page.Entries)-1].Key
	}
}

// Commit runs a transaction and returns its revision.
func (c *Client) Commit(ctx context.Context, priority Priority, m protocol.Transaction) (uint64, error) {
	if m.Guards == nil {
		m.Guards = []protocol.Guard{}
	}
	if m.Changes == nil {
		m.Changes = []protocol.Change{}
	}
	var r protocol.TransactionReply
	code, err := c.do(ctx, priority, len(m.Changes), http.MethodPost, "/multi", m, &r)
	if err != nil {
		return 0, err
	}
	switch code {
	case 200:
		return r.StoreRevision, nil
	case 409:
		return r.StoreRevision, &ConflictError{FailedGuards: r.FailedGuards}
	case 400:
		for _, ch := range m.Changes {
			if ch.LeaseID != 0 {
				return 0, ErrLeaseExpired
			}
		}
		return 0, ErrTooLarge
	}
	return 0, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// GrantLease takes out a lease.
func (c *Client) GrantLease(ctx context.Context, life time.Duration) (uint64, error) {
	var g protocol.Lease
	code, err := c.do(ctx, PriorityMembership, 0, http.MethodPost, "/grants", protocol.Lease{TTLMS: int(life.Milliseconds())}, &g)
	if err == nil && (code != 200 || g.ID == 0) {
		err = fmt.Errorf("%w: status %d", ErrUnknown, code)
	}
	return g.ID, err
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, permit uint64) error {
	code, err := c.do(ctx, PriorityMembership, 0, http.MethodPost, "/grants/"+strconv.FormatUint(permit, 10)+"/touch", struct{}{}, nil)
	if err == nil && code == 404 {
		return ErrLeaseExpired
	}
	return err
}

// Watch waits for changes under a prefix.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (protocol.WatchReply, error) {
	var r protocol.WatchReply
	if err := c.waitForTurn(ctx, PriorityPlacement, 0); err != nil {
		return r, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	path := fmt.Sprintf("/watch?under=%s&since=%d&wait_ms=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	code, err := c.outcome(c.watches.Call(ctx, http.MethodGet, path, nil, &r))
	if errors.Is(err, httpcall.ErrReplyTooLong) {
		return r, fmt.Errorf("%w: %w", ErrRevisionCompacted, err) // lists come in pages
	}
	if err != nil {
		return r, err
	}
	switch code {
	case 200:
		return r, nil
	case 410:
		return r, ErrRevisionCompacted
	}
	return r, fmt.Errorf("%w: status %d", ErrUnknown, code)
}
