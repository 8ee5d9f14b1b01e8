package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/partition"
	"junipershelf/scheduler"
)

const (
	// maxRejectedCandidates is the number of machines whose tasks have no place elsewhere after which
	// a plan looks no further.
	maxRejectedCandidates = 32
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
	freeCPUs   float64      // on machines that are not being removed
	places     freeCapacity // on the same machines
	evicting   int          // evicting machines that still hold tasks
}

// evictionCandidates picks machines to evict while no job waits. The remaining machines must have
// free CPUs for everything that the picked ones hold, plus the eviction headroom, and a place for each
// task that has to move: tasks with checkpoints are stopped and continue elsewhere, and those that have
// not started start elsewhere. The others run to their end on the evicting machine. Machines that
// are booting, or are idle and removed anyway, do not prevent the eviction of others: a fleet of a
// thousand machines always has some, so otherwise nothing would ever be evicted.
func (a *Autoscaler) evictionCandidates(now time.Time, s *scheduler.Scheduler, idle []string) []string {
	summary := a.summarizeMachines(now, s, idle)
	slices.SortStableFunc(summary.candidates, func(x, y evictionCandidate) int { return cmp.Compare(x.evictionOrder(), y.evictionOrder()) })
	limit := max(1, int(maxEvictingShare*float64(len(s.Machines())))) - summary.evicting
	var picked []string
	rejected := 0
	for _, candidate := range summary.candidates {
		if len(picked) >= limit || rejected >= maxRejectedCandidates {
			break
		}
		// The remaining machines must take its tasks in addition to those of the machines picked before.
		freeCPUs := summary.freeCPUs - max(candidate.machine.FreeNow.CPUs, 0) - candidate.heldCPUs
		if freeCPUs < a.cfg.EvictionHeadroom*summary.heldCPUs {
			break
		}
		places, found := placesElsewhere(s, summary.places, candidate.machine)
		if !found {
			rejected++
			continue
		}
		summary.freeCPUs, summary.places = freeCPUs, places
		picked = append(picked, candidate.machine.ID)
	}
	return picked
}

// placesElsewhere reports whether each task that has to move off a machine has a place on another one, and
// returns the places that are left then.
func placesElsewhere(s *scheduler.Scheduler, places freeCapacity, m *scheduler.Machine) (left freeCapacity, found bool) {
	left = places.clone()
	if m.AcceptsTasksNow() && !left.remove(offerOf(m), m.FreeNow) {
		return nil, false // tasks of a machine that was picked before have their place here
	}
	for i := range m.Held {
		if held := &m.Held[i]; mustMove(s, held) && !reserveElsewhere(s, left, m, held) {
			return nil, false
		}
	}
	return left, true
}

// mustMove reports whether tasks on a machine that is evicted have to run elsewhere.
func mustMove(s *scheduler.Scheduler, held *partition.HeldTasks) bool {
	switch held.Phase {
	case partition.PhaseQueued, partition.PhaseStarting:
		return true
	case partition.PhaseRunning:
		return s.HasCheckpoints(held.Job)
	case partition.PhaseEnded:
	}
	return false
}

// reserveElsewhere reserves places for a group of held tasks of a machine, and reports whether there are
// enough. The tasks still count in their own zone, so zone constraints restrict only the other zones.
func reserveElsewhere(s *scheduler.Scheduler, places freeCapacity, m *scheduler.Machine, held *partition.HeldTasks) bool {
	live := s.Job(held.Job)
	if live == nil {
		return true // its job has ended
	}
	tasks := held.Tasks.Len()
	room := map[string]int{m.Zone: tasks}
	for _, offer := range places.offers() {
		if tasks <= 0 {
			break
		}
		if _, known := room[offer.Zone]; !known {
			room[offer.Zone] = s.ZoneRoomOfJob(held.Job, offer.Zone)
		}
		if !offer.allows(live) {
			continue
		}
		reserved := places.reserve(offer, held.Resources, min(tasks, room[offer.Zone]))
		room[offer.Zone] -= reserved
		tasks -= reserved
	}
	return tasks <= 0
}

// summarizeMachines sums up the held and free CPUs, and finds the machines that may be evicted.
func (a *Autoscaler) summarizeMachines(now time.Time, s *scheduler.Scheduler, idle []string) evictionSummary {
	isIdle := map[string]bool{}
	for _, id := range idle {
		isIdle[id] = true
	}
	summary := evictionSummary{places: freeCapacity{}}
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
			if m.AcceptsTasksNow() && !a.isFaulty(m, s) {
				summary.places.add(offerOf(m), m.FreeNow, 1)
			}
			if held > 0 && a.mayEvict(now, s, m) {
				summary.candidates = append(summary.candidates, evictionCandidate{m, held})
			}
		}
	}
	summary.places.compact()
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
