package scheduler

import "sort"

// protectedShare is the part of all room that goes to jobs deferred for long.
const protectedShare = 0.25

// starvationGuard reserves a part of all room for jobs that have been deferred for long. The
// timetable defers the largest, and would do so for ever under a lasting load.
type starvationGuard struct {
	cfg     *Config
	cluster *clusterState

	protected     []*WaitingJob // of this cycle, the first to serve first
	orderedCPUs   float64       // given by the order of service since a cycle without protected jobs
	protectedCPUs float64       // given to protected jobs
}

// selectProtected finds the protected jobs of a cycle: those that have not begun first, then
// the oldest.
func (g *starvationGuard) selectProtected(waiting []*WaitingJob) {
	g.protected = nil
	for _, w := range waiting {
		if g.cfg.StarvationAfter > 0 && w.Deferred && w.Age >= g.cfg.StarvationAfter {
			g.protected = append(g.protected, w)
		}
	}
	if len(g.protected) == 0 {
		g.orderedCPUs, g.protectedCPUs = 0, 0
		return
	}
	sort.SliceStable(g.protected, func(i, j int) bool {
		a, b := g.protected[i], g.protected[j]
		if a.entry.hasBegun() != b.entry.hasBegun() {
			return b.entry.hasBegun()
		}
		return a.Age > b.Age
	})
}

// next returns the protected job to serve next; nil if they have had their share of the room
// or none may have more within a quota.
func (g *starvationGuard) next(within quota) *WaitingJob {
	if g.protectedCPUs >= protectedShare*(g.orderedCPUs+g.protectedCPUs) {
		return nil
	}
	for _, w := range g.protected {
		if w.schedulable(&g.cluster.quotas, within) {
			return w
		}
	}
	return nil
}

// hasBegun reports whether any task of the job is or was held.
func (e *jobEntry) hasBegun() bool { return e.held+e.finishedCount > 0 }
