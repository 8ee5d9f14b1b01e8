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

// What was surely not executed, what failed its guards, and what nobody knows are distinguished: all else
// rests on that.
func TestOutcomesOfCommits(t *testing.T) {
	executed := encode(t, protocol.TransactionReply{StoreRevision: 7})
	failed := encode(t, protocol.TransactionReply{FailedGuards: []string{"k"}, StoreRevision: 7})
	// Only a change that is attached to a lease can lack it; any other 400 is for the size, and is not
	// sent again.
	leased := protocol.Transaction{Changes: []protocol.Change{{PutKey: "k", Data: []byte(executed), LeaseID: 7}}}
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		for _, c := range []struct {
			name        string
			transaction protocol.Transaction
			reply       reply
			want        error
		}{
			{"passed", protocol.Transaction{}, reply{status: 200, body: executed}, nil},
			{"rate limited", protocol.Transaction{}, reply{status: 429}, statestore.ErrRateLimited},
			{"rate limited is refused", protocol.Transaction{}, reply{status: 429}, statestore.ErrRefused},
			{"outage", protocol.Transaction{}, reply{status: 503}, statestore.ErrRefused},
			{"no lease", leased, reply{status: 400}, statestore.ErrLeaseExpired},
			{"too large", protocol.Transaction{}, reply{status: 400}, statestore.ErrTooLarge},
			{"malformed", protocol.Transaction{}, reply{status: 200, body: "nonsense"}, statestore.ErrUnknown},
			{"not a map", protocol.Transaction{}, reply{status: 200, body: "\x80"}, statestore.ErrUnknown},
			{"empty", protocol.Transaction{}, reply{status: 200}, statestore.ErrUnknown},
			{"strange status", protocol.Transaction{}, reply{status: 500}, statestore.ErrUnknown},
			{"late", protocol.Transaction{}, reply{status: 200, body: executed, delay: 3 * time.Second}, statestore.ErrUnknown},
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
	key     string // that an error names
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

// outcomes are all that callers distinguish.
var outcomes = []error{
	statestore.ErrRefused, statestore.ErrRateLimited, statestore.ErrLeaseExpired, statestore.ErrTooLarge,
	statestore.ErrRevisionCompacted, statestore.ErrUnknown,
}

// Each status means the same for every operation, but for those that an operation has for itself; and each
// error names its operation and key.
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
			// but has the outcomes of operations that differ.
			but map[statestore.Operation][]error
		}{
			{"rate limited", reply{status: http.StatusTooManyRequests}, []error{statestore.ErrRefused, statestore.ErrRateLimited}, nil},
			{"outage", reply{status: http.StatusServiceUnavailable}, []error{statestore.ErrRefused}, nil},
			{"not found", reply{status: http.StatusNotFound}, unknown, notFound},
			{"compacted", reply{status: http.StatusGone}, unknown, compacted},
			{"invalid", reply{status: http.StatusBadRequest}, unknown, tooLarge},
			{"strange status", reply{status: http.StatusInternalServerError}, unknown, nil},
			{"malformed", reply{status: http.StatusOK, body: "nonsense"}, unknown, map[statestore.Operation][]error{
				statestore.OperationRenewLease: nil, // its body says nothing
			}},
			{"late", reply{status: http.StatusOK, delay: 5 * time.Second}, unknown, nil},
			{"too long", reply{status: http.StatusOK, body: strings.Repeat("x", maxReplyBytes+1)}, unknown, map[statestore.Operation][]error{
				statestore.OperationWatch: {statestore.ErrRevisionCompacted, statestore.ErrUnknown},
			}},
		} {
			for _, operation := range operations {
				want, differs := c.but[operation.name]
				if !differs {
					want = c.want
				}
				store.set(c.reply)
				err := operation.call(ctx, client)
				checkOutcome(t, c.name, operation, err, want)
				if sent := store.received(); !slices.Equal(sent, []string{operation.request}) {
					t.Errorf("%s: %s sends %q", c.name, operation.name, sent)
				}
				time.Sleep(4 * time.Second)
			}
		}
	})
}

// checkOutcome fails the test unless an error has just the wanted outcomes and names its operation.
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
		t.Errorf("%s: %v does not name %s %s", name, err, operation.name, operation.key)
	}
}

// The controller counts a watch's reply that is too long as a limit that was reached.
func TestTooLongReplyOfWatchIsNamed(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: http.StatusOK, body: strings.Repeat("x", maxReplyBytes+1)})
		if _, err := client.Watch(ctx, "jobs/", 0, time.Second); !errors.Is(err, httpcall.ErrReplyTooLong) {
			t.Error(err)
		}
	})
}

func TestMissingKeyHasRevisionZero(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: http.StatusNotFound})
		entry, err := client.Get(ctx, statestore.PriorityUser, "jobs/a")
		if err != nil || entry.Key != "jobs/a" || entry.Revision != 0 || entry.Data != nil {
			t.Errorf("%+v, %v", entry, err)
		}
	})
}

// Refused calls cost nothing: after an outage the next commits go out at once.
func TestRefusedCallsCostNothing(t *testing.T) {
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
			t.Errorf("two commits took %v", took)
		}
	})
}

// Calls that wait for their turn have paid for it: once an outage is over, that holds no others up.
func TestCallsPaidForInAnOutageHoldNoOthersUp(t *testing.T) {
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
			t.Errorf("the first commit after the outage took %v", took)
		}
	})
}

// Requests count whatever becomes of them, changes only if they may have been made.
func TestMetricsCountWhatWasUsed(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		for _, status := range []int{http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
			store.set(reply{status: status})
			if _, err := client.Commit(ctx, statestore.PriorityUser, oneChange()); err == nil {
				t.Errorf("a commit passed with status %d", status)
			}
		}
		want := statestore.Metrics{Requests: 4, Changes: 2, Refused: 2}
		if got := client.SnapshotAndResetMetrics(); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
		if got := client.SnapshotAndResetMetrics(); got != (statestore.Metrics{}) {
			t.Errorf("%+v after a reset", got)
		}
	})
}

// Only a reply to a call that the store has handled counts as a sign of it.
func TestRefusalsAreNoSignOfTheStore(t *testing.T) {
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
				t.Errorf("status %d: %v since the last reply", c.status, client.SinceLastReply())
			}
		}
	})
}
