package autoscaler

import (
	"time"

	"junipershelf/protocol"
)

// The states that the cloud lists machines in.
const (
	statusBooting = "booting"
	statusRunning = "running"
	statusFailed  = "failed"
)

// terminatedMemory is how long a terminated machine is remembered: the cloud's list lags.
const terminatedMemory = 5 * time.Minute

// trackedMachine is a machine that is ours by the cloud's answers and lists.
type trackedMachine struct {
	Offer
	requestedAt  time.Time
	listed       bool      // the cloud's list has had it
	lastListed   time.Time // when a list last had it; when it was granted, if none did
	runningSince time.Time // when a list first had it as running
	status       string
}

// machineTracker tracks the machines that the cloud has started.
type machineTracker struct {
	listLag    time.Duration
	listedAt   time.Time // when the last list came
	tracked    map[string]*trackedMachine
	terminated map[string]time.Time
}

// HasList reports whether a list of the cloud's machines has come.
func (a *Autoscaler) HasList() bool { return !a.machines.listedAt.IsZero() }

// ObserveList applies the cloud's list of our machines.
func (a *Autoscaler) ObserveList(now time.Time, machines []protocol.CloudMachine) {
	a.machines.applyList(machines, now)
}

// MachinesTerminated records machines that are terminated.
func (a *Autoscaler) MachinesTerminated(ids []string, now time.Time) {
	for _, id := range ids {
		a.machines.recordTerminated(id, now)
	}
}

// recordGrant records a machine that the cloud has granted.
func (t *machineTracker) recordGrant(id string, offer Offer, now time.Time) {
	t.tracked[id] = &trackedMachine{Offer: offer, requestedAt: now, lastListed: now, status: statusBooting}
}

// recordTerminated records that a machine is terminated.
func (t *machineTracker) recordTerminated(id string, now time.Time) {
	if _, known := t.terminated[id]; !known {
		t.terminated[id] = now
	}
	delete(t.tracked, id)
}

// applyList updates the machines by the cloud's list, and drops those that are gone from it.
func (t *machineTracker) applyList(machines []protocol.CloudMachine, now time.Time) {
	t.listedAt = now
	listed := map[string]bool{}
	for i := range machines {
		listed[machines[i].ID] = true
		if _, gone := t.terminated[machines[i].ID]; !gone { // the list lags
			t.applyListed(&machines[i], now)
		}
	}
	for id, tracked := range t.tracked {
		if !listed[id] && t.isGone(tracked, now) {
			delete(t.tracked, id)
		}
	}
	for id, at := range t.terminated {
		if now.Sub(at) > terminatedMemory {
			delete(t.terminated, id)
		}
	}
}

// applyListed updates a machine that the list has.
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

// isGone reports whether a machine that a list lacks is gone. One that no list has had yet is
// given more time: lists lag behind grants.
func (t *machineTracker) isGone(tracked *trackedMachine, now time.Time) bool {
	missingFor := now.Sub(tracked.lastListed)
	return tracked.listed && missingFor > t.listLag || missingFor > 4*t.listLag+5*time.Second
}
