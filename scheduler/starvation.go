package scheduler

import "sort"

// protectedShare is the fraction of all assigned CPUs that goes to protected jobs, see
// starvationGuard.
const protectedShare = 0.25

// starvationGuard reserves a fraction of capacity for protected jobs, which are deferred and were
// submitted at least StarvationAfter ago. The timetable defers the largest jobs first; under sustained
// load it would defer them indefinitely.
type starvationGuard struct {
	cfg     *Config
	cluster *clusterState

	protected     []*WaitingJob // protected jobs of this cycle, in the order of service
	regularCPUs   float64       // CPUs assigned in the regular order of service since the last cycle without protected jobs
	protectedCPUs float64       // CPUs assigned to protected jobs in the same time
}

// selectProtected selects the protected jobs of a cycle: jobs that have not started come first,
// then the oldest.
func (g *starvationGuard) selectProtected(waiting []*WaitingJob) {
	g.protected = nil
	for _, w := range waiting {
		if g.cfg.StarvationAfter > 0 && w.Deferred && w.Age >= g.cfg.StarvationAfter {
			g.protected = append(g.protected, w)
		}
	}
	if len(g.protected) == 0 {
		g.regularCPUs, g.protectedCPUs = 0, 0
		return
	}
	sort.SliceStable(g.protected, func(i, j int) bool {
		a, b := g.protected[i], g.protected[j]
		if a.entry.hasStarted() != b.entry.hasStarted() {
			return b.entry.hasStarted()
		}
		return a.Age > b.Age
	})
}

// next returns the protected job to serve next, or nil if protected jobs have used up their share
// or none is schedulable within a quota.
func (g *starvationGuard) next(within quota) *WaitingJob {
	if g.protectedCPUs >= protectedShare*(g.regularCPUs+g.protectedCPUs) {
		return nil
	}
	for _, w := range g.protected {
		if w.schedulable(&g.cluster.quotas, within) {
			return w
		}
	}
	return nil
}

// hasStarted reports whether any task of the job is held or completed.
func (e *jobEntry) hasStarted() bool { return e.held+e.completedCount > 0 }
