// Package statestore is the client of the consensus-backed key-value store: reads, compare-and-swap
// transactions, leases and watches. It keeps a node within its share of the store's limits, learns when
// less is granted, and sends urgent calls first.
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

// CallTimeout is how long a call may take once it is sent. A watch may take as much longer as it waits.
const CallTimeout = 1500 * time.Millisecond

// The connections to the store. Watches have their own, since they hold them.
const (
	callConnections  = 16
	watchConnections = 4
)

// The paths of the store's API.
const (
	entriesPath      = "/store"
	transactionsPath = "/multi"
	leasesPath       = "/grants"
	watchPath        = "/watch"
)

// listPageSize is the most entries on a page of a list.
const listPageSize = 500

// Client calls the key-value store within a node's share of its limits. It is safe for concurrent use:
// its parts have a lock each, and none takes another one while holding its own.
type Client struct {
	calls, watches *httpcall.Client
	limits         settings.StateLimits
	admission      *admission
	availability   *availability
	usage          usage
}

// New makes a client of the store at an address, host and port, that takes replies of at most
// maxReplyBytes. A nil dial is TCP's. The client has all of the limits until SetShare says otherwise.
func New(dial httpcall.Dial, address string, limits settings.StateLimits, maxReplyBytes int) *Client {
	connect := func(connections int) *httpcall.Client {
		return httpcall.New(dial, address, httpcall.Limits{Connections: connections, ReplyBytes: maxReplyBytes})
	}
	return &Client{
		calls:        connect(callConnections),
		watches:      connect(watchConnections),
		limits:       limits,
		admission:    newAdmission(limits),
		availability: newAvailability(),
	}
}

// SetShare sets how the store's limits are shared.
func (c *Client) SetShare(share Share) { c.admission.setShare(share) }

// RequestRate is this node's share of the requests, as far as it is granted, in requests a second.
func (c *Client) RequestRate() float64 {
	requests, _ := c.admission.grantedRates()
	return requests
}

// ChangeRate is this node's share of the changes, as far as it is granted, in changes a second.
func (c *Client) ChangeRate() float64 {
	_, changes := c.admission.grantedRates()
	return changes
}

// GrantedShare is the part of this node's share of requests and of changes that the store is known to
// grant: below 1 once it has rate limited calls within the share.
func (c *Client) GrantedShare() (requests, changes float64) { return c.admission.grantedShares() }

// ChangesAvailable is how many changes could be made right now without waiting.
func (c *Client) ChangesAvailable() int {
	_, changes := c.admission.limiters()
	return int(changes.Tokens())
}

// MaxChanges is the most changes that a transaction should hold now: no more than the store grants all
// nodes in a second, which is the burst that it allows. It would refuse a larger one for ever.
func (c *Client) MaxChanges() int { return c.admission.maxChanges() }

// TransactionChangeLimit is the most changes that the store allows in a transaction.
func (c *Client) TransactionChangeLimit() int { return c.limits.TxnOps }

// ValueByteLimit is the size of the largest value, counted in its JSON form.
func (c *Client) ValueByteLimit() int { return int(c.limits.ValueKB * 1024) }

// SinceLastReply is how long ago the store last handled a call.
func (c *Client) SinceLastReply() time.Duration { return c.availability.sinceLastReply() }

// SnapshotAndResetMetrics returns the counts since its last call.
func (c *Client) SnapshotAndResetMetrics() Metrics { return c.usage.snapshotAndReset() }

// Get reads a key. Revision 0 says that it does not exist.
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
		return protocol.Entry{}, get.failed(unexpectedStatus(status))
	}
}

// List reads all keys with a prefix, page by page. The revision is that of the first page, so that a watch
// from it misses nothing.
func (c *Client) List(ctx context.Context, priority Priority, prefix string) (entries []protocol.Entry, revision uint64, err error) {
	after := "" // the last key of the page before
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
		return protocol.EntryList{}, list.failed(unexpectedStatus(status))
	}
	return page, nil
}

// Commit runs a compare-and-swap transaction and returns the store's revision, also with a *ConflictError.
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
		return 0, commit.failed(rejection(transaction))
	default:
		return 0, commit.failed(unexpectedStatus(status))
	}
}

// withoutNilLists makes lists that are encoded as empty ones, which the store requires.
func withoutNilLists(transaction protocol.Transaction) protocol.Transaction {
	if transaction.Guards == nil {
		transaction.Guards = []protocol.Guard{}
	}
	if transaction.Changes == nil {
		transaction.Changes = []protocol.Change{}
	}
	return transaction
}

// firstKey is the key that names a transaction in errors.
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

// rejection says why the store found a transaction invalid. Only one that attaches a value to a lease can
// lack the lease; any other is beyond the limits.
func rejection(transaction protocol.Transaction) error {
	for _, change := range transaction.Changes {
		if change.LeaseID != 0 {
			return ErrLeaseExpired
		}
	}
	return ErrTooLarge
}

// GrantLease takes out a lease and returns its ID.
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
		return 0, grant.failed(unexpectedStatus(status))
	}
	return lease.ID, nil
}

// RenewLease renews a lease for its whole time to live, or fails with ErrLeaseExpired.
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
		return renew.failed(ErrLeaseExpired)
	}
	return nil
}

// Watch waits for changes under a prefix after a revision, and returns those that came when there are any
// or the wait is over. With ErrRevisionCompacted, the prefix is to be listed again. A watch waits for its
// turn like a call of PriorityPlacement, but counts neither in the metrics nor for the learned rates.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) (protocol.WatchReply, error) {
	path := fmt.Sprintf("%s?under=%s&since=%d&wait_ms=%d", watchPath, url.QueryEscape(prefix), since, wait.Milliseconds())
	watch := call{operation: OperationWatch, key: prefix, priority: PriorityPlacement, method: http.MethodGet, path: path}
	if err := c.admission.admit(ctx, watch.priority, watch.changes); err != nil {
		return protocol.WatchReply{}, watch.failed(err)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	var reply protocol.WatchReply
	status, err := c.send(ctx, c.watches, watch, &reply)
	if errors.Is(err, httpcall.ErrReplyTooLong) {
		// Lists come in pages and have no such limit.
		return protocol.WatchReply{}, watch.failed(fmt.Errorf("%w: %w", ErrRevisionCompacted, err))
	}
	if err != nil {
		return protocol.WatchReply{}, watch.failed(err)
	}
	switch status {
	case http.StatusOK:
		return reply, nil
	case http.StatusGone:
		return protocol.WatchReply{}, watch.failed(ErrRevisionCompacted)
	default:
		return protocol.WatchReply{}, watch.failed(unexpectedStatus(status))
	}
}
