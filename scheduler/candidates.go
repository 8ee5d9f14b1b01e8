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
	anyImage imageState = iota // a list of all machines, whatever images they have
	imagePresent
	imageFetching
)

// listKey identifies an order of candidates.
type listKey struct {
	kind  job.MachineKind
	state imageState
	image int32
	rank  int // of the jobs, as far as the queue's order depends on it
}

// candidates are the machines of a pass that may take more, each kind of them in the order
// in which a job would choose. So a choice looks at the first that will do, and not at the
// whole fleet: with 4,000 machines a cycle once compared each of thousands of tasks
// with each of thousands of machines, and took 315 ms.
type candidates struct {
	cluster    *clusterState
	quarantine *quarantine

	freeRoom    bool       // see pass
	open        []*Machine // by id, when the pass began; see Machine.closed
	openCount   int        // of them that are still open
	byKind      map[job.MachineKind][]*Machine
	kinds       []job.MachineKind // in the order of their first machine
	lists       map[listKey]*candidateList
	listsOfKind map[job.MachineKind][]*candidateList
}

// candidateList is one kind's machines in one order: by rising key, then by id.
type candidateList struct {
	listKey
	buffer []candidate
	start  int // the entries begin here: what goes and comes is mostly near the beginning
}

// entries returns the candidates in their order.
func (l *candidateList) entries() []candidate { return l.buffer[l.start:] }

// delete removes the entry at an index by moving the shorter side.
func (l *candidateList) delete(i int) {
	entries := l.entries()
	if i >= len(entries)/2 {
		l.buffer = slices.Delete(l.buffer, l.start+i, l.start+i+1)
		return
	}
	copy(entries[1:i+1], entries[:i])
	l.start++
}

// insert inserts an entry at an index by moving the shorter side, if there is room.
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

// candidate is a machine with what orders it in a list, see sortKey.
type candidate struct {
	key     float64
	machine *Machine
}

// collect collects the machines of a pass that may take more.
func (c *candidates) collect(ps pass) {
	*c = candidates{
		cluster: c.cluster, quarantine: c.quarantine,
		freeRoom: ps.freeRoom, open: c.open[:0], byKind: map[job.MachineKind][]*Machine{},
		lists: map[listKey]*candidateList{}, listsOfKind: map[job.MachineKind][]*candidateList{},
	}
	for _, m := range c.cluster.machines.all() {
		m.closed = !m.Open() || c.quarantine.machines[m.ID] || !c.hasRoom(m)
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
	c.openCount = len(c.open)
}

// hasRoom reports whether a machine may take anything in this pass.
func (c *candidates) hasRoom(m *Machine) bool {
	if c.freeRoom {
		return m.FreeNow.CPUs > 0
	}
	return m.QueuedTasks < m.maxQueued
}

func (m *Machine) kind() job.MachineKind {
	return job.MachineKind{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// sortKey returns what orders machines for jobs of a rank: free CPUs, since a machine that is
// nearly full is the better the fuller it is, or the wait in its queue.
func (c *candidates) sortKey(m *Machine, rank int) float64 {
	if c.freeRoom {
		return m.FreeNow.CPUs
	}
	return c.cluster.queueSeconds(m, rank)
}

// accepts reports whether a list holds a machine, by the machine's images.
func (l *candidateList) accepts(m *Machine) bool {
	switch l.state {
	case imagePresent:
		return slices.Contains(m.images, l.image)
	case imageFetching:
		return slices.Contains(m.fetching, l.image)
	case anyImage:
	}
	return true
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.machine.position, b.machine.position))
}

// list returns an order of candidates, and makes it when it is first asked for.
func (c *candidates) list(key listKey) *candidateList {
	if l := c.lists[key]; l != nil {
		return l
	}
	l := &candidateList{listKey: key}
	for _, m := range c.byKind[key.kind] {
		if !m.closed && l.accepts(m) {
			l.buffer = append(l.buffer, candidate{c.sortKey(m, key.rank), m})
		}
	}
	slices.SortFunc(l.buffer, compareCandidates)
	c.lists[key] = l
	c.listsOfKind[key.kind] = append(c.listsOfKind[key.kind], l)
	return l
}

// remove removes a machine from all orders; it is called before the machine changes.
func (c *candidates) remove(m *Machine) {
	for _, l := range c.listsOfKind[m.kind()] {
		if !l.accepts(m) {
			continue
		}
		if i, ok := slices.BinarySearchFunc(l.entries(), candidate{c.sortKey(m, l.rank), m}, compareCandidates); ok {
			l.delete(i)
		}
	}
}

// restore inserts a machine that has changed into the orders again, or closes it for this pass
// when it can take no more.
func (c *candidates) restore(m *Machine) {
	if !c.hasRoom(m) {
		m.closed = true
		c.openCount--
		return
	}
	for _, l := range c.listsOfKind[m.kind()] {
		if !l.accepts(m) {
			continue
		}
		x := candidate{c.sortKey(m, l.rank), m}
		i, _ := slices.BinarySearchFunc(l.entries(), x, compareCandidates)
		l.insert(i, x)
	}
}

// best returns the machine with the highest score for a job's next tasks. Within a list the
// score falls, so the first machine that will do is the list's best. A machine without the
// image is in the list of all, where those that have it only score higher.
func (c *candidates) best(scorer *placementScorer) *Machine {
	best := bestMachine{scorer: scorer}
	rank := 0
	if !c.freeRoom {
		rank = min(scorer.entry.live.Rank, protocol.FirstNonUrgentRank)
	}
	for _, kind := range c.kinds {
		if !scorer.allows(kind) {
			continue
		}
		best.considerFirst(c.list(listKey{kind, imagePresent, scorer.image, rank}))
		best.considerFirst(c.list(listKey{kind, imageFetching, scorer.image, rank}))
		if !scorer.imageRequired {
			best.considerFirst(c.list(listKey{kind: kind, rank: rank}))
		}
	}
	return best.machine
}

// scan returns the same by scoring every machine: where what a machine holds counts as well,
// as for replicas, or where slots are only reserved, as for gangs.
func (c *candidates) scan(scorer *placementScorer) *Machine {
	var best *Machine
	bestScore := 0.0
	for _, m := range c.open {
		if m.closed {
			continue
		}
		if score, ok := scorer.score(m); ok && (best == nil || score > bestScore) {
			best, bestScore = m, score
		}
	}
	return best
}

// bestMachine is the best machine of the lists that were considered.
type bestMachine struct {
	scorer  *placementScorer
	machine *Machine
	score   float64
}

// cpuTolerance is more than what rounding errors take off a machine's free CPUs.
const cpuTolerance = 1e-3

// considerFirst considers the first machine of a list that will do. Those with too few free
// CPUs come first in it and are skipped at once.
func (b *bestMachine) considerFirst(l *candidateList) {
	entries := l.entries()
	if b.scorer.pass.freeRoom {
		minCPUs := b.scorer.need.CPUs - cpuTolerance
		i, _ := slices.BinarySearchFunc(entries, minCPUs, func(x candidate, minCPUs float64) int { return cmp.Compare(x.key, minCPUs) })
		entries = entries[i:]
	}
	for _, x := range entries {
		score, ok := b.scorer.score(x.machine)
		if !ok {
			continue
		}
		if b.machine == nil || score > b.score || score == b.score && x.machine.position < b.machine.position {
			b.machine, b.score = x.machine, score
		}
		return
	}
}

// queueSeconds estimates how long a task of a job of a rank would wait in a machine's queue.
func (c *clusterState) queueSeconds(m *Machine, rank int) float64 {
	return float64(c.queuedAhead(m, rank)+1) / max(m.releaseRate, minRate)
}

// queuedAhead returns how many tasks of a machine's queue start before a task of a job of a
// rank.
func (c *clusterState) queuedAhead(m *Machine, rank int) int {
	ahead := m.QueuedTasks
	if rank >= protocol.FirstNonUrgentRank {
		return ahead
	}
	for i := range m.Held {
		held := &m.Held[i]
		if held.Phase != partition.PhaseQueued {
			continue
		}
		if live := c.jobs.Get(held.Job); live != nil && !live.IsService() && live.Rank > rank {
			ahead -= held.Tasks.Len()
		}
	}
	return max(ahead, 0)
}
