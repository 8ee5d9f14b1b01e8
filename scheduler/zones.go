package scheduler

// zoneAllowed reports whether one more task of the waiting job may run in a zone.
func (w *WaitingJob) zoneAllowed(zone string) bool {
	return w.entry == nil || w.entry.live == nil || w.entry.zoneAllowed(zone)
}

// zoneAllowed reports whether one more task of a live job may run in a zone. With SameZone, it may run
// only in the zone of the job's other tasks; with SpreadZones, only in a zone that then has at most
// half of the job's tasks, rounded up.
func (e *jobEntry) zoneAllowed(zone string) bool {
	spec := &e.live.Spec
	if !spec.SameZone && !spec.SpreadZones {
		return true
	}
	inZone, all := 0, 0
	for name, tasks := range e.zones {
		if name == "" && tasks > 0 {
			return false // a task is in an unknown zone
		}
		all += tasks
		if name == zone {
			inZone = tasks
		}
	}
	if spec.SameZone && inZone != all {
		return false
	}
	return !spec.SpreadZones || inZone < (spec.Tasks+1)/2
}
