package partition

import (
	"fmt"
	"testing"

	"junipershelf/protocol"
)

// Invariants 2 and 5 of the design: a placement of an older view that a heartbeat with this view's
// fencing token does not show is gone, since no start of that view can arrive any more.
func TestRestoredPlacementMissingFromNewHeartbeatIsRemoved(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
	if err := p.LoadShard(ShardKey(0, 0), recordOf(1, placementOf("wk-1", 0, 77), placementOf("wk-1", 1, 78)), 3, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 9, 4, runningTask("wk-1", 0, 77)))
	assertEqual(t, "older fencing token", commandText(p.Commands(at(1), "a", 1, 9)), "")
	if hasCommit(p, at(1)) {
		t.Error("removed although an older start may be under way")
	}
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 10, 5, runningTask("wk-1", 0, 77)))
	assertEqual(t, "this view's fencing token", commandText(p.Commands(at(2), "a", 1, 10)), "")
	assertEqual(t, "commit", recordText(t, nextCommit(t, p, at(2))), "wk-1/0@a;")
}

// A heartbeat of a later agent epoch shows that all placements of the earlier one are gone, also
// what was committed for it meanwhile.
func TestNewAgentEpochEndsPlacementsOfEarlierOnes(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	assignTask(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	c := nextCommit(t, p, at(1))
	p.HandleHeartbeat(at(2), heartbeat("a", 2, 2, 5))
	p.CommitApplied(c, 10, at(2))
	assertEqual(t, "for the earlier agent epoch", commandText(p.Commands(at(2), "a", 2, 2)), "")
	p.HandleHeartbeat(at(3), heartbeat("a", 2, 3, 5))
	if !hasCommit(p, at(3)) {
		t.Error("the placement of an earlier agent epoch stays for ever")
	}
}

// A machine whose heartbeats arrive while replies do not: its agent epoch rises although
// every heartbeat was replied to. It gets no new work and is terminated. Heartbeats that a
// partition of the network held back come all at once and are no sign of it, nor is one lost reply.
func TestMachineThatReceivesNoRepliesIsTerminated(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      float64 // when the first heartbeats arrive
		terminated bool
	}{{"replied to all along", 1, true}, {"held back, then all at once", 9, false}} {
		p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 9)))
		for i := range 9 {
			now := at(max(float64(i+1), c.first))
			p.HandleHeartbeat(now, heartbeat("a", 1, uint64(i+1), 5))
			p.RecordReply("a")
			if i == 0 {
				assignTask(p, now, 1, "wk-1", 0, "a", 0)
				p.Tick(now)
				p.CommitApplied(nextCommit(t, p, now), 10, now)
			}
			p.Commands(now, "a", 1, uint64(i+1))
			usable := p.machines.get("a").usable()
			if i == 1 && !usable {
				t.Errorf("%s: gets no work after one lost reply", c.name)
			}
			if i == 4 && usable {
				t.Errorf("%s: still gets work after four lost starts", c.name)
			}
		}
		p.HandleHeartbeat(at(11), heartbeat("a", 2, 11, 5))
		if got := len(p.MachinesToTerminate(at(11))) == 1; got != c.terminated {
			t.Errorf("%s: terminated %v", c.name, got)
		}
		if !hasCommit(p, at(11)) {
			t.Errorf("%s: what it held does not run elsewhere", c.name)
		}
	}
}

// Copies of heartbeats end, start, revive and confirm nothing, however late: within
// a view, after a change of owner, and after the machine's termination.
func TestLateCopiesOfHeartbeatsChangeNothing(t *testing.T) {
	p, jobs := newPartitionWithPlacement(t)
	p.Commands(at(1), "a", 1, 1)
	attempt := attemptOf(p)
	p.HandleHeartbeat(at(2), heartbeat("a", 2, 5, 5))
	late := []*protocol.Heartbeat{
		heartbeat("a", 1, 9, 5), heartbeat("a", 2, 5, 5), heartbeat("a", 2, 4, 5, completedTask("wk-1", 0, attempt)),
	}
	for _, r := range late {
		if p.HandleHeartbeat(at(9), r) {
			t.Errorf("applied: %+v", r)
		}
		p.RecordContact(r, at(9))
	}
	if got := p.machines.get("a").lastContact; !got.Equal(at(2)) {
		t.Errorf("copies count as contact: %v", got)
	}
	// A new owner knows from the record which heartbeats were applied; of a machine without a
	// record it applies a copy as a heartbeat, which places and confirms nothing.
	rec := recordOf(2, placementOf("wk-1", 0, 77))
	rec.Machines[0].Sequence = 8
	q := New(testConfig, 6, 0, t0, quadCapacity, jobs)
	if err := q.LoadShard(ShardKey(0, 0), rec, 3, t0); err != nil {
		t.Fatal(err)
	}
	if q.HandleHeartbeat(at(1), heartbeat("a", 2, 7, 5, completedTask("wk-1", 0, 77))) {
		t.Error("applied a copy of a heartbeat that the former owner had applied")
	}
	q.HandleHeartbeat(at(1), heartbeat("ghost", 1, 40, 5))
	if assignTask(q, at(1), 1, "wk-2", 0, "ghost", 0); len(q.machines.get("ghost").queue) != 0 || q.machines.get("ghost").usable() {
		t.Error("a copy makes a machine that is gone take work")
	}
	if r := q.MachinesToTerminate(at(32)); len(r) != 2 || r[1] != "ghost" {
		t.Errorf("never heard of again: terminates %v", r)
	}
	q.HandleTerminated([]string{"ghost"}, at(32))
	if q.HandleHeartbeat(at(33), heartbeat("ghost", 1, 41, 6)) {
		t.Error("a late copy brought a terminated machine back")
	}
}

// A machine keeps the images used last, as far as its cache holds them.
func TestImageCacheKeepsTheImagesUsedLast(t *testing.T) {
	cfg := testConfig
	cfg.CacheGB = func(string) float64 { return 10 }
	p := New(cfg, 5, 0, t0, quadCapacity, newJobCache(t))
	m := &Machine{}
	for _, c := range []struct {
		image string
		gb    float64
		want  string
	}{{"a", 4, "[a]"}, {"b", 4, "[a b]"}, {"a", 4, "[b a]"}, {"c", 4, "[a c]"}, {"huge", 40, "[huge]"}} {
		p.heartbeats.recordImage(m, c.image, c.gb)
		assertEqual(t, "after "+c.image, fmt.Sprint(m.state(t0, detailSecond).Images), c.want)
	}
}
