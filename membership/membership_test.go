package membership

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// The ownership lease rests on knowing the view and the cancellations as of the same time: the
// older of the two counts, or what all other nodes confirm for in this view.
func TestOwnershipLeaseRestsOnTheOlderEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", nil, Config{OwnershipLease: 6 * time.Second}, slog.New(slog.DiscardHandler))
		m.lease.self = Member{"a", 1}
		start := time.Now()
		view := View{Number: 3, Members: []Member{{"a", 1}, {"b", 2}}, Buckets: 2}
		m.applyReading(view, start)
		if m.HoldsLease(3) {
			t.Error("a lease without a look at the jobs")
		}
		m.CancellationsKnownAsOf(start)
		if !m.HoldsLease(3) {
			t.Error("no lease with both")
		}
		time.Sleep(5 * time.Second)
		m.applyReading(view, time.Now())
		time.Sleep(2 * time.Second)
		if m.HoldsLease(3) {
			t.Error("the view was read, the jobs were not: a cancellation may be unknown")
		}
		m.CancellationsKnownAsOf(time.Now())
		if !m.HoldsLease(3) {
			t.Error("no lease though both are known as of 2 s ago")
		}
		time.Sleep(10 * time.Second)
		m.ConfirmedByAllPeers(2, time.Now())
		if m.HoldsLease(3) {
			t.Error("the confirmation of another view counts")
		}
		m.ConfirmedByAllPeers(3, time.Now())
		if !m.HoldsLease(3) {
			t.Error("the confirmation by all peers does not count")
		}
		view.Number = 4
		m.applyReading(view, start)
		if m.HoldsLease(4) {
			t.Error("what was confirmed in an older view counts in the next")
		}
	})
}

func TestAbandonedLeaseEndsTheOwnershipLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", nil, Config{OwnershipLease: 6 * time.Second}, slog.New(slog.DiscardHandler))
		m.lease.self = Member{"a", 1}
		m.applyReading(View{Number: 3, Members: []Member{{"a", 1}}, Buckets: 2}, time.Now())
		m.CancellationsKnownAsOf(time.Now())
		if !m.HoldsLease(3) {
			t.Fatal("no lease to begin with")
		}
		m.Rejoin()
		if m.HoldsLease(3) {
			t.Error("a node that gave its incarnation up still acts")
		}
	})
}

// An earlier run's write that arrives late, while its lease still holds, does not take the
// name back: it is guarded on the record that was there.
func TestLateMemberRecordOfAnEarlierRunIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		network, store := emulator.NewMemoryNetwork(), emulator.NewStore(8192)
		if err := store.Serve(ctx, network, "state:2379"); err != nil {
			t.Fatal(err)
		}
		late := true
		store.DelayTransactions(func() (time.Duration, bool) { was := late; late = false; return 3 * time.Second, was })
		lease := func(node string) *memberLease {
			limits := settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16}
			return newMemberLease(node, statestore.New(network.Dialer(node), "state:2379", limits, 1<<20), 8*time.Second, slog.New(slog.DiscardHandler))
		}
		if _, err := lease("a").acquire(ctx); err == nil {
			t.Error("the first run's write was answered")
		}
		self, err := lease("a").acquire(ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		var present Member
		if !store.Read(memberPrefix+"a", &present) || present != self {
			t.Errorf("the record is of %+v, not %+v", present, self)
		}
		stop()
		network.CloseConnections("a")
		time.Sleep(5 * time.Second)
	})
}

// A record that cannot be decoded may be a member: no view is made from what is left.
func TestUndecodableRecordFailsTheReading(t *testing.T) {
	encode := func(v any) []byte {
		data, err := protocol.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	good := protocol.Entry{Key: memberPrefix + "a", Data: encode(Member{"a", 1})}
	for _, test := range []struct {
		name  string
		entry protocol.Entry
	}{
		{"a view that is no CBOR map", protocol.Entry{Key: ViewKey, Data: []byte{0x01}}},
		{"a view without a number", protocol.Entry{Key: ViewKey, Data: encode(View{})}},
		{"a member that is no CBOR map", protocol.Entry{Key: memberPrefix + "b", Data: []byte{0x01}}},
		{"a member without a name", protocol.Entry{Key: memberPrefix + "b", Data: encode(Member{"", 2})}},
		{"a member without an incarnation", protocol.Entry{Key: memberPrefix + "b", Data: encode(Member{"b", 0})}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, live, err := decodeRecords([]protocol.Entry{good, test.entry})
			var undecodable *protocol.DecodeError
			if !errors.As(err, &undecodable) || undecodable.Source != test.entry.Key || live != nil {
				t.Errorf("members %v, error %v", live, err)
			}
		})
	}
}
