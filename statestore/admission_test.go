package statestore_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"junipershelf/statestore"
)

// When the store's limit falls to a quarter of that in the settings, and later rises again, the client's rate
// follows within seconds. Once the rate has adapted, few calls are refused.
func TestRateIsLearnedFromRefusals(t *testing.T) {
	withLimitedStore(t, func(ctx context.Context, client *statestore.Client, store *limitedStore) {
		for range 2 {
			go commitRepeatedly(ctx, client, statestore.PriorityPlacement)
		}
		countsAfter := func(settle, count time.Duration) callCounts {
			time.Sleep(settle)
			store.snapshotAndReset()
			time.Sleep(count)
			return store.snapshotAndReset()
		}
		if counts := countsAfter(10*time.Second, 20*time.Second); counts.refused > 0 || counts.executed < 20*14 {
			t.Fatalf("%+v in 20 s within the limit of the settings, want at least %d executed and none refused", counts, 20*14)
		}
		store.setLimit(5)
		counts := countsAfter(10*time.Second, 60*time.Second)
		if counts.refused > counts.executed/4 {
			t.Errorf("%+v once the lower limit is learned, want at most a quarter as many refused as executed", counts)
		}
		if counts.executed < 60*5*2/3 {
			t.Errorf("%d changes in 60 s with a limit of 5 per second, want at least %d", counts.executed, 60*5*2/3)
		}
		if _, changes := client.GrantedShare(); changes > 0.5 {
			t.Errorf("%.2f of the change rate counts as granted, want at most 0.5", changes)
		}
		store.setLimit(20)
		if counts := countsAfter(35*time.Second, 20*time.Second); counts.executed < 20*14 {
			t.Errorf("%d changes in 20 s after the limit has risen again, want at least %d", counts.executed, 20*14)
		}
		checkAllGranted(t, client, "after the limit has risen again")
	})
}

// checkAllGranted fails the test unless the client's whole share counts as granted.
func checkAllGranted(t *testing.T, client *statestore.Client, when string) {
	t.Helper()
	if requests, changes := client.GrantedShare(); requests < 1 || changes < 1 {
		t.Errorf("granted %.2f of the requests and %.2f of the changes %s, want all", requests, changes, when)
	}
}

// A burst of users' calls, as at the start of a working day, can exceed this node's share for seconds, so that
// some are refused. That does not indicate a lower limit, and the commits that follow are not slowed down.
func TestOwnBurstsDoNotReduceTheRate(t *testing.T) {
	withLimitedStore(t, func(ctx context.Context, client *statestore.Client, store *limitedStore) {
		for range 5 * 60 { // sixty a second for five seconds
			go func() { _, _ = client.Commit(ctx, statestore.PriorityUser, oneChange()) }()
			time.Sleep(time.Second / 60)
		}
		if counts := store.snapshotAndReset(); counts.refused < 50 {
			t.Fatalf("%d calls of the burst were refused, want at least 50", counts.refused)
		}
		checkAllGranted(t, client, "after a burst of this node's own")
	})
}

// While the granted rate is below the demand, calls are sent by priority: lease renewals immediately, then users'
// calls, then commits, then background calls. Users' calls beyond the granted rate are refused by the client
// and not sent.
func TestUrgentCallsGoFirstWhileRateIsReduced(t *testing.T) {
	withLimitedStore(t, func(ctx context.Context, client *statestore.Client, store *limitedStore) {
		store.setLimit(5)
		commits, stopCommits := context.WithCancel(ctx)
		for range 3 {
			go commitRepeatedly(commits, client, statestore.PriorityPlacement)
		}
		time.Sleep(30 * time.Second)
		checkUserCallsSucceedDuringCommits(ctx, t, client)
		start := time.Now()
		if err := client.RenewLease(ctx, 1); err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("the lease renewal took %v: %v", time.Since(start), err)
		}
		start = time.Now()
		if _, err := client.Get(ctx, statestore.PriorityBackground, "k"); err != nil || time.Since(start) < statestore.YieldTimeout {
			t.Errorf("a background call took %v, want at least %v, to let the commits go first: %v", time.Since(start), statestore.YieldTimeout, err)
		}
		stopCommits()
		time.Sleep(time.Second)
		store.snapshotAndReset()
		attempts := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			_, _ = client.Commit(ctx, statestore.PriorityUser, oneChange())
			attempts++
		}
		counts := store.snapshotAndReset()
		if sent := counts.executed + counts.refused; counts.refused > counts.executed || sent > attempts/5 {
			t.Errorf("%d of %d users' calls were sent: %+v", sent, attempts, counts)
		}
	})
}

// checkUserCallsSucceedDuringCommits makes two users' calls per second while commits use up the granted rate. It
// fails the test unless most succeed and none is delayed.
func checkUserCallsSucceedDuringCommits(ctx context.Context, t *testing.T, client *statestore.Client) {
	t.Helper()
	succeeded, refused := 0, 0
	for range 40 {
		start := time.Now()
		switch _, err := client.Commit(ctx, statestore.PriorityUser, oneChange()); {
		case err == nil:
			succeeded++
		case errors.Is(err, statestore.ErrRateLimited):
			refused++
		default:
			t.Fatal(err)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Fatalf("a user's call took %v, want at most 100ms", took)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if succeeded < 30 {
		t.Errorf("%d of 40 users' calls succeeded during commits, want at least 30; %d were refused", succeeded, refused)
	}
}

// The nodes' shares leave a tenth of the limits free, and the leader has a larger share of the changes.
func TestNodesShareTheLimits(t *testing.T) {
	client := statestore.New(nil, "state:1", nominalLimits, maxReplyBytes)
	for _, c := range []struct {
		share             statestore.Share
		requests, changes float64 // per second
	}{
		{statestore.Share{Nodes: 0}, 90, 15.3},
		{statestore.Share{Nodes: 1}, 90, 15.3},
		{statestore.Share{Nodes: 1, Leader: true}, 90, 18},
		{statestore.Share{Nodes: 3}, 30, 5.1},
		{statestore.Share{Nodes: 3, Leader: true}, 30, 7.8},
	} {
		client.SetShare(c.share)
		if got := client.RequestRate(); math.Abs(got-c.requests) > 1e-9 {
			t.Errorf("%+v: %v requests per second, want %v", c.share, got, c.requests)
		}
		if got := client.ChangeRate(); math.Abs(got-c.changes) > 1e-9 {
			t.Errorf("%+v: %v changes per second, want %v", c.share, got, c.changes)
		}
	}
}

// A call that is not admitted before its context ends is not sent, so it fails as not executed.
func TestCallNotAdmittedIsRefused(t *testing.T) {
	withStubStore(t, func(ctx context.Context, client *statestore.Client, store *stubStore) {
		store.set(reply{status: 200, body: encode(t, struct{}{})})
		ctx, cancel := context.WithCancel(ctx)
		cancel()
		for _, priority := range []statestore.Priority{statestore.PriorityPlacement, statestore.PriorityBackground} {
			_, err := client.Commit(ctx, priority, oneChange())
			if !errors.Is(err, statestore.ErrRefused) || errors.Is(err, statestore.ErrRateLimited) || errors.Is(err, statestore.ErrUnknown) {
				t.Errorf("priority %d: %v", priority, err)
			}
		}
		if sent := store.received(); len(sent) > 0 {
			t.Errorf("calls that were not admitted were sent: %v", sent)
		}
	})
}
