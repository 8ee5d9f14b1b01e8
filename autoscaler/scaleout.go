package autoscaler

import (
	"math"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// maxRequest is the most machines that one request may ask for.
const maxRequest = 50

// pool is the room of an offer that is there or on its way.
type pool map[Offer]job.Resources

func (p pool) add(o Offer, n job.Resources, count int) {
	k := float64(count)
	p[o] = p[o].Add(job.Resources{CPUs: max(n.CPUs, 0) * k, Accelerators: max(n.Accelerators, 0) * k, MemoryGB: max(n.MemoryGB, 0) * k})
}

// offers lists the offers of a pool in a fixed order.
func (p pool) offers() []Offer {
	out := make([]Offer, 0, len(p))
	for o := range p {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i], out[j]) })
	return out
}

// reserve takes room for tasks and tells how many found none.
func (p pool) reserve(l *job.CachedJob, offers []Offer, slots int, zoneOK func(string) bool) int {
	need := l.Resources()
	for _, o := range offers {
		if slots <= 0 {
			break
		}
		// Room in a zone that may have no more of a job is none for it: replicas to be
		// spread once waited beside idle machines of the wrong zone, and none was rented.
		if !job.AllowsMachine(&l.Spec, job.MachineKind(o)) || !zoneOK(o.Zone) {
			continue
		}
		k := min(slots, need.Count(p[o]))
		p[o] = p[o].Sub(job.Resources{CPUs: need.CPUs * float64(k), Accelerators: need.Accelerators * float64(k), MemoryGB: need.MemoryGB * float64(k)})
		slots -= k
	}
	return slots
}

// wantedOffers gives how many machines of each offer waiting work needs beyond the room that
// there is.
func (p *Autoscaler) wantedOffers(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob, have pool) map[Offer]int {
	offers := have.offers()
	want := map[Offer]int{}
	head := map[int]job.Resources{} // what each team may still hold
	for _, w := range waiting {
		need := w.Job.Resources()
		left, known := head[w.Team]
		if !known {
			left = teamHeadroom(&s.Teams[w.Team])
		}
		n := min(w.Tasks+s.QueuedTasks(w.Job.Spec.UID), need.Count(left))
		head[w.Team] = left.Sub(job.Resources{CPUs: need.CPUs * float64(n), Accelerators: need.Accelerators * float64(n)})
		zoneAllowed := func(zone string) bool { return s.ZoneAllowed(w, zone) }
		slots := have.reserve(w.Job, offers, n, zoneAllowed)
		for slots > 0 {
			o, capacity, ok := p.cheapestOffer(now, w, need, want, zoneAllowed)
			if !ok {
				break
			}
			perMachine := need.Count(capacity)
			count := min((slots+perMachine-1)/perMachine, offerBatch)
			want[o] += count
			slots -= count * perMachine
			if slots < 0 {
				if _, seen := have[o]; !seen {
					offers = append(offers, o)
				}
				have.add(o, need, -slots)
			}
		}
	}
	return want
}

// teamHeadroom is what a team may hold beyond what it holds. Tasks that queue on full
// machines want room as well: a team at its limit once held a part of it in queues, and
// nothing was rented for those.
func teamHeadroom(t *scheduler.Team) job.Resources {
	left := t.Limit.Sub(t.Used())
	left.MemoryGB = math.Inf(1)
	left.CPUs += t.QueuedCPUs()
	return left
}

// requestsOf makes calls of what is wanted.
func requestsOf(want map[Offer]int) (requests []Request) {
	for o, n := range want {
		for ; n > 0; n -= maxRequest {
			requests = append(requests, Request{o, min(n, maxRequest)})
		}
	}
	sort.Slice(requests, func(i, j int) bool {
		if requests[i].Offer != requests[j].Offer {
			return less(requests[i].Offer, requests[j].Offer)
		}
		return requests[i].Count > requests[j].Count
	})
	return requests
}

// offerBatch is how many machines of one offer are wanted before offers are compared
// anew, so that zones are asked in turn.
const offerBatch = 4

func less(a, b Offer) bool {
	if a.MachineType != b.MachineType {
		return a.MachineType < b.MachineType
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Spot && !b.Spot
}

// How offers are compared.
const (
	// bootCostS: a machine that takes so long to boot counts as twice as dear.
	bootCostS = 150
	// spreadCost spreads rentals over zones: one already asked for costs a little more.
	spreadCost = 0.02
	// onDemandCost puts every machine on demand behind all spot ones.
	onDemandCost = 1e3
)

// cheapestOffer is the cheapest offer for a waiting job, by price for each task that a
// machine holds and with its boot time counted in.
func (p *Autoscaler) cheapestOffer(now time.Time, w *scheduler.WaitingJob, need job.Resources, want map[Offer]int, zoneAllowed func(string) bool) (best Offer, capacity job.Resources, ok bool) {
	lowest := math.Inf(1)
	for i := range p.Catalogue {
		t := &p.Catalogue[i]
		slots := need.Count(Capacity(t))
		if slots == 0 {
			continue
		}
		for _, zone := range t.Zones {
			if !zoneAllowed(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, zone, spot}
				if !p.mayRent(now, o, w, t) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				cost := price / float64(slots) * (1 + t.BootS/bootCostS) * (1 + spreadCost*float64(want[o]))
				if !spot {
					cost += onDemandCost
				}
				if cost < lowest {
					best, capacity, lowest = o, Capacity(t), cost
				}
			}
		}
	}
	return best, capacity, !math.IsInf(lowest, 1)
}

// mayRent tells whether an offer may be rented for a job now. Work that may run on spot
// machines waits for them first, and only some priorities rent others at all.
func (p *Autoscaler) mayRent(now time.Time, o Offer, w *scheduler.WaitingJob, t *protocol.MachineType) bool {
	if !job.AllowsMachine(&w.Job.Spec, job.MachineKind(o)) || now.Before(p.pausedUntil[o]) {
		return false
	}
	if o.Spot {
		return t.SpotPrice > 0
	}
	return !w.Job.Spec.SpotAllowed || w.PriorityRank <= p.cfg.OnDemandRank && w.Age >= p.cfg.OnDemandWait
}
