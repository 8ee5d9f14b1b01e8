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
	// The view alone is looked at here; what the cancellations add to it is tested in
	// TestOwnershipLeaseRestsOnTheOlderEvidence.
	m.CancellationsKnownAsOf(time.Now().Add(time.Hour))
	go m.Run(ctx)
	return m
}

// Invariant 4 of docs/design.md: no ownership lease without a fresh confirmation; another
// member takes over once the lease is over; news of a later view ends it at once.
func TestOwnershipLeaseNeedsAFreshConfirmation(t *testing.T) {
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
			t.Fatalf("%+v, leases held: %v %v", both, a.HoldsLease(both.Number), b.HoldsLease(both.Number))
		}

		network.SetBlocked(func(from, to string) bool { return from == "a" || to == "a" })
		time.Sleep(5500 * time.Millisecond)
		withoutA, _, _ := b.Current()
		if withoutA.Number <= both.Number || len(withoutA.Members) != 1 || !b.HoldsLease(withoutA.Number) {
			t.Errorf("after a's member lease b sees %+v", withoutA)
		}
		time.Sleep(time.Second)
		if a.HoldsLease(both.Number) {
			t.Error("a still holds the lease without a confirmation")
		}

		network.SetBlocked(nil)
		time.Sleep(5 * time.Second)
		again, _, _ := a.Current()
		if !a.HoldsLease(again.Number) || !b.HoldsLease(again.Number) {
			t.Error("no lease after the cut")
		}
		a.ObserveView(again.Number + 1)
		if a.HoldsLease(again.Number) {
			t.Error("a holds the lease of a view that it knows to be over")
		}

		store.SetOutage(func(string) bool { return true })
		time.Sleep(5 * time.Second)
		if !b.HoldsLease(again.Number) {
			t.Error("an outage shorter than the ownership lease ended b's")
		}
		store.SetOutage(nil)
		time.Sleep(2 * time.Second)
		if now, _, _ := b.Current(); now.Number != again.Number {
			t.Errorf("an outage changed the view from %d to %d", again.Number, now.Number)
		}
		stop()
		network.CloseConnections("a")
		network.CloseConnections("b")
		time.Sleep(10 * time.Second)
	})
}

// The ownership lease and a worker's lease together stay below what a cancellation has,
// whatever the settings.
func TestOwnershipLeaseLeavesTimeForCancellations(t *testing.T) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for _, test := range []struct {
		name                  string
		wanted, lease, cancel float64 // seconds
		want                  float64
		ok                    bool
	}{
		{"all that is wanted fits", 6, 10.5, 30, 6, true},
		{"all that is wanted fits a long lease", 15.9, 27, 51.5, 15.9, true},
		{"cut to what the cancellation leaves", 12, 20, 25, 3, true},
		{"the shortest lease where nothing is left", 12, 20, 21, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, ok := membership.OwnershipLeaseFor(seconds(test.wanted), seconds(test.lease), seconds(test.cancel))
			if got != seconds(test.want) || ok != test.ok {
				t.Errorf("got %v, %v; want %v, %v", got, ok, seconds(test.want), test.ok)
			}
		})
	}
}
