package scheduler

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// serveJob assigns a run of a job's tasks, or marks the job as blocked for this pass.
func (s *Scheduler) serveJob(w *WaitingJob, ps pass) int {
	l, entry := w.Job, w.entry
	most := min(s.batchSize(w), s.tasksLeft(l, !ps.beyondGuarantee), entry.freeCount)
	given := 0
	if l.IsService() && !ps.freeRoom && ps.now.Sub(l.FirstSeen) < serviceQueueAfter {
		// Room is made for it first, see preempt.
		w.blocked = true
		return 0
	}
	matched := !ps.withoutImage && !l.IsService() && s.waitsForImage(entry, ps.now)
	for given < most {
		m, n := s.chooseMachine(entry, most-given, ps, matched)
		if m == nil {
			w.blocked = true
			break
		}
		tasks := s.nextTasks(entry, n, m.ID)
		if len(tasks) == 0 {
			w.blocked = true
			break
		}
		s.candidates.remove(s, m)
		s.assign(entry, m, tasks, 0)
		s.candidates.restore(s, m, ps)
		given += len(tasks)
	}
	if given > 0 {
		entry.servedAt = ps.now
	}
	w.Tasks = entry.freeCount
	return given
}

const (
	spanBytes     = 14   // what a range of finished tasks takes in a record
	minSpansLimit = 1900 // bytes that ranges may take even of a small value
)

// nextTasks gives the first free tasks of a job, none that failed on the machine last.
func (s *Scheduler) nextTasks(entry *jobEntry, n int, machine string) []int {
	l := entry.live
	// Finished tasks are kept as ranges. What a job's record cannot hold for all the holes
	// stays in the placements' records, which have room for as much as the memory: only
	// beyond that the holes are filled first. Once a job of 100,000 tasks stood still again and
	// again on thousands of machines, until the slowest of them had ended.
	lag := s.finishedTasks > s.cfg.MaxFinishedTasks &&
		l.Finished.Spans()*spanBytes+s.descriptionBytes() > max(s.cfg.ValueBytes/2, min(s.cfg.ValueBytes, minSpansLimit))
	if lag {
		s.Limits.Record(limits.FinishedTasks)
	}
	var out []int
	first := true
	for i := entry.firstFree; i < l.Spec.Tasks && len(out) < n; i++ {
		if entry.tasks[i] != 0 {
			if lag && entry.tasks[i]&finishedBit == 0 {
				break
			}
			continue
		}
		if first {
			entry.firstFree, first = i, false
		}
		if entry.avoid[i] == machine && machine != "" {
			continue
		}
		out = append(out, i)
	}
	return out
}

// chooseMachine finds the machine for a job's next tasks, and how many it takes: one with
// room, best with the image there; or one whose queue is short. Matched says that only
// machines with the image will do.
func (s *Scheduler) chooseMachine(e *jobEntry, most int, ps pass, matched bool) (best *Machine, n int) {
	c := s.newPlacementScorer(e, ps, matched)
	if e.live.IsService() || e.live.Spec.Shape == protocol.ShapeGang {
		best = s.candidates.scan(c)
	} else {
		best = s.candidates.best(c)
	}
	switch {
	case best == nil:
		return nil, 0
	case !ps.freeRoom || !c.movable || e.live.IsService():
		return best, 1
	}
	return best, max(1, min(most, c.need.Count(best.FreeNow)))
}

// placementScorer is the search for a machine for one job.
type placementScorer struct {
	*Scheduler
	entry   *jobEntry
	pass    pass
	matched bool
	need    job.Resources
	image   int32
	fetchS  float64
	movable bool
	avoid   string          // the machine on which the next task has failed
	unacked map[string]bool // of a service: machines that are to get a replica
}

func (s *Scheduler) newPlacementScorer(e *jobEntry, ps pass, matched bool) *placementScorer {
	l := e.live
	c := &placementScorer{
		Scheduler: s, entry: e, pass: ps, matched: matched, need: l.Resources(),
		image: s.imageIndex(l.Spec.Image), fetchS: s.fetchSeconds(l), movable: job.MayOverflow(&l.Spec),
	}
	if len(e.avoid) > 0 {
		if next := s.nextTasks(e, 1, ""); len(next) > 0 {
			c.avoid = e.avoid[next[0]]
		}
	}
	if l.IsService() {
		c.unacked = s.unackedMachines(l.Spec.UID)
	}
	return c
}

// How good a machine with room is: what a fetch costs, and how much more a full machine is
// worth than an empty one, so that others fall idle and can go. A service's second replica
// goes elsewhere if it can.
const (
	baseScore    = 61
	fetchScore   = 50
	fullScore    = 10
	replicaScore = 100

	// fetchUnderWay is the part of a fetch that is still to come where it has begun.
	fetchUnderWay = 0.5
	minRate       = 1e-3 // slots a second, where none is known to fall free
	minCapacity   = 1e-9
)

// score tells how good a machine is, the more the better, and whether it will do at all.
func (c *placementScorer) score(m *Machine) (score float64, ok bool) {
	l := c.entry.live
	if c.avoid == m.ID || !c.need.FitsIn(m.Capacity) || c.pass.freeRoom && !c.need.FitsIn(m.FreeNow) ||
		!job.AllowsMachine(&l.Spec, m.kind()) || !c.movable && !c.zoneAllowed(c.entry, m.Zone) {
		return 0, false
	}
	fetch := c.fetchPart(m)
	if fetch == 1 && c.matched {
		return 0, false
	}
	if !c.pass.freeRoom {
		// The one where it is likely to start first.
		wait := float64(c.queuedBefore(m, l.Rank)+1)/max(m.releaseRate, minRate) + fetch*c.fetchS
		return 1 / (1 + wait), true
	}
	score = baseScore - fetchScore*fetch - fullScore*m.FreeNow.CPUs/max(m.Capacity.CPUs, minCapacity)
	if l.IsService() && (c.unacked[m.ID] || m.holds(l.Spec.UID)) {
		score -= replicaScore
	}
	return score, true
}

// fetchPart is how much of a fetch of the job's image is still to come on a machine.
func (c *placementScorer) fetchPart(m *Machine) float64 {
	switch {
	case slices.Contains(m.images, c.image):
		return 0
	case slices.Contains(m.fetching, c.image):
		return fetchUnderWay
	}
	return 1
}

// recordWait notes since when each replica of a service is held by nobody.
func (e *jobEntry) recordWait(now time.Time) {
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
func (s *Scheduler) countReplicas(e *jobEntry, tasks []int) {
	for _, i := range tasks {
		if since, noted := e.freeAt[i]; noted {
			s.Counts.ReplicasAssigned++
			s.Counts.ReplicaWait += s.cycleTime.Sub(since)
			delete(e.freeAt, i)
		}
	}
}

// assign assigns tasks to a machine's owner.
func (s *Scheduler) assign(entry *jobEntry, m *Machine, tasks []int, gang uint64) {
	l := entry.live
	owner := &s.owners[m.Owner]
	owner.assignmentSequence++
	assignment := Assignment{Seq: owner.assignmentSequence, Job: entry.uid, Machine: m.ID, Gang: gang, resources: l.Resources(), team: l.Team, count: len(tasks), zone: m.Zone}
	for _, i := range tasks {
		assignment.Tasks.Add(i)
	}
	if entry.zones == nil && !job.MayOverflow(&l.Spec) {
		entry.zones = map[string]int{}
	}
	owner.unacked = append(owner.unacked, assignment)
	s.countReplicas(entry, tasks)
	s.countPending(assignment, 1)
	if image := s.imageIndex(l.Spec.Image); !slices.Contains(m.images, image) && !slices.Contains(m.fetching, image) {
		m.fetching = append(m.fetching[:len(m.fetching):len(m.fetching)], image)
	}
	s.Counts.Assigned += uint64(len(tasks))
}

// HoldersOf tells where a task is held, for the operators and tests.
func (s *Scheduler) HoldersOf(t job.Task) (machines []string) {
	for _, m := range s.Machines() {
		for i := range m.Held {
			if m.Held[i].Job == t.Job && m.Held[i].Tasks.Has(t.Index) {
				machines = append(machines, m.ID)
			}
		}
	}
	return machines
}
