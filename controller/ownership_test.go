package controller

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// newTestOwnership returns the ownership of a leader in view 5, its partition and its log.
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

// A leader whose view was superseded drops its partition and its scheduler, wakes the heartbeats that
// wait for a commit, and logs this once.
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
		t.Errorf("the drop of the partition was logged %d times, want once: %s", n, log)
	}
}

// Guards against plans of an earlier view: a node that led it and leads again told the owners to evict or
// terminate machines that had got work since, before its first plan of the new view.
func TestPlanEndsWithTheView(t *testing.T) {
	o, _, _ := newTestOwnership(t)
	planner := autoscaler.New(autoscaler.Config{})
	o.state.leader.autoscaler = planner
	o.state.leader.evict, o.state.leader.terminate = []string{"i-1"}, []string{"i-2"}
	o.state.leader.waits = []autoscaler.JobWait{{Job: "wk-1"}}
	o.state.dropPartition(o.log, dropNextView)
	leader := &o.state.leader
	if len(leader.evict)+len(leader.terminate)+len(leader.waits) > 0 {
		t.Errorf("evicts %v, terminates %v, waits %v, want none", leader.evict, leader.terminate, leader.waits)
	}
	if leader.autoscaler != planner {
		t.Error("the autoscaler, which holds the machine types, is gone")
	}
}

// Only the leader of the previous view, its first member, logs that it is deposed, with both views.
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
			t.Errorf("%s: led %v, want %v", c.name, got, c.want)
		}
	}
	var out strings.Builder
	state := &nodeState{current: viewState{view: fifth}}
	state.logDeposed(slog.New(slog.NewTextHandler(&out, nil)), 6)
	if !strings.Contains(out.String(), "msg=deposed view=5 next=6") {
		t.Errorf("logged %q, want both views", out.String())
	}
}

// An owner whose records cannot be decoded releases its partition: like a superseded leader, it drops its
// partition and its scheduler, and wakes the heartbeats that wait for a commit.
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

// The outcome of an earlier partition's commit does not drop the current partition.
func TestEarlierPartitionDoesNotDropCurrentOne(t *testing.T) {
	for name, drop := range map[string]func(*ownership, *partition.Partition){
		"superseded": (*ownership).handleViewSuperseded,
		"released":   (*ownership).release,
	} {
		o, earlier, _ := newTestOwnership(t)
		_, current, _ := newTestOwnership(t)
		o.state.current.partition = current
		drop(o, earlier)
		if o.state.current.partition != current || o.state.leader.scheduler == nil {
			t.Errorf("%s: the current partition was dropped", name)
		}
	}
}

func TestMachineHasNoOwnerWithoutView(t *testing.T) {
	state := newNodeState(map[string]int{}, newLimitCounter(slog.New(slog.DiscardHandler)))
	if owner, known := state.ownerOf("m-1"); known {
		t.Errorf("member %d owns a machine although there is no view", owner)
	}
	state.current.view = membership.View{Number: 1, Members: []membership.Member{{Node: "n0"}}, Buckets: 4}
	state.current.bucketOwners = state.current.view.BucketOwners()
	if owner, known := state.ownerOf("m-1"); !known || owner != 0 {
		t.Errorf("owner %d, known %v; want 0, true", owner, known)
	}
}
