package controller

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// newTestOwnership returns an ownership that leads view 5 with a partition, and its log.
func newTestOwnership(t *testing.T) (*ownership, *partition.Partition, *strings.Builder) {
	t.Helper()
	out := &strings.Builder{}
	log := slog.New(slog.NewTextHandler(out, nil))
	state := newNodeState(map[string]int{}, newLimitCounter(log))
	capacity := func(string) (job.Resources, bool) { return job.Resources{}, false }
	p := partition.New(partition.Config{}, 5, 0, time.Unix(0, 0), capacity, state.jobs)
	state.current.partition = p
	state.leader.scheduler = scheduler.New(scheduler.Config{}, nil, 1, capacity, state.jobs)
	return &ownership{state: state, membership: membership.New("n0", nil, membership.Config{}, log), log: log}, p, out
}

// A leader whose view has ended drops its partition and its scheduler, wakes the heartbeats that
// wait for a commit, and logs the view once.
func TestSupersededLeaderDropsPartition(t *testing.T) {
	o, p, log := newTestOwnership(t)
	settled := o.state.commitSettled
	o.handleViewSuperseded(p)
	checkPartitionDropped(t, o, settled)
	if want := `msg="partition dropped" view=5 leader=true`; !strings.Contains(log.String(), want) {
		t.Errorf("the log has no %q: %s", want, log)
	}
	o.handleViewSuperseded(p)
	if n := strings.Count(log.String(), "partition dropped"); n != 1 {
		t.Errorf("the partition was dropped %d times by the log: %s", n, log)
	}
}

// Only the first member of a view leads it, and the log of a leader that is deposed names both views.
func TestOnlyPreviousLeaderLogsDeposed(t *testing.T) {
	fifth := membership.View{Number: 5}
	for _, c := range []struct {
		name string
		last viewState
		want bool
	}{
		{"the first member", viewState{view: fifth}, true},
		{"another member", viewState{view: fifth, index: 1}, false},
		{"a node outside the view", viewState{view: fifth, nonMember: true}, false},
		{"before the first view", viewState{}, false},
	} {
		if got := c.last.led(); got != c.want {
			t.Errorf("%s: led %v", c.name, got)
		}
	}
	var out strings.Builder
	state := &nodeState{current: viewState{view: fifth}}
	state.logDeposed(slog.New(slog.NewTextHandler(&out, nil)), 6)
	if !strings.Contains(out.String(), "msg=deposed view=5 next=6") {
		t.Errorf("logged %q", out.String())
	}
}

// An owner whose records cannot be decoded stops acting in the same way.
func TestReleaseDropsPartition(t *testing.T) {
	o, p, log := newTestOwnership(t)
	settled := o.state.commitSettled
	o.release(p)
	checkPartitionDropped(t, o, settled)
	if want := `msg="partition released" view=5 leader=true`; !strings.Contains(log.String(), want) {
		t.Errorf("the log has no %q: %s", want, log)
	}
}

func checkPartitionDropped(t *testing.T, o *ownership, settled chan struct{}) {
	t.Helper()
	if o.state.current.partition != nil || o.state.leader.scheduler != nil {
		t.Error("the node still has its partition or its scheduler")
	}
	select {
	case <-settled:
	default:
		t.Error("heartbeats that wait for a commit are not woken")
	}
}

// The outcome of a commit of an earlier partition does not end the present one.
func TestEarlierPartitionDoesNotDropCurrentOne(t *testing.T) {
	for name, end := range map[string]func(*ownership, *partition.Partition){
		"view ended": (*ownership).handleViewSuperseded,
		"released":   (*ownership).release,
	} {
		o, earlier, _ := newTestOwnership(t)
		_, present, _ := newTestOwnership(t)
		o.state.current.partition = present
		end(o, earlier)
		if o.state.current.partition != present || o.state.leader.scheduler == nil {
			t.Errorf("%s: the present partition has ended", name)
		}
	}
}

// Before there is a view no machine has a known owner.
func TestMachineHasNoOwnerWithoutView(t *testing.T) {
	state := newNodeState(map[string]int{}, newLimitCounter(slog.New(slog.DiscardHandler)))
	if owner, known := state.ownerOf("m-1"); known {
		t.Errorf("member %d owns a machine without a view", owner)
	}
	state.current.view = membership.View{Number: 1, Members: []membership.Member{{Node: "n0"}}, Buckets: 4}
	state.current.bucketOwners = state.current.view.BucketOwners()
	if owner, known := state.ownerOf("m-1"); !known || owner != 0 {
		t.Errorf("member %d, known %v", owner, known)
	}
}
