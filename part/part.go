// Package part decides for the machines of one owner: their queues, the
// overflow between them, their leases and placements. It is pure: time and news
// go in, orders and commits come out.
package part

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/prefer"
	"junipershelf/protocol"
)

// Config holds the times and sizes; none is a constant of the code.
type Config struct {
	Lease      time.Duration // of a worker, with drift and margin
	Authority  time.Duration // of an owner, after its last confirmation
	Report     time.Duration
	Stale      time.Duration // oldest mirror that still starts work
	Buddies    int
	Threshold  int
	LocalWait  time.Duration
	SilentAway time.Duration // a silent machine is returned after this
	TxnOps     int
	ValueBytes int
}

// Caps gives the size of a machine type.
type Caps func(flavor string) (job.Need, bool)

// Placement is a task that may exist on a machine.
type Placement struct {
	Task    job.Task
	Try     uint64
	Session uint64
	Need    job.Need
	Team    string
	Image   string

	inherited bool
	sent      bool
	sentTick  uint64
	status    string  // as last reported
	ran       float64 // seconds, as far as reports showed
	since     time.Time
	stop      bool
	grace     float64
	gone      bool // removal is wanted
	done      bool // and it completed
}

type entry struct {
	task  job.Task
	need  job.Need
	since time.Time
	group uint64
}

// Machine is one of the owner's machines.
type Machine struct {
	ID, Flavor, Zone, Endpoint string
	Spot                       bool

	cap       job.Need
	stamp     uint64 // of the record, 0 if there is none
	placed    map[job.Task]*Placement
	adding    []*Placement
	queue     []entry
	images    []string
	unmerged  []Ended
	unknown   map[job.Task]protocol.Piece // reported, but not placed
	shift     uint64
	tick      uint64
	baton     uint64
	heard     time.Time // last fresh report; zero in this view if none
	warning   bool
	leaving   bool
	returning bool
	urgent    bool // return without waiting for its tasks
	full      bool // takes no more until its next report
	took      int  // overflow taken since the last report
	spent     bool // and the reported room is used up
	contact   time.Time
	refused   bool // said full though we thought otherwise
	away      bool // lease certainly over
	inflight  bool
	gone      bool
	idle      time.Time
}

// Fault is a task that failed.
type Fault struct {
	Task    job.Task
	Machine string
	Cause   string
}

// Counts are the design's ordinary path at work.
type Counts struct {
	Queued, Overflowed, Sent, Walked, Started, Done, Lost, Killed uint64
}

// Part is all that an owner decides on.
type Part struct {
	cfg   Config
	view  uint64
	index int
	seen  time.Time
	caps  Caps
	jobs  *job.Mirror
	next  uint64

	machines map[string]*Machine
	ids      []string // sorted
	fleet    []Buddy  // all machines of all owners, sorted by id
	where    map[string]int
	masks    []uint32
	maskDim  int

	ack     uint64
	digests uint64
	shrunk  int // halvings of the next commit's size
	moves   []Move
	faults  []Fault
	ended   []Ended
	gone    map[string]time.Time
	Counts  Counts
}

// Buddy is what is known of a machine of any owner.
type Buddy struct {
	ID    string   `msgpack:"i"`
	Under bool     `msgpack:"u"`
	Room  job.Need `msgpack:"r"`
}

// Move asks the divider to send overflow to a buddy of another owner.
type Move struct {
	Task job.Task
	To   string
}

// Ended is a task that is done and stands so in its machine's record, but not yet
// in its job's.
type Ended struct {
	Task job.Task
	RanS float64
}

// New makes the part of a member in a view.
func New(cfg Config, view uint64, index int, seen time.Time, caps Caps, jobs *job.Mirror) *Part {
	return &Part{cfg: cfg, view: view, index: index, seen: seen, caps: caps, jobs: jobs,
		machines: map[string]*Machine{}, where: map[string]int{}, maskDim: -1, gone: map[string]time.Time{}}
}

// View is the view that the part belongs to.
func (p *Part) View() uint64 { return p.view }

func (p *Part) newTry() uint64 {
	p.next++
	return p.view<<28 | uint64(p.index)<<22 | p.next&(1<<22-1)
}

// Record is what machines/<id> holds.
type Record struct {
	Flavor string   `cbor:"f"`
	Zone   string   `cbor:"z"`
	Spot   bool     `cbor:"s"`
	Images []string `cbor:"i,omitempty"`
	Jobs   []RecJob `cbor:"j,omitempty"`
	// Done holds tasks that completed here, until their jobs' records have them.
	Done []RecDone `cbor:"d,omitempty"`
}

// RecDone is one job's finished tasks in a record.
type RecDone struct {
	UID    string `cbor:"u"`
	Ranges string `cbor:"r"`
}

// RecJob is one job's placements in a record.
type RecJob struct {
	UID   string      `cbor:"u"`
	Team  string      `cbor:"t"`
	Need  job.Need    `cbor:"n"`
	Image string      `cbor:"b"`
	Tasks [][3]uint64 `cbor:"p"` // number, try, session
}

// Key is where a machine's record stands; RecordPrefix is common to all.
const RecordPrefix = "machines/"

// Key is where a machine's record stands.
func Key(id string) string { return RecordPrefix + id }

// Placements unpacks a record.
func (r *Record) Placements() []*Placement {
	var out []*Placement
	for _, j := range r.Jobs {
		for _, t := range j.Tasks {
			out = append(out, &Placement{Task: job.Task{Job: j.UID, Index: int(t[0])}, Try: t[1], Session: t[2],
				Need: j.Need, Team: j.Team, Image: j.Image})
		}
	}
	return out
}

// Load takes a record as the view's first reading shows it.
func (p *Part) Load(id string, rec Record, stamp uint64, now time.Time) {
	m := p.machine(id, rec.Flavor, rec.Zone, rec.Spot)
	m.stamp, m.images = stamp, rec.Images
	for _, pl := range rec.Placements() {
		pl.inherited, pl.since = true, now
		m.placed[pl.Task] = pl
		m.shift = max(m.shift, pl.Session)
	}
	for _, d := range rec.Done {
		r, err := job.ParseRanges(d.Ranges)
		if err != nil {
			continue
		}
		for i := range r.All() {
			m.unmerged = append(m.unmerged, Ended{Task: job.Task{Job: d.UID, Index: i}})
		}
	}
	p.prune(m)
}

func (p *Part) machine(id, flavor, zone string, spot bool) *Machine {
	m := p.machines[id]
	if m == nil {
		m = &Machine{ID: id, Flavor: flavor, Zone: zone, Spot: spot, placed: map[job.Task]*Placement{}, unknown: map[job.Task]protocol.Piece{}}
		p.machines[id] = m
		i, _ := slices.BinarySearch(p.ids, id)
		p.ids = slices.Insert(p.ids, i, id)
	}
	m.cap, _ = p.caps(m.Flavor)
	return m
}

func (m *Machine) free() job.Need {
	room := m.cap
	for _, pl := range m.placed {
		if !pl.gone {
			room = room.Minus(pl.Need)
		}
	}
	for _, pl := range m.adding {
		room = room.Minus(pl.Need)
	}
	return room
}

func (m *Machine) usable() bool {
	return !m.heard.IsZero() && !m.warning && !m.leaving && !m.returning && !m.away && !m.gone
}

// room is what the next queued task may take: what reports show.
func (m *Machine) room() job.Need {
	if !m.usable() || m.full {
		return job.Need{CPUs: -1}
	}
	for _, pc := range m.unknown {
		if pc.Status != "ended" {
			return job.Need{CPUs: -1} // it takes room of which we know nothing
		}
	}
	return m.free()
}

// takes tells whether a machine takes a task as overflow. It is underloaded,
// with an empty queue and room; what it has taken since its last report counts
// against that room, and once that is used up it counts full.
func (m *Machine) takes(n job.Need) bool {
	if m.spent || len(m.queue) > m.took {
		return false
	}
	room := m.room()
	for _, e := range m.queue {
		room = room.Minus(e.need)
	}
	if !n.Fits(room) {
		m.spent = m.took > 0
		return false
	}
	m.took++
	return true
}

// Report takes a worker's report. Fresh is false for one that is older than
// what is known: it changes nothing and gets no orders.
func (p *Part) Report(now time.Time, b *protocol.Beat) (fresh bool) {
	if _, was := p.gone[b.Host]; was {
		// The cloud said that it is gone: a late copy.
		return false
	}
	m := p.machine(b.Host, b.Flavor, b.Yard, b.Borrowed)
	if b.Shift < m.shift || b.Shift == m.shift && b.Tick <= m.tick {
		return false
	}
	if b.Shift > m.shift {
		for _, pl := range m.placed {
			if pl.Session < b.Shift && !pl.gone {
				p.lose(m, pl)
			}
		}
	}
	m.Flavor, m.Zone, m.Spot, m.Endpoint = b.Flavor, b.Yard, b.Borrowed, b.Endpoint
	m.cap, _ = p.caps(m.Flavor)
	m.shift, m.tick, m.baton, m.heard, m.away = b.Shift, b.Tick, b.Baton, now, false
	m.warning = b.WarningS != nil
	m.full, m.refused = false, false
	m.took, m.spent, m.contact = 0, false, now
	clear(m.unknown)
	reported := make(map[job.Task]bool, len(b.Pieces))
	for _, pc := range b.Pieces {
		uid, idx, err := protocol.SplitPiece(pc.Piece)
		if err != nil {
			continue
		}
		t := job.Task{Job: uid, Index: idx}
		pl := m.placed[t]
		if pl == nil || pl.Try != pc.Try {
			m.unknown[t] = pc
			continue
		}
		reported[t] = true
		if pc.Status != pl.status {
			if pl.status == "running" {
				pl.ran = now.Sub(pl.since).Seconds()
			}
			pl.since = now
		}
		pl.status = pc.Status
		if pc.Status == "running" && pl.Image != "" {
			m.hasImage(pl.Image)
		}
		if pc.Status == "ended" && !pl.gone {
			pl.gone, pl.done = true, pc.Cause == "done"
			if pc.Cause == "full" {
				m.full, m.refused = true, true
			}
			if !pl.done && pc.Cause != "halted" {
				p.faults = append(p.faults, Fault{Task: t, Machine: m.ID, Cause: pc.Cause})
			}
		}
	}
	for t, pl := range m.placed {
		if reported[t] || pl.gone {
			continue
		}
		switch {
		case pl.Session < b.Shift:
			p.lose(m, pl) // committed for a session that is over
		case pl.inherited && b.Baton >= p.view:
			// No start of an older view can reach the worker any more.
			p.lose(m, pl)
		case !pl.inherited && pl.sent && b.Baton >= p.view && b.Tick > pl.sentTick:
			pl.sent = false // that response was dropped: order it again
		}
		pl.status = ""
	}
	return true
}

func (m *Machine) hasImage(image string) {
	if i := slices.Index(m.images, image); i >= 0 {
		return
	}
	m.images = append(m.images, image)
	if len(m.images) > 12 {
		m.images = m.images[1:]
	}
}

func (p *Part) lose(m *Machine, pl *Placement) {
	pl.gone = true
	p.Counts.Lost++
}

// Contact notes a report that could not be taken for want of authority: the
// machine is not silent, whatever becomes of its lease.
func (p *Part) Contact(id string, now time.Time) {
	if m := p.machines[id]; m != nil {
		m.contact = now
	}
}

// Orders are what a fresh report is answered with. The caller has checked its
// authority; starts are noted as sent with this report.
func (p *Part) Orders(now time.Time, id string, shift, tick uint64) []protocol.Order {
	m := p.machines[id]
	if m == nil || m.shift != shift || m.tick != tick {
		return nil // a newer report came in meanwhile: its answer has the orders
	}
	var out []protocol.Order
	for t, pc := range m.unknown {
		if pc.Status == "ended" {
			out = append(out, protocol.Order{Verb: "forget", Piece: t.String(), Try: pc.Try})
		} else {
			out = append(out, kill(t, pc.Try, 0))
		}
	}
	mirrorOK := now.Sub(p.jobs.Fresh()) < p.cfg.Stale
	for t, pl := range m.placed {
		l := p.jobs.Get(t.Job)
		if l == nil && mirrorOK {
			pl.stop, pl.grace = true, 0
		}
		switch {
		case pl.gone:
		case pl.stop && pl.status != "":
			if pl.status != "saving" || pl.grace == 0 {
				out = append(out, kill(t, pl.Try, pl.grace))
			}
		case pl.stop && !pl.inherited && !pl.sent:
			p.lose(m, pl) // never ordered: nothing to wait for
		case pl.status == "" && !pl.inherited && !pl.sent && !pl.stop && pl.Session == m.shift && l != nil && mirrorOK:
			pl.sent, pl.sentTick = true, m.tick
			p.Counts.Started++
			out = append(out, protocol.Order{Verb: "start", Piece: t.String(), Try: pl.Try})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return verbRank(out[i].Verb) < verbRank(out[j].Verb) })
	return out
}

func verbRank(v string) int {
	switch v {
	case "forget":
		return 0
	case "kill":
		return 1
	}
	return 2
}

func kill(t job.Task, try uint64, grace float64) protocol.Order {
	return protocol.Order{Verb: "kill", Piece: t.String(), Try: try, WindDownS: &grace}
}

// Allot takes tasks from the divider; seq rises with each, repeats are known.
func (p *Part) Allot(now time.Time, seq uint64, t job.Task, machine string, group uint64) {
	if seq <= p.ack {
		return
	}
	p.ack = seq
	l, m := p.jobs.Get(t.Job), p.machines[machine]
	if l == nil || m == nil || !m.usable() || l.Finished.Has(t.Index) || p.holds(t) ||
		!job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) {
		return // not held: the divider sees that it is waiting again
	}
	p.enqueue(m, entry{task: t, need: l.Need(), since: now, group: group})
	p.Counts.Queued++
}

func (p *Part) enqueue(m *Machine, e entry) { m.queue = append(m.queue, e) }

func (p *Part) holds(t job.Task) bool {
	for _, m := range p.machines {
		if m.placed[t] != nil {
			return true
		}
		for _, e := range m.queue {
			if e.task == t {
				return true
			}
		}
		for _, a := range m.adding {
			if a.Task == t {
				return true
			}
		}
	}
	return false
}

// Ack is the last allotment taken.
func (p *Part) Ack() uint64 { return p.ack }

// Fleet takes what the divider knows of all machines, sorted by id; they are
// numbered in this order.
func (p *Part) Fleet(all []Buddy) {
	p.fleet = all
	clear(p.where)
	for i, b := range all {
		p.where[b.ID] = i
	}
	if d := prefer.Dimension(len(all)); d != p.maskDim {
		p.maskDim, p.masks = d, prefer.Masks(d)
	}
}

// Leave makes machines drain and go; urgent ones do not wait for their tasks.
func (p *Part) Leave(ids []string, urgent bool, now time.Time) {
	for _, id := range ids {
		if _, was := p.gone[id]; was {
			continue
		}
		m := p.machine(id, "", "", false)
		m.leaving = true
		m.urgent = m.urgent || urgent
	}
}

// Stop asks for tasks to be stopped to make room.
func (p *Part) Stop(tasks []job.Task) {
	for _, t := range tasks {
		for _, m := range p.machines {
			m.queue = slices.DeleteFunc(m.queue, func(e entry) bool { return e.task == t })
			if pl := m.placed[t]; pl != nil && !pl.stop && !pl.gone {
				pl.stop = true
				if l := p.jobs.Get(t.Job); l != nil && l.Spec.SnapshotS > 0 {
					pl.grace = l.Spec.StashS*2 + 1
				}
				p.Counts.Killed++
			}
		}
	}
}

// Tick lets time pass: leases end, queues drop what is no longer wanted,
// overflow moves, and queued tasks with room are put up for commit.
func (p *Part) Tick(now time.Time) {
	for _, id := range p.ids {
		p.tickMachine(now, p.machines[id])
	}
	p.overflow(now)
	if now.Sub(p.jobs.Fresh()) < p.cfg.Stale {
		for _, id := range p.ids {
			p.admit(now, p.machines[id])
		}
	}
	for id, at := range p.gone {
		if now.Sub(at) > 10*time.Minute {
			delete(p.gone, id)
		}
	}
}

func (p *Part) tickMachine(now time.Time, m *Machine) {
	// The lease is certainly over (invariant 3): after our own last 200, and
	// after the last one that the former owner could give, unless the worker
	// has seen our baton since.
	over := m.heard.Add(p.cfg.Lease)
	if m.baton < p.view {
		if o := p.seen.Add(p.cfg.Authority + p.cfg.Lease); m.heard.IsZero() || o.After(over) {
			over = o
		}
	}
	if !m.away && now.After(over) {
		m.away = true
		for _, pl := range m.placed {
			if !pl.gone {
				p.lose(m, pl)
			}
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(e entry) bool {
		l := p.jobs.Get(e.task.Job)
		return l == nil || l.Finished.Has(e.task.Index)
	})
	if !m.usable() {
		m.queue = nil
	}
	if m.warning || m.leaving {
		// A notice, or a drain: what can save does so now and goes on elsewhere;
		// the rest may still complete.
		for t, pl := range m.placed {
			if l := p.jobs.Get(t.Job); l != nil && l.Spec.SnapshotS > 0 && !pl.stop && pl.status == "running" {
				pl.stop, pl.grace = true, l.Spec.StashS*2+1
			}
		}
	}
	if len(m.placed)+len(m.adding)+len(m.queue) > 0 {
		m.idle = time.Time{}
	} else if m.idle.IsZero() {
		m.idle = now
	}
}

// admit puts the head of a queue up for commit as long as reports show room.
func (p *Part) admit(now time.Time, m *Machine) {
	for len(m.queue) > 0 && !m.inflight {
		e := m.queue[0]
		l := p.jobs.Get(e.task.Job)
		if l == nil || !e.need.Fits(m.room()) {
			return
		}
		m.queue = m.queue[1:]
		try := p.newTry()
		if e.group > 0 {
			try = p.view<<28 | 63<<22 | e.group&(1<<22-1)
		}
		m.adding = append(m.adding, &Placement{Task: e.task, Try: try, Session: m.shift,
			Need: e.need, Team: l.Spec.Owner, Image: l.Spec.Bundle, since: now})
	}
}

// overflow is the design's location policy: what an overloaded machine has over
// its threshold goes to the first underloaded buddy of its list, up to the
// buddy's reported room; if there is none it waits, and walks on later.
func (p *Part) overflow(now time.Time) {
	for _, id := range p.ids {
		m := p.machines[id]
		at, numbered := p.where[id]
		if len(m.queue) <= p.cfg.Threshold || !numbered {
			continue
		}
		list := prefer.Pick(p.masks, at, len(p.fleet), len(p.fleet))
		keep := m.queue[:0:0]
		room := m.room()
		for i, e := range m.queue {
			if e.need.Fits(room) {
				room = room.Minus(e.need)
				keep = append(keep, e)
				continue
			}
			if i < p.cfg.Threshold {
				keep = append(keep, e)
				continue
			}
			walked := now.Sub(e.since) >= p.cfg.LocalWait
			most := min(len(list), p.cfg.Buddies)
			if walked {
				most = len(list)
			}
			if p.send(now, e, list[:most]) {
				if walked {
					p.Counts.Walked++
				} else {
					p.Counts.Overflowed++
				}
				continue
			}
			if walked && now.Sub(e.since) >= 2*p.cfg.LocalWait {
				p.Counts.Walked++ // back to the divider
				continue
			}
			keep = append(keep, e)
		}
		m.queue = keep
	}
}

func (p *Part) send(now time.Time, e entry, list []int) bool {
	l := p.jobs.Get(e.task.Job)
	if l == nil {
		return false
	}
	for _, n := range list {
		b := &p.fleet[n]
		if m := p.machines[b.ID]; m != nil {
			if l.Spec.Shape != protocol.Group && job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) && !l.Spec.Together && !l.Spec.Scatter && m.takes(e.need) {
				e.since = now
				p.enqueue(m, e)
				return true
			}
			continue
		}
		if b.Under && e.need.Fits(b.Room) {
			b.Room = b.Room.Minus(e.need)
			p.moves = append(p.moves, Move{Task: e.task, To: b.ID})
			p.Counts.Sent++
			return true
		}
	}
	return false
}
