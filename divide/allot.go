package divide

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
)

// Allot admits what fits now. It first serves the moves that owners asked for.
func (d *Divider) Allot(now time.Time) []*Wait {
	waits := d.Waiting(now)
	for _, w := range waits {
		if w.Job.Standing() {
			w.entry.noteFree(now)
		}
	}
	d.now = now
	for _, mv := range d.moves {
		l, m := d.jobs.Get(mv.Task.Job), d.machines[mv.To]
		if l == nil || m == nil || l.Team < 0 || !m.Open() || !l.Need().Fits(m.Free) || !d.within(l, false) || !movable(&l.Spec) {
			continue
		}
		e := d.entry(mv.Task.Job)
		if mv.Task.Index < len(e.tasks) && e.tasks[mv.Task.Index] == 0 && job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) {
			d.give(e, m, []int{mv.Task.Index}, 0)
		}
	}
	d.moves = nil
	for _, m := range d.Order() {
		d.expect(m, now)
	}
	aged := d.putOff(waits)
	if len(aged) == 0 {
		d.served = [2]float64{}
	}
	// First what lies within the guarantees, then what is borrowed. In each, rooms
	// go first to work whose image is there and to work that has waited for such a
	// room for long enough, then to any; queues of full machines as the first.
	for _, borrow := range []bool{false, true} {
		for _, ps := range []pass{{rooms: true}, {rooms: true, any: true}, {}} {
			ps.borrow, ps.now = borrow, now
			d.allotPass(waits, aged, ps)
		}
	}
	if d.cfg.Preempt > 0 {
		d.preempt(waits, now)
	}
	return waits
}

// pass says which machines are looked at and who may have them.
type pass struct {
	now    time.Time
	borrow bool
	rooms  bool // machines with room, not the queues of full ones
	any    bool // also without the image
}

func (d *Divider) allotPass(waits, aged []*Wait, ps pass) {
	d.open = d.open[:0]
	for _, m := range d.Order() {
		if m.Open() && !d.Sick[m.ID] && d.takes(m, ps) {
			d.open = append(d.open, m)
		}
	}
	for _, w := range waits {
		w.limited, w.blocked = false, false
	}
	for len(d.open) > 0 {
		w, turn := d.pick(waits, ps.borrow), 0
		if d.served[1] < agedPart*(d.served[0]+d.served[1]) {
			if a := d.oldest(aged, ps.borrow); a != nil {
				w, turn = a, 1
			}
		}
		if w == nil {
			return
		}
		n := 0
		if w.Job.Spec.Shape == protocol.Group {
			n = d.serveGroup(w, ps)
		} else {
			n = d.serve(w, ps)
		}
		d.served[turn] += float64(n) * w.Job.Spec.CPUs
		if turn == 1 {
			d.Counts.PutOff += uint64(n)
		}
	}
}

// takes tells whether a machine may take anything in a pass.
func (d *Divider) takes(m *Room, ps pass) bool {
	if ps.rooms {
		return m.Free.CPUs > 0
	}
	return m.Queue < m.ahead
}

// expect works out how soon slots of a machine fall free, and how many tasks may
// wait there: as many as are likely to start before the next ones can come.
func (d *Divider) expect(m *Room, now time.Time) {
	m.rate = 0
	for i := range m.Held {
		h := &m.Held[i]
		l := d.jobs.Get(h.Job)
		if l == nil || h.Phase == part.Gone || h.Phase == part.Queued || l.Standing() {
			continue // a replica's slot does not fall free
		}
		est := d.estimate(l)
		left := est
		if h.Phase == part.Running {
			left = max(est-h.ForS-now.Sub(m.at).Seconds(), est/2)
		}
		m.rate += float64(h.Tasks.Len()) / left
	}
	m.ahead = min(d.cfg.Backlog, int(m.rate*d.cfg.Ahead.Seconds()+0.5))
}

// patient tells that a job leaves rooms without its image to others for now: the
// fetch would hold the room idle for longer than another is likely to take to
// fall free where the image is.
func (d *Divider) patient(e *entry, now time.Time) bool {
	fetch := d.fetchS(e.live)
	if d.cfg.Patience <= 0 || fetch <= 0 || d.holders(e.live.Spec.Bundle) < e.free/4 {
		return false
	}
	since := e.live.Seen
	if e.servedAt.After(since) {
		since = e.servedAt
	}
	return now.Sub(since).Seconds() < d.cfg.Patience*fetch
}

// fetchS is how long a job's image takes to fetch, in seconds.
func (d *Divider) fetchS(l *job.Live) float64 {
	if d.cfg.PullGBPerS == nil {
		return 0
	}
	if rate := d.cfg.PullGBPerS(); rate > 0 {
		return l.Spec.SizeGB / rate
	}
	return 0
}

// holders counts the machines that have an image.
func (d *Divider) holders(image string) int { return d.imageAt[d.image(image)] }

// agedPart is the part of all room that goes to what was put off for long.
const agedPart = 0.25

// oldest gives the first of what was put off that may have a task now.
func (d *Divider) oldest(aged []*Wait, borrow bool) *Wait {
	for _, w := range aged {
		if !w.blocked && w.entry.free > 0 && d.within(w.Job, !borrow) {
			return w
		}
	}
	return nil
}

// pick takes the most pressing job; among equals the team that uses the least
// of its share.
func (d *Divider) pick(waits []*Wait, borrow bool) *Wait {
	var best *Wait
	bestLevel, bestShare := 0, 0.0
	for _, w := range waits {
		if w.blocked || w.limited || w.entry.free <= 0 {
			continue
		}
		r := w.Level()
		if best != nil && r > bestLevel {
			break
		}
		if !d.within(w.Job, !borrow) {
			w.limited = true
			continue
		}
		share := d.Teams[w.Team].share()
		if best == nil || share < bestShare-1e-9 {
			best, bestLevel, bestShare = w, r, share
		}
	}
	return best
}

func (d *Divider) within(l *job.Live, guarantee bool) bool {
	return d.left(l, guarantee) >= 1
}

// Within tells whether a team's limit has room for one more task of a job.
func (d *Divider) Within(l *job.Live) bool { return d.within(l, false) }

// left is how many more tasks of a job its team may hold.
func (d *Divider) left(l *job.Live, guarantee bool) int {
	t := &d.Teams[l.Team]
	lim := t.Limit
	if guarantee {
		lim = t.Guarantee
	}
	need := l.Need()
	need.Mem = 0
	return need.Slots(lim.Minus(t.used))
}

// run is how many tasks a job is given before teams and jobs are compared anew:
// single ones would cost a look at all that waits for each, and long runs would
// not be served in turn.
func (d *Divider) run(w *Wait) int {
	return max(1, min(16, int(d.Teams[w.Team].weight()/64/max(w.Job.Spec.CPUs, 0.1))))
}

// serve allots a run of a job's tasks, or marks the job as blocked for this turn.
func (d *Divider) serve(w *Wait, ps pass) int {
	l, e := w.Job, w.entry
	most := min(d.run(w), d.left(l, !ps.borrow), e.free)
	given := 0
	if l.Standing() && !ps.rooms && ps.now.Sub(l.Seen) < standingQueue {
		// Room is made for it first, see preempt.
		w.blocked = true
		return 0
	}
	matched := !ps.any && !l.Standing() && d.patient(e, ps.now)
	for given < most {
		m, n := d.choose(e, most-given, ps, matched)
		if m == nil {
			w.blocked = true
			break
		}
		tasks := d.next(e, n, m.ID)
		if len(tasks) == 0 {
			w.blocked = true
			break
		}
		d.give(e, m, tasks, 0)
		d.settle(m, ps)
		given += len(tasks)
	}
	if given > 0 {
		e.servedAt = ps.now
	}
	w.Tasks = e.free
	return given
}

// settle takes a machine that can take no more off the turn's list.
func (d *Divider) settle(m *Room, ps pass) {
	if d.takes(m, ps) {
		return
	}
	if i := slices.Index(d.open, m); i >= 0 {
		d.open = slices.Delete(d.open, i, i+1)
	}
}

// next gives the first free tasks of a job, none that failed on the machine last.
func (d *Divider) next(e *entry, n int, machine string) []int {
	l := e.live
	// Finished tasks are kept as ranges: holes far behind would grow the record
	// past what a value may hold.
	lag := l.Finished.Spans()*14+d.specRoom() > max(d.cfg.ValueBytes/2, min(d.cfg.ValueBytes, 1900))
	var out []int
	first := true
	for i := e.low; i < l.Spec.Pieces && len(out) < n; i++ {
		if e.tasks[i] != 0 {
			if lag && e.tasks[i]&finished == 0 {
				break
			}
			continue
		}
		if first {
			e.low, first = i, false
		}
		if e.shunned[i] == machine && machine != "" {
			continue
		}
		out = append(out, i)
	}
	return out
}

// choose finds the machine for a job's next tasks, and how many it takes: one
// with room, best with the image there; or one whose queue is short. Matched says
// that only machines with the image will do.
func (d *Divider) choose(e *entry, most int, ps pass, matched bool) (best *Room, n int) {
	l := e.live
	need := l.Need()
	image := d.image(l.Spec.Bundle)
	fetchS := d.fetchS(l)
	bestScore := 0.0
	plain := movable(&l.Spec)
	shun := ""
	if len(e.shunned) > 0 {
		if t := d.next(e, 1, ""); len(t) > 0 {
			shun = e.shunned[t[0]]
		}
	}
	var given map[string]bool
	if l.Standing() {
		given = d.given(l.Spec.UID)
	}
	for _, m := range d.open {
		if shun == m.ID && shun != "" || !need.Fits(m.Cap) || ps.rooms && !need.Fits(m.Free) ||
			!job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) || !plain && !d.zoneOK(e, m.Zone) {
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
		if ps.rooms {
			// Fill machines up, so that others fall idle and can go.
			score = 61 - 50*fetch - 10*m.Free.CPUs/max(m.Cap.CPUs, 1e-9)
			if l.Standing() && (given[m.ID] || m.has(l.Spec.UID)) {
				score -= 100 // not all replicas of a service on one machine
			}
		} else {
			// The one where it is likely to start first.
			wait := float64(m.Queue+1)/max(m.rate, 1e-3) + fetch*fetchS
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
	if ps.rooms {
		n = max(1, min(most, need.Slots(best.Free)))
	}
	if !plain || l.Standing() {
		n = 1
	}
	return best, n
}

// serveGroup allots all tasks of a group, or none. They run only all together, so
// each needs room now, none of an earlier try may be left, and all get one try.
func (d *Divider) serveGroup(w *Wait, ps pass) int {
	l, e := w.Job, w.entry
	w.blocked = true
	n := l.Spec.Pieces - e.fin
	if !ps.rooms || e.held > 0 || d.left(l, !ps.borrow) < n {
		return 0
	}
	need := l.Need()
	type seat struct {
		m     *Room
		tasks []int
	}
	var seats []seat
	free := map[*Room]job.Need{}
	got := 0
	for i := range l.Spec.Pieces {
		if e.tasks[i] != 0 {
			continue
		}
		m, _ := d.choose(e, 1, ps, false)
		if m == nil || !need.Fits(m.Free) {
			break
		}
		if _, seen := free[m]; !seen {
			free[m] = m.Free
		}
		m.Free = m.Free.Minus(need)
		// Where the others of its kind are counts for the next one's zone.
		if e.zones == nil {
			e.zones = map[string]int{}
		}
		e.zones[m.Zone]++
		seats = append(seats, seat{m, []int{i}})
		got++
	}
	for m, f := range free {
		m.Free = f
	}
	for _, s := range seats {
		e.zones[s.m.Zone]--
	}
	if got < n {
		return 0
	}
	d.groups++
	for _, s := range seats {
		d.give(e, s.m, s.tasks, d.groups)
		d.settle(s.m, ps)
	}
	return got
}

// noteFree notes since when each replica of a service is held by nobody.
func (e *entry) noteFree(now time.Time) {
	if e.freeAt == nil {
		e.freeAt = map[int]time.Time{}
	}
	for i := range e.live.Spec.Pieces {
		if _, noted := e.freeAt[i]; e.tasks[i] == 0 && !noted {
			e.freeAt[i] = now
		}
	}
}

// countGiven adds how long replicas waited for the room that they are given.
func (d *Divider) countGiven(e *entry, tasks []int) {
	for _, i := range tasks {
		if since, noted := e.freeAt[i]; noted {
			d.Counts.ReplicasGiven++
			d.Counts.ReplicaWait += d.now.Sub(since)
			delete(e.freeAt, i)
		}
	}
}

// give allots tasks to a machine's owner.
func (d *Divider) give(e *entry, m *Room, tasks []int, group uint64) {
	l := e.live
	w := &d.owners[m.Owner]
	w.seq++
	a := Allotment{Seq: w.seq, Job: e.uid, Machine: m.ID, Group: group, need: l.Need(), team: l.Team, n: len(tasks)}
	for _, i := range tasks {
		a.Tasks.Add(i)
	}
	if e.zones == nil && !movable(&l.Spec) {
		e.zones = map[string]int{}
	}
	w.unacked = append(w.unacked, a)
	d.countGiven(e, tasks)
	d.pend(a, 1)
	if image := d.image(l.Spec.Bundle); !slices.Contains(m.images, image) && !slices.Contains(m.fetching, image) {
		m.fetching = append(m.fetching[:len(m.fetching):len(m.fetching)], image)
	}
	d.Counts.Allotted += uint64(len(tasks))
}

// Holds tells where a task is held, for the operators and tests.
func (d *Divider) Holds(t job.Task) (machines []string) {
	for _, m := range d.Order() {
		for i := range m.Held {
			if m.Held[i].Job == t.Job && m.Held[i].Tasks.Has(t.Index) {
				machines = append(machines, m.ID)
			}
		}
	}
	return machines
}
