package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

const (
	// withdrawAfter is how long a task is queued on a machine before it is withdrawn for a place elsewhere.
	withdrawAfter = 10 * time.Second
	// maxWithdrawals is the maximum number of tasks withdrawn in a cycle.
	maxWithdrawals = 16
)

// withdrawal takes tasks out of the queues of full machines if another machine has a place for them now. The
// owners do this by overflow for jobs whose tasks they may move; for the others only the leader knows
// which machines are open to them, so without it they would wait beside idle machines. The task is
// unassigned once its owner has dropped it, and a later cycle assigns it.
type withdrawal struct {
	cluster    *clusterState
	quarantine *quarantine
	preemptor  *preemptor
	counts     *Counts
	open       []*Machine          // machines with places, in this cycle
	targets    map[job.Task]string // the machine for which a task was withdrawn, until its owner has dropped the task
}

// run withdraws the tasks that have been queued for withdrawAfter. It follows the passes of a cycle, so that
// only places count that no waiting job takes.
func (w *withdrawal) run(now time.Time) {
	w.findOpenMachines()
	claimed := w.claimedPlaces()
	withdrawn := 0
	for _, m := range w.cluster.machines.all() {
		for i := range m.Held {
			if held := &m.Held[i]; withdrawn < maxWithdrawals && w.mayWithdraw(m, held, now) {
				withdrawn += w.withdrawGroup(m, held, claimed, now)
			}
		}
	}
}

// findOpenMachines sets the machines that have places now.
func (w *withdrawal) findOpenMachines() {
	w.open = w.open[:0]
	for _, m := range w.cluster.machines.all() {
		if m.AcceptsTasksNow() && m.FreeNow.CPUs > 0 && !w.quarantine.machines[m.ID] {
			w.open = append(w.open, m)
		}
	}
}

// claimedPlaces returns what the tasks that their owners have not dropped yet are to take of the machines for
// which they were withdrawn, and forgets the others.
func (w *withdrawal) claimedPlaces() map[string]job.Resources {
	claimed := map[string]job.Resources{}
	for task, target := range w.targets {
		if _, stopping := w.preemptor.preempted[task]; !stopping {
			delete(w.targets, task)
		} else if live := w.cluster.jobs.Get(task.Job); live != nil {
			claimed[target] = claimed[target].Add(live.Resources())
		}
	}
	return claimed
}

// mayWithdraw reports whether the tasks of a group wait on a machine from which only the leader moves them.
func (w *withdrawal) mayWithdraw(m *Machine, held *partition.HeldTasks, now time.Time) bool {
	if held.Phase != partition.PhaseQueued || held.Stopping || held.PhaseS+now.Sub(m.lastSeen).Seconds() < withdrawAfter.Seconds() {
		return false
	}
	live := w.cluster.jobs.Get(held.Job)
	return live != nil && !job.MayOverflow(&live.Spec)
}

// withdrawGroup withdraws the tasks of a group for which other machines have a place, beside the places claimed
// before, and returns how many.
func (w *withdrawal) withdrawGroup(m *Machine, held *partition.HeldTasks, claimed map[string]job.Resources, now time.Time) (withdrawn int) {
	for index := range held.Tasks.All() {
		task := job.Task{Job: held.Job, Index: index}
		if _, stopping := w.preemptor.preempted[task]; stopping {
			continue
		}
		target := w.placeElsewhere(m, held, claimed)
		if target == nil {
			break
		}
		claimed[target.ID] = claimed[target.ID].Add(held.Resources)
		w.targets[task] = target.ID
		w.preemptor.preempted[task] = now
		w.counts.Withdrawn++
		withdrawn++
	}
	return withdrawn
}

// placeElsewhere returns a machine with a place now for a task that is queued on another one, or nil.
func (w *withdrawal) placeElsewhere(m *Machine, held *partition.HeldTasks, claimed map[string]job.Resources) *Machine {
	entry := w.cluster.entry(held.Job)
	for _, other := range w.open {
		if other != m && w.hasPlace(other, entry, m.Zone, held.Resources.Add(claimed[other.ID])) {
			return other
		}
	}
	return nil
}

// hasPlace reports whether an open machine has a place now for a task that waits in a zone. The task still counts in
// its zone, so the job's zone constraints restrict only the other zones.
func (w *withdrawal) hasPlace(m *Machine, entry *jobEntry, zone string, need job.Resources) bool {
	return need.FitsIn(m.FreeNow) && job.AllowsMachine(&entry.live.Spec, m.kind()) && (m.Zone == zone || entry.zoneAllowed(m.Zone))
}
