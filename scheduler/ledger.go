package scheduler

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// Assignment gives a run of a job's tasks to the owner of a machine.
type Assignment struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Job      string
	Tasks    job.Ranges
	Machine  string
	Group    uint64 // tasks of a group that start together share it

	resources job.Resources
	team      int
	count     int
}

type ownerState struct {
	synced             bool
	updateSequence     uint64
	updateVersion      uint64
	assignmentSequence uint64
	completedFill      float64 // how much of a record its finished tasks take
	unacked            []Assignment
}

// Inherit counts what an owner's records hold until its first update comes.
func (d *Scheduler) Inherit(o int, states []partition.MachineState, done []partition.CompletedTask, now time.Time) {
	if d.owners[o].synced {
		return
	}
	for _, s := range states {
		d.updateMachine(o, s, now)
	}
	for _, t := range done {
		d.noteCompleted(t)
	}
}

// TakeUpdate takes an owner's update and tells which version the leader has of it.
func (d *Scheduler) TakeUpdate(o int, dg partition.Update, now time.Time) (have uint64) {
	w := &d.owners[o]
	if w.synced && dg.Sequence <= w.updateSequence {
		// A late copy would take back what was acknowledged since.
		return w.updateVersion
	}
	if dg.BaseVersion > w.updateVersion {
		// It leaves out what this leader never got.
		return w.updateVersion
	}
	if !w.synced {
		// The first one is whole: what only the records held is gone.
		in := map[string]bool{}
		for _, s := range dg.Machines {
			in[s.ID] = true
		}
		for id, m := range d.machines {
			if m.Owner == o && !in[id] {
				d.remove(m)
			}
		}
	}
	w.synced, w.updateSequence, w.updateVersion, w.completedFill = true, dg.Sequence, dg.Version, dg.CompletedFill
	for _, t := range dg.Completed {
		d.noteCompleted(t)
	}
	for _, f := range dg.Failures {
		d.noteFailure(f, now)
	}
	d.moves = append(d.moves, dg.Moves...)
	cut := 0
	for cut < len(w.unacked) && w.unacked[cut].Seq <= dg.AckedAssignment {
		cut++
	}
	acked := w.unacked[:cut]
	w.unacked = slices.Clone(w.unacked[cut:])
	for _, a := range acked {
		d.countPending(a, -1) // what it holds of them is shown below
	}
	for _, s := range dg.Machines {
		d.updateMachine(o, s, now)
	}
	for _, id := range dg.Removed {
		if m := d.machines[id]; m != nil && m.Owner == o {
			d.remove(m)
		}
	}
	return w.updateVersion
}

// Unacknowledged is what an owner has yet to take.
func (d *Scheduler) Unacknowledged(o int) []Assignment { return d.owners[o].unacked }

// countHeld adds or takes away all that a machine holds.
func (d *Scheduler) countHeld(m *Machine, by int) {
	for i := range m.Held {
		h := &m.Held[i]
		e := d.jobEntry(h.Job)
		n := h.Tasks.Len()
		for t := range h.Tasks.All() {
			e.addHolder(t, by)
		}
		switch h.Phase {
		case partition.PhaseQueued:
			e.queued += by * n
		case partition.PhaseRunning:
			e.running += by * n
			e.startSum += float64(by*n) * startSeconds(m.shownAt, h.PhaseS)
			d.version++
			e.version = d.version
		}
		if e.zones == nil && e.live != nil && (e.live.Spec.SameZone || e.live.Spec.SpreadZones) {
			e.zones = map[string]int{}
		}
		if e.zones != nil {
			e.zones[m.Zone] += by * n
		}
		if h.Phase == partition.PhaseEnded {
			continue
		}
		if t, ok := d.byName[h.Team]; ok {
			k := float64(by * n)
			d.Teams[t].addUse(h.Resources, k)
			if h.Phase == partition.PhaseQueued {
				d.Teams[t].queued += k * h.Resources.CPUs
			}
		}
	}
}

func (t *Team) addUse(n job.Resources, k float64) {
	t.used = t.used.Plus(job.Resources{CPUs: n.CPUs * k, Accelerators: n.Accelerators * k, MemoryGB: n.MemoryGB * k})
}

// updateMachine takes a machine as its owner shows it.
func (d *Scheduler) updateMachine(o int, s partition.MachineState, now time.Time) {
	m := d.machines[s.ID]
	if m == nil {
		m = &Machine{}
		d.machines[s.ID] = m
		d.sortedMachines, d.sorted = append(d.sortedMachines, m), false
		delete(d.removed, s.ID)
	} else {
		d.countHeld(m, -1)
		d.countImages(m, -1)
	}
	m.MachineState, m.Owner, m.shownAt = s, o, now
	m.Capacity, _ = d.capacityOf(s.MachineType)
	m.images, m.fetching = d.imageIndices(s.Images), d.imageIndices(s.Fetching)
	d.countImages(m, 1)
	d.countHeld(m, 1)
	d.recountFree(m)
	d.markChanged(m)
}

func (d *Scheduler) markChanged(m *Machine) {
	d.version++
	m.version = d.version
}

func (d *Scheduler) remove(m *Machine) {
	d.countHeld(m, -1)
	d.countImages(m, -1)
	delete(d.machines, m.ID)
	d.sortedMachines = slices.DeleteFunc(d.sortedMachines, func(o *Machine) bool { return o == m })
	d.version++
	d.removed[m.ID] = d.version
	delete(d.failuresOf, m.ID)
	delete(d.Sick, m.ID)
}

// countTaken counts tasks against a machine's free room.
func (d *Scheduler) countTaken(m *Machine, need job.Resources, n int) {
	for range n {
		m.FreeNow = m.FreeNow.Minus(need)
		if m.FreeNow.CPUs < -1e-6 || m.FreeNow.MemoryGB < -1e-6 || m.FreeNow.Accelerators < -1e-6 {
			m.QueuedTasks++
		}
	}
}

// countPending counts an assignment that its owner has not acknowledged, or no longer.
func (d *Scheduler) countPending(a Assignment, by int) {
	e := d.jobEntry(a.Job)
	for i := range a.Tasks.All() {
		e.addHolder(i, by)
	}
	d.Teams[a.team].addUse(a.resources, float64(by*a.count))
	m := d.machines[a.Machine]
	if m == nil {
		return
	}
	m.pending += by * a.count
	if e.zones != nil {
		e.zones[m.Zone] += by * a.count
	}
	if by > 0 {
		d.countTaken(m, a.resources, a.count)
	} else {
		d.recountFree(m)
	}
	d.markChanged(m)
}

// recountFree works out a machine's free room and queue from what was shown and what
// was assigned since.
func (d *Scheduler) recountFree(m *Machine) {
	m.FreeNow, m.QueuedTasks, m.HeldCount = m.MachineState.Free, 0, 0
	for i := range m.Held {
		n := m.Held[i].Tasks.Len()
		m.HeldCount += n
		if m.Held[i].Phase == partition.PhaseQueued {
			m.QueuedTasks += n
		}
	}
	for _, a := range d.owners[m.Owner].unacked {
		if a.Machine == m.ID {
			d.countTaken(m, a.resources, a.count)
		}
	}
}

// Machine finds a machine of the ledger.
func (d *Scheduler) Machine(id string) *Machine { return d.machines[id] }

// Machines gives all machines by id.
func (d *Scheduler) Machines() []*Machine {
	if !d.sorted {
		sort.Slice(d.sortedMachines, func(i, j int) bool { return d.sortedMachines[i].ID < d.sortedMachines[j].ID })
		d.sorted = true
	}
	return d.sortedMachines
}

// FleetSince gives what has changed of the machines since a version, for the owners'
// overflow, and the version that it leads up to.
func (d *Scheduler) FleetSince(known uint64) (changed []partition.Buddy, gone []string, ver uint64) {
	for _, m := range d.Machines() {
		if m.version > known {
			changed = append(changed, partition.Buddy{ID: m.ID, Underloaded: m.Open() && m.QueuedTasks == 0 && m.FreeNow.CPUs > 0, Room: m.FreeNow})
		}
	}
	for id, v := range d.removed {
		if v > known {
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return changed, gone, d.version
}

// RunningSince gives the counts of running tasks that have changed since a version.
func (d *Scheduler) RunningSince(known uint64) map[string]int {
	out := map[string]int{}
	for uid, e := range d.entries {
		if e.version > known {
			out[uid] = e.running
		}
	}
	return out
}

// QueuedTasks is how many tasks of a job wait on machines for room.
func (d *Scheduler) QueuedTasks(uid string) int {
	if e := d.entries[uid]; e != nil {
		return e.queued
	}
	return 0
}

// refresh takes the mirror's jobs into the ledger and drops what is over.
func (d *Scheduler) refresh() {
	for uid := range d.jobs.Jobs {
		if e := d.jobEntry(uid); !e.guaranteeChecked {
			d.checkGuarantee(e)
		}
	}
	for uid, e := range d.entries {
		if d.jobs.Get(uid) == nil {
			e.live = nil
			if e.held == 0 {
				delete(d.entries, uid)
			}
		}
	}
	if len(d.removed) > 2000 {
		clear(d.removed) // owners that have not called for so long are away
	}
}

// confirm notes whether a job lies within its team's guarantee together with the team's
// earlier jobs that are not over: then it need not wait for anybody.
func (d *Scheduler) checkGuarantee(e *jobEntry) {
	e.guaranteeChecked = true
	l := e.live
	if l == nil || l.Team < 0 {
		return
	}
	var sum job.Resources
	for _, o := range d.jobs.Jobs {
		if o.Team == l.Team && (o.SubmittedMS < l.SubmittedMS || o.SubmittedMS == l.SubmittedMS && o.Spec.UID <= l.Spec.UID) {
			n := float64(o.Spec.Tasks)
			sum = sum.Plus(job.Resources{CPUs: o.Spec.CPUs * n, Accelerators: o.Spec.Accelerators * n})
		}
	}
	e.guaranteed = sum.FitsIn(d.Teams[l.Team].Guarantee)
}

// IsService tells whether a job's tasks run until it is cancelled.
func (d *Scheduler) IsService(uid string) bool {
	l := d.jobs.Get(uid)
	return l != nil && l.IsService()
}

// unackedMachines lists the machines to which tasks of a job went that their owners have not
// acknowledged.
func (d *Scheduler) unackedMachines(uid string) map[string]bool {
	out := map[string]bool{}
	for i := range d.owners {
		for _, a := range d.owners[i].unacked {
			if a.Job == uid {
				out[a.Machine] = true
			}
		}
	}
	return out
}

// HasCheckpoints tells whether a job's tasks keep their progress when they are stopped.
func (d *Scheduler) HasCheckpoints(uid string) bool {
	l := d.jobs.Get(uid)
	return l != nil && l.Spec.CheckpointS > 0
}
