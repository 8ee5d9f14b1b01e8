// Package part decides for the machines of one owner: their queues, the
// overflow between them, their leases and placements. It is pure: time and news
// go in, orders and commits come out.
package part

import (
	"slices"
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
	Ahead      int           // queued tasks of a full machine that are committed before they have room
	SilentAway time.Duration // a silent machine is returned after this
	TxnOps     int
	ValueBytes int
	PartOf     func(machine string) int
	CacheGB    func(flavor string) float64 // what a machine keeps of images; nil: all
}

// Caps gives the size of a machine type.
type Caps func(flavor string) (job.Need, bool)

// Placement is a task that was taken off a machine's queue to run there. Once
// committed it may exist on the machine.
type Placement struct {
	Task    job.Task
	Try     uint64
	Session uint64
	Need    job.Need
	Team    string
	Image   string
	ImageGB float64

	shard     *shard // where it stands, or is to
	committed bool
	inherited bool // from the records of an older view
	sent      bool
	sentTick  uint64
	status    string  // as last reported
	ran       float64 // seconds, as far as reports showed
	since     time.Time
	stop      bool
	grace     float64
	gone      bool // removal is wanted
	done      bool // and it completed
	back      bool // never ordered, and wanted in a queue again
	seenNow   bool // in the report at hand
	steps     steps
}

// waits tells that a placement has yet to be ordered.
func (pl *Placement) waits() bool {
	return !pl.gone && !pl.inherited && !pl.sent && pl.status == ""
}

type entry struct {
	task     job.Task
	need     job.Need
	since    time.Time
	allotted time.Time
	group    uint64
}

// Machine is one of the owner's machines.
type Machine struct {
	ID, Flavor, Zone, Endpoint string
	Spot                       bool

	cap       job.Need
	shard     *shard // where its next placements go; nil without any
	runs      []*Placement
	queue     []entry
	images    []cached                    // the one used last at the end
	unknown   map[job.Task]protocol.Piece // reported, but not placed
	shift     uint64
	tick      uint64
	baton     uint64
	heard     time.Time // last fresh report; zero in this view if none
	known     time.Time // when this view first met it
	contact   time.Time // last report that proves it alive in this view
	answered  [2]time.Time
	missed    int  // answers in a row of which nothing was seen
	warning   bool // about to be taken away
	leaving   bool
	returning bool
	returned  time.Time // when it was decided to return it
	urgent    bool      // return without waiting for its tasks
	full      bool      // said full though we thought otherwise; until its next report
	took      int       // overflow taken since the last report
	spent     bool      // and the reported room is used up
	away      bool      // lease certainly over
	gone      bool
	idle      time.Time
	ver       uint64 // when it last changed, see Digest
}

// Fault is a task that failed.
type Fault struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	Machine  string
	Cause    string
}

// Counts are the design's ordinary path at work.
type Counts struct {
	Queued, Overflowed, Sent, Walked, Ahead, Started, Done, Lost, Killed, Deaf uint64
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
	shards   []*shard
	fleet    []Buddy // all machines of all owners, sorted by id
	where    map[string]int
	masks    []uint32
	maskDim  int

	ack      uint64
	ver      uint64
	known    uint64 // what the divider has
	digests  uint64
	shrunk   int // halvings of the next commit's size
	moves    []Move
	faults   []Fault
	removed  map[string]uint64
	gone     map[string]goneAt
	unmerged int
	Counts   Counts
	Replicas ReplicaTimes
}

type goneAt struct {
	at  time.Time
	ver uint64
}

// Buddy is what is known of a machine of any owner.
type Buddy struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Under    bool
	Room     job.Need
}

// Move asks the divider to send overflow to a buddy of another owner.
type Move struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	To       string
}

// Ended is a task that is done and stands so in its shard's record, but not yet
// in its job's.
type Ended struct {
	Task job.Task
	RanS float64
	ver  uint64
}

// New makes the part of a member in a view.
func New(cfg Config, view uint64, index int, seen time.Time, caps Caps, jobs *job.Mirror) *Part {
	return &Part{cfg: cfg, view: view, index: index, seen: seen, caps: caps, jobs: jobs,
		machines: map[string]*Machine{}, where: map[string]int{}, maskDim: -1,
		removed: map[string]uint64{}, gone: map[string]goneAt{}}
}

// View is the view that the part belongs to.
func (p *Part) View() uint64 { return p.view }

// tryOf names an attempt. Tasks that one commit places share it: a task is never
// placed twice by one commit, and a number that repeats keeps records small.
func (p *Part) tryOf(group uint64) uint64 {
	if group > 0 {
		return p.view<<28 | 63<<22 | group&(1<<22-1)
	}
	return p.view<<28 | uint64(p.index)<<22 | p.next&(1<<22-1)
}

// touch notes that a machine's digest has changed.
func (p *Part) touch(m *Machine) {
	p.ver++
	m.ver = p.ver
}

// Load takes a shard's record as the view's first reading shows it.
func (p *Part) Load(key string, rec Record, stamp uint64, now time.Time) error {
	n, chunk, err := ParseShardKey(key)
	if err != nil {
		return err
	}
	s := &shard{part: n, chunk: chunk, key: key, stamp: stamp, size: rec.Size(), done: rec.doneSize()}
	p.shards = append(p.shards, s)
	err = rec.each(func(rm *RecMachine, k RecKind, pl *Placement) {
		m := p.machine(rm.ID, k.Flavor, k.Zone, k.Spot, now)
		m.shard, pl.shard = s, s
		pl.inherited, pl.since = true, now
		if l := p.jobs.Get(pl.Task.Job); l != nil {
			pl.Image, pl.ImageGB = l.Spec.Bundle, l.Spec.SizeGB
		}
		m.runs = append(m.runs, pl)
		// Of a machine that stands in two records the later row counts.
		if rm.Shift > m.shift || rm.Shift == m.shift && rm.Tick > m.tick {
			m.shift, m.tick = rm.Shift, rm.Tick
		}
	})
	if err != nil {
		return err
	}
	return rec.done(func(t job.Task) { s.unmerged = append(s.unmerged, Ended{Task: t, ver: p.ver}) })
}

func (p *Part) machine(id, flavor, zone string, spot bool, now time.Time) *Machine {
	m := p.machines[id]
	if m == nil {
		m = &Machine{ID: id, Flavor: flavor, Zone: zone, Spot: spot, known: now, unknown: map[job.Task]protocol.Piece{}}
		p.machines[id] = m
		i, _ := slices.BinarySearch(p.ids, id)
		p.ids = slices.Insert(p.ids, i, id)
		delete(p.removed, id)
		p.touch(m)
	}
	m.cap, _ = p.caps(m.Flavor)
	return m
}

// find gives the placement of a task, or nil.
func (m *Machine) find(t job.Task) *Placement {
	for _, pl := range m.runs {
		if pl.Task == t {
			return pl
		}
	}
	return nil
}

// room is what reports show as free: what was ordered counts, what waits for its
// order does not.
func (m *Machine) room() job.Need {
	room := m.cap
	for _, pl := range m.runs {
		if !pl.gone && !pl.waits() {
			room = room.Minus(pl.Need)
		}
	}
	return room
}

// unclear tells that the machine runs something of which we know nothing.
func (m *Machine) unclear() bool {
	if m.full {
		return true
	}
	for _, pc := range m.unknown {
		if pc.Status != "ended" {
			return true
		}
	}
	return false
}

// usable tells whether a machine may take work. Only a report that carries this
// view's baton shows that it is there and hears us: a copy of an old report, late
// by whatever time, never does.
func (p *Part) usable(m *Machine) bool {
	return !m.contact.IsZero() && !m.warning && !m.leaving && !m.returning && !m.away && !m.gone && m.missed < 2
}

// walk goes through what waits for its order, in order, and tells what has room.
func (m *Machine) walk(f func(pl *Placement, need job.Need, fits bool)) {
	room := m.room()
	open := !m.unclear()
	visit := func(pl *Placement, need job.Need) {
		open = open && need.Fits(room)
		if open {
			room = room.Minus(need)
		}
		f(pl, need, open)
	}
	for _, pl := range m.runs {
		if pl.waits() {
			visit(pl, pl.Need)
		}
	}
	for _, e := range m.queue {
		visit(nil, e.need)
	}
}

// takes tells whether a machine takes a task as overflow. It is underloaded,
// with an empty queue and room; what it has taken since its last report counts
// against that room, and once that is used up it counts full.
func (p *Part) takes(m *Machine, n job.Need) bool {
	if m.spent || !p.usable(m) || m.unclear() || len(m.queue) > m.took {
		return false
	}
	room := m.room()
	for _, pl := range m.runs {
		if pl.waits() {
			room = room.Minus(pl.Need)
		}
	}
	for _, e := range m.queue {
		room = room.Minus(e.need)
	}
	if !n.Fits(room) {
		m.spent = m.took > 0
		return false
	}
	return true
}

// Report takes a worker's report. Fresh is false for one that is older than
// what is known: it changes nothing and gets no orders.
func (p *Part) Report(now time.Time, b *protocol.Beat) (fresh bool) {
	if _, was := p.gone[b.Host]; was {
		// The cloud said that it is gone: a late copy.
		return false
	}
	m := p.machine(b.Host, b.Flavor, b.Yard, b.Borrowed, now)
	if b.Shift < m.shift || b.Shift == m.shift && b.Tick <= m.tick {
		return false
	}
	changed := m.heard.IsZero() || m.Flavor != b.Flavor || m.Zone != b.Yard || m.Spot != b.Borrowed ||
		m.warning != (b.WarningS != nil) || m.away || m.full || b.Shift != m.shift
	if b.Shift > m.shift {
		// The answers of a whole lease were given and not one came through: it
		// reports, but cannot hear. Reports that were held back come all at once
		// and prove nothing of the kind.
		if first, last := m.answered[0], m.answered[1]; !first.IsZero() && m.heard.Equal(last) && now.Sub(last) < p.cfg.Lease && last.Sub(first) > p.cfg.Lease*2/3 {
			m.leaving, m.urgent, changed = true, true, true
			p.Counts.Deaf++
		}
		m.answered = [2]time.Time{}
		for _, pl := range m.runs {
			if pl.Session < b.Shift && !pl.gone && pl.committed {
				p.countLoss(pl, m.heard, now, now)
				p.lose(m, pl)
			}
		}
	}
	m.Flavor, m.Zone, m.Spot, m.Endpoint = b.Flavor, b.Yard, b.Borrowed, b.Endpoint
	m.cap, _ = p.caps(m.Flavor)
	m.shift, m.tick, m.baton, m.heard, m.away = b.Shift, b.Tick, b.Baton, now, false
	m.warning, m.full = b.WarningS != nil, false
	m.took, m.spent = 0, false
	if b.Baton >= p.view {
		changed = changed || m.contact.IsZero()
		m.contact = now
	}
	clear(m.unknown)
	missed, met := false, false
	for _, pl := range m.runs {
		pl.seenNow = false
	}
	for _, pc := range b.Pieces {
		uid, idx, err := protocol.SplitPiece(pc.Piece)
		if err != nil {
			continue
		}
		t := job.Task{Job: uid, Index: idx}
		pl := m.find(t)
		if pl == nil || pl.Try != pc.Try {
			m.unknown[t] = pc
			continue
		}
		pl.seenNow = true
		met = met || pl.status == "" && pl.sent
		fresher := pc.Status != pl.status
		if fresher {
			if pl.status == "running" {
				pl.ran = now.Sub(pl.since).Seconds()
			}
			pl.since = now
			changed = true
		}
		pl.status = pc.Status
		switch pc.Status {
		case "fetching":
			pl.steps.fetching = now
		case "running":
			p.countStart(pl, now)
		}
		if fresher && pc.Status == "running" && pl.Image != "" {
			changed = p.hasImage(m, pl.Image, pl.ImageGB) || changed
		}
		if pc.Status == "ended" && !pl.gone {
			p.countLoss(pl, now, pl.steps.stopped, now)
			pl.gone, pl.done = true, pc.Cause == "done"
			if l := p.jobs.Get(uid); l != nil && l.Standing() {
				// A replica is never done: it has to run again, and one that ends
				// everywhere counts as failed, so that it backs off.
				pl.done = false
			}
			if pc.Cause == "full" {
				m.full = true
			}
			if !pl.done && pc.Cause != "halted" {
				p.faults = append(p.faults, Fault{Task: t, Machine: m.ID, Cause: pc.Cause})
			}
		}
	}
	for _, pl := range m.runs {
		if pl.seenNow || pl.gone {
			continue
		}
		switch {
		case pl.Session < b.Shift && pl.committed:
			p.lose(m, pl) // committed for a session that is over
		case pl.inherited && b.Baton >= p.view:
			// No start of an older view can reach the worker any more.
			p.lose(m, pl)
		case !pl.inherited && pl.sent && b.Baton >= p.view && b.Tick > pl.sentTick:
			pl.sent = false // that response was dropped: order it again
			missed = true
		}
		if pl.status != "" {
			changed = true
		}
		pl.status = ""
	}
	switch {
	case met:
		m.missed = 0
	case missed:
		m.missed++
		changed = true
	}
	if changed {
		p.touch(m)
	}
	return true
}

// hasImage notes that an image was just used on a machine, which keeps those used
// last as far as its cache holds them.
func (p *Part) hasImage(m *Machine, image string, sizeGB float64) (fresh bool) {
	i := slices.IndexFunc(m.images, func(c cached) bool { return c.name == image })
	if fresh = i < 0; !fresh {
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = append(m.images, cached{image, sizeGB})
	if p.cfg.CacheGB == nil {
		return fresh
	}
	room := p.cfg.CacheGB(m.Flavor)
	for i := len(m.images) - 1; i >= 0; i-- {
		if room -= m.images[i].gb; room < 0 && i < len(m.images)-1 {
			m.images = slices.Delete(m.images, 0, i+1)
			return true
		}
	}
	return fresh
}

// cached is an image that a machine has.
type cached struct {
	name string
	gb   float64
}

func (p *Part) lose(m *Machine, pl *Placement) {
	pl.gone = true
	p.Counts.Lost++
	p.touch(m)
}

// Answered notes that a report gets a 200.
func (p *Part) Answered(id string, now time.Time) {
	m := p.machines[id]
	if m == nil {
		return
	}
	if m.answered[0].IsZero() {
		m.answered[0] = m.heard
	}
	m.answered[1] = m.heard
}

// Contact notes a report that could not be taken for want of authority: the
// machine is not silent, whatever becomes of its lease.
func (p *Part) Contact(b *protocol.Beat, now time.Time) {
	if m := p.machines[b.Host]; m != nil && b.Baton >= p.view && !m.contact.IsZero() && (b.Shift > m.shift || b.Shift == m.shift && b.Tick > m.tick) {
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
	slices.SortFunc(out, func(a, b protocol.Order) int { return verbRank(a.Verb) - verbRank(b.Verb) })
	mirrorOK := now.Sub(p.jobs.Fresh()) < p.cfg.Stale
	for _, pl := range m.runs {
		l := p.jobs.Get(pl.Task.Job)
		// An end that is known stays true however old the mirror is, and what was
		// inherited without its job was over when the view began.
		if l == nil && (mirrorOK || pl.inherited || p.jobs.Over(pl.Task.Job)) {
			pl.stop, pl.grace = true, 0
		}
		switch {
		case pl.gone:
		case pl.stop && pl.status != "":
			if pl.status != "saving" || pl.grace == 0 {
				if pl.steps.stopped.IsZero() {
					pl.steps.stopped = now
				}
				out = append(out, kill(pl.Task, pl.Try, pl.grace))
			}
		case pl.stop && pl.waits():
			p.lose(m, pl) // never ordered: nothing to wait for
		}
	}
	if !mirrorOK || m.unclear() || m.missed >= 2 || m.leaving || m.warning {
		return out
	}
	room := m.room()
	for _, pl := range m.runs {
		if !pl.waits() {
			continue
		}
		if !pl.committed || !pl.Need.Fits(room) || pl.Session != m.shift {
			break // they start in order
		}
		room = room.Minus(pl.Need)
		pl.sent, pl.sentTick = true, m.tick
		pl.since = now
		if pl.steps.ordered.IsZero() {
			pl.steps.ordered = now
		}
		p.Counts.Started++
		p.touch(m)
		out = append(out, protocol.Order{Verb: "start", Piece: pl.Task.String(), Try: pl.Try})
	}
	return out
}

func verbRank(v string) int {
	if v == "forget" {
		return 0
	}
	return 1
}

func kill(t job.Task, try uint64, grace float64) protocol.Order {
	return protocol.Order{Verb: "kill", Piece: t.String(), Try: try, WindDownS: &grace}
}

// Ack is the last allotment taken.
func (p *Part) Ack() uint64 { return p.ack }

// Fleet takes what the divider knows of all machines: those that have changed and
// those that are no more, or all of them. They are numbered by sorted id.
func (p *Part) Fleet(all bool, changed []Buddy, gone []string) {
	if all {
		p.fleet = p.fleet[:0]
		clear(p.where)
	}
	moved := false
	for _, b := range changed {
		if i, ok := p.where[b.ID]; ok && !moved {
			p.fleet[i] = b
			continue
		}
		i, ok := slices.BinarySearchFunc(p.fleet, b.ID, compareBuddy)
		if ok {
			p.fleet[i] = b
			continue
		}
		p.fleet = slices.Insert(p.fleet, i, b)
		moved = true
	}
	for _, id := range gone {
		if i, ok := slices.BinarySearchFunc(p.fleet, id, compareBuddy); ok {
			p.fleet = slices.Delete(p.fleet, i, i+1)
			moved = true
		}
	}
	if !moved {
		return
	}
	clear(p.where)
	for i, b := range p.fleet {
		p.where[b.ID] = i
	}
	if d := prefer.Dimension(len(p.fleet)); d != p.maskDim {
		p.maskDim, p.masks = d, prefer.Masks(d)
	}
}

func compareBuddy(b Buddy, id string) int {
	switch {
	case b.ID < id:
		return -1
	case b.ID > id:
		return 1
	}
	return 0
}

// Leave makes machines drain and go; urgent ones do not wait for their tasks.
func (p *Part) Leave(ids []string, urgent bool, now time.Time) {
	for _, id := range ids {
		if _, was := p.gone[id]; was {
			continue
		}
		m := p.machine(id, "", "", false, now)
		if !m.leaving || urgent && !m.urgent {
			m.leaving = true
			m.urgent = m.urgent || urgent
			p.touch(m)
		}
	}
}
