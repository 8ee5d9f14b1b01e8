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

// The most tasks that are stopped in one cycle: for one job, and in all.
const (
	maxJobPreemptions   = 8
	maxCyclePreemptions = 64
)

// Room for replicas is made sooner, and for more than for other work.
const (
	servicePreemptAfter   = time.Second
	maxServicePreemptionS = 20.0            // run time that may be lost for a replica
	serviceQueueAfter     = 4 * time.Second // and if that fails, they queue on full machines
)

// Preemptions lists the tasks of an owner that are to make room for others, until it shows
// that it stops them.
func (s *Scheduler) Preemptions(owner int) []job.Task {
	var out []job.Task
	for task, h := range s.preemptedHolders() {
		if h.machine.Owner == owner && !h.held.Stopping {
			out = append(out, task)
		}
	}
	slices.SortFunc(out, job.Task.Compare)
	return out
}

// holder is a machine that holds a task, and the run that the task is of.
type holder struct {
	machine *Machine
	held    *partition.HeldTasks
}

// preemptedHolders finds the machines that hold the tasks that are to be stopped, by one look
// at all machines.
func (s *Scheduler) preemptedHolders() map[job.Task]holder {
	holders := map[job.Task]holder{}
	if len(s.preempted) == 0 {
		return holders
	}
	byJob := map[string][]job.Task{}
	for task := range s.preempted {
		byJob[task.Job] = append(byJob[task.Job], task)
	}
	for _, m := range s.machines {
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
	cost      float64
	lossS     float64 // run time that is lost
	taken     bool
}

// preemption is the search for room in one cycle.
type preemption struct {
	*Scheduler
	now      time.Time
	coming   float64                // CPUs that are being freed already
	releases float64                // CPUs that fall free by themselves in a second
	beyond   []float64              // of each team, CPUs beyond its guarantee
	victims  map[*Machine][]*victim // nil until they are needed
	asked    float64                // CPUs that the jobs looked at so far wait for
	count    int
	hopeless map[demand]bool // for which no victims were found
}

// demand is all that a search for victims depends on, of jobs that any zone may take. What one
// did not find in a cycle no other does: room and victims only become fewer.
type demand struct {
	team, rank   int
	need         job.Resources
	zone, types  string
	spot, inside bool
	service      bool
}

// preempt stops work to make room where the protocol allows it: for work of a higher
// priority, and to give a team its guarantee, work that another team runs beyond its own. The
// cheapest loss goes first: what saves its progress, then what ran the least.
func (s *Scheduler) preempt(waiting []*WaitingJob, now time.Time) {
	p := preemption{Scheduler: s, now: now, beyond: make([]float64, len(s.Teams)), hopeless: map[demand]bool{}}
	p.countReleases()
	for i := range s.Teams {
		p.beyond[i] = s.Teams[i].used.CPUs - s.Teams[i].Guarantee.CPUs
	}
	for _, w := range waiting {
		if p.count >= maxCyclePreemptions {
			return
		}
		p.asked += float64(w.Tasks) * w.Job.Spec.CPUs
		if p.mayPreempt(w) {
			p.makeRoom(w)
		}
	}
}

// countReleases works out what room is coming anyway.
func (p *preemption) countReleases() {
	holders := p.preemptedHolders()
	for task := range p.preempted {
		h, held := holders[task]
		if !held {
			delete(p.preempted, task)
			continue
		}
		p.coming += h.held.Resources.CPUs
	}
	for _, e := range p.entries {
		if e.live != nil && !e.live.IsService() {
			p.releases += float64(e.running) * e.live.Spec.CPUs / p.estimate(e.live)
		}
	}
}

// mayPreempt tells whether work may be stopped for a job now. Replicas serve from the moment
// they run, and what falls free by itself goes to the queues of the machines first: room is
// made for them at once. Other work that has its room sooner without is left to wait.
func (p *preemption) mayPreempt(w *WaitingJob) bool {
	after := p.cfg.PreemptAfter
	if w.Job.IsService() {
		after = servicePreemptAfter
	} else if p.asked <= p.releases*p.cfg.PreemptAfter.Seconds() {
		return false
	}
	if w.Tasks <= 0 || w.PastDeadline || p.now.Sub(w.Job.FirstSeen) < after || !p.WithinLimit(w.Job) {
		return false
	}
	return w.Job.Rank < protocol.FirstNonUrgentRank || p.withinShare(w.Job, true)
}

// makeRoom stops what a job's tasks need, as far as that may be done in one cycle.
func (p *preemption) makeRoom(w *WaitingJob) {
	if p.victims == nil {
		p.victims = p.preemptionVictims(p.now)
	}
	need := w.Job.Resources()
	inside := p.withinShare(w.Job, true)
	for range min(w.Tasks, maxJobPreemptions) {
		if p.coming >= need.CPUs && !w.Job.IsService() {
			p.coming -= need.CPUs
			continue
		}
		key, keyed := demandOf(w, need, inside)
		if keyed && p.hopeless[key] {
			return
		}
		m, victims := p.cheapestVictims(w, need, inside)
		if victims == nil {
			if keyed {
				p.hopeless[key] = true
			}
			return
		}
		if w.Job.IsService() && !p.assignReplica(w, m) {
			return
		}
		for _, v := range victims {
			v.taken = true
			p.preempted[v.task] = p.now
			p.beyond[v.live.Team] -= v.resources.CPUs
			p.Counts.Preempted++
			p.count++
		}
	}
}

// demandOf is what a job's search for victims depends on; keyed is false where it depends on
// more.
func demandOf(w *WaitingJob, need job.Resources, inside bool) (key demand, keyed bool) {
	spec := &w.Job.Spec
	if spec.SameZone || spec.SpreadZones {
		return key, false
	}
	return demand{
		team: w.Team, rank: w.Job.Rank, need: need, zone: spec.Zone, types: strings.Join(spec.MachineTypes, " "),
		spot: spec.SpotAllowed, inside: inside, service: w.Job.IsService(),
	}, true
}

// assignReplica gives a replica to the machine whose tasks are stopped for it at once, to the
// head of the queue: else what waits there had the room.
func (p *preemption) assignReplica(w *WaitingJob, m *Machine) bool {
	if !p.WithinLimit(w.Job) {
		return false
	}
	tasks := p.nextTasks(w.entry, 1, m.ID)
	if len(tasks) == 0 {
		return false
	}
	p.assign(w.entry, m, tasks, 0)
	return true
}

// preemptionVictims lists what may be stopped on each machine, the cheapest first: what would
// lose more will end by itself before the loss is made good.
func (s *Scheduler) preemptionVictims(now time.Time) map[*Machine][]*victim {
	out := map[*Machine][]*victim{}
	for _, m := range s.machines {
		if !m.Open() || s.Quarantined[m.ID] {
			continue
		}
		var victims []*victim
		for i := range m.Held {
			victims = append(victims, s.victimsOf(m, &m.Held[i], now)...)
		}
		if len(victims) == 0 {
			continue
		}
		slices.SortFunc(victims, func(a, b *victim) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), a.task.Compare(b.task))
		})
		out[m] = victims
	}
	return out
}

// victimsOf gives those of a run of tasks that may be stopped.
func (s *Scheduler) victimsOf(m *Machine, held *partition.HeldTasks, now time.Time) (out []*victim) {
	l := s.jobs.Get(held.Job)
	if l == nil || !l.HasTeam() || held.Phase != partition.PhaseRunning || held.Stopping || l.IsService() {
		return nil
	}
	ranS := held.PhaseS + now.Sub(m.lastSeen).Seconds()
	lossS := ranS
	if l.Spec.CheckpointIntervalS > 0 {
		lossS = l.Spec.CheckpointDurationS
	}
	if lossS > max(s.cfg.MaxPreemptionLoss.Seconds(), maxServicePreemptionS) {
		return nil
	}
	cost := lossS * held.Resources.CPUs
	if ranS < s.cfg.MinRunBeforeStop.Seconds() {
		cost += s.cfg.MinRunBeforeStop.Seconds() * held.Resources.CPUs // its start would not count
	}
	for i := range held.Tasks.All() {
		task := job.Task{Job: held.Job, Index: i}
		if _, stopping := s.preempted[task]; !stopping {
			out = append(out, &victim{task: task, live: l, resources: held.Resources, cost: cost, lossS: lossS})
		}
	}
	return out
}

// cheapestVictims finds the cheapest tasks of one machine whose room is enough.
func (p *preemption) cheapestVictims(w *WaitingJob, need job.Resources, inside bool) (best *Machine, victims []*victim) {
	var bestCost float64
	var unacked map[string]bool
	if w.Job.IsService() {
		unacked = p.unackedMachines(w.Job.Spec.UID)
	}
	for _, m := range p.Machines() {
		if p.victims[m] == nil || !need.FitsIn(m.Capacity) || !job.AllowsMachine(&w.Job.Spec, m.kind()) || !p.ZoneAllowed(w, m.Zone) {
			continue
		}
		chosen, cost := p.victimsOn(m, w, need, inside)
		if w.Job.IsService() && (unacked[m.ID] || m.holds(w.Job.Spec.UID)) {
			cost += maxServicePreemptionS * need.CPUs // rather another machine
		}
		if len(chosen) > 0 && (best == nil || cost < bestCost) {
			best, victims, bestCost = m, chosen, cost
		}
	}
	return best, victims
}

// victimsOn gives the cheapest tasks of a machine whose room is enough, or none.
func (p *preemption) victimsOn(m *Machine, w *WaitingJob, need job.Resources, inside bool) (chosen []*victim, cost float64) {
	room := m.FreeNow.ClampToZero()
	for _, v := range p.victims[m] {
		if need.FitsIn(room) {
			break
		}
		if p.mayStop(v, w, inside) {
			room = room.Add(v.resources)
			cost += v.cost
			chosen = append(chosen, v)
		}
	}
	if !need.FitsIn(room) {
		return nil, 0
	}
	return chosen, cost
}

// mayStop tells whether a task may be stopped for a job: it is less urgent, or its team runs
// it beyond its guarantee and the job lies within its own team's.
func (p *preemption) mayStop(v *victim, w *WaitingJob, inside bool) bool {
	borrowed := inside && v.live.Team != w.Team && p.beyond[v.live.Team] >= v.resources.CPUs
	if v.taken || v.live.Rank <= w.Job.Rank && !borrowed {
		return false
	}
	return w.Job.IsService() || v.lossS <= p.cfg.MaxPreemptionLoss.Seconds()
}
