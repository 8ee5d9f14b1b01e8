package controller

import (
	"time"

	"junipershelf/scheduler"
	"junipershelf/settings"
)

// guaranteeWithin is the time within which work inside a guarantee is to start: the nearest
// of its objectives, 0 without any.
func guaranteeWithin(objectives []settings.Objective) (nearest time.Duration) {
	for _, o := range objectives {
		if o.Kind != settings.ObjectiveGuarantee {
			continue
		}
		if within := settings.Seconds(o.WithinS); nearest == 0 || within < nearest {
			nearest = within
		}
	}
	return nearest
}

// targetsByClass returns the objectives of each class of jobs as the scheduler's targets.
func targetsByClass(objectives []settings.Objective) map[string][]scheduler.Target {
	out := map[string][]scheduler.Target{}
	for _, o := range objectives {
		t := scheduler.Target{Within: settings.Seconds(o.WithinS)}
		switch o.Kind {
		case settings.ObjectiveDeadline:
			t.Times = o.DeadlineFactor
		case settings.ObjectiveWait:
			t.Start = true
		case settings.ObjectiveFinished:
		default:
			continue // a guarantee belongs to no class, see guaranteeWithin
		}
		out[o.Class] = append(out[o.Class], t)
	}
	return out
}
