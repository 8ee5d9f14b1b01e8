// Package scheduler decides for the leader: it admits tasks under the teams' limits, serves
// the teams' queues by shares, and splits jobs over owners by free room. It is pure: time and
// owners' updates go in, assignments come out.
//
// ledger.go keeps what every machine and job holds, order.go the order of service, cycle.go
// runs a scheduling cycle, assign.go picks machines and gives them tasks, preempt.go makes
// room, failures.go judges machines and jobs that fail, and compaction.go takes finished tasks
// over into the jobs' records. The work of a cycle grows with what waits and with the machines
// that have room, not with all tasks.
package scheduler

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/partition"
)

// Config holds sizes and times.
type Config struct {
	MaxQueuedPerMachine int           // most tasks queued on a machine that has no room
	PreCommitWindow     time.Duration // as many as are likely to start within this
	Aging               time.Duration // waiting this long lifts work by one priority
	StarvationAfter     time.Duration // what was deferred for this long gets protectedShare of all room
	FailurePause        time.Duration // first pause of a job whose task failed
	MaxFailurePause     time.Duration
	QuarantineAfter     int // failures of different tasks that others complete
	ValueBytes          int
	MaxFinishedTasks    int                 // finished tasks that may stand in no job's record
	PreemptAfter        time.Duration       // work that may stop other work waits this long first
	ImagePatience       float64             // a room without the image is left to others for this part of a fetch
	PullGBPerS          func() float64      // how fast machines fetch
	MinRunBeforeStop    time.Duration       // a start that ran this long stands
	MaxPreemptionLoss   time.Duration       // of run time, for each task stopped
	Targets             map[string][]Target // by class of jobs
	GuaranteeWithin     time.Duration       // work within a guarantee is to start within this; 0: there is no such aim
}

// Target is what is expected of a class of jobs: to have started or to be
// complete within a time, or within so many times its deadline.
type Target struct {
	Start  bool
	Within time.Duration
	Times  float64
}

// Team is a team of the settings.
type Team struct {
	Name      string
	Guarantee job.Resources
	Limit     job.Resources
	Weight    float64 // 0: the guarantee is the share
	used      job.Resources
	queued    float64 // CPUs of what waits on machines
}

// Used is what a team holds.
func (t *Team) Used() job.Resources { return t.used }

// QueuedCPUs is the part of it that waits on machines for room.
func (t *Team) QueuedCPUs() float64 { return t.queued }

// shareUsed is what a team uses of its share.
func (t *Team) shareUsed() float64 { return t.used.CPUs / t.weight() }

func (t *Team) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return max(t.Guarantee.CPUs, 1)
}

// Scheduler is the ledger of one view.
type Scheduler struct {
	cfg        Config
	Teams      []Team
	byName     map[string]int
	jobs       *job.Cache
	owners     []ownerState
	capacityOf partition.CapacityOf
	version    uint64
	cycleTime  time.Time // of the cycle

	entries        map[string]*jobEntry
	machines       map[string]*Machine
	sortedMachines []*Machine // by id
	sorted         bool
	removed        map[string]uint64
	images         map[string]int32
	imageCount     map[int32]int // machines that have an image

	runTimes      map[string]*times
	forwards      []partition.ForwardRequest
	preempted     map[job.Task]time.Time
	failuresOf    map[string]map[job.Task]bool
	Quarantined   map[string]bool
	candidates    candidates // of the pass
	gangs         uint64
	finishedTasks int    // that stand in no job's record
	forgotten     uint64 // machines that went up to this version may be remembered no more
	Limits        limits.Counts
	servedCPUs    [2]float64 // CPUs given by the order of service, and to what is protected
	Counts        Counts
}

// Counts are the leader's totals. The tags are the names that `show` prints.
type Counts struct {
	Assigned            uint64 `msgpack:"Assigned"`
	Preempted           uint64 `msgpack:"Preempted"`
	StarvationProtected uint64 `msgpack:"StarvationProtected"`

	// Replicas that were given room, and how long they had waited for it in all.
	ReplicasAssigned uint64        `msgpack:"ReplicasAssigned"`
	ReplicaWait      time.Duration `msgpack:"ReplicaWait"`
}

// New makes the scheduler of a view with as many owners as it has members.
func New(cfg Config, teams []Team, owners int, capacityOf partition.CapacityOf, jobs *job.Cache) *Scheduler {
	d := &Scheduler{
		cfg: cfg, Teams: teams, byName: map[string]int{}, jobs: jobs, owners: make([]ownerState, owners), capacityOf: capacityOf,
		entries: map[string]*jobEntry{}, machines: map[string]*Machine{}, removed: map[string]uint64{}, images: map[string]int32{}, imageCount: map[int32]int{},
		Limits: limits.Counts{}, runTimes: map[string]*times{}, preempted: map[job.Task]time.Time{},
		failuresOf: map[string]map[job.Task]bool{}, Quarantined: map[string]bool{},
	}
	for i, t := range teams {
		d.byName[t.Name] = i
	}
	return d
}

// AllOwnersSynced tells whether every owner has shown what it holds.
func (s *Scheduler) AllOwnersSynced() bool {
	for _, o := range s.owners {
		if !o.synced {
			return false
		}
	}
	return true
}

// Job finds a live job.
func (s *Scheduler) Job(uid string) *job.CachedJob { return s.jobs.Get(uid) }
