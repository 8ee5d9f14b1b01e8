package sizing

import (
	"fmt"
	"math"

	"junipershelf/settings"
)

// Fleet is what is to be served.
type Fleet struct {
	Machines        int // 0: not told
	TasksPerMachine int // that run on a machine at a time
}

// Shortfall is a setting that cannot serve a fleet.
type Shortfall struct {
	Field      string
	Have, Need float64
	Why        string
	// Fatal says that nothing could be served at all.
	Fatal bool
}

// String names the field and the figure needed.
func (s Shortfall) String() string {
	return fmt.Sprintf("%s: %.4g is too little, %.4g is needed: %s", s.Field, s.Have, s.Need, s.Why)
}

// What a process needs to serve anything.
const (
	minValueKB = 1  // a job's record
	minSockets = 32 // the other controllers, the state service, the cloud, a few workers
)

// What a fleet needs of the settings.
const (
	// answerSeconds is how long an answer to a report may be held.
	answerSeconds = 2.0
	// replaceSeconds: after all controllers ended, or all machines did, the placements of the
	// whole fleet are to be written anew within this.
	replaceSeconds = 60.0
	// scaleOutSeconds: the whole fleet is to be rented within this.
	scaleOutSeconds = 120.0
	machinesPerCall = 50.0
	// A record's bytes for a machine and for each of its tasks, and how full records are.
	rowBytes       = 36.0
	placementBytes = 24.0
	recordFill     = 0.85
	// The parts of the state service's changes that placements have, and of the cloud's calls
	// that the leader has.
	placementShare = 0.9 * 0.85
	scaleOutShare  = 0.7
	// requestsPerNode is what a node calls beside commits: leases, the view, watches, polls.
	requestsPerNode = 12.0
	// What a leader's memory was seen to hold at its peak, after a change of leader in a storm.
	peakProcessBytes = 40 * megabyte
	peakMachineBytes = 17 << 10
	// cpuPerNode and cpuPerMachine are of a core, on the leader, measured; see docs/scale.md.
	cpuPerNode    = 0.02
	cpuPerMachine = 0.00012
)

// Check lists the settings that cannot serve a fleet.
func Check(facts settings.Facts, fleet Fleet) (short []Shortfall) {
	state := facts.Store.Effective()
	need := func(field string, have, least float64, why string, fatal bool) {
		if have < least {
			short = append(short, Shortfall{Field: field, Have: have, Need: least, Why: why, Fatal: fatal})
		}
	}
	need("facts.state.value_kb", state.ValueKB, minValueKB, "a job's record has no room", true)
	need("facts.resources.max_sockets", float64(facts.Resources.MaxSockets), minSockets, "the process itself needs them", true)
	need("facts.resources.mem_mb", facts.Resources.MemMB, processBytes/megabyte, "the process itself needs it", true)
	if fleet.Machines <= 0 || len(short) > 0 {
		return short
	}
	machines := float64(fleet.Machines)
	why := fmt.Sprintf("for %d machines of %d tasks", fleet.Machines, fleet.TasksPerMachine)
	others := float64(max(facts.Nodes-1, 1)) // that serve while one is away
	need("facts.resources.mem_mb", facts.Resources.MemMB, math.Ceil((peakProcessBytes+machines*peakMachineBytes)/megabyte), why, false)
	answering := machines / others / facts.Workers.HeartbeatIntervalS * answerSeconds
	need("facts.resources.max_sockets", float64(facts.Resources.MaxSockets), math.Ceil(answering/apiSocketShare), why+" that report to one controller fewer", false)
	need("facts.resources.cpu", facts.Resources.CPU, cpuPerNode+machines*cpuPerMachine, why, false)
	need("facts.state.write_rps", state.WriteRPS, math.Ceil(Records(state, fleet)/replaceSeconds/placementShare), why+" whose placements are written anew within a minute", false)
	need("facts.state.rps", state.RPS, requestsPerNode*float64(max(facts.Nodes, 1)), "for so many controllers", false)
	need("facts.cloud.rps", facts.Cloud.RPS, machines/machinesPerCall/scaleOutSeconds/scaleOutShare, why+" that are rented within two minutes", false)
	return short
}

// Records is how many records of the state service hold the placements of a full fleet.
func Records(state settings.StoreLimits, fleet Fleet) float64 {
	bytes := float64(fleet.Machines) * (rowBytes + float64(fleet.TasksPerMachine)*placementBytes)
	return math.Ceil(bytes / (state.ValueKB * 1024 * recordFill))
}

// StartsPerSecond is how many tasks can at best be started in a second: as many as the records
// hold that may be written.
func StartsPerSecond(state settings.StoreLimits, fleet Fleet) float64 {
	tasks := float64(fleet.Machines * fleet.TasksPerMachine)
	return tasks / Records(state, fleet) * state.WriteRPS * placementShare
}
