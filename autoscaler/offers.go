package autoscaler

import (
	"cmp"
	"time"

	"junipershelf/job"
	"junipershelf/scheduler"
)

// Offer is a combination of machine type, zone and spot or on-demand that can be requested.
type Offer struct {
	MachineType string
	Zone        string
	Spot        bool
}

// offerOf returns the offer of a machine.
func offerOf(m *scheduler.Machine) Offer { return Offer{m.MachineType, m.Zone, m.Spot} }

// allows reports whether a job's tasks may run on machines of the offer.
func (o Offer) allows(live *job.CachedJob) bool {
	return job.AllowsMachine(&live.Spec, job.MachineKind{MachineType: o.MachineType, Zone: o.Zone, Spot: o.Spot})
}

// compareOffers orders offers by machine type, then by zone, then spot before on-demand.
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
	// maxPauseFactor limits the growth of NoCapacityPause with successive refusals.
	maxPauseFactor = 2
	// failurePause is the pause of an offer after a failed request.
	failurePause = 2 * time.Second
)

// requestTracker counts pending requests, and pauses offers after refusals and failures.
type requestTracker struct {
	pending     map[Offer]int // machines in requests that the cloud has not answered yet
	refusals    map[Offer]int // successive refusals
	pausedUntil map[Offer]time.Time
}

// pendingCount returns the number of machines in requests that the cloud has not answered yet.
func (t *requestTracker) pendingCount() int {
	total := 0
	for _, count := range t.pending {
		total += count
	}
	return total
}

// RecordRequest records a request as pending until RecordGrant, RecordNoCapacity or RecordFailure
// records its outcome.
func (a *Autoscaler) RecordRequest(request Request) {
	a.requests.pending[request.Offer] += request.Count
}

// RecordGrant records the machines that the cloud granted. A partial grant pauses the offer.
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

// RecordNoCapacity records that the cloud refused a request for lack of capacity.
func (a *Autoscaler) RecordNoCapacity(request Request, now time.Time) {
	a.requests.pending[request.Offer] -= request.Count
	a.requests.refusals[request.Offer]++
	factor := min(a.requests.refusals[request.Offer], maxPauseFactor)
	a.requests.pausedUntil[request.Offer] = now.Add(a.cfg.NoCapacityPause * time.Duration(factor))
}

// RecordFailure records a request that failed for a reason other than lack of capacity.
func (a *Autoscaler) RecordFailure(request Request, now time.Time) {
	a.requests.pending[request.Offer] -= request.Count
	a.requests.pausedUntil[request.Offer] = now.Add(failurePause)
}
