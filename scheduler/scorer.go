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
	imageRequired bool // reject machines that neither have nor are fetching the image
	need          job.Resources
	image         int32
	fetchS        float64 // duration of a complete fetch of the image, in seconds
	mayOverflow   bool
	zone          string          // the only zone to consider; anyZone: all
	avoid         string          // machine on which the next task failed last
	unacked       map[string]bool // for a service: machines with unacknowledged assignments of replicas
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

// The score of a machine with free capacity is baseScore less penalties: for fetching the image,
// for being empty (fuller machines are preferred, so that others become idle and can be
// terminated), and for already having a replica of the service.
const (
	baseScore      = 61
	fetchPenalty   = 50
	emptyPenalty   = 10
	replicaPenalty = 100

	// ongoingFetchRemaining is the assumed remaining fraction of a fetch that has started.
	ongoingFetchRemaining = 0.5
	minReleaseRate        = 1e-3 // assumed slots per second on machines where none are expected to become free
	minCapacityCPUs       = 1e-9
)

// score returns the score of a machine, higher is better; ok is false if the machine is unsuitable.
func (c *placementScorer) score(m *Machine) (score float64, ok bool) {
	if !c.accepts(m) {
		return 0, false
	}
	fetch := c.remainingFetch(m)
	if fetch == 1 && c.imageRequired {
		return 0, false
	}
	if !c.pass.useFreeCapacity {
		// Prefer the machine where the task is expected to start first.
		wait := c.cluster.queueSeconds(m, c.entry.live.Rank) + fetch*c.fetchS
		return 1 / (1 + wait), true
	}
	score = baseScore - fetchPenalty*fetch - emptyPenalty*m.FreeNow.CPUs/max(m.Capacity.CPUs, minCapacityCPUs)
	if c.entry.live.IsService() && c.hasReplica(m) {
		score -= replicaPenalty
	}
	return score, true
}

// accepts reports whether a machine has a place for the task, now or, in a pass that assigns to queues, once
// other tasks have ended, and the job may run there.
func (c *placementScorer) accepts(m *Machine) bool {
	available := m.attainable
	if c.pass.useFreeCapacity {
		available = m.FreeNow
	}
	if c.avoid == m.ID || !c.need.FitsIn(available) {
		return false
	}
	return c.allows(m.kind())
}

// allows reports whether the job may run on a machine kind.
func (c *placementScorer) allows(kind job.MachineKind) bool {
	return job.AllowsMachine(&c.entry.live.Spec, kind) && (c.zone == anyZone || c.zone == kind.Zone) &&
		(c.mayOverflow || c.entry.zoneAllowed(kind.Zone))
}

// hasReplica reports whether a machine holds a replica of the service or is assigned one.
func (c *placementScorer) hasReplica(m *Machine) bool {
	return c.unacked[m.ID] || m.holds(c.entry.live.Spec.UID)
}

// remainingFetch returns the remaining fraction of a fetch of the job's image on a machine.
func (c *placementScorer) remainingFetch(m *Machine) float64 {
	switch {
	case slices.Contains(m.images, c.image):
		return 0
	case slices.Contains(m.fetching, c.image):
		return ongoingFetchRemaining
	}
	return 1
}
