package partition

import (
	"fmt"
	"testing"

	"junipershelf/protocol"
)

// Invariants 2 and 5 of the design: a placement of an earlier view is removed when a heartbeat with
// this view's fencing token does not report it, since a start of that view can no longer arrive.
func TestRestoredPlacementMissingFromNewHeartbeatIsRemoved(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
	if err := p.LoadShard(ShardKey(0, 0), recordOf(1, placementOf("wk-1", 0, 77), placementOf("wk-1", 1, 78)), 3, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 9, 4, runningTask("wk-1", 0, 77)))
	assertEqual(t, "older fencing token", commandText(p.Commands(at(1), "a", 1, 9)), "")
	if hasCommit(p, at(1)) {
		t.Error("placement removed while a start of an earlier view may still arrive")
	}
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 10, 5, runningTask("wk-1", 0, 77)))
	assertEqual(t, "this view's fencing token", commandText(p.Commands(at(2), "a", 1, 10)), "")
	assertEqual(t, "commit", recordText(t, nextCommit(t, p, at(2))), "wk-1/0@a;")
}

// A heartbeat of a later agent epoch ends all placements of earlier epochs, including those whose
// commit was in flight.
func TestNewAgentEpochEndsPlacementsOfEarlierOnes(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	assignTask(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	c := nextCommit(t, p, at(1))
	p.HandleHeartbeat(at(2), heartbeat("a", 2, 2, 5))
	p.HandleCommitApplied(c, 10, at(2))
	assertEqual(t, "for the earlier agent epoch", commandText(p.Commands(at(2), "a", 2, 2)), "")
	p.HandleHeartbeat(at(3), heartbeat("a", 2, 3, 5))
	if !hasCommit(p, at(3)) {
		t.Error("the placement of an earlier agent epoch is never removed")
	}
}

// If a machine's heartbeats arrive but the replies to them are lost, its agent epoch rises although
// the owner replied to every heartbeat: it gets no new work and is terminated. Heartbeats that a
// network partition delayed arrive in a burst and do not count as evidence, and neither does one
// lost reply.
func TestMachineThatReceivesNoRepliesIsTerminated(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      float64 // seconds after t0 before which no heartbeat arrives
		terminated bool
	}{{"a reply to every heartbeat", 1, true}, {"delayed heartbeats in a burst", 9, false}} {
		p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 9)))
		for i := range 9 {
			now := at(max(float64(i+1), c.first))
			p.HandleHeartbeat(now, heartbeat("a", 1, uint64(i+1), 5))
			p.RecordReply("a")
			if i == 0 {
				assignTask(p, now, 1, "wk-1", 0, "a", 0)
				p.Tick(now)
				p.HandleCommitApplied(nextCommit(t, p, now), 10, now)
			}
			p.Commands(now, "a", 1, uint64(i+1))
			usable := p.machines.get("a").usable()
			if i == 1 && !usable {
				t.Errorf("%s: machine gets no work after one lost reply", c.name)
			}
			if i == 4 && usable {
				t.Errorf("%s: machine still gets work after four lost starts", c.name)
			}
		}
		p.HandleHeartbeat(at(11), heartbeat("a", 2, 11, 5))
		if got := len(p.MachinesToTerminate(at(11))) == 1; got != c.terminated {
			t.Errorf("%s: machine is terminated: %v, want %v", c.name, got, c.terminated)
		}
		if !hasCommit(p, at(11)) {
			t.Errorf("%s: the placement of the earlier agent epoch is not removed", c.name)
		}
	}
}

// Delayed copies of heartbeats change no placement, make no machine usable and do not count as contact:
// within a view, after a change of owner, and after the machine's termination.
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
			t.Errorf("delayed copy was applied: %+v", r)
		}
		p.RecordContact(r, at(9))
	}
	if got := p.machines.get("a").lastContact; !got.Equal(at(2)) {
		t.Errorf("last contact at %v, want %v: a delayed copy counted as contact", got, at(2))
	}
	// A new owner knows from the record which heartbeats were applied. For a machine that is in no
	// record it applies a copy, but that does not make the machine usable.
	rec := recordOf(2, placementOf("wk-1", 0, 77))
	rec.Machines[0].Sequence = 8
	q := New(testConfig, 6, 0, t0, quadCapacity, jobs)
	if err := q.LoadShard(ShardKey(0, 0), rec, 3, t0); err != nil {
		t.Fatal(err)
	}
	if q.HandleHeartbeat(at(1), heartbeat("a", 2, 7, 5, completedTask("wk-1", 0, 77))) {
		t.Error("a copy of a heartbeat that the former owner had applied was applied")
	}
	q.HandleHeartbeat(at(1), heartbeat("stale", 1, 40, 5))
	if assignTask(q, at(1), 1, "wk-2", 0, "stale", 0); len(q.machines.get("stale").queue) != 0 || q.machines.get("stale").usable() {
		t.Error("a copy of an old heartbeat makes a machine usable")
	}
	if r := q.MachinesToTerminate(at(32)); len(r) != 2 || r[1] != "stale" {
		t.Errorf("machines to terminate: %v, want a and stale, which have had no contact", r)
	}
	q.HandleTerminated([]string{"stale"}, at(32))
	if q.HandleHeartbeat(at(33), heartbeat("stale", 1, 41, 6)) {
		t.Error("a delayed copy added a terminated machine again")
	}
}

// The image cache keeps the most recently used images that fit its size.
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
