package scheduler

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
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

// waitsForImage tells that a job leaves rooms without its image to others for now: the
// fetch would hold the room idle for longer than another is likely to take to
// fall free where the image is.
func (d *Scheduler) waitsForImage(e *jobEntry, now time.Time) bool {
	fetch := d.fetchSeconds(e.live)
	if d.cfg.ImagePatience <= 0 || fetch <= 0 || d.machinesWithImage(e.live.Spec.Image) < e.freeCount/4 {
		return false
	}
	since := e.live.FirstSeen
	if e.servedAt.After(since) {
		since = e.servedAt
	}
	return now.Sub(since).Seconds() < d.cfg.ImagePatience*fetch
}

// fetchSeconds is how long a job's image takes to fetch, in seconds.
func (d *Scheduler) fetchSeconds(l *job.Live) float64 {
	if d.cfg.PullGBPerS == nil {
		return 0
	}
	if rate := d.cfg.PullGBPerS(); rate > 0 {
		return l.Spec.ImageGB / rate
	}
	return 0
}

// machinesWithImage counts the machines that have an image.
func (d *Scheduler) machinesWithImage(image string) int { return d.imageCount[d.imageIndex(image)] }

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

// serveGang assigns all tasks of a group, or none. They run only all together, so
// each needs room now, none of an earlier try may be left, and all get one try.
func (d *Scheduler) serveGang(w *WaitingJob, ps pass) int {
	l, e := w.Job, w.entry
	w.blocked = true
	n := l.Spec.Tasks - e.finishedCount
	if !ps.freeRoom || e.held > 0 || d.tasksLeft(l, !ps.beyondGuarantee) < n {
		return 0
	}
	need := l.Resources()
	type seat struct {
		m     *Machine
		tasks []int
	}
	var seats []seat
	free := map[*Machine]job.Resources{}
	got := 0
	for i := range l.Spec.Tasks {
		if e.tasks[i] != 0 {
			continue
		}
		m, _ := d.chooseMachine(e, 1, ps, false)
		if m == nil || !need.FitsIn(m.FreeNow) {
			break
		}
		if _, seen := free[m]; !seen {
			free[m] = m.FreeNow
		}
		m.FreeNow = m.FreeNow.Minus(need)
		// Where the others of its kind are counts for the next one's zone.
		if e.zones == nil {
			e.zones = map[string]int{}
		}
		e.zones[m.Zone]++
		seats = append(seats, seat{m, []int{i}})
		got++
	}
	for m, f := range free {
		m.FreeNow = f
	}
	for _, s := range seats {
		e.zones[s.m.Zone]--
	}
	if got < n {
		return 0
	}
	d.gangs++
	for _, s := range seats {
		d.assign(e, s.m, s.tasks, d.gangs)
		d.closeIfFull(s.m, ps)
	}
	return got
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
