package scheduler

// ZoneAllowed tells whether a zone may take one more task of a job that waits.
func (s *Scheduler) ZoneAllowed(w *WaitingJob, zone string) bool {
	return w.entry == nil || w.entry.live == nil || s.zoneAllowed(w.entry, zone)
}

// zoneAllowed tells whether a zone may take one more task of a job.
func (s *Scheduler) zoneAllowed(e *jobEntry, zone string) bool {
	spec := &e.live.Spec
	if !spec.SameZone && !spec.SpreadZones {
		return true
	}
	n, all := 0, 0
	for z, k := range e.zones {
		if z == "" && k > 0 {
			return false // nobody knows where that task is
		}
		all += k
		if z == zone {
			n = k
		}
	}
	if spec.SameZone && n != all {
		return false
	}
	return !spec.SpreadZones || n < (spec.Tasks+1)/2
}
