package scheduler

import (
	"slices"
	"strings"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Maximum number of tasks preempted in one cycle: for one job, and in total.
const (
	maxJobPreemptions   = 8
	maxCyclePreemptions = 64
)

// For replicas, tasks are preempted sooner and at a greater loss of run time than for other work.
const (
	servicePreemptAfter       = time.Second
	maxServicePreemptionLossS = 20.0            // maximum run time lost per task preempted for a replica
	serviceQueueAfter         = 4 * time.Second // if preemption does not help, replicas are queued on full machines after this time
)

// preemptor stops tasks to free capacity in the two cases that the protocol allows: for jobs of a
// higher priority than the stopped tasks, and for jobs within their team's guarantee if the stopped
// tasks belong to another team and exceed that team's guarantee. Tasks with the
// least lost work are stopped first: those with checkpoints, then those that have run for the shortest
// time.
type preemptor struct {
	cfg        *Config
	cluster    *clusterState
	estimates  *runTimeEstimator
	quarantine *quarantine
	placer     *placer
	waiting    *waitingQueue
	counts     *Counts
	preempted  map[job.Task]time.Time // when a task was preempted; kept until no machine holds the task
}

// unconfirmed lists the preempted tasks of an owner that the owner does not yet report as stopping.
func (p *preemptor) unconfirmed(owner int) []job.Task {
	var tasks []job.Task
	for task, h := range p.preemptedHolders() {
		if h.machine.Owner == owner && !h.held.Stopping {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, job.Task.Compare)
	return tasks
}

// holder is the machine that holds a task, and the group of held tasks that the task belongs to.
type holder struct {
	machine *Machine
	held    *partition.HeldTasks
}

// preemptedHolders finds the holders of all preempted tasks in one pass over the machines.
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

// preemptionCycle is the state of the preemptor during one cycle.
type preemptionCycle struct {
	*preemptor
	now             time.Time
	rooms           roomsAfterPreemption
	releaseRateCPUs float64                // CPUs per second that tasks are expected to release as they end
	borrowedCPUs    []float64              // by team: CPUs used beyond its guarantee
	victims         map[*Machine][]*victim // nil until first needed
	waitingCPUs     float64                // CPUs that the unassigned tasks of the jobs considered so far need
	preemptedCount  int
	unsatisfiable   map[demand]bool                // demands for which no victims were found in this cycle
	order           map[*job.CachedJob]*WaitingJob // jobs of victims, with their place in the order of service
}

// demand is everything that a search for victims depends on, for jobs without zone constraints. A
// demand that cannot be met stays so for the rest of the cycle, since free capacity and victims
// only decrease.
type demand struct {
	team, rank      int
	need            job.Resources
	zone, types     string
	spot            bool
	withinGuarantee bool
	service         bool
}

// run preempts tasks for the jobs that have waited long enough, in the order of service.
func (p *preemptor) run(waiting []*WaitingJob, now time.Time) {
	if p.cfg.PreemptAfter <= 0 {
		p.dropStopped() // tasks may have been withdrawn
		return
	}
	cycle := p.newCycle(now)
	for _, w := range waiting {
		if cycle.preemptedCount >= maxCyclePreemptions {
			return
		}
		cycle.waitingCPUs += float64(w.Tasks) * w.Job.Spec.CPUs
		if cycle.mayPreemptFor(w) {
			cycle.preemptFor(w)
		}
	}
}

// newCycle computes what will become free without further preemption, and the CPUs that each team borrows.
func (p *preemptor) newCycle(now time.Time) *preemptionCycle {
	cycle := &preemptionCycle{
		preemptor: p, now: now, unsatisfiable: map[demand]bool{}, rooms: p.dropStopped(), order: map[*job.CachedJob]*WaitingJob{},
	}
	for _, entry := range p.cluster.entries {
		if entry.live != nil && !entry.live.IsService() {
			cycle.releaseRateCPUs += float64(entry.running) * entry.live.Spec.CPUs / p.estimates.estimate(entry.live)
		}
	}
	for i := range p.cluster.quotas.teams {
		team := &p.cluster.quotas.teams[i]
		cycle.borrowedCPUs = append(cycle.borrowedCPUs, team.used.CPUs-team.Guarantee.CPUs)
	}
	return cycle
}

// mayPreemptFor reports whether tasks may be stopped for a job now. Replicas wait only for
// servicePreemptAfter, since they serve as soon as they run, and capacity that becomes free by
// itself goes first to the tasks queued on the machine. For other jobs no task is stopped if
// enough capacity is expected to become free by itself within PreemptAfter.
func (c *preemptionCycle) mayPreemptFor(w *WaitingJob) bool {
	after := c.cfg.PreemptAfter
	if w.Job.IsService() {
		after = servicePreemptAfter
	} else if c.waitingCPUs <= c.releaseRateCPUs*c.cfg.PreemptAfter.Seconds() {
		return false
	}
	if w.Tasks <= 0 || w.PastDeadline || c.now.Sub(w.Job.FirstSeen) < after || !c.cluster.quotas.allowsNext(w, limitQuota) {
		return false
	}
	return w.Job.Rank < protocol.FirstNonUrgentRank || c.cluster.quotas.allowsNext(w, guaranteeQuota)
}

// preemptingJob is a job for which tasks are stopped.
type preemptingJob struct {
	*WaitingJob
	need            job.Resources // of one task
	withinGuarantee bool          // what it needs next is within the guarantee of its team
	zone            string        // the only zone to consider; anyZone: all
}

// preemptFor stops tasks to free capacity for a job's tasks, up to the limits of one cycle.
func (c *preemptionCycle) preemptFor(w *WaitingJob) {
	if c.victims == nil {
		c.victims = c.findVictims(c.now)
	}
	pj := preemptingJob{WaitingJob: w, need: w.Job.Resources(), withinGuarantee: c.cluster.quotas.allowsNext(w, guaranteeQuota)}
	if w.Job.Spec.Shape == protocol.ShapeGang {
		c.preemptForGang(&pj)
		return
	}
	for range min(w.Tasks, maxJobPreemptions) {
		if c.takeRoom(&pj) {
			continue
		}
		if !c.preemptForTask(&pj) {
			return
		}
	}
}

// preemptForTask stops tasks to free capacity for one task, and reports whether it did.
func (c *preemptionCycle) preemptForTask(pj *preemptingJob) bool {
	key, reusable := pj.demand()
	if reusable && c.unsatisfiable[key] {
		return false
	}
	m, victims := c.cheapestVictims(pj)
	if victims == nil {
		if reusable {
			c.unsatisfiable[key] = true
		}
		return false
	}
	if pj.Job.IsService() && !c.assignReplica(pj.WaitingJob, m) {
		return false
	}
	room := c.roomOn(m, pj)
	for _, v := range victims {
		c.preempt(v)
		room = room.Add(v.resources)
	}
	if !pj.Job.IsService() {
		c.rooms.set(m, room.Sub(pj.need))
	}
	return true
}

// preempt marks a task to be stopped.
func (c *preemptionCycle) preempt(v *victim) {
	v.preempted = true
	c.preempted[v.task] = c.now
	c.borrowedCPUs[v.live.Team] -= v.resources.CPUs
	c.counts.Preempted++
	c.preemptedCount++
}

// demand returns the job's demand; reusable is false if the search for victims also depends on the
// zones of the job's other tasks.
func (pj *preemptingJob) demand() (key demand, reusable bool) {
	spec := &pj.Job.Spec
	if spec.SameZone || spec.SpreadZones {
		return demand{}, false
	}
	return demand{
		team: pj.Team, rank: pj.Job.Rank, need: pj.need, zone: spec.Zone, types: strings.Join(spec.MachineTypes, " "),
		spot: spec.SpotAllowed, withinGuarantee: pj.withinGuarantee, service: pj.Job.IsService(),
	}, true
}

// assignReplica immediately assigns a replica to the machine whose tasks are stopped for it, at the
// head of the queue: otherwise tasks already queued there would take the freed capacity.
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
