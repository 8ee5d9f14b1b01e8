package autoscaler

import (
	"cmp"
	"math"
	"slices"

	"junipershelf/job"
	"junipershelf/scheduler"
)

// demand is the tasks of a waiting job that need capacity, and where they may run.
type demand struct {
	*scheduler.WaitingJob
	need     job.Resources  // of each task
	tasks    int            // without a place so far
	zone     string         // the only zone for a job that must be in one; anyZone: not restricted
	reserved map[string]int // places found so far, by zone
}

// anyZone stands for all zones.
const anyZone = ""

// take records that some of the tasks have a place in a zone.
func (d *demand) take(zone string, tasks int) {
	d.tasks -= tasks
	d.reserved[zone] += tasks
}

// zoneRoom returns how many more tasks of a job may run in a zone. Capacity in zones that are closed to
// it is no room: otherwise replicas that must be spread would wait while machines in the
// wrong zone are idle, and no machine would be requested.
func (p *scaleOutPlan) zoneRoom(d *demand, zone string) int {
	if d.zone != anyZone && d.zone != zone {
		return 0
	}
	room := p.scheduler.ZoneRoom(d.WaitingJob, zone)
	if room < math.MaxInt {
		room -= d.reserved[zone]
	}
	return room
}

// zoneFor chooses the zone for a job that must be in one: the zone with the most places in which there are
// enough, or in which machines may be requested. Without this choice, capacity in several zones
// would count as room for a gang, which then waits in all of them.
func (p *scaleOutPlan) zoneFor(d *demand) string {
	zones := p.zonesByPlaces(d)
	for _, candidate := range zones {
		restricted := *d
		restricted.zone = candidate.zone
		if candidate.places >= d.tasks || p.cheapestOffer(&restricted) != nil {
			return candidate.zone
		}
	}
	if len(zones) == 0 {
		return anyZone
	}
	return zones[0].zone
}

// zonePlaces is a zone with the number of a job's tasks that have a place there.
type zonePlaces struct {
	zone   string
	places int
}

// zonesByPlaces lists the zones that are open to a job, those with the most places first.
func (p *scaleOutPlan) zonesByPlaces(d *demand) (zones []zonePlaces) {
	places := map[string]int{}
	for i := range p.catalogue {
		places[p.catalogue[i].Zone] = 0
	}
	for _, offer := range p.offers {
		if offer.allows(d.Job) {
			places[offer.Zone] += p.available.fits(offer, d.need, d.tasks)
		}
	}
	for zone, count := range places {
		if p.zoneRoom(d, zone) > 0 {
			zones = append(zones, zonePlaces{zone, count})
		}
	}
	slices.SortFunc(zones, func(a, b zonePlaces) int {
		return cmp.Or(cmp.Compare(b.places, a.places), cmp.Compare(a.zone, b.zone))
	})
	return zones
}
