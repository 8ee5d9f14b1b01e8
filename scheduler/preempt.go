package scheduler

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// Preemptions lists the tasks of an owner that are to make room for others, until it
// shows that it stops them.
func (d *Scheduler) Preemptions(o int) []job.Task {
	var out []job.Task
	for t := range d.preempted {
		if m, h := d.holderOf(t); m != nil && m.Owner == o && !h.Stopping {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Less(out[j]) })
	return out
}

// holderOf finds the machine that holds a task.
func (d *Scheduler) holderOf(t job.Task) (*Machine, *partition.HeldTasks) {
	for _, m := range d.machines {
		for i := range m.Held {
			if m.Held[i].Job == t.Job && m.Held[i].Tasks.Has(t.Index) {
				return m, &m.Held[i]
			}
		}
	}
	return nil, nil
}

// victim is a running task that may be stopped.
type victim struct {
	task      job.Task
	live      *job.Live
	resources job.Resources
	cost      float64
	loss      float64 // of run time
	taken     bool
}

// most tasks for which room is made in one turn: for one job, and in all.
const (
	maxJobPreemptions   = 8
	maxCyclePreemptions = 64
)

// Room for replicas is made after standingPause, and what ran for up to standingLoss is
// stopped for it.
const (
	servicePreemptAfter   = time.Second
	maxServicePreemptionS = 20.0
	serviceQueueAfter     = 4 * time.Second // and if that fails, they queue on full machines
)

// preempt stops work to make room where the protocol allows it: for work of a
// higher urgency, and to give a team its guarantee, work that another team runs
// beyond its own. The cheapest loss goes first: what saves its progress, then
// what ran the least.
func (d *Scheduler) preempt(waits []*WaitingJob, now time.Time) {
	coming := 0.0 // room that is being made already
	for t := range d.preempted {
		m, h := d.holderOf(t)
		if m == nil {
			delete(d.preempted, t)
			continue
		}
		coming += h.Resources.CPUs
	}
	relief := 0.0 // CPUs that fall free by themselves in a second
	for _, e := range d.entries {
		if e.live != nil && !e.live.IsService() {
			relief += float64(e.running) * e.live.Spec.CPUs / d.estimate(e.live)
		}
	}
	over := make([]float64, len(d.Teams)) // CPUs beyond the guarantee
	for i := range d.Teams {
		over[i] = d.Teams[i].used.CPUs - d.Teams[i].Guarantee.CPUs
	}
	var all map[*Machine][]*victim
	asked, stops := 0.0, 0
	for _, w := range waits {
		if stops >= maxCyclePreemptions {
			return
		}
		inside := d.withinShare(w.Job, true)
		asked += float64(w.Tasks) * w.Job.Spec.CPUs
		// Replicas serve from the moment they run, and what falls free by itself goes to
		// the queues of the machines first: room is made for them at once.
		pause := d.cfg.PreemptAfter
		if w.Job.IsService() {
			pause = servicePreemptAfter
		} else if asked <= relief*d.cfg.PreemptAfter.Seconds() {
			continue // served first, it has its room sooner without
		}
		if w.Tasks <= 0 || w.Hopeless || now.Sub(w.Job.FirstSeen) < pause || !d.withinShare(w.Job, false) ||
			w.Job.Rank >= firstUnhurried && !inside {
			continue
		}
		if all == nil {
			all = d.preemptionVictims(now)
		}
		need := w.Job.Resources()
		for n, tasks := 0, w.Tasks; n < tasks && n < maxJobPreemptions; n++ {
			if coming >= need.CPUs && !w.Job.IsService() {
				coming -= need.CPUs
				continue
			}
			m, vs := d.cheapestVictims(w, need, inside, over, all)
			if vs == nil {
				break
			}
			if w.Job.IsService() {
				if !d.withinShare(w.Job, false) {
					break
				}
				// It goes there at once, to the head of the queue: else what waits on
				// that machine had the room.
				tasks := d.nextTasks(w.entry, 1, m.ID)
				if len(tasks) == 0 {
					break
				}
				d.assign(w.entry, m, tasks, 0)
			}
			for _, v := range vs {
				v.taken = true
				d.preempted[v.task] = now
				over[v.live.Team] -= v.resources.CPUs
				d.Counts.Preempted++
				stops++
			}
		}
	}
}

// preemptionVictims lists what may be stopped on each machine, the cheapest first: what
// would lose more will end by itself before the loss is made good.
func (d *Scheduler) preemptionVictims(now time.Time) map[*Machine][]*victim {
	out := map[*Machine][]*victim{}
	for _, m := range d.machines {
		if !m.Open() || d.Sick[m.ID] {
			continue
		}
		var vs []*victim
		for i := range m.Held {
			h := &m.Held[i]
			l := d.jobs.Get(h.Job)
			if l == nil || l.Team < 0 || h.Phase != partition.PhaseRunning || h.Stopping || l.IsService() {
				continue
			}
			ran := h.PhaseS + now.Sub(m.shownAt).Seconds()
			loss := ran
			if l.Spec.CheckpointS > 0 {
				loss = l.Spec.SaveS
			}
			if loss > max(d.cfg.MaxPreemptionLoss.Seconds(), maxServicePreemptionS) {
				continue
			}
			cost := loss * h.Resources.CPUs
			if ran < d.cfg.Settle.Seconds() {
				cost += d.cfg.Settle.Seconds() * h.Resources.CPUs // its start would not count
			}
			for t := range h.Tasks.All() {
				task := job.Task{Job: h.Job, Index: t}
				if _, stopping := d.preempted[task]; !stopping {
					vs = append(vs, &victim{task: task, live: l, resources: h.Resources, cost: cost, loss: loss})
				}
			}
		}
		if len(vs) > 0 {
			sort.Slice(vs, func(i, j int) bool {
				if vs[i].cost != vs[j].cost {
					return vs[i].cost < vs[j].cost
				}
				return vs[i].task.Less(vs[j].task)
			})
			out[m] = vs
		}
	}
	return out
}

// cheapestVictims finds the cheapest tasks of one machine whose room is enough.
func (d *Scheduler) cheapestVictims(w *WaitingJob, need job.Resources, inside bool, over []float64, all map[*Machine][]*victim) (at *Machine, best []*victim) {
	bestCost := 0.0
	standing := w.Job.IsService()
	var given map[string]bool
	if standing {
		given = d.unackedMachines(w.Job.Spec.UID)
	}
	for _, m := range d.Machines() {
		if all[m] == nil || !need.FitsIn(m.Capacity) || !job.AllowsMachine(&w.Job.Spec, m.MachineType, m.Zone, m.Spot) || !d.ZoneAllowed(w, m.Zone) {
			continue
		}
		room, cost := m.FreeNow, 0.0
		room.CPUs, room.MemoryGB, room.Accelerators = max(room.CPUs, 0), max(room.MemoryGB, 0), max(room.Accelerators, 0)
		if standing && (given[m.ID] || m.holds(w.Job.Spec.UID)) {
			cost = maxServicePreemptionS * need.CPUs // rather another machine
		}
		var vs []*victim
		for _, v := range all[m] {
			if need.FitsIn(room) {
				break
			}
			beyond := inside && v.live.Team != w.Team && over[v.live.Team] >= v.resources.CPUs
			if v.taken || v.live.Rank <= w.Job.Rank && !beyond || !standing && v.loss > d.cfg.MaxPreemptionLoss.Seconds() {
				continue
			}
			room = room.Plus(v.resources)
			cost += v.cost
			vs = append(vs, v)
		}
		if len(vs) > 0 && need.FitsIn(room) && (best == nil || cost < bestCost) {
			at, best, bestCost = m, vs, cost
		}
	}
	return at, best
}
