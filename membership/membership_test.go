package membership

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"junipershelf/internal/emulator"
	"junipershelf/settings"
	"junipershelf/statestore"
)

func TestNextKeepsTheOrder(t *testing.T) {
	a, b, c, b2 := Member{"a", 1}, Member{"b", 2}, Member{"c", 3}, Member{"b", 9}
	v := View{Number: 4, Members: []Member{b, a}}
	if _, differs := v.NextView([]Member{a, b}); differs {
		t.Error("the same members make a new view")
	}
	// A fast restart is a new member, and no longer the leader.
	n, differs := v.NextView([]Member{a, b2, c})
	if !differs || !cmp.Equal(n, View{Number: 5, Members: []Member{a, b2, c}}) {
		t.Errorf("%+v", n)
	}
}

// Parts fall evenly on any members of up to seven nodes, one more or less; while a
// single one is away only its own move; and who is first in the view changes nothing.
func TestPartsFallEvenly(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for nodes := 1; nodes <= len(names); nodes++ {
		for _, changes := range []float64{5, 20, 40, 70} {
			full := View{Nodes: names[:nodes], Buckets: BucketsFor(changes, nodes)}
			for _, n := range full.Nodes {
				full.Members = append(full.Members, Member{n, 1})
			}
			if full.Buckets%nodes != 0 || full.Buckets > max(6, nodes, int(changes))+nodes/2 {
				t.Errorf("%d nodes, %v changes: %d parts", nodes, changes, full.Buckets)
			}
			was := full.BucketOwners()
			for set := 1; set < 1<<nodes; set++ {
				v := View{Nodes: full.Nodes, Buckets: full.Buckets}
				for i := nodes - 1; i >= 0; i-- {
					if set>>i&1 > 0 {
						v.Members = append(v.Members, full.Members[i])
					}
				}
				count, turned := make([]int, len(v.Members)), v
				turned.Members = append(slices.Clone(v.Members[1:]), v.Members[0])
				other := turned.BucketOwners()
				for p, o := range v.BucketOwners() {
					count[o]++
					if turned.Members[other[p]] != v.Members[o] {
						t.Fatalf("part %d depends on the members' order", p)
					}
					if now := v.Members[o].Node; len(v.Members) == nodes-1 && now != full.Nodes[was[p]] && set>>was[p]&1 > 0 {
						t.Errorf("part %d moved from %s to %s", p, full.Nodes[was[p]], now)
					}
				}
				if slices.Max(count)-slices.Min(count) > 1 {
					t.Errorf("%d of %d nodes: parts by owner %v", len(v.Members), nodes, count)
				}
			}
		}
	}
	// The first view fixes the number of parts, so that a machine's never changes.
	three := View{Nodes: names[:3], Buckets: 12, Members: []Member{{"a", 1}}}
	if n, _ := three.NextView([]Member{{"a", 2}}); n.Buckets != three.Buckets || len(n.Nodes) != 3 {
		t.Errorf("the next view has %d parts of %v", n.Buckets, n.Nodes)
	}
}

// Invariant 4: no authority without a fresh confirmation; another member takes
// over once the lease is over; a peer's word of a later view ends it at once.
func TestAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		net := emulator.NewNet()
		store := emulator.NewStore(8192)
		if err := store.Serve(ctx, net, "state:1"); err != nil {
			t.Fatal(err)
		}
		node := func(name string) *Membership {
			lim := settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16}
			r := New(name, statestore.New(net.Dialer(name), "state:1", lim, 1<<20), Config{Nodes: []string{"a", "b"}, Buckets: 6, MemberLease: 3 * time.Second, OwnershipLease: 6 * time.Second, Interval: 500 * time.Millisecond}, slog.New(slog.DiscardHandler))
			// The view alone is looked at here; what the jobs add to it is tested in
			// TestEvidenceIsTheOlderKnowledge.
			r.CancellationsKnownAsOf(time.Now().Add(time.Hour))
			go r.Run(ctx)
			return r
		}
		a, b := node("a"), node("b")
		time.Sleep(5 * time.Second)
		v, _, _ := a.Current()
		if len(v.Members) != 2 || !a.HoldsLease(v.Number) || !b.HoldsLease(v.Number) {
			t.Fatalf("%+v, holds %v %v", v, a.HoldsLease(v.Number), b.HoldsLease(v.Number))
		}
		net.Cut(func(from, to string) bool { return from == "a" || to == "a" })
		time.Sleep(5500 * time.Millisecond)
		w, _, _ := b.Current()
		if w.Number <= v.Number || len(w.Members) != 1 || !b.HoldsLease(w.Number) {
			t.Errorf("after the grant's life b sees %+v", w)
		}
		time.Sleep(time.Second)
		if a.HoldsLease(v.Number) {
			t.Error("a still holds authority without a confirmation")
		}
		net.Cut(nil)
		time.Sleep(5 * time.Second)
		v, _, _ = a.Current()
		if !a.HoldsLease(v.Number) || !b.HoldsLease(v.Number) {
			t.Error("no authority after the cut")
		}
		a.ObserveView(v.Number + 1)
		if a.HoldsLease(v.Number) {
			t.Error("a holds authority in a view that it knows to be over")
		}
		store.Outage(func(string) bool { return true })
		time.Sleep(5 * time.Second)
		if !b.HoldsLease(v.Number) {
			t.Error("an outage shorter than the authority time ended b's authority")
		}
		store.Outage(nil)
		time.Sleep(2 * time.Second)
		if w, _, _ := b.Current(); w.Number != v.Number {
			t.Errorf("an outage changed the view from %d to %d", v.Number, w.Number)
		}
		stop()
		net.Crash("a")
		net.Crash("b")
		time.Sleep(10 * time.Second)
	})
}

// Authority rests on knowing the view and the cancellations as of the same time: the older
// of the two counts, or what all other nodes confirm for in this view.
func TestEvidenceIsTheOlderKnowledge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New("a", nil, Config{OwnershipLease: 6 * time.Second}, slog.New(slog.DiscardHandler))
		r.self = Member{"a", 1}
		start := time.Now()
		v := View{Number: 3, Members: []Member{{"a", 1}, {"b", 2}}, Buckets: 2}
		r.observe(v, start)
		if r.HoldsLease(3) {
			t.Error("authority without a look at the jobs")
		}
		r.CancellationsKnownAsOf(start)
		if !r.HoldsLease(3) {
			t.Error("no authority with both")
		}
		time.Sleep(5 * time.Second)
		r.observe(v, time.Now())
		time.Sleep(2 * time.Second)
		if r.HoldsLease(3) {
			t.Error("the view was read, the jobs were not: a cancellation may be unknown")
		}
		r.CancellationsKnownAsOf(time.Now())
		if !r.HoldsLease(3) {
			t.Error("no authority though both are known as of 2 s ago")
		}
		time.Sleep(10 * time.Second)
		r.ConfirmedByAllPeers(2, time.Now())
		if r.HoldsLease(3) {
			t.Error("the word for another view counts")
		}
		r.ConfirmedByAllPeers(3, time.Now())
		if !r.HoldsLease(3) {
			t.Error("the word of all peers does not count")
		}
		v.Number = 4
		r.observe(v, start)
		if r.HoldsLease(4) {
			t.Error("what was vouched for in an older view counts in the next")
		}
	})
}

// Authority and a lease stay below what a cancellation has, whatever the settings.
func TestAuthorityFitsCancellations(t *testing.T) {
	for _, c := range []struct {
		wanted, lease, cancel, want float64
		ok                          bool
	}{
		{6, 10.5, 30, 6, true}, {15.9, 27, 51.5, 15.9, true}, {12, 20, 25, 3, true}, {12, 20, 21, 1, false},
	} {
		sec := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
		if d, ok := OwnershipLeaseFor(sec(c.wanted), sec(c.lease), sec(c.cancel)); d != sec(c.want) || ok != c.ok {
			t.Errorf("%+v: %v %v", c, d, ok)
		}
	}
}

// An earlier run's write that arrives late, while its lease still lives, does not take
// the name back: it is guarded on what stood there.
func TestLateJoinOfAnEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		nw, store := emulator.NewNet(), emulator.NewStore(8192)
		if err := store.Serve(ctx, nw, "state:2379"); err != nil {
			t.Fatal(err)
		}
		late := true
		store.Late(func() (time.Duration, bool) { was := late; late = false; return 3 * time.Second, was })
		client := func(node string) *statestore.Client {
			return statestore.New(nw.Dialer(node), "state:2379", settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16}, 1<<20)
		}
		times := Config{MemberLease: 8 * time.Second, OwnershipLease: 6 * time.Second, Interval: 500 * time.Millisecond, Buckets: 3}
		first := New("a", client("a"), times, slog.New(slog.DiscardHandler))
		if _, err := first.join(ctx); err == nil {
			t.Error("the first run's join was answered")
		}
		second := New("a", client("a"), times, slog.New(slog.DiscardHandler))
		me, err := second.join(ctx)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		var there Member
		if !store.Read(memberKey+"a", &there) || there != me {
			t.Errorf("%+v stands there, not %+v", there, me)
		}
		stop()
		nw.Crash("a")
		time.Sleep(5 * time.Second)
	})
}
