package autoscaler

import (
	"time"

	"junipershelf/protocol"
)

// Machine states in the cloud's list.
const (
	statusBooting = "booting"
	statusRunning = "running"
	statusFailed  = "failed"
)

// terminatedRetention is how long a terminated machine is ignored in the cloud's list, which lags.
const terminatedRetention = 5 * time.Minute

// trackedMachine is a machine of the fleet that the cloud has granted or listed.
type trackedMachine struct {
	Offer
	requestedAt  time.Time
	listed       bool      // it was in at least one list of the cloud
	lastListed   time.Time // when it was last in a list; the time of the grant if it never was
	runningSince time.Time // when it was first listed as running
	status       string
}

// machineTracker tracks the machines that the cloud has started.
type machineTracker struct {
	listLag    time.Duration
	listedAt   time.Time // when the last list was received
	tracked    map[string]*trackedMachine
	terminated map[string]time.Time // time of termination by machine id
}

// HasList reports whether a list of the cloud's machines has been received.
func (a *Autoscaler) HasList() bool { return !a.machines.listedAt.IsZero() }

// ObserveList applies the cloud's list of the machines of the fleet.
func (a *Autoscaler) ObserveList(now time.Time, machines []protocol.CloudMachine) {
	a.machines.applyList(machines, now)
}

// RecordTerminated records the termination of machines.
func (a *Autoscaler) RecordTerminated(ids []string, now time.Time) {
	for _, id := range ids {
		a.machines.recordTerminated(id, now)
	}
}

// recordGrant records a machine that the cloud has granted.
func (t *machineTracker) recordGrant(id string, offer Offer, now time.Time) {
	t.tracked[id] = &trackedMachine{Offer: offer, requestedAt: now, lastListed: now, status: statusBooting}
}

// recordTerminated records the termination of a machine, at the time of the first call for it.
func (t *machineTracker) recordTerminated(id string, now time.Time) {
	if _, known := t.terminated[id]; !known {
		t.terminated[id] = now
	}
	delete(t.tracked, id)
}

// applyList updates the tracked machines from the cloud's list, and drops those that have disappeared
// from it.
func (t *machineTracker) applyList(machines []protocol.CloudMachine, now time.Time) {
	t.listedAt = now
	listed := map[string]bool{}
	for i := range machines {
		listed[machines[i].ID] = true
		if _, isTerminated := t.terminated[machines[i].ID]; !isTerminated { // it may still be in a lagging list
			t.applyListed(&machines[i], now)
		}
	}
	for id, tracked := range t.tracked {
		if !listed[id] && t.isMissingTooLong(tracked, now) {
			delete(t.tracked, id)
		}
	}
	for id, at := range t.terminated {
		if now.Sub(at) > terminatedRetention {
			delete(t.terminated, id)
		}
	}
}

// applyListed updates or adds a machine of the list.
func (t *machineTracker) applyListed(machine *protocol.CloudMachine, now time.Time) {
	tracked := t.tracked[machine.ID]
	if tracked == nil {
		tracked = &trackedMachine{requestedAt: now.Add(-time.Duration(machine.AgeS * float64(time.Second)))}
		t.tracked[machine.ID] = tracked
	}
	tracked.Offer = Offer{machine.MachineType, machine.Zone, machine.Spot}
	tracked.listed, tracked.lastListed, tracked.status = true, now, machine.Status
	if machine.Status == statusRunning && tracked.runningSince.IsZero() {
		tracked.runningSince = now
	}
}

// isMissingTooLong reports whether a machine has been missing from the list for so long that it is
// considered deleted. A machine that has not been listed yet gets more time, since lists lag behind
// grants.
func (t *machineTracker) isMissingTooLong(tracked *trackedMachine, now time.Time) bool {
	unlistedFor := now.Sub(tracked.lastListed)
	return tracked.listed && unlistedFor > t.listLag || unlistedFor > 4*t.listLag+5*time.Second
}
