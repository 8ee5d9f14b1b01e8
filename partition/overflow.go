package partition

import (
	"junipershelf/job"
	"junipershelf/preferredlist"
	"slices"
	"time"
)

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

// overflow is the design's location policy: what an overloaded machine has over
// its threshold goes to the first underloaded buddy of its list, up to the
// buddy's reported room; if there is none it waits, and walks on later.
func (p *Partition) overflow(now time.Time) {
	for _, id := range p.ids {
		m := p.machines[id]
		at, numbered := p.position[id]
		if !numbered {
			continue
		}
		if len(m.queue) > p.cfg.Threshold {
			p.overflowQueue(now, m, at)
		}
		p.releaseAhead(now, m, at)
	}
}

// buddies gives the buddies of a machine, or all of its preferred list.
func (p *Partition) buddies(at int, all bool) []int {
	most := p.cfg.Buddies
	if all {
		most = len(p.fleet)
	}
	return preferredlist.ListFrom(p.masks, at, len(p.fleet), min(most, len(p.fleet)))
}

func (p *Partition) overflowQueue(now time.Time, m *Machine, at int) {
	room := m.room()
	open := !m.unaccounted()
	for _, pl := range m.placements {
		if pl.isPending() {
			open = open && pl.Resources.FitsIn(room)
			room = room.Minus(pl.Resources)
		}
	}
	keep := m.queue[:0:0]
	for i, e := range m.queue {
		if open = open && e.resources.FitsIn(room); open {
			room = room.Minus(e.resources)
			keep = append(keep, e)
			continue
		}
		if i < p.cfg.Threshold {
			keep = append(keep, e)
			continue
		}
		walked := now.Sub(e.since) >= p.cfg.LocalWait
		if p.sendOverflow(now, e, p.buddies(at, walked)) {
			if walked {
				p.Counts.WalkedOn++
			} else {
				p.Counts.Overflowed++
			}
			continue
		}
		if walked && now.Sub(e.since) >= 2*p.cfg.LocalWait {
			p.Counts.WalkedOn++ // back to the leader
			continue
		}
		keep = append(keep, e)
	}
	if len(keep) < len(m.queue) {
		p.markChanged(m)
	}
	m.queue = keep
}

// releaseAhead gives back what was committed ahead of its room when a buddy is
// underloaded: the task was never ordered, so once that is committed it is an
// ordinary entry of the queue and overflows like one.
func (p *Partition) releaseAhead(now time.Time, m *Machine, at int) {
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
	if l == nil || !movable(l) {
		return
	}
	for _, n := range p.buddies(at, now.Sub(last.since) >= p.cfg.LocalWait) {
		b := &p.fleet[n]
		o := p.machines[b.ID]
		if o != nil && job.AllowsMachine(&l.Spec, o.MachineType, o.Zone, o.Spot) && p.acceptsOverflow(o, last.Resources) || o == nil && b.Underloaded && last.Resources.FitsIn(b.Room) {
			last.ended, last.requeue = true, true
			p.markChanged(m)
			return
		}
	}
}

func (p *Partition) sendOverflow(now time.Time, e queuedTask, list []int) bool {
	l := p.jobs.Get(e.task.Job)
	if l == nil || !movable(l) {
		return false
	}
	for _, n := range list {
		b := &p.fleet[n]
		if m := p.machines[b.ID]; m != nil {
			if job.AllowsMachine(&l.Spec, m.MachineType, m.Zone, m.Spot) && p.acceptsOverflow(m, e.resources) {
				m.overflowTaken++
				e.since = now
				m.queue = append(m.queue, e)
				p.markChanged(m)
				return true
			}
			continue
		}
		if b.Underloaded && e.resources.FitsIn(b.Room) {
			b.Room = b.Room.Minus(e.resources)
			p.moves = append(p.moves, Move{Task: e.task, To: b.ID})
			p.Counts.SentOn++
			return true
		}
	}
	return false
}
