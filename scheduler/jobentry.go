package scheduler

import (
	"time"

	"junipershelf/job"
)

// jobEntry is a job in the ledger. It stays for as long as the job lives or any
// machine holds a task of it.
type jobEntry struct {
	uid           string
	live          *job.CachedJob // nil when the job is over
	tasks         []uint8        // for each task how many hold it, and whether it is finished
	finishedCount int            // finished tasks noted here
	freeCount     int            // tasks that nobody holds and that are not finished
	firstFree     int            // no task before this one is free
	zones         map[string]int
	version       uint64

	guaranteeChecked bool // when it came: whether it lies within its team's guarantee
	guaranteed       bool

	held, queued, running int
	startSum              float64 // sum of the running tasks' start times

	freeAt     map[int]time.Time // since when nobody holds a replica
	servedAt   time.Time         // last given a machine
	pauseUntil time.Time
	failures   int
	failedOn   map[string]bool
	completed  bool
	avoid      map[int]string // a task's last machine that failed it
}

const (
	finishedBit = 0x80
	holderMask  = 0x7f
)

// jobEntry finds or makes a job's entry.
func (s *Scheduler) jobEntry(uid string) *jobEntry {
	entry := s.entries[uid]
	if entry == nil {
		entry = &jobEntry{uid: uid}
		s.entries[uid] = entry
	}
	if l := s.jobs.Get(uid); l != entry.live {
		entry.live = l
		if l != nil {
			entry.grow(l.Spec.Tasks)
			entry.freeCount = 0
			for _, t := range entry.tasks {
				if t == 0 {
					entry.freeCount++
				}
			}
			entry.firstFree = 0
		}
	}
	if entry.live != nil && entry.finishedCount < entry.live.Finished.Len() {
		for i := range entry.live.Finished.All() {
			entry.finish(i)
		}
	}
	return entry
}

func (e *jobEntry) grow(n int) {
	if n > len(e.tasks) {
		e.tasks = append(e.tasks, make([]uint8, n-len(e.tasks))...)
	}
}

// isFinished tells whether a task is noted as finished.
func (e *jobEntry) isFinished(i int) bool { return i < len(e.tasks) && e.tasks[i]&finishedBit != 0 }

// finish notes a finished task.
func (e *jobEntry) finish(i int) {
	if i >= len(e.tasks) || e.isFinished(i) {
		return
	}
	if e.tasks[i] == 0 {
		e.freeCount--
	}
	e.tasks[i] |= finishedBit
	e.finishedCount++
}

// addHolder notes that one more or one fewer holds a task.
func (e *jobEntry) addHolder(i, by int) {
	if by > 0 {
		e.grow(i + 1)
		if e.tasks[i] == 0 && e.live != nil {
			e.freeCount--
		}
		if e.tasks[i]&holderMask < holderMask {
			e.tasks[i]++
		}
	} else if i < len(e.tasks) && e.tasks[i]&holderMask > 0 {
		e.tasks[i]--
		if e.tasks[i] == 0 && e.live != nil {
			e.freeCount++
			e.firstFree = min(e.firstFree, i)
		}
	}
	e.held += by
}

// startSeconds is a start time as a number, so that a sum of them can be kept.
func startSeconds(at time.Time, forS float64) float64 { return float64(at.UnixMilli())/1000 - forS }
