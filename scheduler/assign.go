package scheduler

import (
	"slices"
	"time"

	"junipershelf/job"
)

// serveJob assigns a run of a job's tasks, or marks the job as blocked for this turn.
func (d *Scheduler) serveJob(w *WaitingJob, ps pass) int {
	l, e := w.Job, w.entry
	most := min(d.batchSize(w), d.tasksLeft(l, !ps.beyondGuarantee), e.freeCount)
	given := 0
	if l.IsService() && !ps.freeRoom && ps.now.Sub(l.FirstSeen) < serviceQueueAfter {
		// Room is made for it first, see preempt.
		w.blocked = true
		return 0
	}
	matched := !ps.withoutImage && !l.IsService() && d.waitsForImage(e, ps.now)
	for given < most {
		m, n := d.chooseMachine(e, most-given, ps, matched)
		if m == nil {
			w.blocked = true
			break
		}
		tasks := d.nextTasks(e, n, m.ID)
		if len(tasks) == 0 {
			w.blocked = true
			break
		}
		d.assign(e, m, tasks, 0)
		d.closeIfFull(m, ps)
		given += len(tasks)
	}
	if given > 0 {
		e.servedAt = ps.now
	}
	w.Tasks = e.freeCount
	return given
}

// closeIfFull takes a machine that can take no more off the turn's list.
func (d *Scheduler) closeIfFull(m *Machine, ps pass) {
	if d.hasRoom(m, ps) {
		return
	}
	if i := slices.Index(d.openMachines, m); i >= 0 {
		d.openMachines = slices.Delete(d.openMachines, i, i+1)
	}
}

// nextTasks gives the first free tasks of a job, none that failed on the machine last.
func (d *Scheduler) nextTasks(e *jobEntry, n int, machine string) []int {
	l := e.live
	// Finished tasks are kept as ranges: holes far behind would grow the record
	// past what a value may hold.
	lag := l.Finished.Spans()*14+d.descriptionBytes() > max(d.cfg.ValueBytes/2, min(d.cfg.ValueBytes, 1900))
	var out []int
	first := true
	for i := e.firstFree; i < l.Spec.Tasks && len(out) < n; i++ {
		if e.tasks[i] != 0 {
			if lag && e.tasks[i]&finishedBit == 0 {
				break
			}
			continue
		}
		if first {
			e.firstFree, first = i, false
		}
		if e.avoid[i] == machine && machine != "" {
			continue
		}
		out = append(out, i)
	}
	return out
}

// chooseMachine finds the machine for a job's next tasks, and how many it takes: one
// with room, best with the image there; or one whose queue is short. Matched says
// that only machines with the image will do.
func (d *Scheduler) chooseMachine(e *jobEntry, most int, ps pass, matched bool) (best *Machine, n int) {
	l := e.live
	need := l.Resources()
	image := d.imageIndex(l.Spec.Image)
	fetchS := d.fetchSeconds(l)
	bestScore := 0.0
	plain := mayOverflow(&l.Spec)
	shun := ""
	if len(e.avoid) > 0 {
		if t := d.nextTasks(e, 1, ""); len(t) > 0 {
			shun = e.avoid[t[0]]
		}
	}
	var given map[string]bool
	if l.IsService() {
		given = d.unackedMachines(l.Spec.UID)
	}
	for _, m := range d.openMachines {
		if shun == m.ID && shun != "" || !need.FitsIn(m.Capacity) || ps.freeRoom && !need.FitsIn(m.FreeNow) ||
			!job.AllowsMachine(&l.Spec, m.MachineType, m.Zone, m.Spot) || !plain && !d.zoneAllowed(e, m.Zone) {
			continue
		}
		fetch := 0.0 // part of a fetch to come
		if !slices.Contains(m.images, image) {
			if fetch = 0.5; !slices.Contains(m.fetching, image) {
				fetch = 1
				if matched {
					continue
				}
			}
		}
		score := 0.0
		if ps.freeRoom {
			// Fill machines up, so that others fall idle and can go.
			score = 61 - 50*fetch - 10*m.FreeNow.CPUs/max(m.Capacity.CPUs, 1e-9)
			if l.IsService() && (given[m.ID] || m.holds(l.Spec.UID)) {
				score -= 100 // not all replicas of a service on one machine
			}
		} else {
			// The one where it is likely to start first.
			wait := float64(m.QueuedTasks+1)/max(m.releaseRate, 1e-3) + fetch*fetchS
			score = 1 / (1 + wait)
		}
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	if best == nil {
		return nil, 0
	}
	n = 1
	if ps.freeRoom {
		n = max(1, min(most, need.Count(best.FreeNow)))
	}
	if !plain || l.IsService() {
		n = 1
	}
	return best, n
}

// noteFree notes since when each replica of a service is held by nobody.
func (e *jobEntry) noteFree(now time.Time) {
	if e.freeAt == nil {
		e.freeAt = map[int]time.Time{}
	}
	for i := range e.live.Spec.Tasks {
		if _, noted := e.freeAt[i]; e.tasks[i] == 0 && !noted {
			e.freeAt[i] = now
		}
	}
}

// countReplicas adds how long replicas waited for the room that they are given.
func (d *Scheduler) countReplicas(e *jobEntry, tasks []int) {
	for _, i := range tasks {
		if since, noted := e.freeAt[i]; noted {
			d.Counts.ReplicasAssigned++
			d.Counts.ReplicaWait += d.cycleTime.Sub(since)
			delete(e.freeAt, i)
		}
	}
}

// assign assigns tasks to a machine's owner.
func (d *Scheduler) assign(e *jobEntry, m *Machine, tasks []int, group uint64) {
	l := e.live
	w := &d.owners[m.Owner]
	w.assignmentSequence++
	a := Assignment{Seq: w.assignmentSequence, Job: e.uid, Machine: m.ID, Group: group, resources: l.Resources(), team: l.Team, count: len(tasks)}
	for _, i := range tasks {
		a.Tasks.Add(i)
	}
	if e.zones == nil && !mayOverflow(&l.Spec) {
		e.zones = map[string]int{}
	}
	w.unacked = append(w.unacked, a)
	d.countReplicas(e, tasks)
	d.countPending(a, 1)
	if image := d.imageIndex(l.Spec.Image); !slices.Contains(m.images, image) && !slices.Contains(m.fetching, image) {
		m.fetching = append(m.fetching[:len(m.fetching):len(m.fetching)], image)
	}
	d.Counts.Assigned += uint64(len(tasks))
}

// HoldersOf tells where a task is held, for the operators and tests.
func (d *Scheduler) HoldersOf(t job.Task) (machines []string) {
	for _, m := range d.Machines() {
		for i := range m.Held {
			if m.Held[i].Job == t.Job && m.Held[i].Tasks.Has(t.Index) {
				machines = append(machines, m.ID)
			}
		}
	}
	return machines
}
