package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// How many tasks are preempted in one cycle at most: for one job, and in all.
const (
	maxJobPreemptions   = 8
	maxCyclePreemptions = 64
)

// Others are preempted for replicas sooner, and at a greater loss, than for other work.
const (
	servicePreemptAfter   = time.Second
	maxServicePreemptionS = 20.0            // run time that may be lost for a replica
	serviceQueueAfter     = 4 * time.Second // if that fails, replicas queue on full machines
)

// preemptor stops tasks to make room where the protocol allows it: for work of a higher
// priority, and, to give a team its guarantee, tasks that another team runs beyond its own.
// The cheapest loss goes first: what keeps its progress, then what ran the least.
type preemptor struct {
	cfg        *Config
	cluster    *clusterState
	estimates  *runTimeEstimator
	quarantine *quarantine
	placer     *placer
	counts     *Counts
	preempted  map[job.Task]time.Time // tasks that are to stop, until nobody holds them
}

// ofOwner lists the preempted tasks of an owner that it does not stop yet.
func (p *preemptor) ofOwner(owner int) []job.Task {
	var tasks []job.Task
	for task, h := range p.preemptedHolders() {
		if h.machine.Owner == owner && !h.held.Stopping {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, job.Task.Compare)
	return tasks
}

// holder is a machine that holds a task, and the held tasks that it is one of.
type holder struct {
	machine *Machine
	held    *partition.HeldTasks
}

// preemptedHolders finds the machines that hold preempted tasks, by one look at all machines.
func (p *preemptor) preemptedHolders() map[job.Task]holder {
	holders := map[job.Task]holder{}
	if len(p.preempted) == 0 {
		return holders
	}
	byJob := map[string][]job.Task{}
	for task := range p.preempted {
		byJob[task.Job] = append(byJob[task.Job], task)
	}
	for _, m := range p.cluster.machines.byID {
		for i := range m.Held {
			for _, task := range byJob[m.Held[i].Job] {
				if m.Held[i].Tasks.Has(task.Index) {
					holders[task] = holder{m, &m.Held[i]}
				}
			}
		}
	}
	return holders
}

// victim is a running task that may be stopped.
type victim struct {
	task      job.Task
	live      *job.CachedJob
	resources job.Resources
	cost      float64 // CPU seconds that are lost
	lossS     float64 // run time that is lost
	taken     bool    // preempted in this cycle
}

// preemptionCycle is the preemptor's work in one cycle.
type preemptionCycle struct {
	*preemptor
	now            time.Time
	comingCPUs     float64                // that preempted tasks release
	releasedCPUs   float64                // that tasks release by themselves in a second
	borrowedCPUs   []float64              // of each team, beyond its guarantee
	victims        map[*Machine][]*victim // nil until they are needed
	waitingCPUs    float64                // of the jobs considered so far
	preemptedCount int
	unsatisfiable  map[demand]bool // for which no victims were found
}

// demand is all that a search for victims depends on, of jobs that any zone may take. What one
// did not find in a cycle no other does: room and victims only become fewer.
type demand struct {
	team, rank      int
	need            job.Resources
	zone, types     string
	spot            bool
	withinGuarantee bool
	service         bool
}

// run preempts tasks for the jobs that have waited for long enough, in the order of service.
func (p *preemptor) run(waiting []*WaitingJob, now time.Time) {
	if p.cfg.PreemptAfter <= 0 {
		return
	}
	cycle := p.newCycle(now)
	for _, w := range waiting {
		if cycle.preemptedCount >= maxCyclePreemptions {
			return
		}
		cycle.waitingCPUs += float64(w.Tasks) * w.Job.Spec.CPUs
		if cycle.mayPreemptFor(w) {
			cycle.makeRoom(w)
		}
	}
}

// newCycle computes what room is coming anyway, and what teams borrow.
func (p *preemptor) newCycle(now time.Time) *preemptionCycle {
	cycle := &preemptionCycle{preemptor: p, now: now, unsatisfiable: map[demand]bool{}}
	cycle.comingCPUs = p.dropStopped()
	for _, entry := range p.cluster.entries {
		if entry.live != nil && !entry.live.IsService() {
			cycle.releasedCPUs += float64(entry.running) * entry.live.Spec.CPUs / p.estimates.estimate(entry.live)
		}
	}
	for i := range p.cluster.quotas.teams {
		team := &p.cluster.quotas.teams[i]
		cycle.borrowedCPUs = append(cycle.borrowedCPUs, team.used.CPUs-team.Guarantee.CPUs)
	}
	return cycle
}

// dropStopped forgets the preempted tasks that nobody holds any more, and returns the CPUs that
// the others are to release.
func (p *preemptor) dropStopped() float64 {
	coming := 0.0
	holders := p.preemptedHolders()
	for task := range p.preempted {
		if h, held := holders[task]; held {
			coming += h.held.Resources.CPUs
		} else {
			delete(p.preempted, task)
		}
	}
	return coming
}

// mayPreemptFor reports whether tasks may be stopped for a job now. Replicas serve from the
// moment they run, and what falls free by itself goes to the queues of the machines first: room
// is made for them at once. Other work that has its room sooner without is left to wait.
func (c *preemptionCycle) mayPreemptFor(w *WaitingJob) bool {
	after := c.cfg.PreemptAfter
	if w.Job.IsService() {
		after = servicePreemptAfter
	} else if c.waitingCPUs <= c.releasedCPUs*c.cfg.PreemptAfter.Seconds() {
		return false
	}
	if w.Tasks <= 0 || w.PastDeadline || c.now.Sub(w.Job.FirstSeen) < after || !c.cluster.quotas.allows(w.Job, limitQuota) {
		return false
	}
	return w.Job.Rank < protocol.FirstNonUrgentRank || c.cluster.quotas.allows(w.Job, guaranteeQuota)
}

// beneficiary is a job that tasks are stopped for.
type beneficiary struct {
	*WaitingJob
	need            job.Resources // of a task
	withinGuarantee bool          // of its team
}

// makeRoom stops what a job's tasks need, as far as that may be done in one cycle.
func (c *preemptionCycle) makeRoom(w *WaitingJob) {
	if c.victims == nil {
		c.victims = c.findVictims(c.now)
	}
	b := beneficiary{WaitingJob: w, need: w.Job.Resources(), withinGuarantee: c.cluster.quotas.allows(w.Job, guaranteeQuota)}
	for range min(w.Tasks, maxJobPreemptions) {
		if c.comingCPUs >= b.need.CPUs && !w.Job.IsService() {
			c.comingCPUs -= b.need.CPUs
			continue
		}
		if !c.makeRoomForTask(&b) {
			return
		}
	}
}

// makeRoomForTask stops what one task needs, and reports whether it did.
func (c *preemptionCycle) makeRoomForTask(b *beneficiary) bool {
	key, reusable := b.demand()
	if reusable && c.unsatisfiable[key] {
		return false
	}
	m, victims := c.cheapestVictims(b)
	if victims == nil {
		if reusable {
			c.unsatisfiable[key] = true
		}
		return false
	}
	if b.Job.IsService() && !c.assignReplica(b.WaitingJob, m) {
		return false
	}
	for _, v := range victims {
		c.preempt(v)
	}
	return true
}

// preempt has a task stopped.
func (c *preemptionCycle) preempt(v *victim) {
	v.taken = true
	c.preempted[v.task] = c.now
	c.borrowedCPUs[v.live.Team] -= v.resources.CPUs
	c.counts.Preempted++
	c.preemptedCount++
}

// demand returns what the job's search for victims depends on; reusable is false where it
// depends on more.
func (b *beneficiary) demand() (key demand, reusable bool) {
	spec := &b.Job.Spec
	if spec.SameZone || spec.SpreadZones {
		return demand{}, false
	}
	return demand{
		team: b.Team, rank: b.Job.Rank, need: b.need, zone: spec.Zone, types: strings.Join(spec.MachineTypes, " "),
		spot: spec.SpotAllowed, withinGuarantee: b.withinGuarantee, service: b.Job.IsService(),
	}, true
}

// assignReplica assigns a replica to the machine whose tasks are stopped for it at once, at the
// head of the queue: else what waits there would take the room.
func (c *preemptionCycle) assignReplica(w *WaitingJob, m *Machine) bool {
	if !c.cluster.quotas.allows(w.Job, limitQuota) {
		return false
	}
	tasks := c.placer.nextTasks(w.entry, 1, m.ID)
	if len(tasks) == 0 {
		return false
	}
	c.placer.assign(w.entry, m, tasks, noGang)
	return true
}

// findVictims returns what may be stopped on each machine, the cheapest first: what would
// lose more will end by itself before the loss is made good.
func (p *preemptor) findVictims(now time.Time) map[*Machine][]*victim {
	byMachine := map[*Machine][]*victim{}
	for _, m := range p.cluster.machines.byID {
		if !m.Open() || p.quarantine.machines[m.ID] {
			continue
		}
		var victims []*victim
		for i := range m.Held {
			victims = append(victims, p.victimsOf(m, &m.Held[i], now)...)
		}
		if len(victims) == 0 {
			continue
		}
		slices.SortFunc(victims, func(a, b *victim) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), a.task.Compare(b.task))
		})
		byMachine[m] = victims
	}
	return byMachine
}

// victimsOf returns those of some held tasks that may be stopped.
func (p *preemptor) victimsOf(m *Machine, held *partition.HeldTasks, now time.Time) []*victim {
	live := p.cluster.jobs.Get(held.Job)
	if live == nil || live.Team < 0 || held.Phase != partition.PhaseRunning || held.Stopping || live.IsService() {
		return nil
	}
	ranS := held.PhaseS + now.Sub(m.lastSeen).Seconds()
	lossS := ranS
	if live.Spec.CheckpointIntervalS > 0 {
		lossS = live.Spec.CheckpointDurationS
	}
	if lossS > max(p.cfg.MaxPreemptionLoss.Seconds(), maxServicePreemptionS) {
		return nil
	}
	cost := lossS * held.Resources.CPUs
	if ranS < p.cfg.MinRunBeforeStop.Seconds() {
		cost += p.cfg.MinRunBeforeStop.Seconds() * held.Resources.CPUs // its start would not count
	}
	var victims []*victim
	for i := range held.Tasks.All() {
		task := job.Task{Job: held.Job, Index: i}
		if _, stopping := p.preempted[task]; !stopping {
			victims = append(victims, &victim{task: task, live: live, resources: held.Resources, cost: cost, lossS: lossS})
		}
	}
	return victims
}

// cheapestVictims returns the cheapest tasks of one machine whose room is enough, none if there
// are none.
func (c *preemptionCycle) cheapestVictims(b *beneficiary) (best *Machine, victims []*victim) {
	var bestCost float64
	var unacked map[string]bool
	if b.Job.IsService() {
		unacked = c.cluster.unackedMachines(b.Job.Spec.UID)
	}
	for _, m := range c.cluster.machines.all() {
		if c.victims[m] == nil || !b.mayUse(m) {
			continue
		}
		chosen, cost := c.victimsOn(m, b)
		if b.Job.IsService() && (unacked[m.ID] || m.holds(b.Job.Spec.UID)) {
			cost += maxServicePreemptionS * b.need.CPUs // rather another machine
		}
		if len(chosen) > 0 && (best == nil || cost < bestCost) {
			best, victims, bestCost = m, chosen, cost
		}
	}
	return best, victims
}

// mayUse reports whether the job's tasks could run on a machine that is empty.
func (b *beneficiary) mayUse(m *Machine) bool {
	return b.need.FitsIn(m.Capacity) && job.AllowsMachine(&b.Job.Spec, m.kind()) && b.zoneAllowed(m.Zone)
}

// victimsOn returns the cheapest tasks of a machine whose room is enough, or none.
func (c *preemptionCycle) victimsOn(m *Machine, b *beneficiary) (chosen []*victim, cost float64) {
	room := m.FreeNow.ClampToZero()
	for _, v := range c.victims[m] {
		if b.need.FitsIn(room) {
			break
		}
		if c.mayStop(v, b) {
			room = room.Add(v.resources)
			cost += v.cost
			chosen = append(chosen, v)
		}
	}
	if !b.need.FitsIn(room) {
		return nil, 0
	}
	return chosen, cost
}

// mayStop reports whether a task may be stopped for a job: it is less urgent, or its team runs
// it beyond its guarantee and the job lies within its own team's.
func (c *preemptionCycle) mayStop(v *victim, b *beneficiary) bool {
	borrowed := b.withinGuarantee && v.live.Team != b.Team && c.borrowedCPUs[v.live.Team] >= v.resources.CPUs
	if v.taken || v.live.Rank <= b.Job.Rank && !borrowed {
		return false
	}
	return b.Job.IsService() || v.lossS <= c.cfg.MaxPreemptionLoss.Seconds()
}
