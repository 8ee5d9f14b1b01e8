package decisiontrace

import (
	"fmt"
	"strings"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// leader is the controller that schedules and plans the fleet.
type leader struct {
	scheduler      *scheduler.Scheduler
	planner        *autoscaler.Autoscaler
	lastCycle      time.Time
	drain, discard []string
	placeableWork  bool
}

// teamNames are the teams of every history; the index counts.
var teamNames = []string{"red", "blue", "green"}

// newLeader makes the leader of the present view; until an owner calls, what it holds is what
// its records show.
func (h *history) newLeader() *leader {
	cpus := func(n float64) job.Resources { return job.Resources{CPUs: n, Accelerators: n / 8} }
	size := h.scenario.quota
	teams := []scheduler.Team{
		{Name: teamNames[0], Guarantee: cpus(size), Limit: cpus(3 * size)},
		{Name: teamNames[1], Guarantee: cpus(2 * size), Limit: cpus(4 * size), Weight: size},
		{Name: teamNames[2], Guarantee: cpus(size / 2), Limit: cpus(size)},
	}
	l := &leader{scheduler: scheduler.New(scheduler.Config{
		MaxQueuedPerMachine: 4, PreCommitWindow: 8 * time.Second, Aging: 40 * time.Second, StarvationAfter: 20 * time.Second,
		FailurePause: 2 * time.Second, MaxFailurePause: 16 * time.Second, QuarantineAfter: 2, ValueBytes: h.valueBytes,
		MaxCompletedTasks: 40, PreemptAfter: 3 * time.Second, ImageWaitFactor: 0.5, PullGBPerS: func() float64 { return 0.5 },
		MinRunBeforeStop: 8 * time.Second, MaxPreemptionLoss: 8 * time.Second, GuaranteeWithin: 16 * time.Second,
		Targets: map[string][]scheduler.Target{"batch": {{Within: time.Minute}, {Times: 2}}, "interactive": {{Start: true, Within: 8 * time.Second}}},
	}, teams, len(h.mirrors), h.capacityOf, h.mirrors[0])}
	records := make([][]partition.Record, len(h.mirrors))
	for _, key := range h.shardKeys() {
		at := h.ownerOfKey(key)
		records[at] = append(records[at], h.storedRecord(key))
	}
	for i, held := range records {
		states, completed, err := partition.StatesFromRecords(held, h.capacityOf, h.now)
		check(err)
		h.trace.sent("inherited", peer.Sync{Index: i, Update: partition.Update{Machines: states, Completed: completed}})
		l.scheduler.RestoreOwner(i, states, completed, h.now)
	}
	l.planner = autoscaler.New(autoscaler.Config{
		IdleFactor: 3, BootFactor: 3, BootSlack: 5 * time.Second, NoCapacityPause: 6 * time.Second, OnDemandRank: 1, OnDemandWait: 10 * time.Second,
		UnreportedLimit: 20 * time.Second, MinRunBeforeStop: 8 * time.Second, EvictionHeadroom: 0.125, ListLag: 4 * time.Second, MaxMachines: h.scenario.maxMachines,
	})
	l.planner.Catalogue = catalogue
	return l
}

// answer serves an owner's call.
func (l *leader) answer(h *history, call peer.Sync) peer.SyncReply {
	reply := peer.SyncReply{View: h.view}
	if call.View != h.view {
		return reply
	}
	reply.OK = true
	reply.UpdateVersion = l.scheduler.ApplyUpdate(call.Index, call.Update, h.now)
	l.planner.RecordTerminated(call.Update.Terminated, h.now)
	if h.now.Sub(l.lastCycle) >= 300*time.Millisecond {
		l.runCycle(h)
	}
	reply.Assignments = l.scheduler.UnacknowledgedAssignments(call.Index)
	reply.FleetBase = l.scheduler.BaseVersion(call.FleetVersion)
	reply.Fleet, reply.FleetRemoved, reply.FleetVersion = l.scheduler.FleetSince(reply.FleetBase)
	reply.Running = l.scheduler.RunningSince(reply.FleetBase)
	reply.Evict, reply.Terminate = h.ownedBy(call.Index, l.drain), h.ownedBy(call.Index, l.discard)
	reply.Stop = l.scheduler.Preemptions(call.Index)
	reply.PlaceableWork = l.placeableWork
	return reply
}

// runCycle runs a scheduling cycle and writes the order of service down.
func (l *leader) runCycle(h *history) []*scheduler.WaitingJob {
	l.lastCycle = h.now
	waiting := l.scheduler.RunCycle(h.now)
	l.placeableWork = false
	var line strings.Builder
	for _, w := range waiting {
		l.placeableWork = l.placeableWork || w.Tasks > 0 && l.scheduler.WithinLimit(w.Job)
		fmt.Fprintf(&line, " %s:%d:%d:%v", w.Job.Spec.UID, w.Tasks, w.Level(), w.PastDeadline)
	}
	if len(waiting) > 0 {
		h.trace.words("waiting%s", line.String())
	}
	return waiting
}

// plan lets the fleet be planned and carries the rentals out.
func (l *leader) plan(h *history, waiting []*scheduler.WaitingJob) {
	if !l.scheduler.AllOwnersSynced() || !l.planner.HasList() {
		return
	}
	plan := l.planner.Plan(h.now, l.scheduler, waiting)
	l.drain, l.discard = plan.Evict, plan.Terminate
	if len(plan.Evict)+len(plan.Terminate) > 0 {
		h.trace.words("drain %v, discard %v", plan.Evict, plan.Terminate)
	}
	for _, request := range plan.Requests {
		h.trace.stored("rent", protocol.ScaleOutRequest{MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, Count: request.Count})
		l.planner.RecordRequest(request)
		switch ids, answered := h.rent(request.MachineType, request.Zone, request.Spot, request.Count); {
		case !answered:
			l.planner.RecordFailure(request, h.now)
		case len(ids) == 0:
			l.planner.RecordNoCapacity(request, h.now)
		default:
			l.planner.RecordGrant(request, ids, h.now)
		}
	}
}

// compact writes finished tasks and ended jobs into the jobs' records.
func (l *leader) compact(h *history) {
	compactions := l.scheduler.Compactions(4)
	if len(compactions) == 0 {
		return
	}
	var t protocol.Transaction
	for _, c := range compactions {
		t.Guards = append(t.Guards, protocol.Guard{Key: job.Key(c.UID), Revision: c.Revision})
		if c.Final == nil {
			check(t.Put(job.Key(c.UID), c.Record))
			continue
		}
		t.Changes = append(t.Changes, protocol.Change{DeleteKey: job.Key(c.UID)})
		check(t.Put(job.TerminalKey(c.UID), *c.Final))
	}
	h.trace.stored("compacts", t)
	if h.chance(h.scenario.refused) {
		return
	}
	h.revision++
	for _, c := range compactions {
		if c.Final != nil {
			h.endJob(c.UID)
		} else {
			h.setJob(c.UID, c.Record)
		}
	}
}

// totals writes the leader's counts, in words of this package.
func (l *leader) totals(h *history) {
	c, t := &l.scheduler.Counts, l.scheduler.Totals()
	h.trace.words("leader: assigned %d, preempted %d, protected %d, replicas %d after %v", c.Assigned, c.Preempted, c.StarvationProtected, c.ReplicasAssigned, c.ReplicaWait)
	h.trace.words("leader: held %d, running %d, starting %d, queued %d, ended %d, waiting %d, free %v, unacknowledged %d",
		t.Held, t.Running, t.Starting, t.Queued, t.Ended, t.Waiting, t.FreeCPUs, l.scheduler.UnackedCount())
	for i := range l.scheduler.Teams {
		team := &l.scheduler.Teams[i]
		h.trace.words("team %s: uses %v, queues %v, runs %v", team.Name, t.Teams[i].Used, team.QueuedCPUs(), t.Teams[i].Running)
	}
}
