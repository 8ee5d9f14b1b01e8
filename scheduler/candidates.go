package scheduler

import (
	"cmp"
	"slices"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// imageState is the state of an image on a machine.
type imageState int

const (
	anyImage imageState = iota // in a list key: machines regardless of their images
	imagePresent
	imageFetching
)

// listKey identifies a candidate list.
type listKey struct {
	kind  job.MachineKind
	state imageState
	image int32
	rank  int // of the job, capped where it no longer affects the queueing time
}

// candidates are the machines of a pass that accept more tasks, in lists per machine kind that
// are sorted by a job's preference, so that the best machine of a list is its first suitable one.
// Scoring every machine for every task took 315 ms per cycle with 4,000 machines.
type candidates struct {
	cluster    *clusterState
	quarantine *quarantine

	useFreeCapacity bool       // see pass.useFreeCapacity
	machines        []*Machine // eligible at the start of the pass, by id; see Machine.ineligible
	eligibleCount   int        // number of machines that are still eligible
	byKind          map[job.MachineKind][]*Machine
	kinds           []job.MachineKind // in the order of their first machine
	lists           map[listKey]*candidateList
	listsOfKind     map[job.MachineKind][]*candidateList
}

// candidateList holds machines of one kind, sorted by ascending key, then by id.
type candidateList struct {
	listKey
	buffer []candidate
	start  int // index of the first entry; most deletions and insertions are near the front
}

// entries returns the candidates in sorted order.
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

// insert inserts an entry at an index by moving the shorter side, or the entries behind it if
// there is no space before the first entry.
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

// candidate is a machine with its sort key, see sortKey.
type candidate struct {
	key     float64
	machine *Machine
}

// collect resets the candidates to the machines that are eligible in a pass.
func (c *candidates) collect(ps pass) {
	*c = candidates{
		cluster: c.cluster, quarantine: c.quarantine,
		useFreeCapacity: ps.useFreeCapacity, machines: c.machines[:0], byKind: map[job.MachineKind][]*Machine{},
		lists: map[listKey]*candidateList{}, listsOfKind: map[job.MachineKind][]*candidateList{},
	}
	for _, m := range c.cluster.machines.all() {
		m.ineligible = !m.Schedulable() || c.quarantine.machines[m.ID] || !c.acceptsTasks(m)
		if m.ineligible {
			continue
		}
		c.machines = append(c.machines, m)
		kind := m.kind()
		if c.byKind[kind] == nil {
			c.kinds = append(c.kinds, kind)
		}
		c.byKind[kind] = append(c.byKind[kind], m)
	}
	c.eligibleCount = len(c.machines)
}

// zones lists the zones of the machines, in the order of their first machine.
func (c *candidates) zones() (zones []string) {
	for _, kind := range c.kinds {
		if !slices.Contains(zones, kind.Zone) {
			zones = append(zones, kind.Zone)
		}
	}
	return zones
}

// acceptsTasks reports whether a machine has free capacity or, in a pass that assigns to queues, space
// in its queue.
func (c *candidates) acceptsTasks(m *Machine) bool {
	if c.useFreeCapacity {
		return m.FreeNow.CPUs > 0
	}
	return m.QueuedTasks < m.maxQueued
}

func (m *Machine) kind() job.MachineKind {
	return job.MachineKind{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// sortKey returns the key by which a list is sorted. In a pass that assigns to free capacity, it is
// the machine's free CPUs, since fuller machines are preferred. In a pass that assigns to queues, it is
// how long a task of a job of the given rank would wait in the machine's queue.
func (c *candidates) sortKey(m *Machine, rank int) float64 {
	if c.useFreeCapacity {
		return m.FreeNow.CPUs
	}
	return c.cluster.queueSeconds(m, rank)
}

// includes reports whether a machine belongs in the list, by the images that it has.
func (l *candidateList) includes(m *Machine) bool {
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

// list returns a candidate list, and builds it on first use.
func (c *candidates) list(key listKey) *candidateList {
	if l := c.lists[key]; l != nil {
		return l
	}
	l := &candidateList{listKey: key}
	for _, m := range c.byKind[key.kind] {
		if !m.ineligible && l.includes(m) {
			l.buffer = append(l.buffer, candidate{c.sortKey(m, key.rank), m})
		}
	}
	slices.SortFunc(l.buffer, compareCandidates)
	c.lists[key] = l
	c.listsOfKind[key.kind] = append(c.listsOfKind[key.kind], l)
	return l
}

// remove removes a machine from all lists. It must be called before the machine changes, since
// lists are searched by the sort key.
func (c *candidates) remove(m *Machine) {
	for _, l := range c.listsOfKind[m.kind()] {
		if !l.includes(m) {
			continue
		}
		if i, ok := slices.BinarySearchFunc(l.entries(), candidate{c.sortKey(m, l.rank), m}, compareCandidates); ok {
			l.delete(i)
		}
	}
}

// restore inserts a changed machine into the lists again, or marks it as ineligible if it accepts
// no more tasks in this pass.
func (c *candidates) restore(m *Machine) {
	if !c.acceptsTasks(m) {
		m.ineligible = true
		c.eligibleCount--
		return
	}
	for _, l := range c.listsOfKind[m.kind()] {
		if !l.includes(m) {
			continue
		}
		x := candidate{c.sortKey(m, l.rank), m}
		i, _ := slices.BinarySearchFunc(l.entries(), x, compareCandidates)
		l.insert(i, x)
	}
}

// best returns the machine with the highest score for a job's next tasks. Scores fall along a
// list, so the first suitable machine is the best of the list. In the list of all machines, that is
// true only of the machines without the image; those with the image score higher, and are found by
// their own lists.
func (c *candidates) best(scorer *placementScorer) *Machine {
	best := bestMachine{scorer: scorer}
	rank := 0
	if !c.useFreeCapacity {
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

// scan returns the machine with the highest score by scoring every machine. It is used where the
// lists do not suffice: the score of a replica also depends on the tasks that a machine holds, and
// the slots of a gang are reserved without updating the lists.
func (c *candidates) scan(scorer *placementScorer) *Machine {
	var best *Machine
	bestScore := 0.0
	for _, m := range c.machines {
		if m.ineligible {
			continue
		}
		if score, ok := scorer.score(m); ok && (best == nil || score > bestScore) {
			best, bestScore = m, score
		}
	}
	return best
}

// bestMachine is the best machine of the lists considered so far.
type bestMachine struct {
	scorer  *placementScorer
	machine *Machine
	score   float64
}

// cpuTolerance exceeds the rounding error of a machine's free CPUs.
const cpuTolerance = 1e-3

// considerFirst considers the first suitable machine of a list. In a list sorted by free CPUs,
// the machines with too few are skipped by binary search.
func (b *bestMachine) considerFirst(l *candidateList) {
	entries := l.entries()
	if b.scorer.pass.useFreeCapacity {
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

// queueSeconds estimates how long a task of a job of the given rank would wait in a machine's
// queue.
func (c *clusterState) queueSeconds(m *Machine, rank int) float64 {
	return float64(c.queuedAhead(m, rank)+1) / max(m.releaseRate, minReleaseRate)
}

// queuedAhead returns how many queued tasks of a machine would start before a task of a job of
// the given rank.
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
