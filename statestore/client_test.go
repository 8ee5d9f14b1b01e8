package statestore_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// A commit that was not executed, one whose guards failed and one with an unknown outcome are distinguished:
// the correctness of all callers depends on it.
func TestOutcomesOfCommits(t *testing.T) {
	executed := encode(t, protocol.TransactionReply{StoreRevision: 7})
	failed := encode(t, protocol.TransactionReply{FailedGuards: []string{"k"}, StoreRevision: 7})
	// A 400 means a missing lease only if a change is attached to one; otherwise the transaction is too large
	// and must not be retried.
	leased := protocol.Transaction{Changes: []protocol.Change{{PutKey: "k", Data: []byte(executed), LeaseID: 7}}}
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		for _, c := range []struct {
			name        string
			transaction protocol.Transaction
			reply       reply
			want        error
		}{
			{"executed", protocol.Transaction{}, reply{status: 200, body: executed}, nil},
			{"rate limited", protocol.Transaction{}, reply{status: 429}, statestore.ErrRateLimited},
			{"rate limited is refused", protocol.Transaction{}, reply{status: 429}, statestore.ErrRefused},
			{"outage", protocol.Transaction{}, reply{status: 503}, statestore.ErrRefused},
			{"lease expired", leased, reply{status: 400}, statestore.ErrLeaseExpired},
			{"too large", protocol.Transaction{}, reply{status: 400}, statestore.ErrTooLarge},
			{"malformed reply", protocol.Transaction{}, reply{status: 200, body: "nonsense"}, statestore.ErrUnknown},
			{"reply not a map", protocol.Transaction{}, reply{status: 200, body: "\x80"}, statestore.ErrUnknown},
			{"empty reply", protocol.Transaction{}, reply{status: 200}, statestore.ErrUnknown},
			{"unexpected status", protocol.Transaction{}, reply{status: 500}, statestore.ErrUnknown},
			{"time-out", protocol.Transaction{}, reply{status: 200, body: executed, delay: 3 * time.Second}, statestore.ErrUnknown},
		} {
			store.set(c.reply)
			if _, err := client.Commit(ctx, statestore.PriorityUser, c.transaction); !errors.Is(err, c.want) {
				t.Errorf("%s: %v, want %v", c.name, err, c.want)
			}
			time.Sleep(4 * time.Second)
		}
		store.set(reply{status: 409, body: failed})
		var conflict *statestore.ConflictError
		revision, err := client.Commit(ctx, statestore.PriorityUser, protocol.Transaction{})
		if !errors.As(err, &conflict) || !slices.Equal(conflict.FailedGuards, []string{"k"}) || revision != 7 {
			t.Errorf("conflict: revision %d, %v", revision, err)
		}
	})
}

// operation is one of the client's calls.
type operation struct {
	name    statestore.Operation
	key     string // CallError.Key of its errors
	request string
	call    func(ctx context.Context, client *statestore.Client) error
}

var operations = []operation{
	{statestore.OperationGet, "jobs/a", "GET /store/jobs/a", func(ctx context.Context, client *statestore.Client) error {
		_, err := client.Get(ctx, statestore.PriorityUser, "jobs/a")
		return err
	}},
	{statestore.OperationList, "jobs/", "GET /store?under=jobs%2F&most=500", func(ctx context.Context, client *statestore.Client) error {
		_, _, err := client.List(ctx, statestore.PriorityUser, "jobs/")
		return err
	}},
	{statestore.OperationCommit, "k", "POST /multi", func(ctx context.Context, client *statestore.Client) error {
		_, err := client.Commit(ctx, statestore.PriorityUser, oneChange())
		return err
	}},
	{statestore.OperationWatch, "jobs/", "GET /watch?under=jobs%2F&since=5&wait_ms=2000", func(ctx context.Context, client *statestore.Client) error {
		_, err := client.Watch(ctx, "jobs/", 5, 2*time.Second)
		return err
	}},
	{statestore.OperationGrantLease, "", "POST /grants", func(ctx context.Context, client *statestore.Client) error {
		_, err := client.GrantLease(ctx, time.Second)
		return err
	}},
	{statestore.OperationRenewLease, "17", "POST /grants/17/touch", func(ctx context.Context, client *statestore.Client) error {
		return client.RenewLease(ctx, 17)
	}},
}

// outcomes are the errors that callers distinguish.
var outcomes = []error{
	statestore.ErrRefused, statestore.ErrRateLimited, statestore.ErrLeaseExpired, statestore.ErrTooLarge,
	statestore.ErrRevisionCompacted, statestore.ErrUnknown,
}

// Each status has the same outcome for all operations, except where an operation gives it a meaning of its own.
// Each error identifies its operation and key.
func TestOutcomesOfOperations(t *testing.T) {
	notFound := map[statestore.Operation][]error{
		statestore.OperationGet:        nil,
		statestore.OperationRenewLease: {statestore.ErrLeaseExpired},
	}
	compacted := map[statestore.Operation][]error{
		statestore.OperationWatch:      {statestore.ErrRevisionCompacted},
		statestore.OperationRenewLease: nil,
	}
	tooLarge := map[statestore.Operation][]error{
		statestore.OperationCommit:     {statestore.ErrTooLarge},
		statestore.OperationRenewLease: nil,
	}
	unknown := []error{statestore.ErrUnknown}
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		for _, c := range []struct {
			name  string
			reply reply
			want  []error
			// exceptions has the outcomes of those operations whose outcomes differ from want.
			exceptions map[statestore.Operation][]error
		}{
			{"rate limited", reply{status: http.StatusTooManyRequests}, []error{statestore.ErrRefused, statestore.ErrRateLimited}, nil},
			{"outage", reply{status: http.StatusServiceUnavailable}, []error{statestore.ErrRefused}, nil},
			{"not found", reply{status: http.StatusNotFound}, unknown, notFound},
			{"compacted", reply{status: http.StatusGone}, unknown, compacted},
			{"invalid", reply{status: http.StatusBadRequest}, unknown, tooLarge},
			{"unexpected status", reply{status: http.StatusInternalServerError}, unknown, nil},
			{"malformed reply", reply{status: http.StatusOK, body: "nonsense"}, unknown, map[statestore.Operation][]error{
				statestore.OperationRenewLease: nil, // its reply body is not decoded
			}},
			{"time-out", reply{status: http.StatusOK, delay: 5 * time.Second}, unknown, nil},
			{"reply too long", reply{status: http.StatusOK, body: strings.Repeat("x", maxReplyBytes+1)}, unknown, map[statestore.Operation][]error{
				statestore.OperationWatch: {statestore.ErrRevisionCompacted, statestore.ErrUnknown},
			}},
		} {
			for _, operation := range operations {
				want, differs := c.exceptions[operation.name]
				if !differs {
					want = c.want
				}
				store.set(c.reply)
				err := operation.call(ctx, client)
				checkOutcome(t, c.name, operation, err, want)
				if sent := store.received(); !slices.Equal(sent, []string{operation.request}) {
					t.Errorf("%s: %s sends %q, want %q", c.name, operation.name, sent, operation.request)
				}
				time.Sleep(4 * time.Second)
			}
		}
	})
}

// checkOutcome fails the test unless an error has exactly the wanted outcomes, and its operation and key.
func checkOutcome(t *testing.T, name string, operation operation, err error, want []error) {
	t.Helper()
	if (err == nil) != (len(want) == 0) {
		t.Errorf("%s: %s returns %v, want %v", name, operation.name, err, want)
	}
	for _, outcome := range outcomes {
		if errors.Is(err, outcome) != slices.Contains(want, outcome) {
			t.Errorf("%s: %s returns %v, want %v", name, operation.name, err, want)
		}
	}
	if err == nil {
		return
	}
	var failed *statestore.CallError
	if !errors.As(err, &failed) || failed.Operation != operation.name || failed.Key != operation.key {
		t.Errorf("%s: error %v, want a CallError of %s %s", name, err, operation.name, operation.key)
	}
}

// The controller recognizes a watch's reply that is too long, and counts it as a limit that was reached.
func TestTooLongReplyOfWatchIsDistinguished(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: http.StatusOK, body: strings.Repeat("x", maxReplyBytes+1)})
		if _, err := client.Watch(ctx, "jobs/", 0, time.Second); !errors.Is(err, httpcall.ErrReplyTooLong) {
			t.Errorf("error %v, want ErrReplyTooLong", err)
		}
	})
}

func TestMissingKeyHasRevisionZero(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: http.StatusNotFound})
		entry, err := client.Get(ctx, statestore.PriorityUser, "jobs/a")
		if err != nil || entry.Key != "jobs/a" || entry.Revision != 0 || entry.Data != nil {
			t.Errorf("a missing key is read as %+v, %v", entry, err)
		}
	})
}

// Refused calls consume no tokens: commits after an outage are not delayed.
func TestRefusedCallsConsumeNoTokens(t *testing.T) {
	executed := encode(t, protocol.TransactionReply{StoreRevision: 7})
	transaction := protocol.Transaction{Changes: make([]protocol.Change, 16)}
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: http.StatusServiceUnavailable})
		for range 40 {
			if _, err := client.Commit(ctx, statestore.PriorityUser, transaction); !errors.Is(err, statestore.ErrRefused) {
				t.Fatal(err)
			}
		}
		store.set(reply{status: http.StatusOK, body: executed})
		start := time.Now()
		for range 2 {
			if _, err := client.Commit(ctx, statestore.PriorityPlacement, transaction); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("two commits after the outage took %v, want at most 2s", took)
		}
	})
}

// Calls that wait for the limiters consume tokens before they are sent. Tokens consumed during an outage are
// restored after it, so that they do not delay other calls.
func TestTokensConsumedInOutageAreRestored(t *testing.T) {
	executed := encode(t, protocol.TransactionReply{StoreRevision: 7})
	transaction := protocol.Transaction{Changes: make([]protocol.Change, nominalLimits.TransactionChanges)}
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: http.StatusServiceUnavailable})
		for range 3 {
			if _, err := client.Commit(ctx, statestore.PriorityPlacement, transaction); !errors.Is(err, statestore.ErrRefused) {
				t.Fatal(err)
			}
		}
		store.set(reply{status: http.StatusOK, body: executed})
		if err := client.RenewLease(ctx, 1); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := client.Commit(ctx, statestore.PriorityPlacement, transaction); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("the first commit after the outage took %v, want at most 100ms", took)
		}
	})
}

// All requests are counted, whatever their outcome, but changes only if they may have been made.
func TestMetricsCountUseOfLimits(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		for _, status := range []int{http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
			store.set(reply{status: status})
			if _, err := client.Commit(ctx, statestore.PriorityUser, oneChange()); err == nil {
				t.Errorf("a commit succeeded with status %d", status)
			}
		}
		want := statestore.Metrics{Requests: 4, Changes: 2, Refused: 2}
		if got := client.SnapshotAndResetMetrics(); got != want {
			t.Errorf("metrics are %+v, want %+v", got, want)
		}
		if got := client.SnapshotAndResetMetrics(); got != (statestore.Metrics{}) {
			t.Errorf("metrics after a reset are %+v, want zeros", got)
		}
	})
}

// Only a reply to a call that the store has handled shows that it is available.
func TestRefusalsDoNotCountAsReplies(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		for _, c := range []struct {
			status  int
			handled bool
		}{
			{http.StatusTooManyRequests, false},
			{http.StatusServiceUnavailable, false},
			{http.StatusInternalServerError, false},
			{http.StatusNotFound, true},
		} {
			time.Sleep(10 * time.Second)
			store.set(reply{status: c.status})
			_, _ = client.Get(ctx, statestore.PriorityMembership, "k")
			if handled := client.SinceLastReply() < time.Second; handled != c.handled {
				t.Errorf("status %d: %v since the last reply, counts as handled: want %v", c.status, client.SinceLastReply(), c.handled)
			}
		}
	})
}
