package scheduler

import (
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
	"time"
)

// RunCycle admits what fits now. It first serves the moves that owners asked for.
func (d *Scheduler) RunCycle(now time.Time) []*WaitingJob {
	waits := d.WaitingJobs(now)
	for _, w := range waits {
		if w.Job.IsService() {
			w.entry.noteFree(now)
		}
	}
	d.cycleTime = now
	for _, mv := range d.moves {
		l, m := d.jobs.Get(mv.Task.Job), d.machines[mv.To]
		if l == nil || m == nil || l.Team < 0 || !m.Open() || !l.Resources().FitsIn(m.FreeNow) || !d.withinShare(l, false) || !mayOverflow(&l.Spec) {
			continue
		}
		e := d.jobEntry(mv.Task.Job)
		if mv.Task.Index < len(e.tasks) && e.tasks[mv.Task.Index] == 0 && job.AllowsMachine(&l.Spec, m.MachineType, m.Zone, m.Spot) {
			d.assign(e, m, []int{mv.Task.Index}, 0)
		}
	}
	d.moves = nil
	for _, m := range d.Machines() {
		d.estimateReleases(m, now)
	}
	aged := d.starvationProtected(waits)
	if len(aged) == 0 {
		d.servedCPUs = [2]float64{}
	}
	// First what lies within the guarantees, then what is borrowed. In each, rooms
	// go first to work whose image is there and to work that has waited for such a
	// room for long enough, then to any; queues of full machines as the first.
	for _, borrow := range []bool{false, true} {
		for _, ps := range []pass{{freeRoom: true}, {freeRoom: true, withoutImage: true}, {}} {
			ps.beyondGuarantee, ps.now = borrow, now
			d.runPass(waits, aged, ps)
		}
	}
	if d.cfg.PreemptAfter > 0 {
		d.preempt(waits, now)
	}
	return waits
}

// pass says which machines are looked at and who may have them.
type pass struct {
	now             time.Time
	beyondGuarantee bool
	freeRoom        bool // machines with room, not the queues of full ones
	withoutImage    bool // also without the image
}

func (d *Scheduler) runPass(waits, aged []*WaitingJob, ps pass) {
	d.openMachines = d.openMachines[:0]
	for _, m := range d.Machines() {
		if m.Open() && !d.Sick[m.ID] && d.hasRoom(m, ps) {
			d.openMachines = append(d.openMachines, m)
		}
	}
	for _, w := range waits {
		w.limited, w.blocked = false, false
	}
	for len(d.openMachines) > 0 {
		w, turn := d.nextJob(waits, ps.beyondGuarantee), 0
		if d.servedCPUs[1] < protectedShare*(d.servedCPUs[0]+d.servedCPUs[1]) {
			if a := d.nextProtected(aged, ps.beyondGuarantee); a != nil {
				w, turn = a, 1
			}
		}
		if w == nil {
			return
		}
		n := 0
		if w.Job.Spec.Shape == protocol.ShapeGang {
			n = d.serveGang(w, ps)
		} else {
			n = d.serveJob(w, ps)
		}
		d.servedCPUs[turn] += float64(n) * w.Job.Spec.CPUs
		if turn == 1 {
			d.Counts.StarvationProtected += uint64(n)
		}
	}
}

// hasRoom tells whether a machine may take anything in a pass.
func (d *Scheduler) hasRoom(m *Machine, ps pass) bool {
	if ps.freeRoom {
		return m.FreeNow.CPUs > 0
	}
	return m.QueuedTasks < m.maxQueued
}

// estimateReleases works out how soon slots of a machine fall free, and how many tasks may
// wait there: as many as are likely to start before the next ones can come.
func (d *Scheduler) estimateReleases(m *Machine, now time.Time) {
	m.releaseRate = 0
	for i := range m.Held {
		h := &m.Held[i]
		l := d.jobs.Get(h.Job)
		if l == nil || h.Phase == partition.PhaseEnded || h.Phase == partition.PhaseQueued || l.IsService() {
			continue // a replica's slot does not fall free
		}
		est := d.estimate(l)
		left := est
		if h.Phase == partition.PhaseRunning {
			left = max(est-h.PhaseS-now.Sub(m.shownAt).Seconds(), est/2)
		}
		m.releaseRate += float64(h.Tasks.Len()) / left
	}
	m.maxQueued = min(d.cfg.MaxBacklog, int(m.releaseRate*d.cfg.AheadWindow.Seconds()+0.5))
}

// protectedShare is the part of all room that goes to what was deferred for long.
const protectedShare = 0.25

// nextProtected gives the first of what was deferred that may have a task now.
func (d *Scheduler) nextProtected(aged []*WaitingJob, borrow bool) *WaitingJob {
	for _, w := range aged {
		if !w.blocked && w.entry.freeCount > 0 && d.withinShare(w.Job, !borrow) {
			return w
		}
	}
	return nil
}

// nextJob takes the most pressing job; among equals the team that uses the least
// of its share.
func (d *Scheduler) nextJob(waits []*WaitingJob, borrow bool) *WaitingJob {
	var best *WaitingJob
	bestLevel, bestShare := 0, 0.0
	for _, w := range waits {
		if w.blocked || w.limited || w.entry.freeCount <= 0 {
			continue
		}
		r := w.Level()
		if best != nil && r > bestLevel {
			break
		}
		if !d.withinShare(w.Job, !borrow) {
			w.limited = true
			continue
		}
		share := d.Teams[w.Team].shareUsed()
		if best == nil || share < bestShare-1e-9 {
			best, bestLevel, bestShare = w, r, share
		}
	}
	return best
}

func (d *Scheduler) withinShare(l *job.Live, guarantee bool) bool {
	return d.tasksLeft(l, guarantee) >= 1
}

// WithinLimit tells whether a team's limit has room for one more task of a job.
func (d *Scheduler) WithinLimit(l *job.Live) bool { return d.withinShare(l, false) }

// tasksLeft is how many more tasks of a job its team may hold.
func (d *Scheduler) tasksLeft(l *job.Live, guarantee bool) int {
	t := &d.Teams[l.Team]
	lim := t.Limit
	if guarantee {
		lim = t.Guarantee
	}
	need := l.Resources()
	need.MemoryGB = 0
	return need.Count(lim.Minus(t.used))
}

// batchSize is how many tasks a job is given before teams and jobs are compared anew:
// single ones would cost a look at all that waits for each, and long runs would
// not be served in turn.
func (d *Scheduler) batchSize(w *WaitingJob) int {
	return max(1, min(16, int(d.Teams[w.Team].weight()/64/max(w.Job.Spec.CPUs, 0.1))))
}
