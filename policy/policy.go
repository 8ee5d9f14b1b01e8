// Package policy reads the operators' policy file, a Starlark script whose global names set how
// the service schedules, preempts and scales. Names that the file omits keep the values of
// default.star, which describes each of them.
package policy

import (
	_ "embed"
	"os"
)

// Default is the text of the documented default policy.
//
//go:embed default.star
var Default string

const defaultFile = "default.star"

// Policy holds the values of a policy. The tags are the key in the file and the range of its
// values. A name that ends in S is a time in seconds.
type Policy struct {
	// Buddies is the number of machines at the head of a preferred list that take overflow.
	Buddies int `star:"buddies" min:"1" max:"1000"`
	// Threshold is the number of queued tasks beyond which a machine is overloaded.
	Threshold int `star:"threshold" min:"0" max:"1000"`
	// LocalWaitS is how long overflow waits at its machine before it is forwarded beyond the
	// buddy set.
	LocalWaitS float64 `star:"local_wait_s" min:"0.1" max:"3600"`
	// MaxQueuedPerMachine is the largest number of tasks that are pre-committed to a full
	// machine and queued there.
	MaxQueuedPerMachine int `star:"backlog" min:"0" max:"100"`
	// PreCommitWindowS is the time within which pre-committed tasks are likely to start, which
	// limits their number.
	PreCommitWindowS float64 `star:"ahead_s" min:"0" max:"600"`
	// ImageWaitFactor is the time for which a job leaves free capacity on machines without its
	// image to other jobs, as a multiple of the image's fetch time.
	ImageWaitFactor float64 `star:"image_patience" min:"0" max:"10"`

	// MemberLeaseShare is the duration of a controller's member lease, as a fraction of the
	// agents' lease.
	MemberLeaseShare float64 `star:"grant_part" min:"0.05" max:"0.9"`
	// OwnershipLeaseShare is the duration of a controller's lease on its machines, as a fraction
	// of the agents' lease.
	OwnershipLeaseShare float64 `star:"authority_part" min:"0.1" max:"0.95"`
	// SilentShare is how long a machine may go without a heartbeat before it is terminated, as
	// a fraction of the agents' lease.
	SilentShare float64 `star:"silent_part" min:"0.2" max:"100"`
	// MaxCacheStalenessS is the age of the job cache beyond which no task is started.
	MaxCacheStalenessS float64 `star:"stale_s" min:"3" max:"10"`

	// AgingS is a time in seconds; work rises by one priority rank for each AgingS that it has waited.
	AgingS float64 `star:"aging_s" min:"1" max:"1e6"`
	// StarvationAfterS is the waiting time after which deferred work is protected from
	// starvation: such work together gets a quarter of all assigned CPUs; 0: never.
	StarvationAfterS float64 `star:"put_off_s" min:"0" max:"200"`
	// PreemptAfterS is the waiting time after which work may preempt other work; 0: no
	// preemption.
	PreemptAfterS float64 `star:"preempt_s" min:"0" max:"3600"`
	// MaxPreemptionLossS is the longest run time that a preempted task may lose.
	MaxPreemptionLossS float64 `star:"preempt_loss_s" min:"0" max:"1e6"`
	// FailurePauseS is the first pause of a job that fails on all machines. Each pause is twice
	// as long as the previous one.
	FailurePauseS float64 `star:"fault_pause_s" min:"0.1" max:"60"`
	// MaxFailurePauseS is the longest such pause.
	MaxFailurePauseS float64 `star:"fault_max_s" min:"1" max:"3600"`
	// QuarantineAfter is the number of different tasks that must fail on a machine before it is
	// quarantined. Tasks of jobs that fail on all machines do not count.
	QuarantineAfter int `star:"sick_after" min:"1" max:"1000"`

	// IdleFactor is the time after which an idle machine is terminated, as a multiple of its
	// type's boot time.
	IdleFactor float64 `star:"idle_boots" min:"0" max:"1e6"`
	// MinRunBeforeStopS is how long a task must have run before it may be stopped to evict its
	// machine, and to count as started.
	MinRunBeforeStopS float64 `star:"settle_s" min:"0" max:"3600"`
	// EvictionHeadroom is the capacity that stays free when machines are evicted, as a fraction
	// of the capacity in use.
	EvictionHeadroom float64 `star:"spare" min:"0" max:"100"`
	// BootFactor is the time after which a machine that is still booting is terminated, as a
	// multiple of its type's boot time, to which BootSlackS is added.
	BootFactor float64 `star:"boot_factor" min:"1" max:"100"`
	// BootSlackS is added to the time given by BootFactor.
	BootSlackS float64 `star:"boot_slack_s" min:"0" max:"3600"`
	// NoCapacityPauseS is the pause of scaling out after the cloud had no capacity.
	NoCapacityPauseS float64 `star:"refusal_s" min:"0.5" max:"3600"`
	// OnDemandRank is the largest priority rank at which jobs that allow spot machines may use
	// on-demand machines as well; -1: none may.
	OnDemandRank int `star:"ordinary_rank" min:"-1" max:"3"`
	// OnDemandWaitS is the waiting time after which such jobs may use on-demand machines.
	OnDemandWaitS float64 `star:"ordinary_wait_s" min:"0" max:"1e6"`

	// FleetMachines is the largest expected number of machines, for which the settings are
	// checked; 0: not checked.
	FleetMachines int `star:"fleet_machines" min:"0" max:"1e6"`
	// TasksPerMachine is the number of tasks that run on each machine at the same time.
	TasksPerMachine int `star:"tasks_per_machine" min:"1" max:"1000"`

	// TeamWeights holds the weights of teams in the fair share, by name, under the key
	// team_weights. Those in a file are added to the default ones. The weight of a team without
	// one is the number of CPUs of its guarantee, but at least 1.
	TeamWeights map[string]float64
}

// Load reads a policy file, whose values replace those of the default; for an empty path it
// returns the default. The error is that of reading the file, or a *FileError.
func Load(path string) (*Policy, error) {
	p := &Policy{TeamWeights: map[string]float64{}}
	if err := p.applyScript(defaultFile, Default); err != nil {
		return nil, err
	}
	if path == "" {
		return p, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := p.applyScript(path, string(text)); err != nil {
		return nil, err
	}
	return p, nil
}
