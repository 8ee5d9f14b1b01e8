package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/partition"
	"junipershelf/scheduler"
)

const (
	// maxEvictingShare is the fraction of the machines, rounded down, that may be evicting at a
	// time. At least one always may.
	maxEvictingShare = 0.08
	// onDemandBonus sorts all on-demand machines before all spot ones: it exceeds the CPUs of any
	// machine.
	onDemandBonus = 1e6
)

// evictionCandidate is a machine that may be evicted.
type evictionCandidate struct {
	machine  *scheduler.Machine
	heldCPUs float64
}

// evictionOrder is the sort key of eviction: on-demand machines first, then those with the fewest held CPUs.
func (c *evictionCandidate) evictionOrder() float64 {
	if c.machine.Spot {
		return c.heldCPUs
	}
	return c.heldCPUs - onDemandBonus
}

// evictionSummary sums up the held and free CPUs of the fleet.
type evictionSummary struct {
	candidates []evictionCandidate
	heldCPUs   float64
	freeCPUs   float64 // on machines that are not being removed
	evicting   int     // evicting machines that still hold tasks
}

// evictionCandidates picks machines to evict while no job waits. The remaining machines must have
// free capacity for everything that the picked ones hold, plus the eviction headroom. Tasks with
// checkpoints are moved; the others run to their end on the evicting machine. Idle machines that
// are removed anyway and booting machines do not prevent evictions: a fleet of a thousand machines
// always has some, so otherwise nothing would ever be evicted.
func (a *Autoscaler) evictionCandidates(now time.Time, s *scheduler.Scheduler, idle []string) []string {
	summary := a.summarizeMachines(now, s, idle)
	slices.SortStableFunc(summary.candidates, func(x, y evictionCandidate) int { return cmp.Compare(x.evictionOrder(), y.evictionOrder()) })
	limit := max(1, int(maxEvictingShare*float64(len(s.Machines())))) - summary.evicting
	var picked []string
	for _, candidate := range summary.candidates {
		if len(picked) >= limit {
			break
		}
		// The remaining machines must take its tasks in addition to those of the machines picked before.
		summary.freeCPUs -= max(candidate.machine.FreeNow.CPUs, 0) + candidate.heldCPUs
		if summary.freeCPUs < a.cfg.EvictionHeadroom*summary.heldCPUs {
			break
		}
		picked = append(picked, candidate.machine.ID)
	}
	return picked
}

// summarizeMachines sums up the held and free CPUs, and finds the machines that may be evicted.
func (a *Autoscaler) summarizeMachines(now time.Time, s *scheduler.Scheduler, idle []string) evictionSummary {
	isIdle := map[string]bool{}
	for _, id := range idle {
		isIdle[id] = true
	}
	var summary evictionSummary
	for _, m := range s.Machines() {
		held := heldCPUs(m)
		summary.heldCPUs += held
		switch {
		case !m.Schedulable():
			if m.Evicting && held > 0 {
				summary.evicting++
			}
		case !isIdle[m.ID]:
			summary.freeCPUs += max(m.FreeNow.CPUs, 0)
			if held > 0 && a.mayEvict(now, s, m) {
				summary.candidates = append(summary.candidates, evictionCandidate{m, held})
			}
		}
	}
	return summary
}

// heldCPUs returns the CPUs of all tasks that a machine holds.
func heldCPUs(m *scheduler.Machine) float64 {
	cpus := 0.0
	for i := range m.Held {
		cpus += m.Held[i].Resources.CPUs * float64(m.Held[i].Tasks.Len())
	}
	return cpus
}

// mayEvict reports whether all tasks that a machine holds allow its eviction. Service replicas do
// not: moving one costs more than removing its machine saves. Tasks with checkpoints do not before
// they have run for MinRunBeforeStop, since a start that is stopped earlier does not count.
func (a *Autoscaler) mayEvict(now time.Time, s *scheduler.Scheduler, m *scheduler.Machine) bool {
	sinceSeen := now.Sub(m.LastSeen()).Seconds()
	for i := range m.Held {
		held := &m.Held[i]
		if s.IsService(held.Job) {
			return false
		}
		countsAsStarted := held.Phase == partition.PhaseRunning && held.PhaseS+sinceSeen >= a.cfg.MinRunBeforeStop.Seconds()
		if s.HasCheckpoints(held.Job) && !countsAsStarted {
			return false
		}
	}
	return true
}
