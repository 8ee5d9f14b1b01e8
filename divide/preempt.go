package divide

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/part"
)

// Stops lists the tasks of an owner that are to make room for others, until it
// shows that it stops them.
func (d *Divider) Stops(o int) []job.Task {
	var out []job.Task
	for t := range d.stops {
		if m, h := d.where(t); m != nil && m.Owner == o && !h.Stop {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Less(out[j]) })
	return out
}

// where finds the machine that holds a task.
func (d *Divider) where(t job.Task) (*Room, *part.Held) {
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
	t     job.Task
	l     *job.Live
	need  job.Need
	cost  float64
	loss  float64 // of run time
	taken bool
}

// most tasks for which room is made in one turn: for one job, and in all.
const (
	maxStops     = 8
	maxTurnStops = 64
)

// Room for replicas is made after standingPause, and what ran for up to standingLoss is
// stopped for it.
const (
	standingPause = time.Second
	standingLoss  = 20.0
	standingQueue = 4 * time.Second // and if that fails, they queue on full machines
)

// preempt stops work to make room where the protocol allows it: for work of a
// higher urgency, and to give a team its guarantee, work that another team runs
// beyond its own. The cheapest loss goes first: what saves its progress, then
// what ran the least.
func (d *Divider) preempt(waits []*Wait, now time.Time) {
	coming := 0.0 // room that is being made already
	for t := range d.stops {
		m, h := d.where(t)
		if m == nil {
			delete(d.stops, t)
			continue
		}
		coming += h.Need.CPUs
	}
	relief := 0.0 // CPUs that fall free by themselves in a second
	for _, e := range d.entries {
		if e.live != nil && !e.live.Standing() {
			relief += float64(e.running) * e.live.Spec.CPUs / d.estimate(e.live)
		}
	}
	over := make([]float64, len(d.Teams)) // CPUs beyond the guarantee
	for i := range d.Teams {
		over[i] = d.Teams[i].used.CPUs - d.Teams[i].Guarantee.CPUs
	}
	var all map[*Room][]*victim
	asked, stops := 0.0, 0
	for _, w := range waits {
		if stops >= maxTurnStops {
			return
		}
		inside := d.within(w.Job, true)
		asked += float64(w.Tasks) * w.Job.Spec.CPUs
		// Replicas serve from the moment they run, and what falls free by itself goes to
		// the queues of the machines first: room is made for them at once.
		pause := d.cfg.Preempt
		if w.Job.Standing() {
			pause = standingPause
		} else if asked <= relief*d.cfg.Preempt.Seconds() {
			continue // served first, it has its room sooner without
		}
		if w.Tasks <= 0 || w.Lost || now.Sub(w.Job.Seen) < pause || !d.within(w.Job, false) ||
			w.Job.Rank >= ordinary && !inside {
			continue
		}
		if all == nil {
			all = d.victims(now)
		}
		need := w.Job.Need()
		for n, tasks := 0, w.Tasks; n < tasks && n < maxStops; n++ {
			if coming >= need.CPUs && !w.Job.Standing() {
				coming -= need.CPUs
				continue
			}
			m, vs := d.cheapest(w, need, inside, over, all)
			if vs == nil {
				break
			}
			if w.Job.Standing() {
				if !d.within(w.Job, false) {
					break
				}
				// It goes there at once, to the head of the queue: else what waits on
				// that machine had the room.
				tasks := d.next(w.entry, 1, m.ID)
				if len(tasks) == 0 {
					break
				}
				d.give(w.entry, m, tasks, 0)
			}
			for _, v := range vs {
				v.taken = true
				d.stops[v.t] = now
				over[v.l.Team] -= v.need.CPUs
				d.Counts.Stopped++
				stops++
			}
		}
	}
}

// victims lists what may be stopped on each machine, the cheapest first: what
// would lose more will end by itself before the loss is made good.
func (d *Divider) victims(now time.Time) map[*Room][]*victim {
	out := map[*Room][]*victim{}
	for _, m := range d.machines {
		if !m.Open() || d.Sick[m.ID] {
			continue
		}
		var vs []*victim
		for i := range m.Held {
			h := &m.Held[i]
			l := d.jobs.Get(h.Job)
			if l == nil || l.Team < 0 || h.Phase != part.Running || h.Stop || l.Standing() {
				continue
			}
			ran := h.ForS + now.Sub(m.at).Seconds()
			loss := ran
			if l.Spec.SnapshotS > 0 {
				loss = l.Spec.StashS
			}
			if loss > max(d.cfg.MaxLoss.Seconds(), standingLoss) {
				continue
			}
			cost := loss * h.Need.CPUs
			if ran < d.cfg.Settle.Seconds() {
				cost += d.cfg.Settle.Seconds() * h.Need.CPUs // its start would not count
			}
			for t := range h.Tasks.All() {
				task := job.Task{Job: h.Job, Index: t}
				if _, stopping := d.stops[task]; !stopping {
					vs = append(vs, &victim{t: task, l: l, need: h.Need, cost: cost, loss: loss})
				}
			}
		}
		if len(vs) > 0 {
			sort.Slice(vs, func(i, j int) bool {
				if vs[i].cost != vs[j].cost {
					return vs[i].cost < vs[j].cost
				}
				return vs[i].t.Less(vs[j].t)
			})
			out[m] = vs
		}
	}
	return out
}

// cheapest finds the cheapest tasks of one machine whose room is enough.
func (d *Divider) cheapest(w *Wait, need job.Need, inside bool, over []float64, all map[*Room][]*victim) (at *Room, best []*victim) {
	bestCost := 0.0
	standing := w.Job.Standing()
	var given map[string]bool
	if standing {
		given = d.given(w.Job.Spec.UID)
	}
	for _, m := range d.Order() {
		if all[m] == nil || !need.Fits(m.Cap) || !job.Allows(&w.Job.Spec, m.Flavor, m.Zone, m.Spot) || !d.ZoneOK(w, m.Zone) {
			continue
		}
		room, cost := m.Free, 0.0
		room.CPUs, room.Mem, room.Acc = max(room.CPUs, 0), max(room.Mem, 0), max(room.Acc, 0)
		if standing && (given[m.ID] || m.has(w.Job.Spec.UID)) {
			cost = standingLoss * need.CPUs // rather another machine
		}
		var vs []*victim
		for _, v := range all[m] {
			if need.Fits(room) {
				break
			}
			beyond := inside && v.l.Team != w.Team && over[v.l.Team] >= v.need.CPUs
			if v.taken || v.l.Rank <= w.Job.Rank && !beyond || !standing && v.loss > d.cfg.MaxLoss.Seconds() {
				continue
			}
			room = room.Plus(v.need)
			cost += v.cost
			vs = append(vs, v)
		}
		if len(vs) > 0 && need.Fits(room) && (best == nil || cost < bestCost) {
			at, best, bestCost = m, vs, cost
		}
	}
	return at, best
}
