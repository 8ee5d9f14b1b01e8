package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/partition"
	"junipershelf/scheduler"
)

const (
	// maxEvictingShare is the part of the machines that may be evicted at a time: one at least.
	maxEvictingShare = 0.08
	// onDemandBonus puts every machine on demand before all spot ones; more CPUs than a machine has.
	onDemandBonus = 1e6
)

// evictionCandidate is a machine that may be evicted.
type evictionCandidate struct {
	machine  *scheduler.Machine
	heldCPUs float64
}

// order is lower for machines that go first: those on demand, then the emptiest.
func (c *evictionCandidate) order() float64 {
	if c.machine.Spot {
		return c.heldCPUs
	}
	return c.heldCPUs - onDemandBonus
}

// evictionSurvey is what machines hold and have free, when nothing waits.
type evictionSurvey struct {
	candidates []evictionCandidate
	heldCPUs   float64
	freeCPUs   float64 // on machines that stay
	evicting   int     // machines that are not empty yet
}

// evictionCandidates picks machines to evict when nothing waits and the others have room for
// all that they run, with some to spare. Tasks with checkpoints are moved; the others end
// where they are. Idle machines that go anyway, and machines that still boot, are no reason to
// wait: of a thousand there is always one, and once nothing was evicted for that.
func (a *Autoscaler) evictionCandidates(now time.Time, s *scheduler.Scheduler, idle []string) []string {
	survey := a.surveyMachines(now, s, idle)
	slices.SortStableFunc(survey.candidates, func(x, y evictionCandidate) int { return cmp.Compare(x.order(), y.order()) })
	limit := max(1, int(maxEvictingShare*float64(len(s.Machines())))) - survey.evicting
	var picked []string
	for _, candidate := range survey.candidates {
		if len(picked) >= limit {
			break
		}
		// The others must have room for it, beside what was picked before.
		survey.freeCPUs -= max(candidate.machine.FreeNow.CPUs, 0) + candidate.heldCPUs
		if survey.freeCPUs < a.cfg.EvictionHeadroom*survey.heldCPUs {
			break
		}
		picked = append(picked, candidate.machine.ID)
	}
	return picked
}

// surveyMachines sums up what machines hold and have free, and finds those that may be evicted.
func (a *Autoscaler) surveyMachines(now time.Time, s *scheduler.Scheduler, idle []string) evictionSurvey {
	isLeaving := map[string]bool{}
	for _, id := range idle {
		isLeaving[id] = true
	}
	var survey evictionSurvey
	for _, m := range s.Machines() {
		held := heldCPUs(m)
		survey.heldCPUs += held
		switch {
		case !m.Schedulable():
			if m.Evicting && held > 0 {
				survey.evicting++
			}
		case !isLeaving[m.ID]:
			survey.freeCPUs += max(m.FreeNow.CPUs, 0)
			if held > 0 && a.mayEvict(now, s, m) {
				survey.candidates = append(survey.candidates, evictionCandidate{m, held})
			}
		}
	}
	return survey
}

// heldCPUs returns the CPUs of all that a machine holds.
func heldCPUs(m *scheduler.Machine) float64 {
	cpus := 0.0
	for i := range m.Held {
		cpus += m.Held[i].Resources.CPUs * float64(m.Held[i].Tasks.Len())
	}
	return cpus
}

// mayEvict reports whether nothing that a machine holds speaks against its eviction. To move a
// replica costs more than its machine saves, and a start that is stopped too early does not
// count.
func (a *Autoscaler) mayEvict(now time.Time, s *scheduler.Scheduler, m *scheduler.Machine) bool {
	sinceSeen := now.Sub(m.LastSeen()).Seconds()
	for i := range m.Held {
		held := &m.Held[i]
		if s.IsService(held.Job) {
			return false
		}
		startCounts := held.Phase == partition.PhaseRunning && held.PhaseS+sinceSeen >= a.cfg.MinRunBeforeStop.Seconds()
		if s.HasCheckpoints(held.Job) && !startCounts {
			return false
		}
	}
	return true
}
