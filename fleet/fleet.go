// Package fleet decides what to rent and what to return. It is pure: the
// leader's ledger, the cloud's lists and the time go in, rentals and leaves come
// out.
package fleet

import (
	"math"
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// Config holds the fleet's times and bounds.
type Config struct {
	IdleFactor      float64 // an idle machine goes after this part of its boot time
	BootFactor      float64 // a machine that boots this many times boot_s is given up
	BootSlack       time.Duration
	RefusalPause    time.Duration // after a refusal
	OnDemandRank    int           // urgencies up to this may rent ordinary machines
	OnDemandWait    time.Duration // after waiting this long with no spot to be had
	UnreportedLimit time.Duration // a machine listed as running that never reports
	ListLag         time.Duration
	Settle          time.Duration // a start that ran this long stands
	SpareRoom       float64       // room kept free when draining, as a part of what is held
}

// Offer is what can be rented.
type Offer struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Request asks for machines of an offer.
type Request struct {
	Offer
	Count int
}

// The states that the cloud lists machines in.
const (
	statusBooting = "booting"
	statusRunning = "running"
	statusFailed  = "failed"
)

// rented is a machine that is ours as far as the cloud has told.
type rented struct {
	Offer
	rentedAt     time.Time
	listed       bool
	lastListed   time.Time // last in a list
	runningSince time.Time // when we first saw it listed as running
	status       string
}

// Planner keeps what is known of rented machines.
type Planner struct {
	cfg         Config
	Catalogue   []protocol.MachineType
	rented      map[string]*rented
	pausedUntil map[Offer]time.Time
	refusals    map[Offer]int
	returned    map[string]time.Time
	listedAt    time.Time
	pending     map[Offer]int // asked for, not answered
}

// New makes a planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, rented: map[string]*rented{}, pausedUntil: map[Offer]time.Time{}, refusals: map[Offer]int{},
		returned: map[string]time.Time{}, pending: map[Offer]int{}}
}

// MachineType finds a type of the catalogue.
func (p *Planner) MachineType(label string) *protocol.MachineType {
	for i := range p.Catalogue {
		if p.Catalogue[i].Name == label {
			return &p.Catalogue[i]
		}
	}
	return nil
}

// Capacity is the size of a type.
func Capacity(f *protocol.MachineType) job.Resources {
	return job.Resources{CPUs: f.CPUs, Accelerators: f.Accelerators, MemoryGB: f.MemGB}
}

// RequestSent notes a rental that is under way; Hired, Refused and Unknown its end.
func (p *Planner) RequestSent(h Request) { p.pending[h.Offer] += h.Count }

// RequestGranted notes the machines that a rental brought.
func (p *Planner) RequestGranted(h Request, ids []string, now time.Time) {
	p.pending[h.Offer] -= h.Count
	for _, id := range ids {
		p.rented[id] = &rented{Offer: h.Offer, rentedAt: now, lastListed: now, status: statusBooting}
	}
	if len(ids) < h.Count {
		p.pausedUntil[h.Offer] = now.Add(p.cfg.RefusalPause)
	} else {
		p.refusals[h.Offer] = 0
	}
}

// RequestRefused notes that an offer has nothing to give.
func (p *Planner) RequestRefused(h Request, now time.Time) {
	p.pending[h.Offer] -= h.Count
	p.refusals[h.Offer]++
	p.pausedUntil[h.Offer] = now.Add(p.cfg.RefusalPause * time.Duration(min(p.refusals[h.Offer], 2)))
}

// RequestFailed notes a rental that came to nothing for another reason.
func (p *Planner) RequestFailed(h Request, now time.Time) {
	p.pending[h.Offer] -= h.Count
	p.pausedUntil[h.Offer] = now.Add(2 * time.Second)
}

// ObserveList takes the cloud's list.
func (p *Planner) ObserveList(now time.Time, hosts []protocol.RentedMachine) {
	p.listedAt = now
	in := map[string]bool{}
	for _, h := range hosts {
		in[h.ID] = true
		if _, gone := p.returned[h.ID]; gone {
			continue // the list lags
		}
		r := p.rented[h.ID]
		if r == nil {
			r = &rented{rentedAt: now.Add(-time.Duration(h.HeldS * float64(time.Second)))}
			p.rented[h.ID] = r
		}
		r.Offer = Offer{h.MachineType, h.Zone, h.Spot}
		r.listed, r.lastListed, r.status = true, now, h.Status
		if h.Status == statusRunning && r.runningSince.IsZero() {
			r.runningSince = now
		}
	}
	for id, r := range p.rented {
		if !in[id] && (r.listed && now.Sub(r.lastListed) > p.cfg.ListLag || now.Sub(r.lastListed) > 4*p.cfg.ListLag+5*time.Second) {
			delete(p.rented, id)
		}
	}
	for id, at := range p.returned {
		if now.Sub(at) > 5*time.Minute {
			delete(p.returned, id)
		}
	}
}

// MachinesReturned notes machines that are returned.
func (p *Planner) MachinesReturned(ids []string, now time.Time) {
	for _, id := range ids {
		if _, known := p.returned[id]; !known {
			p.returned[id] = now
		}
		delete(p.rented, id)
	}
}

// HasList tells whether a list has been seen.
func (p *Planner) HasList() bool { return !p.listedAt.IsZero() }

// maxRequest is the most machines that one request may ask for.
const maxRequest = 50

// pool is the room of an offer that is there or on its way.
type pool map[Offer]job.Resources

func (p pool) add(o Offer, n job.Resources, count int) {
	k := float64(count)
	p[o] = p[o].Plus(job.Resources{CPUs: max(n.CPUs, 0) * k, Accelerators: max(n.Accelerators, 0) * k, MemoryGB: max(n.MemoryGB, 0) * k})
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

// take takes room for tasks and tells how many found none.
func (p pool) take(l *job.Live, offers []Offer, slots int, zoneOK func(string) bool) int {
	need := l.Resources()
	for _, o := range offers {
		if slots <= 0 {
			break
		}
		// Room in a zone that may have no more of a job is none for it: replicas to be
		// spread once waited beside idle machines of the wrong zone, and none was rented.
		if !job.AllowsMachine(&l.Spec, o.MachineType, o.Zone, o.Spot) || !zoneOK(o.Zone) {
			continue
		}
		k := min(slots, need.Count(p[o]))
		p[o] = p[o].Minus(job.Resources{CPUs: need.CPUs * float64(k), Accelerators: need.Accelerators * float64(k), MemoryGB: need.MemoryGB * float64(k)})
		slots -= k
	}
	return slots
}

// Plan is what to rent and which machines to give back.
type Plan struct {
	Requests []Request
	Drain    []string // machines that take no more work and go once they are empty
	Discard  []string // machines to return at once
}

// Plan decides what to rent, which machines to drain, and which to return at once.
func (p *Planner) Plan(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) Plan {
	have, discard := p.unreported(now, s)
	for _, m := range s.Machines() {
		if r := p.rented[m.ID]; r != nil && r.status == statusFailed || s.Sick[m.ID] {
			discard = append(discard, m.ID)
			continue
		}
		// Only what is free now: what runs there keeps its room for longer than a boot, as
		// far as anybody knows.
		if m.Open() {
			have.add(Offer{m.MachineType, m.Zone, m.Spot}, m.FreeNow, 1)
		}
	}
	plan := Plan{Requests: requestsOf(p.wantedOffers(now, s, waiting, have)), Discard: discard}
	plan.Drain = p.idleMachines(now, s, waiting)
	if len(waiting) == 0 && len(plan.Requests) == 0 {
		plan.Drain = append(plan.Drain, p.drainCandidates(now, s, plan.Drain)...)
	}
	sort.Strings(plan.Discard)
	return plan
}

// unreported gives the room of machines that are on their way, and those of them that have
// failed or are given up.
func (p *Planner) unreported(now time.Time, s *scheduler.Scheduler) (have pool, discard []string) {
	have = pool{}
	for id, r := range p.rented {
		if m := s.Machine(id); m != nil && m.Reported {
			continue
		}
		t := p.MachineType(r.MachineType)
		if r.status == statusFailed {
			discard = append(discard, id)
			continue
		}
		if t == nil {
			continue
		}
		// A machine that is listed as running may not have found its owner yet: after a
		// change of leader that is so for the whole fleet, and its age says nothing of how
		// long it booted.
		limit := time.Duration(t.BootS*p.cfg.BootFactor*float64(time.Second)) + p.cfg.BootSlack
		neverBooted := r.runningSince.IsZero() && now.Sub(r.rentedAt) > limit
		neverReported := !r.runningSince.IsZero() && now.Sub(r.runningSince) > p.cfg.UnreportedLimit
		if neverBooted || neverReported {
			discard = append(discard, id)
			continue
		}
		have.add(r.Offer, Capacity(t), 1)
	}
	for o, n := range p.pending {
		if t := p.MachineType(o.MachineType); t != nil && n > 0 {
			have.add(o, Capacity(t), n)
		}
	}
	return have, discard
}

// wantedOffers gives how many machines of each offer waiting work needs beyond the room that
// there is.
func (p *Planner) wantedOffers(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob, have pool) map[Offer]int {
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
		head[w.Team] = left.Minus(job.Resources{CPUs: need.CPUs * float64(n), Accelerators: need.Accelerators * float64(n)})
		zoneAllowed := func(zone string) bool { return s.ZoneAllowed(w, zone) }
		slots := have.take(w.Job, offers, n, zoneAllowed)
		for slots > 0 {
			o, capacity, ok := p.cheapestOffer(now, w, w.PriorityRank, need, want, zoneAllowed)
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
	left := t.Limit.Minus(t.Used())
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

// idleMachines lists those that have been idle for long enough and that nothing that waits
// could use.
func (p *Planner) idleMachines(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) (idle []string) {
	for _, m := range s.Machines() {
		if m.Leaving || !m.Reported || m.IdleSeconds(now) < p.idleLimitS(m.MachineType) {
			continue
		}
		useful := slices.ContainsFunc(waiting, func(w *scheduler.WaitingJob) bool {
			return job.AllowsMachine(&w.Job.Spec, m.MachineType, m.Zone, m.Spot) && w.Job.Resources().FitsIn(m.Capacity) && s.WithinLimit(w.Job)
		})
		if !useful {
			idle = append(idle, m.ID)
		}
	}
	return idle
}

// offerBatch is how many machines of one offer are wanted before offers are compared
// anew, so that zones are asked in turn.
const offerBatch = 4

// maxDrainShare is the part of the fleet that may drain at a time: one machine at least.
const maxDrainShare = 0.08

// drainCandidates picks machines to drain when nothing waits and the others have room for
// all that they run, with some to spare. What saves its progress is moved; the
// rest ends where it is. Dear machines go first, then the emptiest. Idle ones that
// leave anyway, and machines that still boot, are no reason to wait: of a thousand
// there is always one, and once nothing was drained for that.
func (p *Planner) drainCandidates(now time.Time, d *scheduler.Scheduler, leave []string) (out []string) {
	type load struct {
		m    *scheduler.Machine
		used float64
		key  float64
	}
	var all []load
	free, held := 0.0, 0.0
	most := max(1, int(maxDrainShare*float64(len(d.Machines()))))
	for _, m := range d.Machines() {
		used := 0.0
		young := false // has a start that would not count if it were stopped now
		for i := range m.Held {
			h := &m.Held[i]
			used += h.Resources.CPUs * float64(h.Tasks.Len())
			if d.IsService(h.Job) {
				young = true // to move a replica costs more than its machine saves
			}
			if d.HasCheckpoints(h.Job) && (h.Phase != partition.PhaseRunning || h.PhaseS+now.Sub(m.ShownAt()).Seconds() < p.cfg.Settle.Seconds()) {
				young = true
			}
		}
		held += used
		if !m.Open() {
			if m.Leaving && used > 0 {
				most--
			}
			continue
		}
		if slices.Contains(leave, m.ID) {
			continue
		}
		free += max(m.FreeNow.CPUs, 0)
		if used == 0 || young {
			continue
		}
		key := used
		if !m.Spot {
			key -= 1e6
		}
		all = append(all, load{m, used, key})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].key < all[j].key })
	for _, l := range all {
		if len(out) >= most {
			break
		}
		// The others must have room for it, beside what was picked before.
		if free -= max(l.m.FreeNow.CPUs, 0) + l.used; free < p.cfg.SpareRoom*held {
			break
		}
		out = append(out, l.m.ID)
	}
	return out
}

// idleLimitS is how many seconds a machine may be idle. The longer its like takes to
// boot, the longer it is worth keeping.
func (p *Planner) idleLimitS(flavor string) float64 {
	if f := p.MachineType(flavor); f != nil {
		return f.BootS * p.cfg.IdleFactor
	}
	return 0
}

func less(a, b Offer) bool {
	if a.MachineType != b.MachineType {
		return a.MachineType < b.MachineType
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Spot && !b.Spot
}

// cheapestOffer is the cheapest offer for a waiting job, by price for each task that a
// machine holds and with its boot time counted in.
func (p *Planner) cheapestOffer(now time.Time, w *scheduler.WaitingJob, rank int, need job.Resources, want map[Offer]int, zoneOK func(string) bool) (Offer, job.Resources, bool) {
	var best Offer
	var room job.Resources
	cost := math.Inf(1)
	for i := range p.Catalogue {
		f := &p.Catalogue[i]
		c := Capacity(f)
		slots := need.Count(c)
		if slots == 0 {
			continue
		}
		for _, z := range f.Zones {
			if !zoneOK(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := Offer{f.Name, z, spot}
				if !job.AllowsMachine(&w.Job.Spec, o.MachineType, o.Zone, spot) || now.Before(p.pausedUntil[o]) {
					continue
				}
				price := f.Price
				if spot {
					price = f.SpotPrice
				} else if w.Job.Spec.Spot && (rank > p.cfg.OnDemandRank || w.Age < p.cfg.OnDemandWait) {
					continue
				}
				if price <= 0 && spot {
					continue
				}
				// Spread over zones: one already asked for costs a little more.
				v := price / float64(slots) * (1 + f.BootS/150) * (1 + 0.02*float64(want[o]))
				if !spot {
					v += 1e3
				}
				if v < cost {
					best, room, cost = o, c, v
				}
			}
		}
	}
	return best, room, !math.IsInf(cost, 1)
}
