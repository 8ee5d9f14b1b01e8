// Package statestore is the client of the consensus-backed key-value store: reads, compare-and-swap
// transactions, leases and watches. It keeps a node within its share of the store's rate limits, lowers its
// rates when the store grants less, and sends urgent calls first.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// CallTimeout is the timeout of a call from when it is sent. For a watch, its wait time is added.
const CallTimeout = 1500 * time.Millisecond

// The maximum numbers of connections to the store. Watches have separate connections, since each occupies
// one while it waits.
const (
	maxCallConnections  = 16
	maxWatchConnections = 4
)

// The paths of the store's API.
const (
	entriesPath      = "/store"
	transactionsPath = "/multi"
	leasesPath       = "/grants"
	watchPath        = "/watch"
)

// listPageSize is the maximum number of entries on a page of a list.
const listPageSize = 500

// Client calls the key-value store within a node's share of its limits. It is safe for concurrent use:
// each component has its own lock and never acquires another one while holding it.
type Client struct {
	callClient, watchClient *httpcall.Client
	limits                  settings.StoreLimits
	admission               *admission
	availability            *availability
	usage                   usage
}

// New creates a client of the store at an address (host and port) that accepts replies of at most
// maxReplyBytes. A nil dial uses TCP. Until SetShare is called, the client has the share of a single node.
func New(dial httpcall.Dial, address string, limits settings.StoreLimits, maxReplyBytes int) *Client {
	newHTTPClient := func(maxConnections int) *httpcall.Client {
		return httpcall.New(dial, address, httpcall.Limits{MaxConnections: maxConnections, MaxReplyBytes: maxReplyBytes})
	}
	return &Client{
		callClient:   newHTTPClient(maxCallConnections),
		watchClient:  newHTTPClient(maxWatchConnections),
		limits:       limits,
		admission:    newAdmission(limits),
		availability: newAvailability(),
	}
}

// SetShare sets how the nodes share the store's limits.
func (c *Client) SetShare(share Share) { c.admission.setShare(share) }

// RequestRate returns how much of this node's request rate is granted, in requests per second.
func (c *Client) RequestRate() float64 {
	requests, _ := c.admission.grantedRates()
	return requests
}

// ChangeRate returns how much of this node's change rate is granted, in changes per second.
func (c *Client) ChangeRate() float64 {
	_, changes := c.admission.grantedRates()
	return changes
}

// GrantedShare returns the fractions of this node's request rate and change rate that the store is known to
// grant: below 1 once it has rate limited calls that were within the node's share.
func (c *Client) GrantedShare() (requests, changes float64) { return c.admission.grantedShares() }

// ChangesAvailable returns how many changes can be made now without waiting.
func (c *Client) ChangesAvailable() int {
	_, changes := c.admission.limiters()
	return int(changes.Tokens())
}

// MaxChanges returns the maximum number of changes that a transaction should hold now: the configured limit,
// or, if that is less, what the store grants to all nodes in a second, but at least MinChanges. The store
// allows bursts of that size, and would refuse a larger transaction on every retry.
func (c *Client) MaxChanges() int { return c.admission.maxChanges() }

// TransactionChangeLimit returns the maximum number of changes that the store allows in a transaction.
func (c *Client) TransactionChangeLimit() int { return c.limits.TransactionChanges }

// ValueByteLimit returns the maximum size of a value, measured in its JSON form.
func (c *Client) ValueByteLimit() int { return int(c.limits.ValueKB * 1024) }

// SinceLastReply returns the time since the store last handled a call.
func (c *Client) SinceLastReply() time.Duration { return c.availability.sinceLastReply() }

// SnapshotAndResetMetrics returns the counts since its last call.
func (c *Client) SnapshotAndResetMetrics() Metrics { return c.usage.snapshotAndReset() }

// Get reads a key. The entry of a key that does not exist has revision 0.
func (c *Client) Get(ctx context.Context, priority Priority, key string) (protocol.Entry, error) {
	get := call{operation: OperationGet, key: key, priority: priority, method: http.MethodGet, path: entriesPath + "/" + key}
	var entry protocol.Entry
	status, err := c.do(ctx, get, &entry)
	if err != nil {
		return protocol.Entry{}, err
	}
	switch status {
	case http.StatusOK:
		return entry, nil
	case http.StatusNotFound:
		return protocol.Entry{Key: key}, nil
	default:
		return protocol.Entry{}, get.wrapError(unexpectedStatus(status))
	}
}

// List reads all keys with a prefix, page by page. The revision is that of the first page, so that a watch
// from it misses nothing.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) (entries []protocol.Entry, revision uint64, err error) {
	after := "" // the last key of the previous page
	for {
		page, err := c.listPage(ctx, priority, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.StoreRevision
		}
		entries = append(entries, page.Entries...)
		if !page.HasNext || len(page.Entries) == 0 {
			return entries, revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

func (c *Client) listPage(ctx context.Context, priority Priority, prefix, after string) (protocol.EntryList, error) {
	path := fmt.Sprintf("%s?under=%s&most=%d", entriesPath, url.QueryEscape(prefix), listPageSize)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	list := call{operation: OperationList, key: prefix, priority: priority, method: http.MethodGet, path: path}
	var page protocol.EntryList
	status, err := c.do(ctx, list, &page)
	if err != nil {
		return protocol.EntryList{}, err
	}
	if status != http.StatusOK {
		return protocol.EntryList{}, list.wrapError(unexpectedStatus(status))
	}
	return page, nil
}

// Commit executes a compare-and-swap transaction and returns the store's revision, also when it fails with a
// *ConflictError.
func (c *Client) Commit(ctx context.Context, priority Priority, transaction protocol.Transaction) (uint64, error) {
	transaction = withoutNilLists(transaction)
	commit := call{
		operation: OperationCommit, key: firstKey(transaction), priority: priority, changes: len(transaction.Changes),
		method: http.MethodPost, path: transactionsPath, message: transaction,
	}
	var reply protocol.TransactionReply
	status, err := c.do(ctx, commit, &reply)
	if err != nil {
		return 0, err
	}
	switch status {
	case http.StatusOK:
		return reply.StoreRevision, nil
	case http.StatusConflict:
		return reply.StoreRevision, &ConflictError{FailedGuards: reply.FailedGuards}
	case http.StatusBadRequest:
		return 0, commit.wrapError(badRequestCause(transaction))
	default:
		return 0, commit.wrapError(unexpectedStatus(status))
	}
}

// withoutNilLists replaces nil lists by empty ones, which the store requires.
func withoutNilLists(transaction protocol.Transaction) protocol.Transaction {
	if transaction.Guards == nil {
		transaction.Guards = []protocol.Guard{}
	}
	if transaction.Changes == nil {
		transaction.Changes = []protocol.Change{}
	}
	return transaction
}

// firstKey returns the key that identifies a transaction in errors.
func firstKey(transaction protocol.Transaction) string {
	if len(transaction.Changes) > 0 {
		change := transaction.Changes[0]
		if change.PutKey != "" {
			return change.PutKey
		}
		return change.DeleteKey
	}
	if len(transaction.Guards) > 0 {
		return transaction.Guards[0].Key
	}
	return ""
}

// badRequestCause returns why the store replied to a transaction with status 400. A transaction that attaches
// a key to a lease fails because the lease has expired; any other exceeds the store's limits.
func badRequestCause(transaction protocol.Transaction) error {
	for _, change := range transaction.Changes {
		if change.LeaseID != 0 {
			return ErrLeaseExpired
		}
	}
	return ErrTooLarge
}

// GrantLease creates a lease and returns its ID.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	grant := call{
		operation: OperationGrantLease, priority: PriorityMembership,
		method: http.MethodPost, path: leasesPath, message: protocol.Lease{TTLMS: int(ttl.Milliseconds())},
	}
	var lease protocol.Lease
	status, err := c.do(ctx, grant, &lease)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK || lease.ID == 0 {
		return 0, grant.wrapError(unexpectedStatus(status))
	}
	return lease.ID, nil
}

// RenewLease extends a lease to its full time to live, or fails with ErrLeaseExpired.
func (c *Client) RenewLease(ctx context.Context, leaseID uint64) error {
	id := strconv.FormatUint(leaseID, 10)
	renew := call{
		operation: OperationRenewLease, key: id, priority: PriorityMembership,
		method: http.MethodPost, path: leasesPath + "/" + id + "/touch", message: struct{}{},
	}
	status, err := c.do(ctx, renew, nil)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound {
		return renew.wrapError(ErrLeaseExpired)
	}
	return nil
}

// Watch waits for changes under a prefix after a revision, and returns as soon as there are any or when the
// wait time is over. After ErrRevisionCompacted, the prefix has to be listed again. A watch is admitted like a
// call of PriorityPlacement, but affects neither the metrics nor the learned rates.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (protocol.WatchReply, error) {
	path := fmt.Sprintf("%s?under=%s&since=%d&wait_ms=%d", watchPath, url.QueryEscape(prefix), since, wait.Milliseconds())
	watch := call{operation: OperationWatch, key: prefix, priority: PriorityPlacement, method: http.MethodGet, path: path}
	if err := c.admission.admit(ctx, watch.priority, watch.changes); err != nil {
		return protocol.WatchReply{}, watch.wrapError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	var reply protocol.WatchReply
	status, err := c.send(ctx, c.watchClient, watch, &reply)
	if errors.Is(err, httpcall.ErrReplyTooLong) {
		// The changes since this revision are too many for one reply, so that the watch cannot continue
		// from it. The caller has to list the prefix again, as after a compaction. A list does not
		// run into the limit on a reply, since it is read in pages.
		return protocol.WatchReply{}, watch.wrapError(fmt.Errorf("%w: %w", ErrRevisionCompacted, err))
	}
	if err != nil {
		return protocol.WatchReply{}, watch.wrapError(err)
	}
	switch status {
	case http.StatusOK:
		return reply, nil
	case http.StatusGone:
		return protocol.WatchReply{}, watch.wrapError(ErrRevisionCompacted)
	default:
		return protocol.WatchReply{}, watch.wrapError(unexpectedStatus(status))
	}
}
