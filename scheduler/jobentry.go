package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// jobEntry counts what machines hold of a job. It stays for as long as the job lives or any
// machine holds a task of it.
type jobEntry struct {
	uid   string
	live  *job.CachedJob // nil when the job is over
	tasks []taskState    // by index

	finishedCount int            // tasks with finishedBit
	freeCount     int            // tasks that nobody holds and that are not finished
	firstFree     int            // no task before this one is free
	zones         map[string]int // tasks held by zone; nil for jobs that ask for no zones
	version       uint64         // of the last change of running, see changeFeed

	held, queued, running int
	startSum              float64 // sum of the running tasks' start times, see startSeconds

	guaranteeChecked bool // guaranteed is decided once, when the job is new
	guaranteed       bool // the job lies within its team's guarantee

	freeSince map[int]time.Time // by replica of a service: since when nobody holds it
	servedAt  time.Time         // when it was last assigned a machine
	backoff
}

// taskState is how many hold a task, and whether it is finished.
type taskState uint8

const (
	finishedBit taskState = 0x80
	holderMask  taskState = 0x7f
)

// isFree reports whether nobody holds the task and it is not finished.
func (t taskState) isFree() bool { return t == 0 }

// setLive brings the entry up to date with the job in the cache, nil if it is over.
func (e *jobEntry) setLive(live *job.CachedJob) {
	if live != e.live {
		e.live = live
		if live != nil {
			e.grow(live.Spec.Tasks)
			e.recountFree()
		}
	}
	if e.live != nil && e.finishedCount < e.live.Finished.Len() {
		for i := range e.live.Finished.All() {
			e.finish(i)
		}
	}
}

// grow makes room for the states of a number of tasks.
func (e *jobEntry) grow(tasks int) {
	if tasks > len(e.tasks) {
		e.tasks = append(e.tasks, make([]taskState, tasks-len(e.tasks))...)
	}
}

// recountFree counts the free tasks anew.
func (e *jobEntry) recountFree() {
	e.freeCount, e.firstFree = 0, 0
	for _, t := range e.tasks {
		if t.isFree() {
			e.freeCount++
		}
	}
}

// isFree reports whether a task may be assigned.
func (e *jobEntry) isFree(i int) bool { return i < len(e.tasks) && e.tasks[i].isFree() }

// isFinished reports whether a task is recorded as finished.
func (e *jobEntry) isFinished(i int) bool { return i < len(e.tasks) && e.tasks[i]&finishedBit != 0 }

// finish records that a task is finished; a second time changes nothing.
func (e *jobEntry) finish(i int) {
	if i >= len(e.tasks) || e.isFinished(i) {
		return
	}
	if e.tasks[i].isFree() {
		e.freeCount--
	}
	e.tasks[i] |= finishedBit
	e.finishedCount++
}

// addHolder counts one more holder of a task.
func (e *jobEntry) addHolder(i int) {
	e.held++
	e.grow(i + 1)
	if e.tasks[i].isFree() && e.live != nil {
		e.freeCount--
	}
	if e.tasks[i]&holderMask < holderMask {
		e.tasks[i]++
	}
}

// removeHolder counts one holder of a task less.
func (e *jobEntry) removeHolder(i int) {
	e.held--
	if i >= len(e.tasks) || e.tasks[i]&holderMask == 0 {
		return
	}
	e.tasks[i]--
	if e.tasks[i].isFree() && e.live != nil {
		e.freeCount++
		e.firstFree = min(e.firstFree, i)
	}
}

// hold counts tasks that a machine holds.
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

// release counts tasks that a machine holds no more.
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

// trackZones starts counting tasks by zone for a job that asks for zones.
func (e *jobEntry) trackZones() {
	if e.zones == nil && e.live != nil && (e.live.Spec.SameZone || e.live.Spec.SpreadZones) {
		e.zones = map[string]int{}
	}
}

// startSeconds returns a start time as a number, so that a sum of them can be kept: ranS
// seconds before a time.
func startSeconds(at time.Time, ranS float64) float64 { return float64(at.UnixMilli())/1000 - ranS }
