package scheduler

import "math"

// zoneRoom returns how many more tasks of the waiting job may run in a zone, see jobEntry.zoneRoom.
func (w *WaitingJob) zoneRoom(zone string) int {
	if w.entry == nil || w.entry.live == nil {
		return math.MaxInt
	}
	return w.entry.zoneRoom(zone)
}

// zoneAllowed reports whether one more task of the waiting job may run in a zone.
func (w *WaitingJob) zoneAllowed(zone string) bool { return w.zoneRoom(zone) > 0 }

// zoneAllowed reports whether one more task of a live job may run in a zone.
func (e *jobEntry) zoneAllowed(zone string) bool { return e.zoneRoom(zone) > 0 }

// zoneRoom returns how many more tasks of a live job may run in a zone, as its zone constraints have it.
// With SameZone, tasks may run only in the zone of the job's other tasks; with SpreadZones, a zone
// may have at most half of the job's tasks, rounded up.
func (e *jobEntry) zoneRoom(zone string) int {
	spec := &e.live.Spec
	if !spec.SameZone && !spec.SpreadZones {
		return math.MaxInt
	}
	inZone, all := 0, 0
	for name, tasks := range e.zones {
		if name == "" && tasks > 0 {
			return 0 // a task is in an unknown zone
		}
		all += tasks
		if name == zone {
			inZone = tasks
		}
	}
	switch {
	case spec.SameZone && inZone != all:
		return 0
	case spec.SpreadZones:
		return max((spec.Tasks+1)/2-inZone, 0)
	}
	return math.MaxInt
}
