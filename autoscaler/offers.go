package autoscaler

import (
	"cmp"
	"time"

	"junipershelf/job"
	"junipershelf/scheduler"
)

// Offer is a kind of machine that can be requested.
type Offer struct {
	MachineType string
	Zone        string
	Spot        bool
}

// offerOf returns the offer that a machine is of.
func offerOf(m *scheduler.Machine) Offer { return Offer{m.MachineType, m.Zone, m.Spot} }

// allows reports whether a job's tasks may run on machines of the offer.
func (o Offer) allows(live *job.CachedJob) bool {
	return job.AllowsMachine(&live.Spec, job.MachineKind{MachineType: o.MachineType, Zone: o.Zone, Spot: o.Spot})
}

// compareOffers orders offers by machine type and zone, spot before on demand.
func compareOffers(a, b Offer) int {
	if order := cmp.Or(cmp.Compare(a.MachineType, b.MachineType), cmp.Compare(a.Zone, b.Zone)); order != 0 || a.Spot == b.Spot {
		return order
	}
	if a.Spot {
		return -1
	}
	return 1
}

// Request asks the cloud for machines of an offer.
type Request struct {
	Offer
	Count int
}

const (
	// maxPauseFactor is how many times its length a pause grows to at most, by refusals.
	maxPauseFactor = 2
	// failurePause is the pause of an offer after a request that failed.
	failurePause = 2 * time.Second
)

// requestTracker tracks the requests under way, and pauses offers that were refused.
type requestTracker struct {
	pending     map[Offer]int // machines that are requested, without an answer
	refusals    map[Offer]int // in a row
	pausedUntil map[Offer]time.Time
}

// pendingCount returns how many machines are requested in all.
func (t *requestTracker) pendingCount() int {
	total := 0
	for _, count := range t.pending {
		total += count
	}
	return total
}

// RecordRequest records a request that is under way; RecordGrant, RecordNoCapacity or
// RecordFailure records its end.
func (a *Autoscaler) RecordRequest(request Request) {
	a.requests.pending[request.Offer] += request.Count
}

// RecordGrant records the machines that a request brought. Fewer than requested pause the
// offer.
func (a *Autoscaler) RecordGrant(request Request, ids []string, now time.Time) {
	a.requests.pending[request.Offer] -= request.Count
	for _, id := range ids {
		a.machines.recordGrant(id, request.Offer, now)
	}
	if len(ids) < request.Count {
		a.requests.pausedUntil[request.Offer] = now.Add(a.cfg.NoCapacityPause)
	} else {
		a.requests.refusals[request.Offer] = 0
	}
}

// RecordNoCapacity records that the cloud has no machine of an offer.
func (a *Autoscaler) RecordNoCapacity(request Request, now time.Time) {
	a.requests.pending[request.Offer] -= request.Count
	a.requests.refusals[request.Offer]++
	factor := min(a.requests.refusals[request.Offer], maxPauseFactor)
	a.requests.pausedUntil[request.Offer] = now.Add(a.cfg.NoCapacityPause * time.Duration(factor))
}

// RecordFailure records a request that failed for another reason.
func (a *Autoscaler) RecordFailure(request Request, now time.Time) {
	a.requests.pending[request.Offer] -= request.Count
	a.requests.pausedUntil[request.Offer] = now.Add(failurePause)
}
