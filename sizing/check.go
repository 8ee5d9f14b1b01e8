package sizing

import (
	"fmt"
	"math"

	"junipershelf/settings"
)

// Fleet describes the size of a fleet.
type Fleet struct {
	Machines        int // 0 if unknown
	TasksPerMachine int // running on a machine at the same time
}

// ShortfallError reports a setting that is insufficient for a fleet.
type ShortfallError struct {
	Field      string // path in the settings file
	Have, Need float64
	Reason     string
	// Fatal is set if the setting is insufficient for a fleet of any size.
	Fatal bool
}

// Error returns the field, its value, the required value and the reason.
func (e *ShortfallError) Error() string {
	return fmt.Sprintf("%s: %.4g is too little, %.4g is needed: %s", e.Field, e.Have, e.Need, e.Reason)
}

// Minimums of the settings for a fleet of any size.
const (
	minValueKB = 1  // size of a job's record
	minSockets = 32 // for the other controllers, the key-value store, the cloud and a few agents
)

// Constants from which the minimum settings for a fleet are computed.
const (
	// heldReplySeconds is the maximum time for which the reply to a heartbeat is held.
	heldReplySeconds = 2.0
	// rewriteSeconds is the time within which the placements of the whole fleet are written again
	// after all controllers or all machines have ended.
	rewriteSeconds = 60.0
	// scaleOutSeconds is the time within which the whole fleet is requested from the cloud.
	scaleOutSeconds    = 120.0
	machinesPerRequest = 50.0
	// machineRecordBytes and placementRecordBytes are the bytes in records for each machine and for each of
	// its tasks. recordFill is the mean fill level of records.
	machineRecordBytes   = 36.0
	placementRecordBytes = 24.0
	recordFill           = 0.85
	// placementChangesShare is the share of the store's changes that is available for placements, and
	// scaleOutRequestsShare the share of the cloud's requests that is available to the leader. They
	// must agree with the shares in share.go of packages statestore and cloud.
	placementChangesShare = 0.9 * 0.85
	scaleOutRequestsShare = 0.7
	// requestsPerNode is the number of requests per second that a node sends in addition to commits:
	// for leases, the view, watches and status reads.
	requestsPerNode = 12.0
	// peakProcessBytes and peakMachineBytes are the memory of a leader, for the process itself and for each
	// machine, at its peak: after a failover under many faults.
	peakProcessBytes = 40 * megabyte
	peakMachineBytes = 17 << 10
	// cpuPerNode and cpuPerMachine are the CPU use of a leader in cores, for the process itself and for each
	// machine; see docs/scale.md.
	cpuPerNode    = 0.02
	cpuPerMachine = 0.00012
)

// Check returns the settings that are insufficient for a fleet. If any are insufficient for the process
// itself, it returns only those. For a fleet of unknown size it checks only the needs of the process.
func Check(facts settings.Facts, fleet Fleet) []*ShortfallError {
	fatal := shortfalls(processNeeds(facts))
	if len(fatal) > 0 || fleet.Machines <= 0 {
		return fatal
	}
	return shortfalls(fleetNeeds(facts, fleet))
}

// shortfalls returns the entries whose setting is insufficient.
func shortfalls(needs []ShortfallError) []*ShortfallError {
	var unmet []*ShortfallError
	for i := range needs {
		if needs[i].Have < needs[i].Need {
			unmet = append(unmet, &needs[i])
		}
	}
	return unmet
}

// processNeeds returns what the process needs of some settings for a fleet of any size. It has an entry for each
// of these settings, also for sufficient ones; shortfalls drops those.
func processNeeds(facts settings.Facts) []ShortfallError {
	return []ShortfallError{
		{
			Field: "facts.state.value_kb", Have: facts.Store.Effective().ValueKB, Need: minValueKB,
			Reason: "a job's record does not fit", Fatal: true,
		},
		{
			Field: "facts.resources.max_sockets", Have: float64(facts.Resources.MaxSockets), Need: minSockets,
			Reason: "the process itself needs them", Fatal: true,
		},
		{
			Field: "facts.resources.mem_mb", Have: facts.Resources.MemMB, Need: processBytes / megabyte,
			Reason: "the process itself needs it", Fatal: true,
		},
	}
}

// fleetNeeds returns what a fleet needs of some settings. It has an entry for each of these settings, also for
// sufficient ones; shortfalls drops those.
func fleetNeeds(facts settings.Facts, fleet Fleet) []ShortfallError {
	store := facts.Store.Effective()
	machines := float64(fleet.Machines)
	nodesButOne := float64(max(facts.Nodes-1, 1)) // the nodes that serve the fleet while one is down
	memoryBytes := peakProcessBytes + machines*peakMachineBytes
	heldReplies := machines / nodesButOne / facts.Workers.HeartbeatIntervalS * heldReplySeconds
	recordsPerSecond := Records(store, fleet) / rewriteSeconds
	requestsPerSecond := machines / machinesPerRequest / scaleOutSeconds
	reason := fmt.Sprintf("for %d machines with %d tasks each", fleet.Machines, fleet.TasksPerMachine)
	return []ShortfallError{
		{
			Field: "facts.resources.mem_mb", Have: facts.Resources.MemMB,
			Need: math.Ceil(memoryBytes / megabyte), Reason: reason,
		},
		{
			Field: "facts.resources.max_sockets", Have: float64(facts.Resources.MaxSockets),
			Need: math.Ceil(heldReplies / apiSocketShare), Reason: reason + ", while one controller is down",
		},
		{
			Field: "facts.resources.cpu", Have: facts.Resources.CPU,
			Need: cpuPerNode + machines*cpuPerMachine, Reason: reason,
		},
		{
			Field: "facts.state.write_rps", Have: store.WriteRPS,
			Need: math.Ceil(recordsPerSecond / placementChangesShare), Reason: reason + ", to write all placements again within a minute",
		},
		{
			Field: "facts.state.rps", Have: store.RPS,
			Need: requestsPerNode * float64(max(facts.Nodes, 1)), Reason: "for that number of controllers",
		},
		{
			Field: "facts.cloud.rps", Have: facts.Cloud.RPS,
			Need: requestsPerSecond / scaleOutRequestsShare, Reason: reason + ", to request all of them within two minutes",
		},
	}
}

// Records returns the number of records in the key-value store that hold the placements of a full fleet.
func Records(limits settings.StoreLimits, fleet Fleet) float64 {
	bytes := float64(fleet.Machines) * (machineRecordBytes + float64(fleet.TasksPerMachine)*placementRecordBytes)
	return math.Ceil(bytes / (limits.ValueKB * 1024 * recordFill))
}

// StartsPerSecond returns the maximum rate of task starts: the number of tasks in the records that may be
// written in a second.
func StartsPerSecond(limits settings.StoreLimits, fleet Fleet) float64 {
	tasks := float64(fleet.Machines * fleet.TasksPerMachine)
	return tasks / Records(limits, fleet) * limits.WriteRPS * placementChangesShare
}
