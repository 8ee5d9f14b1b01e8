package statestore_test

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"junipershelf/statestore"
)

// The store grants a quarter of what the settings name, and later all of it again: the pace follows within
// seconds both ways, and few calls are refused once it has.
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
			t.Fatalf("within the settings' limit: %+v in 20 s", counts)
		}
		store.setLimit(5)
		counts := countsAfter(10*time.Second, 60*time.Second)
		if counts.refused > counts.executed/4 {
			t.Errorf("%+v once the lower limit is known", counts)
		}
		if counts.executed < 60*5*2/3 {
			t.Errorf("%d changes in 60 s of a limit of 5 a second", counts.executed)
		}
		if _, changes := client.GrantedShare(); changes > 0.5 {
			t.Errorf("%.2f of the share is thought to be granted", changes)
		}
		store.setLimit(20)
		if counts := countsAfter(35*time.Second, 20*time.Second); counts.executed < 20*14 {
			t.Errorf("%d changes in 20 s after the limit has risen again", counts.executed)
		}
		checkAllGranted(t, client, "after the limit has risen again")
	})
}

// checkAllGranted fails the test unless the client counts on its whole share.
func checkAllGranted(t *testing.T, client *statestore.Client, when string) {
	t.Helper()
	if requests, changes := client.GrantedShare(); requests < 1 || changes < 1 {
		t.Errorf("granted %.2f and %.2f %s", requests, changes, when)
	}
}

// At the start of a day users' calls alone exceed this node's share for seconds, and some are refused:
// that is no lower limit, and the commits that follow are not slowed down.
func TestOwnBurstsAreNoLowerLimit(t *testing.T) {
	withLimitedStore(t, func(ctx context.Context, client *statestore.Client, store *limitedStore) {
		for range 5 * 60 { // sixty a second for five seconds
			go func() { _, _ = client.Commit(ctx, statestore.PriorityUser, oneChange()) }()
			time.Sleep(time.Second / 60)
		}
		if counts := store.snapshotAndReset(); counts.refused < 50 {
			t.Fatalf("%d calls were refused: there was no burst", counts.refused)
		}
		checkAllGranted(t, client, "after a burst of this node's own")
	})
}

// While less is granted than is asked for, calls are sent by priority: the lease's at once, the users' next,
// commits have what they leave, and the rest comes last. Users' calls beyond what is granted are refused by
// the client and never sent.
func TestUrgentCallsGoFirstWhileLimitsAreScarce(t *testing.T) {
	withLimitedStore(t, func(ctx context.Context, client *statestore.Client, store *limitedStore) {
		store.setLimit(5)
		commits, stopCommits := context.WithCancel(ctx)
		for range 3 {
			go commitRepeatedly(commits, client, statestore.PriorityPlacement)
		}
		time.Sleep(30 * time.Second)
		checkUsersPassBesideCommits(ctx, t, client)
		start := time.Now()
		if err := client.RenewLease(ctx, 1); err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("the lease is renewed after %v: %v", time.Since(start), err)
		}
		start = time.Now()
		if _, err := client.Get(ctx, statestore.PriorityBackground, "k"); err != nil || time.Since(start) < statestore.YieldTimeout {
			t.Errorf("a background call did not let the commits go first: %v, %v", time.Since(start), err)
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
			t.Errorf("of %d calls by users %d were sent: %+v", attempts, sent, counts)
		}
	})
}

// checkUsersPassBesideCommits makes two users' calls a second, within a limit that commits use up, and fails
// the test unless most pass, each at once.
func checkUsersPassBesideCommits(ctx context.Context, t *testing.T, client *statestore.Client) {
	t.Helper()
	passed, refused := 0, 0
	for range 40 {
		start := time.Now()
		switch _, err := client.Commit(ctx, statestore.PriorityUser, oneChange()); {
		case err == nil:
			passed++
		case errors.Is(err, statestore.ErrRateLimited):
			refused++
		default:
			t.Fatal(err)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Fatalf("a user's call was held up for %v", took)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if passed < 30 {
		t.Errorf("%d of 40 users' calls passed, %d were refused, while commits take the rest", passed, refused)
	}
}

// The nodes' shares leave a tenth of the limits free, and the leader has more of the changes.
func TestNodesShareTheLimits(t *testing.T) {
	client := statestore.New(nil, "state:1", nominalLimits, maxReplyBytes)
	for _, c := range []struct {
		share             statestore.Share
		requests, changes float64 // a second
	}{
		{statestore.Share{Nodes: 0}, 90, 15.3},
		{statestore.Share{Nodes: 1}, 90, 15.3},
		{statestore.Share{Nodes: 1, Leader: true}, 90, 18},
		{statestore.Share{Nodes: 3}, 30, 5.1},
		{statestore.Share{Nodes: 3, Leader: true}, 30, 7.8},
	} {
		client.SetShare(c.share)
		if got := client.RequestRate(); math.Abs(got-c.requests) > 1e-9 {
			t.Errorf("%+v: %v requests a second, want %v", c.share, got, c.requests)
		}
		if got := client.ChangeRate(); math.Abs(got-c.changes) > 1e-9 {
			t.Errorf("%+v: %v changes a second, want %v", c.share, got, c.changes)
		}
	}
}

// A call whose turn does not come before its context ends was surely not executed, and is not sent.
func TestCallWithoutTurnIsRefused(t *testing.T) {
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
			t.Errorf("%v were sent", sent)
		}
	})
}
