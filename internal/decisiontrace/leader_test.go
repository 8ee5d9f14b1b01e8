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

// leader is the controller that runs the scheduler and the autoscaler.
type leader struct {
	scheduler        *scheduler.Scheduler
	autoscaler       *autoscaler.Autoscaler
	lastCycle        time.Time
	evict, terminate []string
	placeableWork    bool
}

// teamNames are the teams of each history. A team's index in it is its index everywhere.
var teamNames = []string{"red", "blue", "green"}

// newLeader returns the leader of the current view. Until an owner's first sync, the leader takes
// the owner's state from its stored shards.
func (h *history) newLeader() *leader {
	cpus := func(n float64) job.Resources { return job.Resources{CPUs: n, Accelerators: n / 8} }
	quota := h.scenario.quota
	teams := []scheduler.Team{
		{Name: teamNames[0], Guarantee: cpus(quota), Limit: cpus(3 * quota)},
		{Name: teamNames[1], Guarantee: cpus(2 * quota), Limit: cpus(4 * quota), Weight: quota},
		{Name: teamNames[2], Guarantee: cpus(quota / 2), Limit: cpus(quota)},
	}
	l := &leader{scheduler: scheduler.New(scheduler.Config{
		MaxQueuedPerMachine: 4, PreCommitWindow: 8 * time.Second, Aging: 40 * time.Second, StarvationAfter: 20 * time.Second,
		FailurePause: 2 * time.Second, MaxFailurePause: 16 * time.Second, QuarantineAfter: 2, ValueBytes: h.valueBytes,
		MaxCompletedTasks: 40, PreemptAfter: 3 * time.Second, ImageWaitFactor: 0.5, PullGBPerS: func() float64 { return 0.5 },
		MinRunBeforeStop: 8 * time.Second, MaxPreemptionLoss: 8 * time.Second, GuaranteeWithin: 16 * time.Second,
		Targets: map[string][]scheduler.Target{"batch": {{Within: time.Minute}, {Times: 2}}, "interactive": {{Start: true, Within: 8 * time.Second}}},
	}, teams, len(h.caches), h.capacityOf, h.caches[0])}
	records := make([][]partition.Record, len(h.caches))
	for _, key := range h.shardKeys() {
		at := h.ownerOfKey(key)
		records[at] = append(records[at], h.storedRecord(key))
	}
	for i, ownerRecords := range records {
		states, completed, err := partition.StatesFromRecords(ownerRecords, h.capacityOf, h.now)
		check(err)
		h.trace.addMsgpack("inherited", peer.Sync{Index: i, Update: partition.Update{Machines: states, Completed: completed}})
		l.scheduler.RestoreOwner(i, states, completed, h.now)
	}
	l.autoscaler = autoscaler.New(autoscaler.Config{
		IdleFactor: 3, BootFactor: 3, BootSlack: 5 * time.Second, NoCapacityPause: 6 * time.Second, OnDemandRank: 1, OnDemandWait: 10 * time.Second,
		UnreportedLimit: 20 * time.Second, MinRunBeforeStop: 8 * time.Second, EvictionHeadroom: 0.125, ListLag: 4 * time.Second, MaxMachines: h.scenario.maxMachines,
	})
	l.autoscaler.Catalogue = catalogue
	return l
}

// handleSync handles an owner's sync.
func (l *leader) handleSync(h *history, request peer.Sync) peer.SyncReply {
	reply := peer.SyncReply{View: h.view}
	if request.View != h.view {
		return reply
	}
	reply.OK = true
	reply.UpdateVersion = l.scheduler.ApplyUpdate(request.Index, request.Update, h.now)
	l.autoscaler.RecordTerminated(request.Update.Terminated, h.now)
	if h.now.Sub(l.lastCycle) >= 300*time.Millisecond {
		l.runCycle(h)
	}
	reply.Assignments = l.scheduler.UnacknowledgedAssignments(request.Index)
	reply.FleetBase = l.scheduler.BaseVersion(request.FleetVersion)
	reply.Fleet, reply.FleetRemoved, reply.FleetVersion = l.scheduler.FleetSince(reply.FleetBase)
	reply.Running = l.scheduler.RunningCountsSince(reply.FleetBase)
	reply.Evict, reply.Terminate = h.ownedBy(request.Index, l.evict), h.ownedBy(request.Index, l.terminate)
	reply.Stop = l.scheduler.Preemptions(request.Index)
	reply.HasPlaceableWork = l.placeableWork
	return reply
}

// runCycle runs a scheduling cycle and records the order of the waiting jobs.
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
		h.trace.addText("waiting%s", line.String())
	}
	return waiting
}

// plan runs the autoscaler and executes its scale-out requests.
func (l *leader) plan(h *history, waiting []*scheduler.WaitingJob) {
	if !l.scheduler.AllOwnersSynced() || !l.autoscaler.HasList() {
		return
	}
	plan := l.autoscaler.Plan(h.now, l.scheduler, waiting)
	l.evict, l.terminate = plan.Evict, plan.Terminate
	if len(plan.Evict)+len(plan.Terminate) > 0 {
		h.trace.addText("drain %v, discard %v", plan.Evict, plan.Terminate)
	}
	for _, request := range plan.Requests {
		h.trace.addCBOR("rent", protocol.ScaleOutRequest{MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, Count: request.Count})
		l.autoscaler.RecordRequest(request)
		switch ids, replied := h.scaleOut(request.MachineType, request.Zone, request.Spot, request.Count); {
		case !replied:
			l.autoscaler.RecordFailure(request, h.now)
		case len(ids) == 0:
			l.autoscaler.RecordNoCapacity(request, h.now)
		default:
			l.autoscaler.RecordGrant(request, ids, h.now)
		}
	}
}

// compact writes completed tasks and ended jobs into the jobs' records.
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
	h.trace.addCBOR("compacts", t)
	if h.chance(h.scenario.refusedCommits) {
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

// recordTotals records the leader's counts, with labels that are independent of names in the code.
func (l *leader) recordTotals(h *history) {
	c, t := &l.scheduler.Counts, l.scheduler.Totals()
	h.trace.addText("leader: assigned %d, preempted %d, protected %d, replicas %d after %v", c.Assigned, c.Preempted, c.StarvationProtected, c.ReplicasAssigned, c.ReplicaWait)
	h.trace.addText("leader: held %d, running %d, starting %d, queued %d, ended %d, waiting %d, free %v, unacknowledged %d",
		t.Held, t.Running, t.Starting, t.Queued, t.Ended, t.Waiting, t.FreeCPUs, l.scheduler.UnackedCount())
	for i := range l.scheduler.Teams {
		team := &l.scheduler.Teams[i]
		h.trace.addText("team %s: uses %v, queues %v, runs %v", team.Name, t.Teams[i].Used, team.Queued().CPUs, t.Teams[i].Running)
	}
}
