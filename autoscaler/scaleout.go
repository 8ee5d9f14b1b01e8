package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

const (
	// maxRequest is the maximum number of machines of one request to the cloud.
	maxRequest = 50
	// offerBatch is the number of machines of one offer after which offers are compared again, so
	// that requests rotate over the zones.
	offerBatch = 4
)

// Weights in the cost of an offer.
const (
	// doubleCostBootS is the boot time in seconds that doubles the cost of an offer.
	doubleCostBootS = 150
	// spreadPenalty spreads requests over zones: it raises the cost of an offer by this fraction for
	// each machine of it already wanted.
	spreadPenalty = 0.02
	// onDemandPenalty makes every on-demand offer cost more than all spot offers.
	onDemandPenalty = 1e3
)

// catalogueOffer is an offer of the catalogue with its machine type and capacity.
type catalogueOffer struct {
	Offer
	machineType *protocol.MachineType
	capacity    job.Resources
}

// catalogueOffers lists the offers in the order of the catalogue and of each type's zones, spot before
// on-demand.
func catalogueOffers(catalogue []protocol.MachineType) []catalogueOffer {
	var offers []catalogueOffer
	for i := range catalogue {
		machineType := &catalogue[i]
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				offers = append(offers, catalogueOffer{Offer{machineType.Name, zone, spot}, machineType, Capacity(machineType)})
			}
		}
	}
	return offers
}

// cost returns the cost by which offers are compared: the price per task, raised for the boot time
// and for the machines of the offer that are already wanted.
func (o *catalogueOffer) cost(tasksPerMachine, wanted int) float64 {
	price := o.machineType.Price
	if o.Spot {
		price = o.machineType.SpotPrice
	}
	cost := price / float64(tasksPerMachine) * (1 + o.machineType.BootS/doubleCostBootS) * (1 + spreadPenalty*float64(wanted))
	if !o.Spot {
		cost += onDemandPenalty
	}
	return cost
}

// scaleOutPlan computes the machines that waiting jobs need beyond the available capacity.
type scaleOutPlan struct {
	*Autoscaler
	now       time.Time
	scheduler *scheduler.Scheduler
	catalogue []catalogueOffer
	available freeCapacity          // not yet reserved for a job
	offers    []Offer               // keys of available, in the order in which their capacity is reserved
	headroom  map[int]job.Resources // resources that each team may still use within its limit
	wanted    map[Offer]int         // machines to request
}

// scaleOut returns the requests for machines that waiting jobs need beyond the available capacity.
func (a *Autoscaler) scaleOut(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob, available freeCapacity) []Request {
	plan := scaleOutPlan{
		Autoscaler: a, now: now, scheduler: s, catalogue: catalogueOffers(a.Catalogue),
		available: available, offers: available.offers(), headroom: map[int]job.Resources{}, wanted: map[Offer]int{},
	}
	for _, w := range waiting {
		plan.serve(w)
	}
	return requestsFor(plan.wanted)
}

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

// serve reserves available capacity for a waiting job, and adds machines for the rest.
func (p *scaleOutPlan) serve(w *scheduler.WaitingJob) {
	d := demand{WaitingJob: w, need: w.Job.Resources(), tasks: p.takeHeadroom(w), reserved: map[string]int{}}
	if w.Job.Spec.SameZone {
		d.zone = p.zoneFor(&d)
	}
	p.reserveCapacity(&d)
	p.addMachines(&d)
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

// takeHeadroom returns how many tasks of a job need capacity within its team's limit, and deducts
// them from the team's headroom. Tasks queued on full machines are included: otherwise a team at
// its limit would get no machines for its queued tasks.
func (p *scaleOutPlan) takeHeadroom(w *scheduler.WaitingJob) int {
	remaining, known := p.headroom[w.Team]
	if !known {
		remaining = teamHeadroom(&p.scheduler.Teams[w.Team])
	}
	need := w.Job.Resources()
	tasks := min(w.Tasks+p.scheduler.QueuedTasks(w.Job.Spec.UID), need.FitCount(remaining))
	need.MemoryGB = 0
	p.headroom[w.Team] = remaining.Sub(times(need, tasks))
	return tasks
}

// teamHeadroom returns the team's limit less the resources of its running tasks. Memory has no limit.
func teamHeadroom(team *scheduler.Team) job.Resources {
	remaining := team.Limit.Sub(team.Used()).Add(team.Queued())
	remaining.MemoryGB = math.Inf(1)
	return remaining
}

// reserveCapacity reserves available capacity for the tasks of a job.
func (p *scaleOutPlan) reserveCapacity(d *demand) {
	for _, offer := range p.offers {
		if d.tasks <= 0 {
			return
		}
		if room := p.zoneRoom(d, offer.Zone); room > 0 && offer.allows(d.Job) {
			d.take(offer.Zone, p.available.reserve(offer, d.need, min(d.tasks, room)))
		}
	}
}

// take records that some of the tasks have a place in a zone.
func (d *demand) take(zone string, tasks int) {
	d.tasks -= tasks
	d.reserved[zone] += tasks
}

// addMachines adds machines for the tasks of a job that did not fit, a batch of the cheapest offer
// at a time. What is left free on these machines is available to the next jobs.
func (p *scaleOutPlan) addMachines(d *demand) {
	for d.tasks > 0 {
		offer := p.cheapestOffer(d)
		if offer == nil {
			return
		}
		tasks := min(d.tasks, p.zoneRoom(d, offer.Zone))
		perMachine := d.need.FitCount(offer.capacity)
		count := min((tasks+perMachine-1)/perMachine, offerBatch)
		p.wanted[offer.Offer] += count
		d.take(offer.Zone, p.available.addInUse(offer.Offer, offer.capacity, count, d.need, tasks))
		if !slices.Contains(p.offers, offer.Offer) {
			p.offers = append(p.offers, offer.Offer)
		}
	}
}

// cheapestOffer returns the cheapest offer for a waiting job, nil if none may be requested.
func (p *scaleOutPlan) cheapestOffer(d *demand) *catalogueOffer {
	var cheapest *catalogueOffer
	lowest := math.Inf(1)
	for i := range p.catalogue {
		offer := &p.catalogue[i]
		tasksPerMachine := d.need.FitCount(offer.capacity)
		if tasksPerMachine == 0 || !p.mayRequest(offer, d) {
			continue
		}
		if cost := offer.cost(tasksPerMachine, p.wanted[offer.Offer]); cost < lowest {
			cheapest, lowest = offer, cost
		}
	}
	return cheapest
}

// mayRequest reports whether an offer may be requested for a job now. A job that allows spot machines
// gets on-demand ones only after OnDemandWait, and only at priority ranks up to OnDemandRank.
func (p *scaleOutPlan) mayRequest(offer *catalogueOffer, d *demand) bool {
	if !offer.allows(d.Job) || p.zoneRoom(d, offer.Zone) <= 0 || p.now.Before(p.requests.pausedUntil[offer.Offer]) {
		return false
	}
	if offer.Spot {
		return offer.machineType.SpotPrice > 0
	}
	return !d.Job.Spec.SpotAllowed || d.PriorityRank <= p.cfg.OnDemandRank && d.Age >= p.cfg.OnDemandWait
}

// requestsFor splits the wanted machines into requests of at most maxRequest machines.
func requestsFor(wanted map[Offer]int) []Request {
	var requests []Request
	for offer, count := range wanted {
		for ; count > 0; count -= maxRequest {
			requests = append(requests, Request{offer, min(count, maxRequest)})
		}
	}
	slices.SortFunc(requests, func(a, b Request) int {
		return cmp.Or(compareOffers(a.Offer, b.Offer), cmp.Compare(b.Count, a.Count))
	})
	return requests
}
