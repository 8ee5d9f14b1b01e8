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

// The ownership lease begins at the older of the last reads of the view and of the cancellations,
// or at the last confirmation by all other nodes in the same view, whichever is later.
func TestOwnershipLeaseUsesTheOlderEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", nil, Config{OwnershipLease: 6 * time.Second}, slog.New(slog.DiscardHandler))
		m.lease.self = Member{"a", 1}
		start := time.Now()
		view := View{Number: 3, Members: []Member{{"a", 1}, {"b", 2}}, Buckets: 2}
		m.applyView(view, start)
		if m.HoldsLease(3) {
			t.Error("lease held before the cancellations are known")
		}
		m.RecordCancellationsKnown(start)
		if !m.HoldsLease(3) {
			t.Error("no lease although the view and the cancellations are known")
		}
		time.Sleep(5 * time.Second)
		m.applyView(view, time.Now())
		time.Sleep(2 * time.Second)
		if m.HoldsLease(3) {
			t.Error("lease held although the cancellations were read too long ago")
		}
		m.RecordCancellationsKnown(time.Now())
		if !m.HoldsLease(3) {
			t.Error("no lease although the view was read 2 s ago and the cancellations are known")
		}
		time.Sleep(10 * time.Second)
		m.RecordPeerConfirmation(2, time.Now())
		if m.HoldsLease(3) {
			t.Error("lease held on a confirmation of another view")
		}
		m.RecordPeerConfirmation(3, time.Now())
		if !m.HoldsLease(3) {
			t.Error("no lease after a confirmation by all peers")
		}
		view.Number = 4
		m.applyView(view, start)
		if m.HoldsLease(4) {
			t.Error("lease held on a confirmation of the previous view")
		}
	})
}

func TestAbandonedLeaseEndsTheOwnershipLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New("a", nil, Config{OwnershipLease: 6 * time.Second}, slog.New(slog.DiscardHandler))
		m.lease.self = Member{"a", 1}
		m.applyView(View{Number: 3, Members: []Member{{"a", 1}}, Buckets: 2}, time.Now())
		m.RecordCancellationsKnown(time.Now())
		if !m.HoldsLease(3) {
			t.Fatal("no lease at the start")
		}
		m.Rejoin()
		if m.HoldsLease(3) {
			t.Error("lease held after the node abandoned its incarnation")
		}
	})
}

// A delayed write of an earlier run whose lease is still valid does not replace the member record of
// a later run, since it is guarded on the revision of the earlier record.
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
			t.Error("the delayed write of the first run got a reply, want a time-out")
		}
		self, err := lease("a").acquire(ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		var stored Member
		if !store.Read(memberPrefix+"a", &stored) || stored != self {
			t.Errorf("member record %+v, want %+v", stored, self)
		}
		stop()
		network.CloseConnections("a")
		time.Sleep(5 * time.Second)
	})
}

// A record that cannot be decoded may be that of a live member, so the other records are not used.
func TestUndecodableRecordFailsTheRead(t *testing.T) {
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
		{"a view that is not a CBOR map", protocol.Entry{Key: ViewKey, Data: []byte{0x01}}},
		{"a view without a number", protocol.Entry{Key: ViewKey, Data: encode(View{})}},
		{"a member that is not a CBOR map", protocol.Entry{Key: memberPrefix + "b", Data: []byte{0x01}}},
		{"a member without a name", protocol.Entry{Key: memberPrefix + "b", Data: encode(Member{"", 2})}},
		{"a member without an incarnation", protocol.Entry{Key: memberPrefix + "b", Data: encode(Member{"b", 0})}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, live, err := decodeRecords([]protocol.Entry{good, test.entry})
			var decodeErr *protocol.DecodeError
			if !errors.As(err, &decodeErr) || decodeErr.Source != test.entry.Key || live != nil {
				t.Errorf("got members %v and error %v, want no members and a decode error of %s", live, err, test.entry.Key)
			}
		})
	}
}
