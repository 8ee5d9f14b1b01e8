package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// jobEntry tracks the tasks of a job. It is kept as long as the job is live or any machine holds a
// task of it.
type jobEntry struct {
	uid   string
	live  *job.CachedJob // nil if the job is not live any more
	tasks []taskState    // by index

	completedCount  int            // tasks with completedBit
	unassignedCount int            // tasks that are neither held nor completed
	firstUnassigned int            // no task before this index is unassigned
	zones           map[string]int // held tasks by zone; nil for jobs without zone constraints
	version         uint64         // of the last change of the running count, see changeFeed

	held, queued, running int     // numbers of tasks; held is the total of holders, see taskState
	startSum              float64 // sum of the start times of the running tasks, see startSeconds

	guaranteeChecked bool // guaranteed has been decided, once, when the job was new
	guaranteed       bool // the job is within its team's guarantee

	unassignedSince map[int]time.Time // by replica of a service
	servedAt        time.Time         // when tasks of the job were last assigned
	preemptedAt     time.Time         // of a gang: when tasks were last stopped for it
	backoff
}

// taskState holds the number of a task's holders in the bits of holderCountMask, and completedBit once
// the task has completed. Its holders are the machines that hold it and the unacknowledged assignments
// that contain it.
type taskState uint8

const (
	completedBit    taskState = 0x80
	holderCountMask taskState = 0x7f
)

// isUnassigned reports whether the task is neither held nor completed.
func (t taskState) isUnassigned() bool { return t == 0 }

// setLive synchronizes the entry with the job in the cache, which is nil if the job is not live.
func (e *jobEntry) setLive(live *job.CachedJob) {
	if live != e.live {
		e.live = live
		if live != nil {
			e.grow(live.Spec.Tasks)
			e.recountUnassigned()
		}
	}
	if e.live != nil && e.completedCount < e.live.Completed.Len() {
		for i := range e.live.Completed.All() {
			e.complete(i)
		}
	}
}

// grow extends the task states to a number of tasks.
func (e *jobEntry) grow(tasks int) {
	if tasks > len(e.tasks) {
		e.tasks = append(e.tasks, make([]taskState, tasks-len(e.tasks))...)
	}
}

// recountUnassigned recomputes the count of unassigned tasks.
func (e *jobEntry) recountUnassigned() {
	e.unassignedCount, e.firstUnassigned = 0, 0
	for _, t := range e.tasks {
		if t.isUnassigned() {
			e.unassignedCount++
		}
	}
}

// isUnassigned reports whether a task is neither held nor completed, so that it may be assigned.
func (e *jobEntry) isUnassigned(i int) bool { return i < len(e.tasks) && e.tasks[i].isUnassigned() }

// isCompleted reports whether a task is recorded as completed.
func (e *jobEntry) isCompleted(i int) bool { return i < len(e.tasks) && e.tasks[i]&completedBit != 0 }

// complete records that a task has completed. It is idempotent.
func (e *jobEntry) complete(i int) {
	if i >= len(e.tasks) || e.isCompleted(i) {
		return
	}
	if e.tasks[i].isUnassigned() {
		e.unassignedCount--
	}
	e.tasks[i] |= completedBit
	e.completedCount++
}

// addHolder counts one more machine or unacknowledged assignment that holds a task.
func (e *jobEntry) addHolder(i int) {
	e.held++
	e.grow(i + 1)
	if e.tasks[i].isUnassigned() && e.live != nil {
		e.unassignedCount--
	}
	if e.tasks[i]&holderCountMask < holderCountMask {
		e.tasks[i]++
	}
}

// removeHolder reverts addHolder.
func (e *jobEntry) removeHolder(i int) {
	e.held--
	if i >= len(e.tasks) || e.tasks[i]&holderCountMask == 0 {
		return
	}
	e.tasks[i]--
	if e.tasks[i].isUnassigned() && e.live != nil {
		e.unassignedCount++
		e.firstUnassigned = min(e.firstUnassigned, i)
	}
}

// hold adds tasks that a machine holds.
func (e *jobEntry) hold(m *Machine, held *partition.HeldTasks) {
	for i := range held.Tasks.All() {
		e.addHolder(i)
	}
	tasks := held.Tasks.Len()
	if held.Phase == partition.PhaseQueued {
		e.queued += tasks
	}
	if held.Phase == partition.PhaseRunning {
		e.running += tasks
		e.startSum += float64(tasks) * startSeconds(m.lastSeen, held.PhaseS)
	}
	e.trackZones()
	if e.zones != nil {
		e.zones[m.Zone] += tasks
	}
}

// release removes tasks that a machine no longer holds.
func (e *jobEntry) release(m *Machine, held *partition.HeldTasks) {
	for i := range held.Tasks.All() {
		e.removeHolder(i)
	}
	tasks := held.Tasks.Len()
	if held.Phase == partition.PhaseQueued {
		e.queued -= tasks
	}
	if held.Phase == partition.PhaseRunning {
		e.running -= tasks
		e.startSum -= float64(tasks) * startSeconds(m.lastSeen, held.PhaseS)
	}
	e.trackZones()
	if e.zones != nil {
		e.zones[m.Zone] -= tasks
	}
}

// trackZones starts counting tasks by zone for a job with zone constraints.
func (e *jobEntry) trackZones() {
	if e.zones == nil && e.live != nil && (e.live.Spec.SameZone || e.live.Spec.SpreadZones) {
		e.zones = map[string]int{}
	}
}

// startSeconds returns the start time, in Unix seconds, of a task that had run for ranS seconds at the
// given time. Start times are numbers so that they can be summed.
func startSeconds(at time.Time, ranS float64) float64 { return float64(at.UnixMilli())/1000 - ranS }
