package scheduler

import (
	"slices"

	"junipershelf/job"
)

// placementScorer scores machines for the next tasks of one job.
type placementScorer struct {
	cluster       *clusterState
	entry         *jobEntry
	pass          pass
	imageRequired bool // only machines will do that have the image or fetch it
	need          job.Resources
	image         int32
	fetchS        float64 // a whole fetch of the image, in seconds
	mayOverflow   bool
	avoid         string          // the machine that failed the next task last
	unacked       map[string]bool // of a service: machines that are assigned a replica
}

// newScorer returns the scorer for a job's next tasks.
func (p *placer) newScorer(entry *jobEntry, ps pass) *placementScorer {
	live := entry.live
	scorer := &placementScorer{
		cluster: p.cluster, entry: entry, pass: ps, need: live.Resources(),
		image: p.cluster.images.number(live.Spec.Image), fetchS: p.fetchSeconds(live), mayOverflow: job.MayOverflow(&live.Spec),
	}
	if len(entry.avoid) > 0 {
		if next := p.nextTasks(entry, 1, ""); len(next) > 0 {
			scorer.avoid = entry.avoid[next[0]]
		}
	}
	if live.IsService() {
		scorer.unacked = p.cluster.unackedMachines(live.Spec.UID)
	}
	return scorer
}

// The score of a machine with room: what a fetch costs, and how much more a full machine is
// worth than an empty one, so that others fall idle and can be terminated. A service's second
// replica goes elsewhere if it can.
const (
	baseScore    = 61
	fetchScore   = 50
	fullScore    = 10
	replicaScore = 100

	// fetchUnderWay is the part of a fetch that is still to come where it has begun.
	fetchUnderWay = 0.5
	minRate       = 1e-3 // slots a second, where none is known to fall free
	minCapacity   = 1e-9
)

// score returns how good a machine is, the higher the better; ok is false if it will not do.
func (c *placementScorer) score(m *Machine) (score float64, ok bool) {
	if !c.accepts(m) {
		return 0, false
	}
	fetch := c.fetchPart(m)
	if fetch == 1 && c.imageRequired {
		return 0, false
	}
	if !c.pass.freeRoom {
		// The one where the task is likely to start first.
		wait := c.cluster.queueSeconds(m, c.entry.live.Rank) + fetch*c.fetchS
		return 1 / (1 + wait), true
	}
	score = baseScore - fetchScore*fetch - fullScore*m.FreeNow.CPUs/max(m.Capacity.CPUs, minCapacity)
	if c.entry.live.IsService() && c.hasReplica(m) {
		score -= replicaScore
	}
	return score, true
}

// accepts reports whether a machine has the room that the pass asks for and the job may go
// there.
func (c *placementScorer) accepts(m *Machine) bool {
	if c.avoid == m.ID || !c.need.FitsIn(m.Capacity) || c.pass.freeRoom && !c.need.FitsIn(m.FreeNow) {
		return false
	}
	return c.allows(m.kind())
}

// allows reports whether the job may go to a kind of machines.
func (c *placementScorer) allows(kind job.MachineKind) bool {
	return job.AllowsMachine(&c.entry.live.Spec, kind) &&
		(c.mayOverflow || c.entry.zoneAllowed(kind.Zone))
}

// hasReplica reports whether a machine holds or is assigned a replica of the service.
func (c *placementScorer) hasReplica(m *Machine) bool {
	return c.unacked[m.ID] || m.holds(c.entry.live.Spec.UID)
}

// fetchPart returns the part of a fetch of the job's image that is still to come on a machine.
func (c *placementScorer) fetchPart(m *Machine) float64 {
	switch {
	case slices.Contains(m.images, c.image):
		return 0
	case slices.Contains(m.fetching, c.image):
		return fetchUnderWay
	}
	return 1
}
