package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

const (
	// maxRequest is how many machines one request may ask for.
	maxRequest = 50
	// offerBatch is how many machines of one offer are wanted before offers are compared
	// anew, so that zones are asked in turn.
	offerBatch = 4
)

// How offers are compared.
const (
	// bootCostS: a machine that takes this many seconds to boot counts as twice as expensive.
	bootCostS = 150
	// spreadCost spreads requests over zones: an offer already wanted costs a little more.
	spreadCost = 0.02
	// onDemandCost puts every machine on demand behind all spot ones.
	onDemandCost = 1e3
)

// pool is the room of each offer that is there or on its way.
type pool map[Offer]job.Resources

// add adds the room of a number of machines, or of tasks, of an offer.
func (p pool) add(offer Offer, each job.Resources, count int) {
	p[offer] = p[offer].Add(times(each.ClampToZero(), count))
}

// offers lists the offers of a pool in a fixed order.
func (p pool) offers() []Offer { return slices.SortedFunc(maps.Keys(p), compareOffers) }

// times returns resources multiplied by a count.
func times(each job.Resources, count int) job.Resources {
	n := float64(count)
	return job.Resources{CPUs: each.CPUs * n, Accelerators: each.Accelerators * n, MemoryGB: each.MemoryGB * n}
}

// catalogueOffer is an offer of the catalogue with what it costs and holds.
type catalogueOffer struct {
	Offer
	machineType *protocol.MachineType
	capacity    job.Resources
}

// catalogueOffers lists what the cloud offers, in the order of the catalogue, spot first.
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

// cost compares offers: by price for each task that a machine holds, with its boot time counted
// in, and by how many machines of the offer are wanted already.
func (o *catalogueOffer) cost(tasksPerMachine, wanted int) float64 {
	price := o.machineType.Price
	if o.Spot {
		price = o.machineType.SpotPrice
	}
	cost := price / float64(tasksPerMachine) * (1 + o.machineType.BootS/bootCostS) * (1 + spreadCost*float64(wanted))
	if !o.Spot {
		cost += onDemandCost
	}
	return cost
}

// scaleOutPlan finds the machines that waiting work needs beyond the room that there is.
type scaleOutPlan struct {
	*Autoscaler
	now       time.Time
	scheduler *scheduler.Scheduler
	catalogue []catalogueOffer
	room      pool                  // not yet reserved for a job
	offers    []Offer               // of room, in the order in which it is reserved
	headroom  map[int]job.Resources // by team: what it may still hold
	wanted    map[Offer]int         // machines to request
}

// scaleOut returns the requests for what waiting work needs beyond the room that there is.
func (a *Autoscaler) scaleOut(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob, room pool) []Request {
	plan := scaleOutPlan{
		Autoscaler: a, now: now, scheduler: s, catalogue: catalogueOffers(a.Catalogue),
		room: room, offers: room.offers(), headroom: map[int]job.Resources{}, wanted: map[Offer]int{},
	}
	for _, w := range waiting {
		tasks := plan.takeHeadroom(w)
		tasks -= plan.reserveRoom(w, tasks)
		plan.wantMachines(w, tasks)
	}
	return requestsFor(plan.wanted)
}

// takeHeadroom returns how many tasks of a job want room within its team's limit, and takes
// them off the team's headroom. Tasks that queue on full machines want room as well: a team at
// its limit once held a part of it in queues, and nothing was requested for those.
func (p *scaleOutPlan) takeHeadroom(w *scheduler.WaitingJob) int {
	left, known := p.headroom[w.Team]
	if !known {
		left = teamHeadroom(&p.scheduler.Teams[w.Team])
	}
	need := w.Job.Resources()
	tasks := min(w.Tasks+p.scheduler.QueuedTasks(w.Job.Spec.UID), need.Count(left))
	need.MemoryGB = 0
	p.headroom[w.Team] = left.Sub(times(need, tasks))
	return tasks
}

// teamHeadroom returns what a team may hold beyond what runs. Memory has no limit.
func teamHeadroom(team *scheduler.Team) job.Resources {
	left := team.Limit.Sub(team.Used())
	left.MemoryGB = math.Inf(1)
	left.CPUs += team.QueuedCPUs()
	return left
}

// reserveRoom reserves room for tasks of a job and returns for how many there was some.
func (p *scaleOutPlan) reserveRoom(w *scheduler.WaitingJob, tasks int) int {
	need := w.Job.Resources()
	reserved := 0
	for _, offer := range p.offers {
		if reserved >= tasks {
			break
		}
		// Room in a zone that may have no more of a job is none for it: replicas to be
		// spread once waited beside idle machines of the wrong zone, and none was requested.
		if !offer.allows(w.Job) || !p.scheduler.ZoneAllowed(w, offer.Zone) {
			continue
		}
		count := min(tasks-reserved, need.Count(p.room[offer]))
		p.room[offer] = p.room[offer].Sub(times(need, count))
		reserved += count
	}
	return reserved
}

// wantMachines adds the machines for tasks of a job that found no room, a batch of the cheapest
// offer at a time. What these have room for beyond the tasks is there for the next jobs.
func (p *scaleOutPlan) wantMachines(w *scheduler.WaitingJob, tasks int) {
	need := w.Job.Resources()
	for tasks > 0 {
		offer := p.cheapestOffer(w, need)
		if offer == nil {
			return
		}
		perMachine := need.Count(offer.capacity)
		count := min((tasks+perMachine-1)/perMachine, offerBatch)
		p.wanted[offer.Offer] += count
		tasks -= count * perMachine
		if tasks < 0 {
			p.addRoom(offer.Offer, need, -tasks)
		}
	}
}

// addRoom adds the room of a number of tasks on machines that are wanted.
func (p *scaleOutPlan) addRoom(offer Offer, perTask job.Resources, tasks int) {
	if _, known := p.room[offer]; !known {
		p.offers = append(p.offers, offer)
	}
	p.room.add(offer, perTask, tasks)
}

// cheapestOffer returns the cheapest offer for a waiting job, nil if none may be requested.
func (p *scaleOutPlan) cheapestOffer(w *scheduler.WaitingJob, need job.Resources) *catalogueOffer {
	var cheapest *catalogueOffer
	lowest := math.Inf(1)
	for i := range p.catalogue {
		offer := &p.catalogue[i]
		tasksPerMachine := need.Count(offer.capacity)
		if tasksPerMachine == 0 || !p.mayRequest(offer, w) {
			continue
		}
		if cost := offer.cost(tasksPerMachine, p.wanted[offer.Offer]); cost < lowest {
			cheapest, lowest = offer, cost
		}
	}
	return cheapest
}

// mayRequest reports whether an offer may be requested for a job now. Work that may run on spot
// machines waits for them first, and only some priorities get machines on demand at all.
func (p *scaleOutPlan) mayRequest(offer *catalogueOffer, w *scheduler.WaitingJob) bool {
	if !offer.allows(w.Job) || !p.scheduler.ZoneAllowed(w, offer.Zone) || p.now.Before(p.requests.pausedUntil[offer.Offer]) {
		return false
	}
	if offer.Spot {
		return offer.machineType.SpotPrice > 0
	}
	return !w.Job.Spec.SpotAllowed || w.PriorityRank <= p.cfg.OnDemandRank && w.Age >= p.cfg.OnDemandWait
}

// requestsFor splits what is wanted into requests of what one may ask for.
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
