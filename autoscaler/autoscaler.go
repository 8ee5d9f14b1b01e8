// Package autoscaler decides when the fleet scales out and in. It does no I/O: it computes plans
// from the leader's scheduler, the cloud's machine lists and replies, and the current time. It is
// not safe for concurrent use.
//
// machines.go tracks the machines that the cloud has started, and offers.go the pending requests.
// freecapacity.go tells where tasks have a place: on which single machines. scaleout.go decides what to
// request for the tasks that have none (demand.go, catalogueoffer.go), waits.go says why tasks wait, scalein.go which idle machines to remove, and eviction.go which machines to drain so that
// they can be removed.
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
	IdleFactor       float64       // an idle machine is removed after its type's boot time multiplied by this
	BootFactor       float64       // a booting machine counts as lost after its type's boot time multiplied by this, plus BootSlack
	BootSlack        time.Duration // see BootFactor
	NoCapacityPause  time.Duration // how long an offer is not requested after the cloud had no capacity for it
	OnDemandRank     int           // jobs that allow spot machines may request on-demand ones only at priority ranks up to this
	OnDemandWait     time.Duration // and only after they have waited for this long
	UnreportedLimit  time.Duration // a machine listed as running counts as lost if it does not report for this long
	ListLag          time.Duration // maximum lag of the cloud's list behind its replies
	MinRunBeforeStop time.Duration // a task that is stopped before it has run this long does not count as started
	EvictionHeadroom float64       // CPUs that must stay free after evictions, as a fraction of the CPUs that tasks hold
	MaxMachines      int           // maximum size of the fleet, whose machines must fit in the node's memory; 0: no limit
}

// Plan lists the machines to request, to evict and to terminate.
type Plan struct {
	Requests  []Request
	Evict     []string // machines that get no more work and are terminated once empty
	Terminate []string // machines to terminate immediately

	Waits []JobWait // what the waiting jobs wait for, in scheduling order
}

// Autoscaler plans scale out and scale in for the leader.
type Autoscaler struct {
	// Catalogue lists the cloud's machine types.
	Catalogue []protocol.MachineType
	// Limits counts how often each limit was reached.
	Limits limits.Counts

	cfg      Config
	machines machineTracker
	requests requestTracker
}

// New returns an autoscaler without machines and with an empty catalogue.
func New(cfg Config) *Autoscaler {
	return &Autoscaler{
		Limits: limits.Counts{}, cfg: cfg,
		machines: machineTracker{listLag: cfg.ListLag, tracked: map[string]*trackedMachine{}, terminated: map[string]time.Time{}},
		requests: requestTracker{pending: map[Offer]int{}, refusals: map[Offer]int{}, pausedUntil: map[Offer]time.Time{}},
	}
}

// MachineType returns the catalogue entry with a name, or nil.
func (a *Autoscaler) MachineType(name string) *protocol.MachineType {
	for i := range a.Catalogue {
		if a.Catalogue[i].Name == name {
			return &a.Catalogue[i]
		}
	}
	return nil
}

// Capacity returns the resources of a machine of a type.
func Capacity(t *protocol.MachineType) job.Resources {
	return job.Resources{CPUs: t.CPUs, Accelerators: t.Accelerators, MemoryGB: t.MemGB}
}

// Plan decides which machines to request, which to evict, and which to terminate immediately. The
// waiting jobs must be in scheduling order.
func (a *Autoscaler) Plan(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) Plan {
	expected, lost := a.unreportedMachines(now, s)
	plan := Plan{Terminate: append(lost, a.faultyMachines(s)...)}
	slices.Sort(plan.Terminate)
	available := expected
	a.addFreeCapacity(available, s)
	available.compact()
	plan.Requests, plan.Waits = a.scaleOut(now, s, waiting, available)
	plan.Requests = a.withinMachineLimit(plan.Requests)
	plan.Evict = a.idleMachines(now, s, waiting, a.surplus(available, plan.Waits))
	if len(waiting) == 0 && len(plan.Requests) == 0 {
		plan.Evict = append(plan.Evict, a.evictionCandidates(now, s, plan.Evict)...)
	}
	return plan
}

// unreportedMachines returns the capacity of requested and booting machines that have not reported
// yet, and the ids of those that have failed or are lost.
func (a *Autoscaler) unreportedMachines(now time.Time, s *scheduler.Scheduler) (expected freeCapacity, lost []string) {
	expected = freeCapacity{}
	for id, tracked := range a.machines.tracked {
		if m := s.Machine(id); m != nil && m.Reported {
			continue
		}
		machineType := a.MachineType(tracked.MachineType)
		switch {
		case tracked.status == statusFailed || machineType != nil && a.isLost(tracked, machineType, now):
			lost = append(lost, id)
		case machineType != nil:
			expected.add(tracked.Offer, Capacity(machineType), 1)
		}
	}
	for offer, count := range a.requests.pending {
		if machineType := a.MachineType(offer.MachineType); machineType != nil && count > 0 {
			expected.add(offer, Capacity(machineType), count)
		}
	}
	return expected, lost
}

// isLost reports whether a machine that has not reported counts as lost. A machine that the cloud
// lists as running has booted, but its agent may still be looking for the owner, so it gets
// UnreportedLimit from the first such list. Its age is not used, since it does not tell how long the
// machine took to boot: a new leader, which has no reports yet, would consider the whole fleet lost.
func (a *Autoscaler) isLost(tracked *trackedMachine, machineType *protocol.MachineType, now time.Time) bool {
	if !tracked.runningSince.IsZero() {
		return now.Sub(tracked.runningSince) > a.cfg.UnreportedLimit
	}
	bootLimit := time.Duration(machineType.BootS*a.cfg.BootFactor*float64(time.Second)) + a.cfg.BootSlack
	return now.Sub(tracked.requestedAt) > bootLimit
}

// faultyMachines returns the machines that the cloud lists as failed or that are quarantined.
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

// addFreeCapacity adds the capacity that is free now. Running tasks are assumed to hold their
// resources for longer than a machine takes to boot.
func (a *Autoscaler) addFreeCapacity(available freeCapacity, s *scheduler.Scheduler) {
	for _, m := range s.Machines() {
		if m.AcceptsTasksNow() && !a.isFaulty(m, s) {
			available.add(offerOf(m), m.FreeNow, 1)
		}
	}
}

// withinMachineLimit truncates requests so that the fleet stays within MaxMachines.
func (a *Autoscaler) withinMachineLimit(requests []Request) []Request {
	if a.cfg.MaxMachines <= 0 {
		return requests
	}
	remaining := a.cfg.MaxMachines - len(a.machines.tracked) - a.requests.pendingCount()
	for i := range requests {
		if requests[i].Count > remaining {
			a.Limits.Record(limits.Machines)
			if remaining <= 0 {
				return requests[:i]
			}
			requests[i].Count = remaining
		}
		remaining -= requests[i].Count
	}
	return requests
}
