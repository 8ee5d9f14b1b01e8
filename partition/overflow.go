package partition

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/preferredlist"
)

// Buddy is what is known of a machine of any owner.
type Buddy struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	Underloaded bool
	Room        job.Resources
}

// ForwardRequest asks the leader to send overflow to a buddy of another owner.
type ForwardRequest struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	To       string
}

// acceptsOverflow tells whether a machine takes a task as overflow. It is underloaded,
// with an empty queue and room; what it has taken since its last report counts
// against that room, and once that is used up it counts full.
func (p *Partition) acceptsOverflow(m *Machine, n job.Resources) bool {
	if m.overflowSpent || !m.usable() || m.unaccounted() || len(m.queue) > m.overflowTaken {
		return false
	}
	room := m.room()
	for _, pl := range m.placements {
		if pl.isPending() {
			room = room.Sub(pl.Resources)
		}
	}
	for _, e := range m.queue {
		room = room.Sub(e.resources)
	}
	if !n.FitsIn(room) {
		m.overflowSpent = m.overflowTaken > 0
		return false
	}
	return true
}

// ApplyFleet takes what the leader knows of all machines: those that have changed and
// those that are no more, or all of them. They are numbered by sorted id.
func (p *Partition) ApplyFleet(whole bool, changed []Buddy, removed []string) {
	if whole {
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
	for _, id := range removed {
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
		p.maskRank = preferredlist.Ranks(p.masks)
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

// overflow is the design's location policy: what an overloaded machine has over
// its threshold goes to the first underloaded buddy of its list, up to the
// buddy's reported room; if there is none it waits, and walks on later.
func (p *Partition) overflow(now time.Time) {
	p.findTargets()
	for _, id := range p.ids {
		m := p.machines[id]
		at, numbered := p.position[id]
		if !numbered {
			continue
		}
		if len(m.queue) > p.cfg.Threshold {
			p.overflowQueue(now, m, at)
		}
		p.releasePreCommitted(now, m, at)
	}
}

// findTargets lists the machines that may take overflow now: those that have room, as far as
// a look at each tells. Most of the time that is none or a few, and lists are walked only as
// far as there is somebody to find.
func (p *Partition) findTargets() {
	p.targets = p.targets[:0]
	for i := range p.fleet {
		b := &p.fleet[i]
		may := b.Underloaded
		if m := p.machines[b.ID]; m != nil {
			may = m.usable() && m.room().CPUs > 0
		}
		if may {
			p.targets = append(p.targets, i)
		}
	}
}

// fewTargets: while fewer than one machine in so many may take overflow, they are put into
// the list's order; else the list itself is walked until one is found.
const fewTargets = 16

// preferred gives the buddies of a machine, or all of its preferred list, in order. Machines
// that take no overflow now may be left out of a whole list.
func (p *Partition) preferred(at int, all bool) iter.Seq[int] {
	switch {
	case len(p.targets) == 0:
		return func(func(int) bool) {}
	case !all:
		return preferredlist.Walk(p.masks, at, len(p.fleet), p.cfg.Buddies)
	case len(p.targets) > len(p.fleet)/fewTargets:
		return preferredlist.Walk(p.masks, at, len(p.fleet), len(p.fleet))
	}
	list := slices.DeleteFunc(slices.Clone(p.targets), func(n int) bool { return n == at })
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(p.maskRank[at^a], p.maskRank[at^b]) })
	return slices.Values(list)
}

// overflowQueue sends what a machine has over its threshold elsewhere.
func (p *Partition) overflowQueue(now time.Time, m *Machine, at int) {
	room, open, _ := m.roomAfterPending()
	keep := m.queue[:0:0]
	for i, q := range m.queue {
		open = open && q.resources.FitsIn(room)
		if open {
			room = room.Sub(q.resources)
		}
		if open || i < p.cfg.Threshold || !p.fallBackBeyondBuddies(now, q, at) {
			keep = append(keep, q)
		}
	}
	if len(keep) < len(m.queue) {
		p.markChanged(m)
	}
	m.queue = keep
}

// fallBackBeyondBuddies sends a queued task to a buddy, past the local wait to any machine of the preferred
// list, and after twice that wait back to the leader. It tells whether the task has left.
func (p *Partition) fallBackBeyondBuddies(now time.Time, q queuedTask, at int) bool {
	waited := now.Sub(q.since)
	walks := waited >= p.cfg.LocalWait
	sent := p.sendOverflow(now, q, p.preferred(at, walks))
	switch {
	case sent && !walks:
		p.Counts.Overflowed++
	case sent, walks && waited >= 2*p.cfg.LocalWait:
		p.Counts.FallbackBeyondBuddies++
	default:
		return false
	}
	return true
}

// releasePreCommitted gives back what was committed ahead of its room when a buddy is
// underloaded: the task was never ordered, so once that is committed it is an
// ordinary entry of the queue and overflows like one.
func (p *Partition) releasePreCommitted(now time.Time, m *Machine, at int) {
	var last *Placement
	m.eachPending(func(pl *Placement, _ job.Resources, fits bool) {
		if pl != nil && !fits && pl.committed && last == nil {
			last = pl
		}
	})
	if last == nil {
		return
	}
	l := p.jobs.Get(last.Task.Job)
	if l == nil || !job.MayOverflow(&l.Spec) {
		return
	}
	for n := range p.preferred(at, now.Sub(last.since) >= p.cfg.LocalWait) {
		if p.buddyAccepts(&p.fleet[n], l, last.Resources) {
			last.end(outcomeReleased)
			p.markChanged(m)
			return
		}
	}
}

// buddyAccepts tells whether a buddy takes a job's task as overflow.
func (p *Partition) buddyAccepts(b *Buddy, l *job.CachedJob, need job.Resources) bool {
	if m := p.machines[b.ID]; m != nil {
		return job.AllowsMachine(&l.Spec, m.MachineType, m.Zone, m.Spot) && p.acceptsOverflow(m, need)
	}
	return b.Underloaded && need.FitsIn(b.Room)
}

// sendOverflow gives a task to the first buddy of a list that takes it: to its queue if it is
// a machine of this owner, else by asking the leader to move it.
func (p *Partition) sendOverflow(now time.Time, q queuedTask, list iter.Seq[int]) bool {
	l := p.jobs.Get(q.task.Job)
	if l == nil || !job.MayOverflow(&l.Spec) {
		return false
	}
	for n := range list {
		b := &p.fleet[n]
		if !p.buddyAccepts(b, l, q.resources) {
			continue
		}
		if m := p.machines[b.ID]; m != nil {
			m.overflowTaken++
			q.since = now
			m.queue = append(m.queue, q)
			p.markChanged(m)
		} else {
			b.Room = b.Room.Sub(q.resources)
			p.forwards = append(p.forwards, ForwardRequest{Task: q.task, To: b.ID})
			p.Counts.Forwarded++
		}
		return true
	}
	return false
}
