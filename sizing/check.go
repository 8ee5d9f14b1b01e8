package sizing

import (
	"fmt"
	"math"

	"junipershelf/settings"
)

// Fleet is the machines and tasks to be served.
type Fleet struct {
	Machines        int // 0 if unknown
	TasksPerMachine int // that run on a machine at a time
}

// ShortfallError is a setting that cannot serve a fleet.
type ShortfallError struct {
	Field      string // as the settings file names it
	Have, Need float64
	Why        string
	// Fatal says that the service could not serve any fleet.
	Fatal bool
}

// Error names the field and the figure that is needed.
func (e *ShortfallError) Error() string {
	return fmt.Sprintf("%s: %.4g is too little, %.4g is needed: %s", e.Field, e.Have, e.Need, e.Why)
}

// What a process needs to serve anything.
const (
	minValueKB = 1  // a job's record
	minSockets = 32 // the other controllers, the key-value store, the cloud, a few workers
)

// What a fleet needs of the settings.
const (
	// heartbeatSeconds is how long the reply to a heartbeat may be held.
	heartbeatSeconds = 2.0
	// rewriteSeconds: after all controllers ended, or all machines did, the placements of the whole
	// fleet are to be written anew within this.
	rewriteSeconds = 60.0
	// scaleOutSeconds: the cloud is to be asked for the whole fleet within this.
	scaleOutSeconds    = 120.0
	machinesPerRequest = 50.0
	// A record's bytes for a machine and for each of its tasks, and how full records are.
	machineRecordBytes   = 36.0
	placementRecordBytes = 24.0
	recordFill           = 0.85
	// placementChangesShare is the part of the store's changes that placements have, and
	// scaleOutRequestsShare the part of the cloud's requests that the leader has. They follow the
	// shares in statestore and cloud (share.go in each).
	placementChangesShare = 0.9 * 0.85
	scaleOutRequestsShare = 0.7
	// requestsPerNode is how many requests a second a node sends beside commits: leases, the view,
	// watches, status reads.
	requestsPerNode = 12.0
	// The peak of a leader's memory, measured after a failover under many faults.
	peakProcessBytes = 40 * megabyte
	peakMachineBytes = 17 << 10
	// cpuPerNode and cpuPerMachine are parts of a core, measured on the leader; see docs/scale.md.
	cpuPerNode    = 0.02
	cpuPerMachine = 0.00012
)

// Check returns the settings that cannot serve a fleet. If the process itself lacks something, it returns
// only that; of a fleet of unknown size it checks nothing else.
func Check(facts settings.Facts, fleet Fleet) []*ShortfallError {
	fatal := shortfalls(processNeeds(facts))
	if len(fatal) > 0 || fleet.Machines <= 0 {
		return fatal
	}
	return shortfalls(fleetNeeds(facts, fleet))
}

// shortfalls keeps the needs that are not met.
func shortfalls(needs []ShortfallError) []*ShortfallError {
	var short []*ShortfallError
	for i := range needs {
		if needs[i].Have < needs[i].Need {
			short = append(short, &needs[i])
		}
	}
	return short
}

// processNeeds are what a process needs to serve any fleet.
func processNeeds(facts settings.Facts) []ShortfallError {
	return []ShortfallError{
		{
			Field: "facts.state.value_kb", Have: facts.State.Effective().ValueKB, Need: minValueKB,
			Why: "a job's record has no room", Fatal: true,
		},
		{
			Field: "facts.resources.max_sockets", Have: float64(facts.Resources.MaxSockets), Need: minSockets,
			Why: "the process itself needs them", Fatal: true,
		},
		{
			Field: "facts.resources.mem_mb", Have: facts.Resources.MemMB, Need: processBytes / megabyte,
			Why: "the process itself needs it", Fatal: true,
		},
	}
}

// fleetNeeds are what a fleet needs of the settings.
func fleetNeeds(facts settings.Facts, fleet Fleet) []ShortfallError {
	store := facts.State.Effective()
	machines := float64(fleet.Machines)
	nodesButOne := float64(max(facts.Nodes-1, 1)) // that serve while one is away
	memoryBytes := peakProcessBytes + machines*peakMachineBytes
	heldReplies := machines / nodesButOne / facts.Workers.ReportS * heartbeatSeconds
	recordsPerSecond := Records(store, fleet) / rewriteSeconds
	requestsPerSecond := machines / machinesPerRequest / scaleOutSeconds
	why := fmt.Sprintf("for %d machines of %d tasks", fleet.Machines, fleet.TasksPerMachine)
	return []ShortfallError{
		{
			Field: "facts.resources.mem_mb", Have: facts.Resources.MemMB,
			Need: math.Ceil(memoryBytes / megabyte), Why: why,
		},
		{
			Field: "facts.resources.max_sockets", Have: float64(facts.Resources.MaxSockets),
			Need: math.Ceil(heldReplies / apiSocketShare), Why: why + " that report to one controller fewer",
		},
		{
			Field: "facts.resources.cpu", Have: facts.Resources.CPU,
			Need: cpuPerNode + machines*cpuPerMachine, Why: why,
		},
		{
			Field: "facts.state.write_rps", Have: store.WriteRPS,
			Need: math.Ceil(recordsPerSecond / placementChangesShare), Why: why + " whose placements are written anew within a minute",
		},
		{
			Field: "facts.state.rps", Have: store.RPS,
			Need: requestsPerNode * float64(max(facts.Nodes, 1)), Why: "for so many controllers",
		},
		{
			Field: "facts.cloud.rps", Have: facts.Cloud.RPS,
			Need: requestsPerSecond / scaleOutRequestsShare, Why: why + " that are rented within two minutes",
		},
	}
}

// Records is how many records of the key-value store hold the placements of a full fleet.
func Records(limits settings.StateLimits, fleet Fleet) float64 {
	bytes := float64(fleet.Machines) * (machineRecordBytes + float64(fleet.TasksPerMachine)*placementRecordBytes)
	return math.Ceil(bytes / (limits.ValueKB * 1024 * recordFill))
}

// StartsPerSecond is how many tasks can at best be started in a second: those of the records that may be
// written in it.
func StartsPerSecond(limits settings.StateLimits, fleet Fleet) float64 {
	tasks := float64(fleet.Machines * fleet.TasksPerMachine)
	return tasks / Records(limits, fleet) * limits.WriteRPS * placementChangesShare
}
