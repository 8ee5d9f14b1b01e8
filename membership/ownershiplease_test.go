package membership_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/membership"
	"junipershelf/settings"
	"junipershelf/statestore"
)

const storeAddress = "state:1"

// startNode runs the membership of a node until the context ends.
func startNode(ctx context.Context, t *testing.T, network *emulator.MemoryNetwork, name string) *membership.Membership {
	t.Helper()
	limits := settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16}
	store := statestore.New(network.Dialer(name), storeAddress, limits, 1<<20)
	m := membership.New(name, store, membership.Config{
		Nodes: []string{"a", "b"}, Buckets: 6,
		MemberLease: 3 * time.Second, OwnershipLease: 6 * time.Second, Interval: 500 * time.Millisecond,
	}, slog.New(slog.DiscardHandler))
	// All cancellations count as known, so that the lease depends on the evidence for the view alone.
	// TestOwnershipLeaseUsesTheOlderEvidence covers the evidence for the cancellations.
	m.RecordCancellationsKnown(time.Now().Add(time.Hour))
	go m.Run(ctx)
	return m
}

// Invariant 4 of docs/design.md: an ownership lease needs a recent confirmation, another member
// takes over after the lease has expired, and learning of a later view ends the lease immediately.
func TestOwnershipLeaseNeedsARecentConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		network := emulator.NewMemoryNetwork()
		store := emulator.NewStore(8192)
		if err := store.Serve(ctx, network, storeAddress); err != nil {
			t.Fatal(err)
		}
		a, b := startNode(ctx, t, network, "a"), startNode(ctx, t, network, "b")
		time.Sleep(5 * time.Second)
		both, _, _ := a.Current()
		if len(both.Members) != 2 || !a.HoldsLease(both.Number) || !b.HoldsLease(both.Number) {
			t.Fatalf("view %+v, lease held by a %v, by b %v; want two members and both leases", both, a.HoldsLease(both.Number), b.HoldsLease(both.Number))
		}

		network.SetBlocked(func(from, to string) bool { return from == "a" || to == "a" })
		time.Sleep(5500 * time.Millisecond)
		withoutA, _, _ := b.Current()
		if withoutA.Number <= both.Number || len(withoutA.Members) != 1 || !b.HoldsLease(withoutA.Number) {
			t.Errorf("after a's member lease has expired b sees view %+v, want a later one of b alone with its lease", withoutA)
		}
		time.Sleep(time.Second)
		if a.HoldsLease(both.Number) {
			t.Error("a still holds its ownership lease without a recent confirmation")
		}

		network.SetBlocked(nil)
		time.Sleep(5 * time.Second)
		again, _, _ := a.Current()
		if !a.HoldsLease(again.Number) || !b.HoldsLease(again.Number) {
			t.Error("a or b holds no ownership lease after the network partition has healed")
		}
		a.ObserveView(again.Number + 1)
		if a.HoldsLease(again.Number) {
			t.Error("a holds the lease of a view although it has learned of a later one")
		}

		store.SetOutage(func(string) bool { return true })
		time.Sleep(5 * time.Second)
		if !b.HoldsLease(again.Number) {
			t.Error("a store outage shorter than the ownership lease ended b's lease")
		}
		store.SetOutage(nil)
		time.Sleep(2 * time.Second)
		if now, _, _ := b.Current(); now.Number != again.Number {
			t.Errorf("a store outage changed the view from %d to %d", again.Number, now.Number)
		}
		stop()
		network.CloseConnections("a")
		network.CloseConnections("b")
		time.Sleep(10 * time.Second)
	})
}

// The sum of the ownership lease and an agent's lease stays below the time limit of a cancellation.
// If that leaves too little time for the shortest ownership lease, the second result is false.
func TestOwnershipLeaseLeavesTimeForCancellations(t *testing.T) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, test := range []struct {
		name                       string
		wanted, agentLease, cancel float64 // seconds
		want                       float64 // seconds
		ok                         bool
	}{
		{"the wanted lease fits", 6, 10.5, 30, 6, true},
		{"the wanted lease fits beside a long lease of the agents", 15.9, 27, 51.5, 15.9, true},
		{"limited by the time limit of a cancellation", 12, 20, 25, 3, true},
		{"the shortest lease if no time is left", 12, 20, 21, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := membership.OwnershipLeaseFor(seconds(test.wanted), seconds(test.agentLease), seconds(test.cancel))
			if got != seconds(test.want) || ok != test.ok {
				t.Errorf("got %v, %v; want %v, %v", got, ok, seconds(test.want), test.ok)
			}
		})
	}
}
