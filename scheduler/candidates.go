package scheduler

import (
	"cmp"
	"slices"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// imageState is how far a machine is with an image.
type imageState int

const (
	imageAny imageState = iota // a list of all machines, whatever images they have
	imagePresent
	imageFetching
)

// listKey names an order of candidates.
type listKey struct {
	kind  job.MachineKind
	state imageState
	image int32
	rank  int // of the jobs, as far as it tells what they stand behind in a queue
}

// candidates are the machines of a pass that may take more, each kind of them in the order
// in which a job would choose. So a choice looks at the first that will do, and not at the
// whole fleet: with 4,000 machines a cycle once compared each of thousands of tasks
// with each of thousands of machines, and took 315 ms.
type candidates struct {
	freeRoom bool
	open     []*Machine // by id, when the pass began; see Machine.closed
	count    int        // of them that are still open
	byKind   map[job.MachineKind][]*Machine
	kinds    []job.MachineKind
	lists    map[listKey]*candidateList
	ofKind   map[job.MachineKind][]*candidateList
}

// candidateList is one kind's machines in one order: by rising key, then by id.
type candidateList struct {
	listKey
	buffer []candidate
	start  int // the entries begin here: what goes and comes is mostly near the beginning
}

// entries are the candidates in their order.
func (l *candidateList) entries() []candidate { return l.buffer[l.start:] }

// delete takes the entry at an index out by moving the shorter side.
func (l *candidateList) delete(i int) {
	entries := l.entries()
	if i >= len(entries)/2 {
		l.buffer = slices.Delete(l.buffer, l.start+i, l.start+i+1)
		return
	}
	copy(entries[1:i+1], entries[:i])
	l.start++
}

// insert puts an entry in at an index by moving the shorter side, if there is room.
func (l *candidateList) insert(i int, x candidate) {
	if i >= len(l.entries())/2 || l.start == 0 {
		l.buffer = slices.Insert(l.buffer, l.start+i, x)
		return
	}
	l.start--
	entries := l.entries()
	copy(entries[:i], entries[1:i+1])
	entries[i] = x
}

type candidate struct {
	key     float64
	machine *Machine
}

// collect takes the machines of a pass that may take more.
func (c *candidates) collect(s *Scheduler, ps pass) {
	*c = candidates{
		freeRoom: ps.freeRoom, open: c.open[:0], byKind: map[job.MachineKind][]*Machine{},
		lists: map[listKey]*candidateList{}, ofKind: map[job.MachineKind][]*candidateList{},
	}
	for _, m := range s.Machines() {
		m.closed = !m.Open() || s.Quarantined[m.ID] || !s.hasRoom(m, ps)
		if m.closed {
			continue
		}
		c.open = append(c.open, m)
		kind := m.kind()
		if c.byKind[kind] == nil {
			c.kinds = append(c.kinds, kind)
		}
		c.byKind[kind] = append(c.byKind[kind], m)
	}
	c.count = len(c.open)
}

// kind is what a job may ask of the machine.
func (m *Machine) kind() job.MachineKind {
	return job.MachineKind{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// sortKey is what orders machines for jobs of a rank: free CPUs, since a machine that is
// nearly full is the better the fuller it is, or the wait in its queue.
func (c *candidates) sortKey(s *Scheduler, m *Machine, rank int) float64 {
	if c.freeRoom {
		return m.FreeNow.CPUs
	}
	return float64(s.queuedBefore(m, rank)+1) / max(m.releaseRate, minRate)
}

// accepts tells whether a list holds a machine, by the machine's images.
func (l *candidateList) accepts(m *Machine) bool {
	switch l.state {
	case imagePresent:
		return slices.Contains(m.images, l.image)
	case imageFetching:
		return slices.Contains(m.fetching, l.image)
	}
	return true
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.machine.place, b.machine.place))
}

// list gives an order of candidates, and makes it when it is first asked for.
func (c *candidates) list(s *Scheduler, key listKey) *candidateList {
	if l := c.lists[key]; l != nil {
		return l
	}
	l := &candidateList{listKey: key}
	for _, m := range c.byKind[key.kind] {
		if !m.closed && l.accepts(m) {
			l.buffer = append(l.buffer, candidate{c.sortKey(s, m, key.rank), m})
		}
	}
	slices.SortFunc(l.buffer, compareCandidates)
	c.lists[key] = l
	c.ofKind[key.kind] = append(c.ofKind[key.kind], l)
	return l
}

// remove takes a machine out of all orders; it is called before the machine changes.
func (c *candidates) remove(s *Scheduler, m *Machine) {
	for _, l := range c.ofKind[m.kind()] {
		if !l.accepts(m) {
			continue
		}
		if i, ok := slices.BinarySearchFunc(l.entries(), candidate{c.sortKey(s, m, l.rank), m}, compareCandidates); ok {
			l.delete(i)
		}
	}
}

// restore puts a machine that has changed into its places again, or closes it for this pass
// when it can take no more.
func (c *candidates) restore(s *Scheduler, m *Machine, ps pass) {
	if !s.hasRoom(m, ps) {
		m.closed = true
		c.count--
		return
	}
	for _, l := range c.ofKind[m.kind()] {
		if !l.accepts(m) {
			continue
		}
		x := candidate{c.sortKey(s, m, l.rank), m}
		i, _ := slices.BinarySearchFunc(l.entries(), x, compareCandidates)
		l.insert(i, x)
	}
}

// best finds the machine with the highest score for a job's next tasks. Within a list the
// score falls, so the first machine that will do is the list's best. A machine without the
// image stands in the list of all, where those that have it only score higher.
func (c *candidates) best(choice *placementScorer) *Machine {
	x := bestOf{choice: choice}
	spec := &choice.entry.live.Spec
	rank := 0
	if !c.freeRoom {
		rank = min(choice.entry.live.Rank, protocol.FirstNonUrgentRank)
	}
	for _, kind := range c.kinds {
		if !job.AllowsMachine(spec, kind) || !choice.movable && !choice.zoneAllowed(choice.entry, kind.Zone) {
			continue
		}
		x.consider(c.list(choice.Scheduler, listKey{kind, imagePresent, choice.image, rank}))
		x.consider(c.list(choice.Scheduler, listKey{kind, imageFetching, choice.image, rank}))
		if !choice.matched {
			x.consider(c.list(choice.Scheduler, listKey{kind: kind, rank: rank}))
		}
	}
	return x.machine
}

// bestOf is the best machine of the lists that were looked at.
type bestOf struct {
	choice  *placementScorer
	machine *Machine
	score   float64
}

// consider takes the first machine of a list that will do. Those with too few free CPUs come
// first in it and are passed over at once.
func (b *bestOf) consider(l *candidateList) {
	entries := l.entries()
	if b.choice.pass.freeRoom {
		least := b.choice.need.CPUs - leastCPUs
		i, _ := slices.BinarySearchFunc(entries, least, func(x candidate, least float64) int { return cmp.Compare(x.key, least) })
		entries = entries[i:]
	}
	for _, x := range entries {
		score, ok := b.choice.score(x.machine)
		if !ok {
			continue
		}
		if b.machine == nil || score > b.score || score == b.score && x.machine.place < b.machine.place {
			b.machine, b.score = x.machine, score
		}
		return
	}
}

// leastCPUs is more than what a rounding error takes off a machine's free CPUs.
const leastCPUs = 1e-3

// scan finds the same by looking at every machine: where what a machine holds counts as well,
// as for replicas, or where rooms are only tried, as for gangs.
func (c *candidates) scan(choice *placementScorer) *Machine {
	x := bestOf{choice: choice}
	for _, m := range c.open {
		if m.closed {
			continue
		}
		if score, ok := choice.score(m); ok && (x.machine == nil || score > x.score) {
			x.machine, x.score = m, score
		}
	}
	return x.machine
}

// queuedBefore is how many tasks of a machine's queue a task of a job of a rank would stand
// behind.
func (s *Scheduler) queuedBefore(m *Machine, rank int) int {
	n := m.QueuedTasks
	if rank >= protocol.FirstNonUrgentRank {
		return n
	}
	for i := range m.Held {
		h := &m.Held[i]
		if h.Phase != partition.PhaseQueued {
			continue
		}
		if l := s.jobs.Get(h.Job); l != nil && !l.IsService() && l.Rank > rank {
			n -= h.Tasks.Len()
		}
	}
	return max(n, 0)
}
