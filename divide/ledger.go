package divide

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
)

// Allotment gives a run of a job's tasks to the owner of a machine.
type Allotment struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Job      string
	Tasks    job.Ranges
	Machine  string
	Group    uint64 // tasks of a group that start together share it

	need job.Need
	team int
	n    int
}

type owner struct {
	synced   bool
	n        uint64
	ver      uint64
	seq      uint64
	finished float64 // how much of a record its finished tasks take
	unacked  []Allotment
}

// entry is a job in the ledger. It stays for as long as the job lives or any
// machine holds a task of it.
type entry struct {
	uid   string
	live  *job.Live // nil when the job is over
	tasks []uint8   // for each task how many hold it, and whether it is finished
	fin   int       // finished tasks noted here
	free  int       // tasks that nobody holds and that are not finished
	low   int       // no task before this one is free
	zones map[string]int
	ver   uint64

	judged   bool // when it came: whether it lies within its team's guarantee
	promised bool

	held, queued, running int
	since                 float64 // sum of the running tasks' start times

	freeAt     map[int]time.Time // since when nobody holds a replica
	servedAt   time.Time         // last given a machine
	pauseUntil time.Time
	faults     int
	failedOn   map[string]bool
	completed  bool
	shunned    map[int]string // a task's last machine that failed it
}

const (
	finished = 0x80
	holders  = 0x7f
)

// Room is a machine as the divider counts it.
type Room struct {
	part.State
	Owner    int
	Cap      job.Need
	Free     job.Need
	Queue    int // tasks that wait there for room
	Tasks    int
	at       time.Time // when it was shown
	images   []int32
	fetching []int32
	rate     float64 // slots that fall free in a second, of this turn
	ahead    int     // tasks that may wait there, of this turn
	pending  int     // tasks allotted that its owner has not acknowledged
	ver      uint64
}

// Idle is how long a machine has held nothing, below 0 if it holds something.
func (r *Room) Idle(now time.Time) float64 {
	if r.IdleS < 0 || r.pending > 0 {
		return -1
	}
	return r.IdleS + now.Sub(r.at).Seconds()
}

// Shown is when its owner last showed it anew.
func (r *Room) Shown() time.Time { return r.at }

// Open tells whether a machine may take work at all.
func (r *Room) Open() bool { return r.Usable && !r.Leaving && !r.Warned }

// Inherit counts what an owner's records hold until its first digest comes.
func (d *Divider) Inherit(o int, states []part.State, done []part.DoneTask, now time.Time) {
	if d.owners[o].synced {
		return
	}
	for _, s := range states {
		d.show(o, s, now)
	}
	for _, t := range done {
		d.completed(t)
	}
}

// Digest takes an owner's digest and tells which version the divider has of it.
func (d *Divider) Digest(o int, dg part.Digest, now time.Time) (have uint64) {
	w := &d.owners[o]
	if w.synced && dg.N <= w.n {
		// A late copy would take back what was acknowledged since.
		return w.ver
	}
	if dg.Base > w.ver {
		// It leaves out what this divider never got.
		return w.ver
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
	w.synced, w.n, w.ver, w.finished = true, dg.N, dg.Ver, dg.Finished
	for _, t := range dg.Done {
		d.completed(t)
	}
	for _, f := range dg.Faults {
		d.fault(f, now)
	}
	d.moves = append(d.moves, dg.Moves...)
	cut := 0
	for cut < len(w.unacked) && w.unacked[cut].Seq <= dg.Ack {
		cut++
	}
	acked := w.unacked[:cut]
	w.unacked = slices.Clone(w.unacked[cut:])
	for _, a := range acked {
		d.pend(a, -1) // what it holds of them is shown below
	}
	for _, s := range dg.Machines {
		d.show(o, s, now)
	}
	for _, id := range dg.Removed {
		if m := d.machines[id]; m != nil && m.Owner == o {
			d.remove(m)
		}
	}
	return w.ver
}

// Unacked is what an owner has yet to take.
func (d *Divider) Unacked(o int) []Allotment { return d.owners[o].unacked }

// entry finds or makes a job's entry.
func (d *Divider) entry(uid string) *entry {
	e := d.entries[uid]
	if e == nil {
		e = &entry{uid: uid}
		d.entries[uid] = e
	}
	if l := d.jobs.Get(uid); l != e.live {
		e.live = l
		if l != nil {
			e.grow(l.Spec.Pieces)
			e.free = 0
			for _, t := range e.tasks {
				if t == 0 {
					e.free++
				}
			}
			e.low = 0
		}
	}
	if e.live != nil && e.fin != e.live.Finished.Len() {
		for i := range e.live.Finished.All() {
			e.finish(i)
		}
	}
	return e
}

func (e *entry) grow(n int) {
	if n > len(e.tasks) {
		e.tasks = append(e.tasks, make([]uint8, n-len(e.tasks))...)
	}
}

func (e *entry) finish(i int) {
	if i >= len(e.tasks) || e.tasks[i]&finished != 0 {
		return
	}
	if e.tasks[i] == 0 {
		e.free--
	}
	e.tasks[i] |= finished
	e.fin++
}

// hold notes that one more or one fewer holds a task.
func (e *entry) hold(i, by int) {
	if by > 0 {
		e.grow(i + 1)
		if e.tasks[i] == 0 && e.live != nil {
			e.free--
		}
		if e.tasks[i]&holders < holders {
			e.tasks[i]++
		}
	} else if i < len(e.tasks) && e.tasks[i]&holders > 0 {
		e.tasks[i]--
		if e.tasks[i] == 0 && e.live != nil {
			e.free++
			e.low = min(e.low, i)
		}
	}
	e.held += by
}

// sinceOf is a start time as a number, so that a sum of them can be kept.
func sinceOf(at time.Time, forS float64) float64 { return float64(at.UnixMilli())/1000 - forS }

// count adds or takes away all that a machine holds.
func (d *Divider) count(m *Room, by int) {
	for i := range m.Held {
		h := &m.Held[i]
		e := d.entry(h.Job)
		n := h.Tasks.Len()
		for t := range h.Tasks.All() {
			e.hold(t, by)
		}
		switch h.Phase {
		case part.Queued:
			e.queued += by * n
		case part.Running:
			e.running += by * n
			e.since += float64(by*n) * sinceOf(m.at, h.ForS)
			d.ver++
			e.ver = d.ver
		}
		if e.zones == nil && e.live != nil && (e.live.Spec.Together || e.live.Spec.Scatter) {
			e.zones = map[string]int{}
		}
		if e.zones != nil {
			e.zones[m.Zone] += by * n
		}
		if h.Phase == part.Gone {
			continue
		}
		if t, ok := d.byName[h.Team]; ok {
			k := float64(by * n)
			d.Teams[t].use(h.Need, k)
			if h.Phase == part.Queued {
				d.Teams[t].queued += k * h.Need.CPUs
			}
		}
	}
}

func (t *Team) use(n job.Need, k float64) {
	t.used = t.used.Plus(job.Need{CPUs: n.CPUs * k, Acc: n.Acc * k, Mem: n.Mem * k})
}

// show takes a machine as its owner shows it.
func (d *Divider) show(o int, s part.State, now time.Time) {
	m := d.machines[s.ID]
	if m == nil {
		m = &Room{}
		d.machines[s.ID] = m
		d.order, d.sorted = append(d.order, m), false
		delete(d.removed, s.ID)
	} else {
		d.count(m, -1)
		d.hasImages(m, -1)
	}
	m.State, m.Owner, m.at = s, o, now
	m.Cap, _ = d.caps(s.Flavor)
	m.images, m.fetching = d.imagesOf(s.Images), d.imagesOf(s.Fetching)
	d.hasImages(m, 1)
	d.count(m, 1)
	d.recount(m)
	d.changed(m)
}

func (d *Divider) hasImages(m *Room, by int) {
	for _, i := range m.images {
		d.imageAt[i] += by
	}
}

func (d *Divider) changed(m *Room) {
	d.ver++
	m.ver = d.ver
}

func (d *Divider) remove(m *Room) {
	d.count(m, -1)
	d.hasImages(m, -1)
	delete(d.machines, m.ID)
	d.order = slices.DeleteFunc(d.order, func(o *Room) bool { return o == m })
	d.ver++
	d.removed[m.ID] = d.ver
	delete(d.sick, m.ID)
	delete(d.Sick, m.ID)
}

func (d *Divider) imagesOf(names []string) []int32 {
	out := make([]int32, len(names))
	for i, n := range names {
		out[i] = d.image(n)
	}
	return out
}

func (d *Divider) image(name string) int32 {
	i, ok := d.images[name]
	if !ok {
		i = int32(len(d.images))
		d.images[name] = i
	}
	return i
}

// take counts tasks against a machine's free room.
func (d *Divider) take(m *Room, need job.Need, n int) {
	for range n {
		m.Free = m.Free.Minus(need)
		if m.Free.CPUs < -1e-6 || m.Free.Mem < -1e-6 || m.Free.Acc < -1e-6 {
			m.Queue++
		}
	}
}

// pend counts an allotment that its owner has not acknowledged, or no longer.
func (d *Divider) pend(a Allotment, by int) {
	e := d.entry(a.Job)
	for i := range a.Tasks.All() {
		e.hold(i, by)
	}
	d.Teams[a.team].use(a.need, float64(by*a.n))
	m := d.machines[a.Machine]
	if m == nil {
		return
	}
	m.pending += by * a.n
	if e.zones != nil {
		e.zones[m.Zone] += by * a.n
	}
	if by > 0 {
		d.take(m, a.need, a.n)
	} else {
		d.recount(m)
	}
	d.changed(m)
}

// recount works out a machine's free room and queue from what was shown and what
// was allotted since.
func (d *Divider) recount(m *Room) {
	m.Free, m.Queue, m.Tasks = m.State.Room, 0, 0
	for i := range m.Held {
		n := m.Held[i].Tasks.Len()
		m.Tasks += n
		if m.Held[i].Phase == part.Queued {
			m.Queue += n
		}
	}
	for _, a := range d.owners[m.Owner].unacked {
		if a.Machine == m.ID {
			d.take(m, a.need, a.n)
		}
	}
}

// Machine finds a machine of the ledger.
func (d *Divider) Machine(id string) *Room { return d.machines[id] }

// Order gives all machines by id.
func (d *Divider) Order() []*Room {
	if !d.sorted {
		sort.Slice(d.order, func(i, j int) bool { return d.order[i].ID < d.order[j].ID })
		d.sorted = true
	}
	return d.order
}

// Fleet gives what has changed of the machines since a version, for the owners'
// overflow, and the version that it leads up to.
func (d *Divider) Fleet(known uint64) (changed []part.Buddy, gone []string, ver uint64) {
	for _, m := range d.Order() {
		if m.ver > known {
			changed = append(changed, part.Buddy{ID: m.ID, Under: m.Open() && m.Queue == 0 && m.Free.CPUs > 0, Room: m.Free})
		}
	}
	for id, v := range d.removed {
		if v > known {
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return changed, gone, d.ver
}

// Running gives the counts of running tasks that have changed since a version.
func (d *Divider) Running(known uint64) map[string]int {
	out := map[string]int{}
	for uid, e := range d.entries {
		if e.ver > known {
			out[uid] = e.running
		}
	}
	return out
}

// Queued is how many tasks of a job wait on machines for room.
func (d *Divider) Queued(uid string) int {
	if e := d.entries[uid]; e != nil {
		return e.queued
	}
	return 0
}

// Totals are tasks by what becomes of them, and the CPUs that nothing holds.
type Totals struct {
	Held, Running, Starting, Queued, Gone, Waiting int
	Free                                           float64
	Teams                                          []TeamTotals
}

// TeamTotals are a team's CPUs: what counts against its limit, and of that what runs.
type TeamTotals struct{ Used, Running float64 }

// Totals counts all that the ledger holds.
func (d *Divider) Totals() (t Totals) {
	t.Teams = make([]TeamTotals, len(d.Teams))
	for i := range d.Teams {
		t.Teams[i].Used = d.Teams[i].used.CPUs
	}
	for _, m := range d.machines {
		if m.Open() {
			t.Free += max(m.Free.CPUs, 0)
		}
		for i := range m.Held {
			n := m.Held[i].Tasks.Len()
			t.Held += n
			switch m.Held[i].Phase {
			case part.Running:
				t.Running += n
				if team, ok := d.byName[m.Held[i].Team]; ok {
					t.Teams[team].Running += float64(n) * m.Held[i].Need.CPUs
				}
			case part.Starting:
				t.Starting += n
			case part.Queued:
				t.Queued += n
			case part.Gone:
				t.Gone += n
			}
		}
	}
	for _, e := range d.entries {
		if e.live != nil {
			t.Waiting += e.free
		}
	}
	return t
}

// refresh takes the mirror's jobs into the ledger and drops what is over.
func (d *Divider) refresh() {
	for uid := range d.jobs.Jobs {
		if e := d.entry(uid); !e.judged {
			d.vouch(e)
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

// vouch notes whether a job lies within its team's guarantee together with the team's
// earlier jobs that are not over: then it need not wait for anybody.
func (d *Divider) vouch(e *entry) {
	e.judged = true
	l := e.live
	if l == nil || l.Team < 0 {
		return
	}
	var sum job.Need
	for _, o := range d.jobs.Jobs {
		if o.Team == l.Team && (o.At < l.At || o.At == l.At && o.Spec.UID <= l.Spec.UID) {
			n := float64(o.Spec.Pieces)
			sum = sum.Plus(job.Need{CPUs: o.Spec.CPUs * n, Acc: o.Spec.Accelerators * n})
		}
	}
	e.promised = sum.Fits(d.Teams[l.Team].Guarantee)
}

// Standing tells whether a job's tasks run until it is cancelled.
func (d *Divider) Standing(uid string) bool {
	l := d.jobs.Get(uid)
	return l != nil && l.Standing()
}

// given lists the machines to which tasks of a job went that their owners have not
// acknowledged.
func (d *Divider) given(uid string) map[string]bool {
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

// has tells whether a machine holds tasks of a job.
func (r *Room) has(uid string) bool {
	return slices.ContainsFunc(r.Held, func(h part.Held) bool { return h.Job == uid && h.Phase != part.Gone })
}

// Saves tells whether a job's tasks keep their progress when they are stopped.
func (d *Divider) Saves(uid string) bool {
	l := d.jobs.Get(uid)
	return l != nil && l.Spec.SnapshotS > 0
}

// Busy tells how much an owner has yet to be told of; for the log.
func (d *Divider) Busy() (unacked int) {
	for i := range d.owners {
		unacked += len(d.owners[i].unacked)
	}
	return unacked
}

// ZoneOK tells whether a zone may take one more task of a job that waits.
func (d *Divider) ZoneOK(w *Wait, zone string) bool {
	return w.entry == nil || w.entry.live == nil || d.zoneOK(w.entry, zone)
}

// zoneOK tells whether a zone may take one more task of a job.
func (d *Divider) zoneOK(e *entry, zone string) bool {
	s := &e.live.Spec
	if !s.Together && !s.Scatter {
		return true
	}
	n, all := 0, 0
	for z, k := range e.zones {
		if z == "" && k > 0 {
			return false // nobody knows where that task is
		}
		all += k
		if z == zone {
			n = k
		}
	}
	if s.Together && n != all {
		return false
	}
	return !s.Scatter || n < (s.Pieces+1)/2
}

func movable(s *protocol.Spec) bool {
	return s.Shape != protocol.Group && !s.Together && !s.Scatter
}
