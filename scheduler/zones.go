package scheduler

// zoneAllowed reports whether a zone may take one more task of the job that waits.
func (w *WaitingJob) zoneAllowed(zone string) bool {
	return w.entry == nil || w.entry.live == nil || w.entry.zoneAllowed(zone)
}

// zoneAllowed reports whether a zone may take one more task of a live job: any, that of the
// job's other tasks, or one that has no more than half of them.
func (e *jobEntry) zoneAllowed(zone string) bool {
	spec := &e.live.Spec
	if !spec.SameZone && !spec.SpreadZones {
		return true
	}
	inZone, all := 0, 0
	for name, tasks := range e.zones {
		if name == "" && tasks > 0 {
			return false // nobody knows where that task is
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
