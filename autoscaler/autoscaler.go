// Package autoscaler decides on scale out and scale in. It is pure: the scheduler's ledger,
// the cloud's lists and the time go in, plans come out. rent.go decides on rentals, drain.go
// on drains.
package autoscaler

import (
	"sort"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// Config holds the autoscaler's times and limits.
type Config struct {
	IdleFactor       float64 // an idle machine goes after this part of its boot time
	BootFactor       float64 // a machine that boots this many times boot_s is given up
	BootSlack        time.Duration
	NoCapacityPause  time.Duration // after a refusal
	OnDemandRank     int           // priorities up to this may rent machines on demand
	OnDemandWait     time.Duration // after waiting this long with no spot to be had
	UnreportedLimit  time.Duration // a machine listed as running that never reports
	ListLag          time.Duration
	MinRunBeforeStop time.Duration // a start that ran this long stands
	EvictionHeadroom float64       // room kept free when draining, as a part of what is held
	MaxMachines      int           // that the memory can hold; 0: any number
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

// cloudMachine is a machine that is ours as far as the cloud has told.
type cloudMachine struct {
	Offer
	requestedAt  time.Time
	listed       bool
	lastListed   time.Time // last in a list
	runningSince time.Time // when we first saw it listed as running
	status       string
}

// Autoscaler keeps what is known of rented machines.
type Autoscaler struct {
	cfg         Config
	Catalogue   []protocol.MachineType
	machines    map[string]*cloudMachine
	pausedUntil map[Offer]time.Time
	refusals    map[Offer]int
	terminated  map[string]time.Time
	listedAt    time.Time
	pending     map[Offer]int // asked for, not answered
	Limits      limits.Counts
}

// New makes a planner.
func New(cfg Config) *Autoscaler {
	return &Autoscaler{
		cfg: cfg, machines: map[string]*cloudMachine{}, pausedUntil: map[Offer]time.Time{}, refusals: map[Offer]int{},
		terminated: map[string]time.Time{}, pending: map[Offer]int{}, Limits: limits.Counts{},
	}
}

// MachineType finds a type of the catalogue.
func (p *Autoscaler) MachineType(label string) *protocol.MachineType {
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

// RecordRequest notes a rental that is under way; Hired, Refused and Unknown its end.
func (p *Autoscaler) RecordRequest(h Request) { p.pending[h.Offer] += h.Count }

// RecordGrant notes the machines that a rental brought.
func (p *Autoscaler) RecordGrant(h Request, ids []string, now time.Time) {
	p.pending[h.Offer] -= h.Count
	for _, id := range ids {
		p.machines[id] = &cloudMachine{Offer: h.Offer, requestedAt: now, lastListed: now, status: statusBooting}
	}
	if len(ids) < h.Count {
		p.pausedUntil[h.Offer] = now.Add(p.cfg.NoCapacityPause)
	} else {
		p.refusals[h.Offer] = 0
	}
}

// RecordNoCapacity notes that an offer has nothing to give.
func (p *Autoscaler) RecordNoCapacity(h Request, now time.Time) {
	p.pending[h.Offer] -= h.Count
	p.refusals[h.Offer]++
	p.pausedUntil[h.Offer] = now.Add(p.cfg.NoCapacityPause * time.Duration(min(p.refusals[h.Offer], 2)))
}

// RecordFailure notes a rental that came to nothing for another reason.
func (p *Autoscaler) RecordFailure(h Request, now time.Time) {
	p.pending[h.Offer] -= h.Count
	p.pausedUntil[h.Offer] = now.Add(2 * time.Second)
}

// ObserveList takes the cloud's list.
func (p *Autoscaler) ObserveList(now time.Time, hosts []protocol.CloudMachine) {
	p.listedAt = now
	in := map[string]bool{}
	for _, h := range hosts {
		in[h.ID] = true
		if _, gone := p.terminated[h.ID]; gone {
			continue // the list lags
		}
		r := p.machines[h.ID]
		if r == nil {
			r = &cloudMachine{requestedAt: now.Add(-time.Duration(h.AgeS * float64(time.Second)))}
			p.machines[h.ID] = r
		}
		r.Offer = Offer{h.MachineType, h.Zone, h.Spot}
		r.listed, r.lastListed, r.status = true, now, h.Status
		if h.Status == statusRunning && r.runningSince.IsZero() {
			r.runningSince = now
		}
	}
	for id, r := range p.machines {
		if !in[id] && (r.listed && now.Sub(r.lastListed) > p.cfg.ListLag || now.Sub(r.lastListed) > 4*p.cfg.ListLag+5*time.Second) {
			delete(p.machines, id)
		}
	}
	for id, at := range p.terminated {
		if now.Sub(at) > 5*time.Minute {
			delete(p.terminated, id)
		}
	}
}

// MachinesTerminated notes machines that are returned.
func (p *Autoscaler) MachinesTerminated(ids []string, now time.Time) {
	for _, id := range ids {
		if _, known := p.terminated[id]; !known {
			p.terminated[id] = now
		}
		delete(p.machines, id)
	}
}

// HasList tells whether a list has been seen.
func (p *Autoscaler) HasList() bool { return !p.listedAt.IsZero() }

// Plan is what to rent and which machines to give back.
type Plan struct {
	Requests  []Request
	Evict     []string // machines that take no more work and go once they are empty
	Terminate []string // machines to return at once
}

// Plan decides what to rent, which machines to drain, and which to return at once.
func (p *Autoscaler) Plan(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) Plan {
	have, discard := p.unreported(now, s)
	for _, m := range s.Machines() {
		if r := p.machines[m.ID]; r != nil && r.status == statusFailed || s.Quarantined[m.ID] {
			discard = append(discard, m.ID)
			continue
		}
		// Only what is free now: what runs there keeps its room for longer than a boot, as
		// far as anybody knows.
		if m.Open() {
			have.add(Offer{m.MachineType, m.Zone, m.Spot}, m.FreeNow, 1)
		}
	}
	requests := requestsOf(p.wantedOffers(now, s, waiting, have))
	plan := Plan{Requests: p.withinLimit(requests), Terminate: discard}
	plan.Evict = p.idleMachines(now, s, waiting)
	if len(waiting) == 0 && len(plan.Requests) == 0 {
		plan.Evict = append(plan.Evict, p.evictionCandidates(now, s, plan.Evict)...)
	}
	sort.Strings(plan.Terminate)
	return plan
}

// withinLimit cuts requests to what the memory can hold beside the machines that are there.
func (p *Autoscaler) withinLimit(requests []Request) []Request {
	if p.cfg.MaxMachines <= 0 {
		return requests
	}
	left := p.cfg.MaxMachines - len(p.machines)
	for _, n := range p.pending {
		left -= n
	}
	for i := range requests {
		if requests[i].Count > left {
			p.Limits.Record(limits.Machines)
			if left <= 0 {
				return requests[:i]
			}
			requests[i].Count = left
		}
		left -= requests[i].Count
	}
	return requests
}

// unreported gives the room of machines that are on their way, and those of them that have
// failed or are given up.
func (p *Autoscaler) unreported(now time.Time, s *scheduler.Scheduler) (have pool, discard []string) {
	have = pool{}
	for id, r := range p.machines {
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
		neverBooted := r.runningSince.IsZero() && now.Sub(r.requestedAt) > limit
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
