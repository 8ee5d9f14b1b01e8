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
	waits     []JobWait             // of the jobs served so far
}

// scaleOut returns the requests for machines that waiting jobs need beyond the available capacity, and what
// the jobs wait for.
func (a *Autoscaler) scaleOut(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob, available freeCapacity) ([]Request, []JobWait) {
	plan := scaleOutPlan{
		Autoscaler: a, now: now, scheduler: s, catalogue: catalogueOffers(a.Catalogue),
		available: available, offers: available.offers(), headroom: map[int]job.Resources{}, wanted: map[Offer]int{},
	}
	for _, w := range waiting {
		plan.serve(w)
	}
	return requestsFor(plan.wanted), plan.waits
}

// serve reserves available capacity for a waiting job, and adds machines for the rest.
func (p *scaleOutPlan) serve(w *scheduler.WaitingJob) {
	waiting := w.Tasks + p.scheduler.QueuedTasks(w.Job.Spec.UID)
	if waiting == 0 {
		return
	}
	d := demand{WaitingJob: w, need: w.Job.Resources(), tasks: p.takeHeadroom(w, waiting), reserved: map[string]int{}}
	wait := JobWait{Job: w.Job.Spec.UID, Age: w.Age, TeamLimit: waiting - d.tasks}
	if w.Job.Spec.SameZone {
		d.zone = p.zoneFor(&d)
	}
	wait.Place = p.reserveCapacity(&d)
	wait.Requested = p.addMachines(&d)
	if wait.NoMachine = d.tasks; d.tasks > 0 {
		wait.Obstacle = p.obstacleTo(&d)
	}
	p.waits = append(p.waits, wait)
}

// takeHeadroom returns how many of a job's waiting tasks need capacity within its team's limit, and deducts
// them from the team's headroom. Tasks queued on full machines are among the waiting ones: otherwise a
// team at its limit would get no machines for its queued tasks.
func (p *scaleOutPlan) takeHeadroom(w *scheduler.WaitingJob, waiting int) int {
	remaining, known := p.headroom[w.Team]
	if !known {
		remaining = teamHeadroom(&p.scheduler.Teams[w.Team])
	}
	need := w.Job.Resources()
	tasks := min(waiting, need.FitCount(remaining))
	if w.Job.Spec.Shape == protocol.ShapeGang && tasks < waiting {
		tasks = 0 // a part of a gang cannot run
	}
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

// reserveCapacity reserves available capacity for the tasks of a job, and returns for how many.
func (p *scaleOutPlan) reserveCapacity(d *demand) (reserved int) {
	before := d.tasks
	for _, offer := range p.offers {
		if d.tasks <= 0 {
			break
		}
		if room := p.zoneRoom(d, offer.Zone); room > 0 && offer.allows(d.Job) {
			d.take(offer.Zone, p.available.reserve(offer, d.need, min(d.tasks, room)))
		}
	}
	return before - d.tasks
}

// addMachines adds machines for the tasks of a job that did not fit, a batch of the cheapest offer
// at a time, and returns for how many tasks. What is left free on these machines is available to the
// next jobs.
func (p *scaleOutPlan) addMachines(d *demand) (placed int) {
	before := d.tasks
	for d.tasks > 0 {
		offer := p.cheapestOffer(d)
		if offer == nil {
			break
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
	return before - d.tasks
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

// mayRequest reports whether an offer may be requested for a job now.
func (p *scaleOutPlan) mayRequest(offer *catalogueOffer, d *demand) bool {
	if !offer.allows(d.Job) || p.zoneRoom(d, offer.Zone) <= 0 || p.now.Before(p.requests.pausedUntil[offer.Offer]) {
		return false
	}
	return p.policyAllows(offer, d) && (!offer.Spot || offer.machineType.SpotPrice > 0)
}

// policyAllows reports whether the policy allows an offer for a job now: a job that allows spot machines gets
// on-demand ones only after OnDemandWait, and only at priority ranks up to OnDemandRank.
func (p *scaleOutPlan) policyAllows(offer *catalogueOffer, d *demand) bool {
	return offer.Spot || !d.Job.Spec.SpotAllowed || d.PriorityRank <= p.cfg.OnDemandRank && d.Age >= p.cfg.OnDemandWait
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
