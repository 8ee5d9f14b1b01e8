package controller

import (
	"time"

	"junipershelf/scheduler"
	"junipershelf/settings"
)

// guaranteeWithin returns the time within which tasks covered by a team's guarantee must start: the
// shortest of the guarantee objectives, or 0 if there are none.
func guaranteeWithin(objectives []settings.Objective) (shortest time.Duration) {
	for _, o := range objectives {
		if o.Kind != settings.ObjectiveGuarantee {
			continue
		}
		if within := settings.Seconds(o.WithinS); shortest == 0 || within < shortest {
			shortest = within
		}
	}
	return shortest
}

// targetsByClass converts the objectives of each job class to scheduler targets, by class.
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
			continue // a guarantee is not tied to a class, see guaranteeWithin
		}
		out[o.Class] = append(out[o.Class], t)
	}
	return out
}
