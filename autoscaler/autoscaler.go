// Package autoscaler decides on scale out and scale in. It is pure: the leader's scheduler, the
// cloud's lists and answers and the time go in, plans come out. Nothing in it is safe for
// concurrent use.
//
// machines.go tracks the machines that the cloud has started, and offers.go the requests for more.
// scaleout.go decides what to request, scalein.go which idle machines go, and eviction.go which
// machines are emptied so that they can go.
package autoscaler

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// Config holds the autoscaler's times and limits.
type Config struct {
	IdleFactor       float64       // an idle machine goes after its boot time multiplied by this
	BootFactor       float64       // a machine is given up once it boots for boot_s multiplied by this...
	BootSlack        time.Duration // ...and this
	NoCapacityPause  time.Duration // of an offer after a refusal
	OnDemandRank     int           // jobs of priority ranks up to this may request machines on demand
	OnDemandWait     time.Duration // once they have waited for this long with no spot machine to be had
	UnreportedLimit  time.Duration // a machine listed as running is given up if it does not report for this long
	ListLag          time.Duration // of the cloud's list behind its answers
	MinRunBeforeStop time.Duration // a start counts once the task ran this long
	EvictionHeadroom float64       // room kept free by evictions, as a part of what is held
	MaxMachines      int           // as many as fit in memory; 0: no limit
}

// Plan is what to request and which machines go.
type Plan struct {
	Requests  []Request
	Evict     []string // machines that take no more work and go once they are empty
	Terminate []string // machines to terminate at once
}

// Autoscaler plans scale out and scale in for the leader.
type Autoscaler struct {
	// Catalogue lists the machine types of the cloud.
	Catalogue []protocol.MachineType
	// Limits counts the limits that were reached.
	Limits limits.Counts

	cfg      Config
	machines machineTracker
	requests requestTracker
}

// New returns an autoscaler that knows of no machine and no type.
func New(cfg Config) *Autoscaler {
	return &Autoscaler{
		Limits: limits.Counts{}, cfg: cfg,
		machines: machineTracker{listLag: cfg.ListLag, tracked: map[string]*trackedMachine{}, terminated: map[string]time.Time{}},
		requests: requestTracker{pending: map[Offer]int{}, refusals: map[Offer]int{}, pausedUntil: map[Offer]time.Time{}},
	}
}

// MachineType returns a type of the catalogue, nil if there is none of the name.
func (a *Autoscaler) MachineType(name string) *protocol.MachineType {
	for i := range a.Catalogue {
		if a.Catalogue[i].Name == name {
			return &a.Catalogue[i]
		}
	}
	return nil
}

// Capacity returns the size of a machine of a type.
func Capacity(t *protocol.MachineType) job.Resources {
	return job.Resources{CPUs: t.CPUs, Accelerators: t.Accelerators, MemoryGB: t.MemGB}
}

// Plan decides which machines to request, which to evict, and which to terminate at once. The
// waiting jobs are in the order of service.
func (a *Autoscaler) Plan(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) Plan {
	coming, lost := a.unreportedMachines(now, s)
	plan := Plan{Terminate: append(lost, a.faultyMachines(s)...)}
	slices.Sort(plan.Terminate)
	room := coming
	a.addFreeRoom(room, s)
	plan.Requests = a.withinMachineLimit(a.scaleOut(now, s, waiting, room))
	plan.Evict = a.idleMachines(now, s, waiting)
	if len(waiting) == 0 && len(plan.Requests) == 0 {
		plan.Evict = append(plan.Evict, a.evictionCandidates(now, s, plan.Evict)...)
	}
	return plan
}

// unreportedMachines returns the room of machines that are on their way, and which of them have
// failed or are given up.
func (a *Autoscaler) unreportedMachines(now time.Time, s *scheduler.Scheduler) (coming pool, lost []string) {
	coming = pool{}
	for id, tracked := range a.machines.tracked {
		if m := s.Machine(id); m != nil && m.Reported {
			continue
		}
		machineType := a.MachineType(tracked.MachineType)
		switch {
		case tracked.status == statusFailed || machineType != nil && a.isLost(tracked, machineType, now):
			lost = append(lost, id)
		case machineType != nil:
			coming.add(tracked.Offer, Capacity(machineType), 1)
		}
	}
	for offer, count := range a.requests.pending {
		if machineType := a.MachineType(offer.MachineType); machineType != nil && count > 0 {
			coming.add(offer, Capacity(machineType), count)
		}
	}
	return coming, lost
}

// isLost reports whether a machine that has not reported is given up. One that is listed as
// running may not have found its owner yet: after a change of leader that is so for all
// machines, and its age does not say how long it booted.
func (a *Autoscaler) isLost(tracked *trackedMachine, machineType *protocol.MachineType, now time.Time) bool {
	if !tracked.runningSince.IsZero() {
		return now.Sub(tracked.runningSince) > a.cfg.UnreportedLimit
	}
	bootLimit := time.Duration(machineType.BootS*a.cfg.BootFactor*float64(time.Second)) + a.cfg.BootSlack
	return now.Sub(tracked.requestedAt) > bootLimit
}

// faultyMachines returns the machines that the cloud calls failed or that are quarantined.
func (a *Autoscaler) faultyMachines(s *scheduler.Scheduler) []string {
	var faulty []string
	for _, m := range s.Machines() {
		if a.isFaulty(m, s) {
			faulty = append(faulty, m.ID)
		}
	}
	return faulty
}

func (a *Autoscaler) isFaulty(m *scheduler.Machine, s *scheduler.Scheduler) bool {
	tracked := a.machines.tracked[m.ID]
	return tracked != nil && tracked.status == statusFailed || s.Quarantined[m.ID]
}

// addFreeRoom adds the room that is free now: what runs keeps its room for longer than a boot,
// as far as anybody knows.
func (a *Autoscaler) addFreeRoom(room pool, s *scheduler.Scheduler) {
	for _, m := range s.Machines() {
		if m.Schedulable() && !a.isFaulty(m, s) {
			room.add(offerOf(m), m.FreeNow, 1)
		}
	}
}

// withinMachineLimit cuts requests to what fits in memory beside the machines that are there.
func (a *Autoscaler) withinMachineLimit(requests []Request) []Request {
	if a.cfg.MaxMachines <= 0 {
		return requests
	}
	left := a.cfg.MaxMachines - len(a.machines.tracked) - a.requests.pendingCount()
	for i := range requests {
		if requests[i].Count > left {
			a.Limits.Record(limits.Machines)
			if left <= 0 {
				return requests[:i]
			}
			requests[i].Count = left
		}
		left -= requests[i].Count
	}
	return requests
}
