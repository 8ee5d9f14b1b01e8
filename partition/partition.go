// Package part decides for the machines of one owner: their queues, the
// overflow between them, their leases and placements. It is pure: time and news
// go in, orders and commits come out.
package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/preferredlist"
	"junipershelf/protocol"
)

// Config holds the times and sizes; none is a constant of the code.
type Config struct {
	Lease              time.Duration // of a worker, with drift and margin
	AuthorityLease     time.Duration // of an owner, after its last confirmation
	ReportInterval     time.Duration
	MirrorLimit        time.Duration // oldest mirror that still starts work
	Buddies            int
	Threshold          int
	LocalWait          time.Duration
	MaxAhead           int           // queued tasks of a full machine that are committed before they have room
	SilentLimit        time.Duration // a silent machine is returned after this
	TransactionChanges int
	ValueBytes         int
	BucketOf           func(machine string) int
	CacheGB            func(flavor string) float64 // what a machine keeps of images; nil: all
}

// CapacityOf gives the size of a machine type.
type CapacityOf func(flavor string) (job.Resources, bool)

// Placement is a task that was taken off a machine's queue to run there. Once
// committed it may exist on the machine.
type Placement struct {
	Task      job.Task
	Attempt   uint64
	Session   uint64
	Resources job.Resources
	Team      string
	Image     string
	ImageGB   float64

	shard         *shard // where it stands, or is to
	committed     bool
	inherited     bool // from the records of an older view
	startSent     bool
	startSequence uint64
	status        string  // as last reported
	runS          float64 // seconds, as far as reports showed
	since         time.Time
	stopping      bool
	graceS        float64
	ended         bool // removal is wanted
	completed     bool // and it completed
	requeue       bool // never ordered, and wanted in a queue again
	reported      bool // in the report at hand
	steps         lifecycle
}

// isPending tells that a placement has yet to be ordered.
func (pl *Placement) isPending() bool {
	return !pl.ended && !pl.inherited && !pl.startSent && pl.status == ""
}

type queuedTask struct {
	task       job.Task
	resources  job.Resources
	since      time.Time
	assignedAt time.Time
	group      uint64
}

// Machine is one of the owner's machines.
type Machine struct {
	ID, MachineType, Zone, Endpoint string
	Spot                            bool

	capacity        job.Resources
	shard           *shard // where its next placements go; nil without any
	placements      []*Placement
	queue           []queuedTask
	images          []cachedImage                    // the one used last at the end
	unknown         map[job.Task]protocol.TaskReport // reported, but not placed
	session         uint64
	sequence        uint64
	token           uint64
	lastReport      time.Time // last fresh report; zero in this view if none
	firstKnown      time.Time // when this view first met it
	lastContact     time.Time // last report that proves it alive in this view
	answeredReports [2]time.Time
	lostAnswers     int  // answers in a row of which nothing was seen
	noticed         bool // about to be taken away
	draining        bool
	returning       bool
	returningSince  time.Time // when it was decided to return it
	discard         bool      // return without waiting for its tasks
	refusedStart    bool      // said full though we thought otherwise; until its next report
	overflowTaken   int       // overflow taken since the last report
	overflowSpent   bool      // and the reported room is used up
	leaseOver       bool      // lease certainly over
	returned        bool
	idleSince       time.Time
	version         uint64 // when it last changed, see Digest
}

// Failure is a task that failed.
type Failure struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	Machine  string
	Cause    string
}

// Counts are the design's ordinary path at work.
type Counts struct {
	Queued, Overflowed, SentOn, WalkedOn, CommittedAhead, Started, Done, Lost, Stopped, Unreachable uint64
}

// Partition is all that an owner decides on.
type Partition struct {
	cfg        Config
	view       uint64
	index      int
	viewSeenAt time.Time
	capacityOf CapacityOf
	jobs       *job.Mirror
	commits    uint64

	machines map[string]*Machine
	ids      []string // sorted
	shards   []*shard
	fleet    []Buddy // all machines of all owners, sorted by id
	position map[string]int
	masks    []uint32
	maskDim  int

	ackedAssignment uint64
	version         uint64
	leaderVersion   uint64 // what the leader has
	updates         uint64
	commitHalvings  int // halvings of the next commit's size
	moves           []Move
	failures        []Failure
	removed         map[string]uint64
	returned        map[string]returnedMachine
	Counts          Counts
	Replicas        ReplicaTimes
}

type returnedMachine struct {
	at      time.Time
	version uint64
}

// Buddy is what is known of a machine of any owner.
type Buddy struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	Underloaded bool
	Room        job.Resources
}

// Move asks the leader to send overflow to a buddy of another owner.
type Move struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	To       string
}

// uncompacted is a task that is done and stands so in its shard's record, but not yet
// in its job's.
type uncompacted struct {
	task    job.Task
	runS    float64
	version uint64
}

// New makes the part of a member in a view.
func New(cfg Config, view uint64, index int, seen time.Time, caps CapacityOf, jobs *job.Mirror) *Partition {
	return &Partition{cfg: cfg, view: view, index: index, viewSeenAt: seen, capacityOf: caps, jobs: jobs,
		machines: map[string]*Machine{}, position: map[string]int{}, maskDim: -1,
		removed: map[string]uint64{}, returned: map[string]returnedMachine{}}
}

// View is the view that the part belongs to.
func (p *Partition) View() uint64 { return p.view }

// attemptNumber names an attempt. Tasks that one commit places share it: a task is never
// placed twice by one commit, and a number that repeats keeps records small.
func (p *Partition) attemptNumber(group uint64) uint64 {
	if group > 0 {
		return p.view<<28 | 63<<22 | group&(1<<22-1)
	}
	return p.view<<28 | uint64(p.index)<<22 | p.commits&(1<<22-1)
}

// markChanged notes that a machine's update has changed.
func (p *Partition) markChanged(m *Machine) {
	p.version++
	m.version = p.version
}

// LoadShard takes a shard's record as the view's first reading shows it.
func (p *Partition) LoadShard(key string, rec Record, stamp uint64, now time.Time) error {
	n, chunk, err := ParseShardKey(key)
	if err != nil {
		return err
	}
	s := &shard{bucket: n, chunk: chunk, key: key, revision: stamp, bytes: rec.Bytes(), completedBytes: rec.completedBytes()}
	p.shards = append(p.shards, s)
	err = rec.eachPlacement(func(rm *RecordMachine, k RecordKind, pl *Placement) {
		m := p.machine(rm.ID, k.MachineType, k.Zone, k.Spot, now)
		m.shard, pl.shard = s, s
		pl.inherited, pl.since = true, now
		if l := p.jobs.Get(pl.Task.Job); l != nil {
			pl.Image, pl.ImageGB = l.Spec.Image, l.Spec.ImageGB
		}
		m.placements = append(m.placements, pl)
		// Of a machine that stands in two records the later row counts.
		if rm.Session > m.session || rm.Session == m.session && rm.Sequence > m.sequence {
			m.session, m.sequence = rm.Session, rm.Sequence
		}
	})
	if err != nil {
		return err
	}
	return rec.eachCompleted(func(t job.Task) { s.uncompacted = append(s.uncompacted, uncompacted{task: t, version: p.version}) })
}

func (p *Partition) machine(id, flavor, zone string, spot bool, now time.Time) *Machine {
	m := p.machines[id]
	if m == nil {
		m = &Machine{ID: id, MachineType: flavor, Zone: zone, Spot: spot, firstKnown: now, unknown: map[job.Task]protocol.TaskReport{}}
		p.machines[id] = m
		i, _ := slices.BinarySearch(p.ids, id)
		p.ids = slices.Insert(p.ids, i, id)
		delete(p.removed, id)
		p.markChanged(m)
	}
	m.capacity, _ = p.capacityOf(m.MachineType)
	return m
}

// find gives the placement of a task, or nil.
func (m *Machine) find(t job.Task) *Placement {
	for _, pl := range m.placements {
		if pl.Task == t {
			return pl
		}
	}
	return nil
}

// room is what reports show as free: what was ordered counts, what waits for its
// order does not.
func (m *Machine) room() job.Resources {
	room := m.capacity
	for _, pl := range m.placements {
		if !pl.ended && !pl.isPending() {
			room = room.Minus(pl.Resources)
		}
	}
	return room
}

// unaccounted tells that the machine runs something of which we know nothing.
func (m *Machine) unaccounted() bool {
	if m.refusedStart {
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
// view's token shows that it is there and hears us: a copy of an old report, late
// by whatever time, never does.
func (p *Partition) usable(m *Machine) bool {
	return !m.lastContact.IsZero() && !m.noticed && !m.draining && !m.returning && !m.leaseOver && !m.returned && m.lostAnswers < 2
}

// eachPending goes through what waits for its order, in order, and tells what has room.
func (m *Machine) eachPending(f func(pl *Placement, need job.Resources, fits bool)) {
	room := m.room()
	open := !m.unaccounted()
	visit := func(pl *Placement, need job.Resources) {
		open = open && need.FitsIn(room)
		if open {
			room = room.Minus(need)
		}
		f(pl, need, open)
	}
	for _, pl := range m.placements {
		if pl.isPending() {
			visit(pl, pl.Resources)
		}
	}
	for _, e := range m.queue {
		visit(nil, e.resources)
	}
}

// acceptsOverflow tells whether a machine takes a task as overflow. It is underloaded,
// with an empty queue and room; what it has taken since its last report counts
// against that room, and once that is used up it counts full.
func (p *Partition) acceptsOverflow(m *Machine, n job.Resources) bool {
	if m.overflowSpent || !p.usable(m) || m.unaccounted() || len(m.queue) > m.overflowTaken {
		return false
	}
	room := m.room()
	for _, pl := range m.placements {
		if pl.isPending() {
			room = room.Minus(pl.Resources)
		}
	}
	for _, e := range m.queue {
		room = room.Minus(e.resources)
	}
	if !n.FitsIn(room) {
		m.overflowSpent = m.overflowTaken > 0
		return false
	}
	return true
}

// Report takes a worker's report. Fresh is false for one that is older than
// what is known: it changes nothing and gets no orders.
func (p *Partition) Report(now time.Time, b *protocol.Report) (fresh bool) {
	if _, was := p.returned[b.Machine]; was {
		// The cloud said that it is gone: a late copy.
		return false
	}
	m := p.machine(b.Machine, b.MachineType, b.Zone, b.Spot, now)
	if b.Session < m.session || b.Session == m.session && b.Sequence <= m.sequence {
		return false
	}
	changed := m.lastReport.IsZero() || m.MachineType != b.MachineType || m.Zone != b.Zone || m.Spot != b.Spot ||
		m.noticed != (b.NoticeS != nil) || m.leaseOver || m.refusedStart || b.Session != m.session
	if b.Session > m.session {
		// The answers of a whole lease were given and not one came through: it
		// reports, but cannot hear. Reports that were held back come all at once
		// and prove nothing of the kind.
		if first, last := m.answeredReports[0], m.answeredReports[1]; !first.IsZero() && m.lastReport.Equal(last) && now.Sub(last) < p.cfg.Lease && last.Sub(first) > p.cfg.Lease*2/3 {
			m.draining, m.discard, changed = true, true, true
			p.Counts.Unreachable++
		}
		m.answeredReports = [2]time.Time{}
		for _, pl := range m.placements {
			if pl.Session < b.Session && !pl.ended && pl.committed {
				p.countLoss(pl, m.lastReport, now, now)
				p.endPlacement(m, pl)
			}
		}
	}
	m.MachineType, m.Zone, m.Spot, m.Endpoint = b.MachineType, b.Zone, b.Spot, b.Endpoint
	m.capacity, _ = p.capacityOf(m.MachineType)
	m.session, m.sequence, m.token, m.lastReport, m.leaseOver = b.Session, b.Sequence, b.Token, now, false
	m.noticed, m.refusedStart = b.NoticeS != nil, false
	m.overflowTaken, m.overflowSpent = 0, false
	if b.Token >= p.view {
		changed = changed || m.lastContact.IsZero()
		m.lastContact = now
	}
	clear(m.unknown)
	missed, met := false, false
	for _, pl := range m.placements {
		pl.reported = false
	}
	for _, pc := range b.Tasks {
		uid, idx, err := protocol.ParseTaskName(pc.Task)
		if err != nil {
			continue
		}
		t := job.Task{Job: uid, Index: idx}
		pl := m.find(t)
		if pl == nil || pl.Attempt != pc.Attempt {
			m.unknown[t] = pc
			continue
		}
		pl.reported = true
		met = met || pl.status == "" && pl.startSent
		fresher := pc.Status != pl.status
		if fresher {
			if pl.status == "running" {
				pl.runS = now.Sub(pl.since).Seconds()
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
			changed = p.noteImage(m, pl.Image, pl.ImageGB) || changed
		}
		if pc.Status == "ended" && !pl.ended {
			p.countLoss(pl, now, pl.steps.stopOrdered, now)
			pl.ended, pl.completed = true, pc.Cause == "done"
			if l := p.jobs.Get(uid); l != nil && l.IsService() {
				// A replica is never done: it has to run again, and one that ends
				// everywhere counts as failed, so that it backs off.
				pl.completed = false
			}
			if pc.Cause == "full" {
				m.refusedStart = true
			}
			if !pl.completed && pc.Cause != "halted" {
				p.failures = append(p.failures, Failure{Task: t, Machine: m.ID, Cause: pc.Cause})
			}
		}
	}
	for _, pl := range m.placements {
		if pl.reported || pl.ended {
			continue
		}
		switch {
		case pl.Session < b.Session && pl.committed:
			p.endPlacement(m, pl) // committed for a session that is over
		case pl.inherited && b.Token >= p.view:
			// No start of an older view can reach the worker any more.
			p.endPlacement(m, pl)
		case !pl.inherited && pl.startSent && b.Token >= p.view && b.Sequence > pl.startSequence:
			pl.startSent = false // that response was dropped: order it again
			missed = true
		}
		if pl.status != "" {
			changed = true
		}
		pl.status = ""
	}
	switch {
	case met:
		m.lostAnswers = 0
	case missed:
		m.lostAnswers++
		changed = true
	}
	if changed {
		p.markChanged(m)
	}
	return true
}

// noteImage notes that an image was just used on a machine, which keeps those used
// last as far as its cache holds them.
func (p *Partition) noteImage(m *Machine, image string, sizeGB float64) (fresh bool) {
	i := slices.IndexFunc(m.images, func(c cachedImage) bool { return c.name == image })
	if fresh = i < 0; !fresh {
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = append(m.images, cachedImage{image, sizeGB})
	if p.cfg.CacheGB == nil {
		return fresh
	}
	room := p.cfg.CacheGB(m.MachineType)
	for i := len(m.images) - 1; i >= 0; i-- {
		if room -= m.images[i].gb; room < 0 && i < len(m.images)-1 {
			m.images = slices.Delete(m.images, 0, i+1)
			return true
		}
	}
	return fresh
}

// cachedImage is an image that a machine has.
type cachedImage struct {
	name string
	gb   float64
}

func (p *Partition) endPlacement(m *Machine, pl *Placement) {
	pl.ended = true
	p.Counts.Lost++
	p.markChanged(m)
}

// ReportAnswered notes that a report gets a 200.
func (p *Partition) ReportAnswered(id string, now time.Time) {
	m := p.machines[id]
	if m == nil {
		return
	}
	if m.answeredReports[0].IsZero() {
		m.answeredReports[0] = m.lastReport
	}
	m.answeredReports[1] = m.lastReport
}

// NoteContact notes a report that could not be taken for want of authority: the
// machine is not silent, whatever becomes of its lease.
func (p *Partition) NoteContact(b *protocol.Report, now time.Time) {
	if m := p.machines[b.Machine]; m != nil && b.Token >= p.view && !m.lastContact.IsZero() && (b.Session > m.session || b.Session == m.session && b.Sequence > m.sequence) {
		m.lastContact = now
	}
}

// Commands are what a fresh report is answered with. The caller has checked its
// authority; starts are noted as sent with this report.
func (p *Partition) Commands(now time.Time, id string, shift, tick uint64) []protocol.Command {
	m := p.machines[id]
	if m == nil || m.session != shift || m.sequence != tick {
		return nil // a newer report came in meanwhile: its answer has the orders
	}
	var out []protocol.Command
	for t, pc := range m.unknown {
		if pc.Status == "ended" {
			out = append(out, protocol.Command{Kind: "forget", Task: t.String(), Attempt: pc.Attempt})
		} else {
			out = append(out, stopCommand(t, pc.Attempt, 0))
		}
	}
	slices.SortFunc(out, func(a, b protocol.Command) int { return commandRank(a.Kind) - commandRank(b.Kind) })
	mirrorOK := now.Sub(p.jobs.FreshAsOf()) < p.cfg.MirrorLimit
	for _, pl := range m.placements {
		l := p.jobs.Get(pl.Task.Job)
		// An end that is known stays true however old the mirror is, and what was
		// inherited without its job was over when the view began.
		if l == nil && (mirrorOK || pl.inherited || p.jobs.HasEnded(pl.Task.Job)) {
			pl.stopping, pl.graceS = true, 0
		}
		switch {
		case pl.ended:
		case pl.stopping && pl.status != "":
			if pl.status != "saving" || pl.graceS == 0 {
				if pl.steps.stopOrdered.IsZero() {
					pl.steps.stopOrdered = now
				}
				out = append(out, stopCommand(pl.Task, pl.Attempt, pl.graceS))
			}
		case pl.stopping && pl.isPending():
			p.endPlacement(m, pl) // never ordered: nothing to wait for
		}
	}
	if !mirrorOK || m.unaccounted() || m.lostAnswers >= 2 || m.draining || m.noticed {
		return out
	}
	room := m.room()
	for _, pl := range m.placements {
		if !pl.isPending() {
			continue
		}
		if !pl.committed || !pl.Resources.FitsIn(room) || pl.Session != m.session {
			break // they start in order
		}
		room = room.Minus(pl.Resources)
		pl.startSent, pl.startSequence = true, m.sequence
		pl.since = now
		if pl.steps.ordered.IsZero() {
			pl.steps.ordered = now
		}
		p.Counts.Started++
		p.markChanged(m)
		out = append(out, protocol.Command{Kind: "start", Task: pl.Task.String(), Attempt: pl.Attempt})
	}
	return out
}

func commandRank(v string) int {
	if v == "forget" {
		return 0
	}
	return 1
}

func stopCommand(t job.Task, try uint64, grace float64) protocol.Command {
	return protocol.Command{Kind: "kill", Task: t.String(), Attempt: try, GraceS: &grace}
}

// AckedAssignment is the last assignment taken.
func (p *Partition) AckedAssignment() uint64 { return p.ackedAssignment }

// TakeFleet takes what the leader knows of all machines: those that have changed and
// those that are no more, or all of them. They are numbered by sorted id.
func (p *Partition) TakeFleet(all bool, changed []Buddy, gone []string) {
	if all {
		p.fleet = p.fleet[:0]
		clear(p.position)
	}
	moved := false
	for _, b := range changed {
		if i, ok := p.position[b.ID]; ok && !moved {
			p.fleet[i] = b
			continue
		}
		i, ok := slices.BinarySearchFunc(p.fleet, b.ID, compareBuddyID)
		if ok {
			p.fleet[i] = b
			continue
		}
		p.fleet = slices.Insert(p.fleet, i, b)
		moved = true
	}
	for _, id := range gone {
		if i, ok := slices.BinarySearchFunc(p.fleet, id, compareBuddyID); ok {
			p.fleet = slices.Delete(p.fleet, i, i+1)
			moved = true
		}
	}
	if !moved {
		return
	}
	clear(p.position)
	for i, b := range p.fleet {
		p.position[b.ID] = i
	}
	if d := preferredlist.Dimension(len(p.fleet)); d != p.maskDim {
		p.maskDim, p.masks = d, preferredlist.Masks(d)
	}
}

func compareBuddyID(b Buddy, id string) int {
	switch {
	case b.ID < id:
		return -1
	case b.ID > id:
		return 1
	}
	return 0
}

// Drain makes machines drain and go; urgent ones do not wait for their tasks.
func (p *Partition) Drain(ids []string, urgent bool, now time.Time) {
	for _, id := range ids {
		if _, was := p.returned[id]; was {
			continue
		}
		m := p.machine(id, "", "", false, now)
		if !m.draining || urgent && !m.discard {
			m.draining = true
			m.discard = m.discard || urgent
			p.markChanged(m)
		}
	}
}
