package autoscaler

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/scheduler"
)

// idleMachines returns the machines whose idle time has reached its limit and that no waiting job
// could use.
func (a *Autoscaler) idleMachines(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) []string {
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
		if !usable[offer] {
			idle = append(idle, m.ID)
		}
	}
	return idle
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
