// Package divide is the divider's mind: it admits tasks under the teams'
// limits, serves the teams' queues by shares, and splits jobs over owners by
// free room. It is pure: time and news in, allotments out.
package divide

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
)

// Config holds sizes and times.
type Config struct {
	Backlog    int           // tasks queued on a machine that has no room
	Aging      time.Duration // waiting this long lifts work by one urgency
	FaultPause time.Duration // first pause of a job whose task failed
	FaultMax   time.Duration
	SickAfter  int // failures of different tasks that others complete
	ValueBytes int
	Preempt    time.Duration       // work that may stop other work waits this long first
	Settle     time.Duration       // a start that ran this long stands
	MaxLoss    time.Duration       // of run time, for each task stopped
	Targets    map[string][]Target // by class of jobs, the nearest first
}

// Target is what is expected of a class of jobs: to have started or to be
// complete within a time, or within so many times its deadline.
type Target struct {
	Start  bool
	Within time.Duration
	Times  float64
}

// Team is a team of the settings.
type Team struct {
	Name      string
	Guarantee job.Need
	Limit     job.Need
	Weight    float64 // 0: the guarantee is the share
	used      job.Need
	tasks     int
}

// Allotment gives a task to the owner of a machine.
type Allotment struct {
	Seq     uint64 `msgpack:"q"`
	Job     string `msgpack:"j"`
	Index   int    `msgpack:"n"`
	Machine string `msgpack:"m"`
	Group   uint64 `msgpack:"g,omitempty"` // tasks of a group that start together share it

	need job.Need
	team string
}

type owner struct {
	synced  bool
	digest  part.Digest
	seq     uint64
	unacked []Allotment
}

type jobInfo struct {
	pauseUntil time.Time
	faults     int
	failedOn   map[string]bool
	completed  bool
	shunned    map[int]string // a task's last machine that failed it
}

// Held is where a task is.
type Held struct {
	Owner   int
	Machine string
	Task    part.HeldTask
	Need    job.Need
	Team    string
}

// Divider is the ledger of one view.
type Divider struct {
	cfg    Config
	Teams  []Team
	byName map[string]int
	jobs   *job.Mirror
	owners []owner
	info   map[string]*jobInfo
	caps   part.Caps

	held    map[job.Task]Held
	perJob  map[string]int
	rates   map[string]*times
	merged  map[string]time.Time
	counted map[job.Task]bool
	moves   []part.Move
	stops   map[job.Task]time.Time
	sick    map[string]map[job.Task]bool
	Sick    map[string]bool

	Machines map[string]*Room
	order    []string
	Allotted uint64
	groups   uint64
	Stopped  uint64
}

// Room is a machine as the divider counts it.
type Room struct {
	part.State
	Owner int
	Cap   job.Need
	Free  job.Need
	Queue int
}

// New makes the divider of a view with as many owners as it has members.
func New(cfg Config, teams []Team, owners int, caps part.Caps, jobs *job.Mirror) *Divider {
	d := &Divider{cfg: cfg, Teams: teams, byName: map[string]int{}, jobs: jobs, owners: make([]owner, owners), caps: caps,
		merged: map[string]time.Time{}, stops: map[job.Task]time.Time{},
		info: map[string]*jobInfo{}, rates: map[string]*times{}, counted: map[job.Task]bool{}, sick: map[string]map[job.Task]bool{}, Sick: map[string]bool{}}
	for i, t := range teams {
		d.byName[t.Name] = i
	}
	return d
}

// Inherit counts an owner's committed placements until its first digest comes.
func (d *Divider) Inherit(o int, dg part.Digest) {
	if !d.owners[o].synced {
		d.owners[o].digest = dg
		for _, t := range dg.Done {
			d.completed(t)
		}
	}
}

// Synced tells whether every owner has shown what it holds.
func (d *Divider) Synced() bool {
	for _, o := range d.owners {
		if !o.synced {
			return false
		}
	}
	return true
}

// Digest takes an owner's digest and gives what it has not acknowledged.
func (d *Divider) Digest(o int, dg part.Digest, now time.Time) {
	w := &d.owners[o]
	if w.synced && dg.N <= w.digest.N {
		// A late copy would take back what was acknowledged since.
		return
	}
	w.synced = true
	for _, t := range dg.Done {
		d.completed(t)
	}
	for _, f := range dg.Faults {
		d.fault(f, now)
	}
	d.moves = append(d.moves, dg.Moves...)
	dg.Moves, dg.Faults = nil, nil
	w.digest = dg
	keep := w.unacked[:0]
	for _, a := range w.unacked {
		if a.Seq > dg.Ack {
			keep = append(keep, a)
		}
	}
	w.unacked = keep
}

// Unacked is what an owner has yet to take.
func (d *Divider) Unacked(o int) []Allotment { return d.owners[o].unacked }

func (d *Divider) jobInfo(uid string) *jobInfo {
	i := d.info[uid]
	if i == nil {
		i = &jobInfo{failedOn: map[string]bool{}, shunned: map[int]string{}}
		d.info[uid] = i
	}
	return i
}

// times compares how long a class's tasks ran with what their owners expected.
type times struct{ ran, expected float64 }

// prior is how many tasks' worth of belief the owners' own estimates have.
const prior = 8

// estimate is how long a job's tasks are likely to run. Owners' estimates are
// often wrong, and on some days mostly on one side.
func (d *Divider) estimate(l *job.Live) float64 {
	e := max(l.Spec.ExpectedS, 1)
	if r := d.rates[l.Spec.Queue]; r != nil {
		e *= min(max(r.ran/r.expected, 0.25), 4)
	}
	return e
}

func (d *Divider) completed(done part.DoneTask) {
	t := done.Task
	if l := d.jobs.Get(t.Job); l != nil {
		if done.RanS > 0 && l.Spec.ExpectedS > 0 && !d.counted[t] {
			d.counted[t] = true
			r := d.rates[l.Spec.Queue]
			if r == nil {
				r = &times{prior * l.Spec.ExpectedS, prior * l.Spec.ExpectedS}
				d.rates[l.Spec.Queue] = r
			}
			r.ran += done.RanS
			r.expected += l.Spec.ExpectedS
		}
		l.Finished.Add(t.Index)
		if i := d.info[t.Job]; i != nil && !i.completed {
			i.completed = true
		}
	}
}

// fault notes a failed task. Most failures are the machine's; a job submitted
// with a mistake fails on every machine and pauses for longer and longer.
func (d *Divider) fault(f part.Fault, now time.Time) {
	i := d.jobInfo(f.Task.Job)
	switch f.Cause {
	case "full", "busy":
		return
	case "no_such":
		i.pauseUntil = now.Add(d.cfg.FaultPause)
		return
	}
	i.shunned[f.Task.Index] = f.Machine
	i.failedOn[f.Machine] = true
	i.faults++
	if len(i.failedOn) >= 2 && !i.completed {
		pause := d.cfg.FaultPause << min(i.faults, 10)
		i.pauseUntil = now.Add(min(pause, d.cfg.FaultMax))
	}
	s := d.sick[f.Machine]
	if s == nil {
		s = map[job.Task]bool{}
		d.sick[f.Machine] = s
	}
	s[f.Task] = true
	d.judge(f.Machine)
}

// judge calls a machine sick when enough tasks failed on it whose jobs have not
// failed elsewhere.
func (d *Divider) judge(machine string) {
	n := 0
	for t := range d.sick[machine] {
		if i := d.info[t.Job]; i != nil && (i.completed || len(i.failedOn) < 2) {
			n++
		}
	}
	if n >= d.cfg.SickAfter {
		d.Sick[machine] = true
	}
}

// Count rebuilds the ledger from digests and unacknowledged allotments.
func (d *Divider) Count(now time.Time) {
	d.held = make(map[job.Task]Held, len(d.held))
	d.perJob = make(map[string]int, len(d.perJob))
	d.Machines = make(map[string]*Room, len(d.Machines))
	d.order = d.order[:0]
	for i := range d.Teams {
		d.Teams[i].used, d.Teams[i].tasks = job.Need{}, 0
	}
	hold := func(t job.Task, h Held) {
		if _, twice := d.held[t]; !twice {
			d.perJob[t.Job]++
		}
		d.held[t] = h
		if n, ok := d.byName[h.Team]; ok {
			d.Teams[n].used = d.Teams[n].used.Plus(h.Need)
			d.Teams[n].tasks++
		}
	}
	for o := range d.owners {
		w := &d.owners[o]
		for _, s := range w.digest.Machines {
			c, _ := d.caps(s.Flavor)
			d.Machines[s.ID] = &Room{State: s, Owner: o, Cap: c, Free: s.Room, Queue: s.Queue}
			d.order = append(d.order, s.ID)
		}
		for _, j := range w.digest.Held {
			for _, t := range j.Tasks {
				hold(job.Task{Job: j.UID, Index: t.Index}, Held{Owner: o, Machine: t.Machine, Task: t, Need: j.Need, Team: j.Team})
			}
		}
		for _, a := range w.unacked {
			hold(job.Task{Job: a.Job, Index: a.Index}, Held{Owner: o, Machine: a.Machine, Need: a.need, Team: a.team,
				Task: part.HeldTask{Index: a.Index, Machine: a.Machine}})
			if m := d.Machines[a.Machine]; m != nil {
				d.take(m, a.need)
			}
		}
	}
	sort.Strings(d.order)
	for t := range d.counted {
		if d.jobs.Get(t.Job) == nil {
			delete(d.counted, t)
		}
	}
	for uid := range d.info {
		if d.jobs.Get(uid) == nil {
			delete(d.info, uid)
		}
	}
	for id := range d.sick {
		if d.Machines[id] == nil {
			delete(d.sick, id)
			delete(d.Sick, id)
		}
	}
}

func (d *Divider) take(m *Room, n job.Need) {
	m.Free = m.Free.Minus(n)
	if m.Free.CPUs < -1e-6 || m.Free.Mem < -1e-6 || m.Free.Acc < -1e-6 {
		m.Queue++
	}
}

// Holding is the ledger as last counted.
func (d *Divider) Holding() map[job.Task]Held { return d.held }

// Machine ids in order, as last counted.
func (d *Divider) Order() []string { return d.order }

// Wait is a job with tasks that wait for room.
type Wait struct {
	Job     *job.Live
	Team    int
	Tasks   int // that wait
	Age     time.Duration
	Rank    int  // the urgency's place, after aging
	Grade   int  // 0 in time for its first target, 1 for a later one, 2 for none
	Lost    bool // no room however large could still make it be in time
	target  time.Time
	work    float64 // CPU seconds that wait
	next    int     // where to look for the next waiting task
	blocked bool
	limited bool
}

// Level orders the waiting jobs: by urgency, and in it those that can be in time
// first. Those that cannot go behind all that can, except that urgent work never
// stands behind other work.
func (w *Wait) Level() int {
	if w.Grade >= late && w.Rank >= ordinary {
		return len(protocol.Urgencies)*4 + w.Grade
	}
	return w.Rank*4 + w.Grade
}

const (
	late     = 2
	ordinary = 2 // the first urgency that is not pressing
)

// Waiting lists the jobs with tasks that nobody holds, in the order of service.
func (d *Divider) Waiting(now time.Time) []*Wait {
	var out []*Wait
	for uid, l := range d.jobs.Jobs {
		if l.Team < 0 {
			continue
		}
		if i := d.info[uid]; i != nil && now.Before(i.pauseUntil) {
			continue
		}
		n := l.Spec.Pieces - l.Finished.Len() - d.perJob[uid]
		if n <= 0 {
			continue
		}
		w := &Wait{Job: l, Team: l.Team, Tasks: n, Age: now.Sub(time.UnixMilli(l.At)), Rank: l.Rank,
			work: float64(n) * l.Spec.CPUs * d.estimate(l)}
		if d.cfg.Aging > 0 {
			// Waiting lifts work, so the low is not starved.
			w.Rank = max(0, w.Rank-int(w.Age/d.cfg.Aging))
		}
		out = append(out, w)
	}
	d.grade(out, now)
	return out
}

// targets are the times by which a job should have started or be complete, as
// far as it alone could still meet them, given as the latest end of its work.
func (d *Divider) targets(w *Wait, now time.Time) []time.Time {
	var out []time.Time
	est := time.Duration(d.estimate(w.Job) * float64(time.Second))
	at := time.UnixMilli(w.Job.At)
	for _, t := range d.cfg.Targets[w.Job.Spec.Queue] {
		by := at.Add(t.Within)
		if t.Times > 0 {
			if w.Job.Spec.DueS <= 0 {
				continue
			}
			by = at.Add(time.Duration(t.Times * w.Job.Spec.DueS * float64(time.Second)))
		}
		if t.Start {
			by = by.Add(est)
		}
		if now.Add(est).After(by) {
			continue
		}
		out = append(out, by)
	}
	if len(d.cfg.Targets[w.Job.Spec.Queue]) == 0 && w.Job.Spec.DueS > 0 {
		out = append(out, at.Add(time.Duration(w.Job.Spec.DueS*float64(time.Second))))
	}
	return out
}

// grade tells which of the waiting jobs can be in time, and sorts them. More may
// be asked than can be done: then the fewest jobs are late if, in the order of
// their targets, the largest is put off each time that the sum of the work
// before a target is too much for it (Moore and Hodgson's rule).
func (d *Divider) grade(ws []*Wait, now time.Time) {
	byTarget := func(a, b *Wait) bool {
		if a.Grade >= late && b.Grade >= late && a.Level() == b.Level() {
			// Nothing is to be won but an early end of it all: the longest first.
			if ea, eb := d.estimate(a.Job), d.estimate(b.Job); ea != eb {
				return ea > eb
			}
		} else if a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		if !a.target.Equal(b.target) {
			return a.target.Before(b.target)
		}
		return a.Job.Spec.UID < b.Job.Spec.UID
	}
	room, busy := 0.0, 0.0
	for _, m := range d.Machines {
		if m.Usable && !m.Leaving && !m.Warned {
			room += m.Cap.CPUs
		}
	}
	room = max(room, 1)
	teamBusy := make([]float64, len(d.Teams))
	for t, h := range d.held {
		left := h.Need.CPUs * 10
		if l := d.jobs.Get(t.Job); l != nil {
			left = h.Need.CPUs * max(d.estimate(l)-h.Task.ForS, d.estimate(l)/4)
		}
		busy += left
		if n, ok := d.byName[h.Team]; ok {
			teamBusy[n] += left
		}
	}
	todo := append([]*Wait(nil), ws...)
	for pass := 0; pass < late && len(todo) > 0; pass++ {
		var on []*Wait
		var off []*Wait
		for _, w := range todo {
			ts := d.targets(w, now)
			w.Lost = len(ts) == 0 && (len(d.cfg.Targets[w.Job.Spec.Queue]) > 0 || w.Job.Spec.DueS > 0)
			if len(ts) <= pass {
				w.Grade, w.target = late, time.UnixMilli(w.Job.At)
				off = append(off, w)
				continue
			}
			w.Grade, w.target = pass, ts[pass]
			on = append(on, w)
		}
		sort.Slice(on, func(i, j int) bool { return byTarget(on[i], on[j]) })
		var in []*Wait
		sum := busy
		team := append([]float64(nil), teamBusy...)
		for _, w := range on {
			in = append(in, w)
			sum += w.work
			team[w.Team] += w.work
			left := w.target.Sub(now).Seconds()
			limit := max(d.Teams[w.Team].Limit.CPUs, 1)
			for sum/room > left || team[w.Team]/limit > left {
				all := sum/room > left
				worst := -1
				for i, x := range in {
					if x.Rank == w.Rank && (all || x.Team == w.Team) && (worst < 0 || x.work > in[worst].work) {
						worst = i
					}
				}
				if worst < 0 {
					break
				}
				x := in[worst]
				sum -= x.work
				team[x.Team] -= x.work
				in = append(in[:worst], in[worst+1:]...)
				x.Grade, x.target = late, time.UnixMilli(x.Job.At)
				off = append(off, x)
				if x == w {
					break
				}
			}
		}
		busy, teamBusy, todo = sum, team, off
	}
	sort.Slice(ws, func(i, j int) bool {
		if a, b := ws[i].Level(), ws[j].Level(); a != b {
			return a < b
		}
		return byTarget(ws[i], ws[j])
	})
}

// Allot admits what fits now. It first serves the moves that owners asked for.
func (d *Divider) Allot(now time.Time) {
	d.Count(now)
	for _, mv := range d.moves {
		l, m := d.jobs.Get(mv.Task.Job), d.Machines[mv.To]
		if _, held := d.held[mv.Task]; held || l == nil || m == nil || l.Team < 0 || l.Finished.Has(mv.Task.Index) ||
			!m.Usable || !l.Need().Fits(m.Free) || !d.within(l, false) {
			continue
		}
		if z, ok := d.zoneOK(l, m.Zone); !ok || z != "" && z != m.Zone {
			continue
		}
		if job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) {
			d.give(l, mv.Task.Index, m)
		}
	}
	d.moves = nil
	waits := d.Waiting(now)
	// First what lies within the guarantees, then what is borrowed.
	for _, borrow := range []bool{false, true} {
		for _, w := range waits {
			w.limited = false
		}
		for {
			w := d.pick(waits, borrow)
			if w == nil {
				break
			}
			if w.Job.Spec.Shape == protocol.Group {
				d.serveGroup(w, borrow)
			} else {
				d.serve(w, borrow)
			}
		}
	}
	if d.cfg.Preempt > 0 {
		d.preempt(waits, now)
	}
}

// pick takes the most pressing job; among equals the team that uses the least
// of its share.
func (d *Divider) pick(waits []*Wait, borrow bool) *Wait {
	var best *Wait
	bestLevel, bestShare := 0, 0.0
	for _, w := range waits {
		if w.blocked || w.limited || w.Tasks <= 0 {
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
		t := &d.Teams[w.Team]
		weight := t.Weight
		if weight <= 0 {
			weight = max(t.Guarantee.CPUs, 1)
		}
		share := t.used.CPUs / weight
		if best == nil || share < bestShare-1e-9 {
			best, bestLevel, bestShare = w, r, share
		}
	}
	return best
}

func (d *Divider) within(l *job.Live, guarantee bool) bool {
	t := &d.Teams[l.Team]
	lim := t.Limit
	if guarantee {
		lim = t.Guarantee
	}
	used := t.used.Plus(l.Need())
	return used.CPUs <= lim.CPUs+1e-6 && used.Acc <= lim.Acc+1e-6
}

// serve allots one task of a job, or marks the job as blocked for this round.
func (d *Divider) serve(w *Wait, borrow bool) {
	l := w.Job
	idx := d.nextTask(w)
	if idx < 0 {
		w.blocked = true
		return
	}
	m := d.choose(l, idx)
	if m == nil {
		w.blocked = true
		return
	}
	d.give(l, idx, m)
	w.Tasks--
	w.next = idx + 1
}

// serveGroup allots all tasks of a group, or none. They run only all together, so
// each needs room now, none of an earlier try may be left, and all get one try.
func (d *Divider) serveGroup(w *Wait, borrow bool) {
	l := w.Job
	w.blocked = true
	need, n := l.Need(), l.Spec.Pieces-l.Finished.Len()
	t := &d.Teams[w.Team]
	lim := t.Guarantee
	if borrow {
		lim = t.Limit
	}
	if d.perJob[l.Spec.UID] > 0 || t.used.CPUs+need.CPUs*float64(n) > lim.CPUs+1e-6 || t.used.Acc+need.Acc*float64(n) > lim.Acc+1e-6 {
		return
	}
	type seat struct {
		idx int
		m   *Room
	}
	var seats []seat
	taken := map[*Room]job.Need{}
	for i := range l.Spec.Pieces {
		if l.Finished.Has(i) {
			continue
		}
		m := d.choose(l, i)
		if m == nil || !need.Fits(m.Free) {
			seats = nil
			break
		}
		seats = append(seats, seat{i, m})
		taken[m] = taken[m].Plus(need)
		m.Free = m.Free.Minus(need)
		// Where the others of its kind are counts for the next one's zone.
		d.held[job.Task{Job: l.Spec.UID, Index: i}] = Held{Owner: m.Owner, Machine: m.ID}
	}
	for m, n := range taken {
		m.Free = m.Free.Plus(n)
	}
	for i := range l.Spec.Pieces {
		delete(d.held, job.Task{Job: l.Spec.UID, Index: i})
	}
	d.groups++
	for _, s := range seats {
		d.give(l, s.idx, s.m)
		w := &d.owners[s.m.Owner]
		w.unacked[len(w.unacked)-1].Group = d.groups
	}
	w.Tasks -= len(seats)
}

func (d *Divider) nextTask(w *Wait) int {
	l := w.Job
	// Finished tasks are kept as ranges: holes far behind would grow the record
	// past what a value may hold.
	lag := l.Finished.Spans()*14+specRoom > d.cfg.ValueBytes/2
	for i := w.next; i < l.Spec.Pieces; i++ {
		if l.Finished.Has(i) {
			continue
		}
		if _, held := d.held[job.Task{Job: l.Spec.UID, Index: i}]; held {
			if lag {
				return -1
			}
			continue
		}
		return i
	}
	return -1
}

// zoneOK gives the zone that a job is bound to, if any, and whether a zone may
// take one more of its tasks.
func (d *Divider) zoneOK(l *job.Live, zone string) (bound string, ok bool) {
	if !l.Spec.Together && !l.Spec.Scatter {
		return "", true
	}
	n := 0
	for t, h := range d.held {
		if t.Job != l.Spec.UID {
			continue
		}
		z := ""
		if m := d.Machines[h.Machine]; m != nil {
			z = m.Zone
		}
		if z == "" {
			return "", false // nobody knows where that task is
		}
		if l.Spec.Together {
			return z, z == zone
		}
		if z == zone {
			n++
		}
	}
	return "", !l.Spec.Scatter || n < (l.Spec.Pieces+1)/2
}

// choose finds the machine for a task: one with room, best with its image
// there; else one whose queue is short.
func (d *Divider) choose(l *job.Live, idx int) *Room {
	need := l.Need()
	shun := ""
	if i := d.info[l.Spec.UID]; i != nil {
		shun = i.shunned[idx]
	}
	var best *Room
	bestScore := 0.0
	zones := map[string]bool{}
	for _, id := range d.order {
		m := d.Machines[id]
		if !m.Usable || m.Leaving || m.Warned || d.Sick[id] || id == shun || !need.Fits(m.Cap) ||
			!job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) {
			continue
		}
		ok, known := zones[m.Zone]
		if !known {
			_, ok = d.zoneOK(l, m.Zone)
			zones[m.Zone] = ok
		}
		if !ok {
			continue
		}
		score := 0.0
		if need.Fits(m.Free) {
			score = 100
			if has(m.Images, l.Spec.Bundle) {
				score += 50
			} else if has(m.Fetching, l.Spec.Bundle) {
				score += 25
			}
			// Fill machines up, so that others fall idle and can go.
			score += 10 * (1 - m.Free.CPUs/max(m.Cap.CPUs, 1e-9))
		} else if m.Queue < d.cfg.Backlog {
			score = 10 - float64(m.Queue)
			if has(m.Images, l.Spec.Bundle) {
				score += 5
			}
		} else {
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (d *Divider) give(l *job.Live, idx int, m *Room) {
	w := &d.owners[m.Owner]
	w.seq++
	a := Allotment{Seq: w.seq, Job: l.Spec.UID, Index: idx, Machine: m.ID, need: l.Need(), team: l.Spec.Owner}
	w.unacked = append(w.unacked, a)
	d.held[job.Task{Job: a.Job, Index: idx}] = Held{Owner: m.Owner, Machine: m.ID, Need: a.need, Team: a.team,
		Task: part.HeldTask{Index: idx, Machine: m.ID}}
	d.perJob[a.Job]++
	t := &d.Teams[l.Team]
	t.used = t.used.Plus(a.need)
	d.take(m, a.need)
	if !has(m.Images, l.Spec.Bundle) && !has(m.Fetching, l.Spec.Bundle) {
		m.Fetching = append(m.Fetching[:len(m.Fetching):len(m.Fetching)], l.Spec.Bundle)
	}
	d.Allotted++
}

// Running counts a job's tasks that run.
func (d *Divider) Running() map[string]int {
	out := map[string]int{}
	for t, h := range d.held {
		if h.Task.Running {
			out[t.Job]++
		}
	}
	return out
}

// Used is what a team holds.
func (t *Team) Used() job.Need { return t.used }

// Within tells whether a team's limit has room for one more task of a job.
func (d *Divider) Within(l *job.Live) bool { return d.within(l, false) }

// Stops lists the tasks of an owner that are to make room for others, until it
// shows that it stops them.
func (d *Divider) Stops(o int) []job.Task {
	var out []job.Task
	for t := range d.stops {
		if h, held := d.held[t]; held && h.Owner == o && !h.Task.Stop {
			out = append(out, t)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Less(out[j]) })
	return out
}

// preempt stops work to make room where the protocol allows it: for work of a
// higher urgency, and to give a team its guarantee, work that another team runs
// beyond its own. The cheapest loss goes first: what saves its progress, then
// what ran the least.
func (d *Divider) preempt(waits []*Wait, now time.Time) {
	for t := range d.stops {
		if _, held := d.held[t]; !held {
			delete(d.stops, t)
		}
	}
	over := make([]float64, len(d.Teams)) // CPUs beyond the guarantee
	for i := range d.Teams {
		over[i] = d.Teams[i].used.CPUs - d.Teams[i].Guarantee.CPUs
	}
	byMachine := map[string][]job.Task{}
	coming := 0.0 // room that is being made already
	for t, h := range d.held {
		if _, stopping := d.stops[t]; stopping || h.Task.Stop {
			coming += h.Need.CPUs
			continue
		}
		if h.Task.Running {
			byMachine[h.Machine] = append(byMachine[h.Machine], t)
		}
	}
	relief := 0.0 // CPUs that fall free by themselves in a second
	for t, h := range d.held {
		if l := d.jobs.Get(t.Job); l != nil && h.Task.Running {
			relief += h.Need.CPUs / d.estimate(l)
		}
	}
	asked := 0.0
	for _, w := range waits {
		inside := d.within(w.Job, true)
		asked += float64(w.Tasks) * w.Job.Spec.CPUs
		if asked <= relief*d.cfg.Preempt.Seconds() {
			continue // served first, it has its room sooner without
		}
		if w.Tasks <= 0 || w.Lost || now.Sub(w.Job.Seen) < d.cfg.Preempt || !d.within(w.Job, false) ||
			w.Job.Rank >= ordinary && !inside {
			continue
		}
		need := w.Job.Need()
		for n := 0; n < w.Tasks && n < maxStops; n++ {
			if coming >= need.CPUs {
				coming -= need.CPUs
				continue
			}
			tasks := d.victims(w, need, inside, over, byMachine)
			if tasks == nil {
				break
			}
			for _, t := range tasks {
				h := d.held[t]
				d.stops[t] = now
				if i, ok := d.byName[h.Team]; ok {
					over[i] -= h.Need.CPUs
				}
				list := byMachine[h.Machine]
				for i := range list {
					if list[i] == t {
						byMachine[h.Machine] = append(list[:i:i], list[i+1:]...)
						break
					}
				}
				d.Stopped++
			}
		}
	}
}

// maxStops is the most tasks of one job for which room is made at a time.
const maxStops = 8

// victims finds the cheapest tasks of one machine whose room is enough.
func (d *Divider) victims(w *Wait, need job.Need, inside bool, over []float64, byMachine map[string][]job.Task) []job.Task {
	var best []job.Task
	bestCost := 0.0
	for _, id := range d.order {
		m := d.Machines[id]
		if !m.Usable || m.Leaving || m.Warned || d.Sick[id] || !need.Fits(m.Cap) ||
			!job.Allows(&w.Job.Spec, m.Flavor, m.Zone, m.Spot) {
			continue
		}
		type victim struct {
			t    job.Task
			cost float64
		}
		var vs []victim
		for _, t := range byMachine[id] {
			h, l := d.held[t], d.jobs.Get(t.Job)
			if l == nil {
				continue
			}
			beyond := inside && l.Team != w.Team && l.Team >= 0 && over[l.Team] >= h.Need.CPUs
			if l.Rank <= w.Job.Rank && !beyond {
				continue
			}
			loss := h.Task.ForS
			if l.Spec.SnapshotS > 0 {
				loss = l.Spec.StashS
			}
			if loss > d.cfg.MaxLoss.Seconds() {
				continue // it will end by itself before that is made good
			}
			cost := loss * h.Need.CPUs
			if h.Task.ForS < d.cfg.Settle.Seconds() {
				cost += d.cfg.Settle.Seconds() * h.Need.CPUs // its start would not count
			}
			vs = append(vs, victim{t, cost})
		}
		sort.Slice(vs, func(i, j int) bool {
			if vs[i].cost != vs[j].cost {
				return vs[i].cost < vs[j].cost
			}
			return vs[i].t.Less(vs[j].t)
		})
		room, cost := m.Free, 0.0
		room.CPUs, room.Mem, room.Acc = max(room.CPUs, 0), max(room.Mem, 0), max(room.Acc, 0)
		var tasks []job.Task
		for _, v := range vs {
			if need.Fits(room) {
				break
			}
			room = room.Plus(d.held[v.t].Need)
			cost += v.cost
			tasks = append(tasks, v.t)
		}
		if len(tasks) > 0 && need.Fits(room) && (best == nil || cost < bestCost) {
			best, bestCost = tasks, cost
		}
	}
	return best
}

// Saves tells whether a job's tasks keep their progress when they are stopped.
func (d *Divider) Saves(uid string) bool {
	l := d.jobs.Get(uid)
	return l != nil && l.Spec.SnapshotS > 0
}

// Merge is a job whose record is to take finished tasks that so far stand only
// in machines' records, or which is over.
type Merge struct {
	UID   string
	Stamp uint64
	Rec   job.Record
	Ended *job.Ended
}

// Ops is how many changes it takes.
func (m *Merge) Ops() int {
	if m.Ended != nil {
		return 2
	}
	return 1
}

// Merges lists what the jobs' records lack, those that are complete first and at
// most ops changes. The divider is the only one who writes finished tasks there,
// so that owners never get into each other's way; what it writes is true in any
// view, and what it does not write yet is safe in the machines' records.
func (d *Divider) Merges(now time.Time, every time.Duration, ops int) []Merge {
	var out []Merge
	for uid, l := range d.jobs.Jobs {
		have := l.Finished.Len()
		if have == l.Merged.Len() {
			continue
		}
		m := Merge{UID: uid, Stamp: l.Stamp, Rec: l.Record}
		if have >= l.Spec.Pieces {
			m.Ended = &job.Ended{Status: job.Done, Done: l.Spec.Pieces}
		} else if now.Sub(d.merged[uid]) < every {
			continue
		}
		m.Rec.Done = l.Finished.String()
		if m.Ended == nil && len(m.Rec.Done)+specRoom > d.cfg.ValueBytes {
			continue // later, when the holes are filled
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if (a.Ended != nil) != (b.Ended != nil) {
			return a.Ended != nil
		}
		if x, y := d.merged[a.UID], d.merged[b.UID]; !x.Equal(y) {
			return x.Before(y)
		}
		return a.UID < b.UID
	})
	n := 0
	for i := range out {
		if n += out[i].Ops(); n > ops {
			return out[:i]
		}
	}
	return out
}

// Merging notes that merges are under way.
func (d *Divider) Merging(ms []Merge, now time.Time) {
	for uid := range d.merged {
		if d.jobs.Get(uid) == nil {
			delete(d.merged, uid)
		}
	}
	for _, m := range ms {
		d.merged[m.UID] = now
	}
}

// specRoom is what a job's record takes beside its ranges, at the most that is
// accepted.
const specRoom = 1500

// Job finds a live job.
func (d *Divider) Job(uid string) *job.Live { return d.jobs.Get(uid) }
