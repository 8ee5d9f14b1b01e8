package autoscaler

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/scheduler"
)

// idleMachines returns the machines whose idle time has reached its limit and that no waiting job
// could use, or that are surplus.
func (a *Autoscaler) idleMachines(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob, surplus map[Offer]int) []string {
	var idle []string
	usable := map[Offer]bool{} // whether a waiting job could use machines of the offer
	for _, m := range s.Machines() {
		if m.Evicting || !m.Reported || !a.isIdle(m, now) {
			continue
		}
		offer := offerOf(m)
		if _, known := usable[offer]; !known {
			usable[offer] = isUsable(offer, m.Capacity, s, waiting)
		}
		switch {
		case !usable[offer]:
			idle = append(idle, m.ID)
		case surplus[offer] > 0:
			surplus[offer]--
			idle = append(idle, m.ID)
		}
	}
	return idle
}

// surplus returns how many empty machines of each offer no waiting job needs, while the cloud has no capacity for
// others that a job does need. Otherwise empty machines would be kept for a job that can use no more of
// them, such as a gang that lacks a place in another zone, and take the cloud's capacity for the
// machine that the job waits for.
func (a *Autoscaler) surplus(left freeCapacity, waits []JobWait) map[Offer]int {
	surplus := map[Offer]int{}
	if !slices.ContainsFunc(waits, func(w JobWait) bool { return w.NoMachine > 0 && w.Obstacle == NoCapacity }) {
		return surplus
	}
	for _, offer := range left.offers() {
		if machineType := a.MachineType(offer.MachineType); machineType != nil {
			surplus[offer] = left.count(offer, Capacity(machineType))
		}
	}
	return surplus
}

// isUsable reports whether any waiting job could use machines of an offer.
func isUsable(offer Offer, capacity job.Resources, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) bool {
	return slices.ContainsFunc(waiting, func(w *scheduler.WaitingJob) bool {
		return offer.allows(w.Job) && w.Job.Resources().FitsIn(capacity) && s.WithinLimit(w.Job) && s.ZoneRoom(w, offer.Zone) > 0
	})
}

// isIdle reports whether a machine has been idle for at least its type's boot time multiplied by
// IdleFactor: machines that take longer to boot are kept for longer.
func (a *Autoscaler) isIdle(m *scheduler.Machine, now time.Time) bool {
	seconds, idle := m.IdleSeconds(now)
	if !idle {
		return false
	}
	limit := 0.0
	if machineType := a.MachineType(m.MachineType); machineType != nil {
		limit = machineType.BootS * a.cfg.IdleFactor
	}
	return seconds >= limit
}
