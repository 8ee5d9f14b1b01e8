package protocol

import "regexp"

// JobSpec is a job as its user submits it, and as the key-value store keeps it.
type JobSpec struct {
	UID                 string   `cbor:"uid"`          // chosen by the user; see ValidJobID
	Class               string   `cbor:"queue"`        // class of jobs, to which service-level objectives apply
	Team                string   `cbor:"owner"`        // team whose guarantee and limit apply
	Shape               Shape    `cbor:"shape"`        // how the tasks run
	Priority            Priority `cbor:"urgency"`      // how urgent the job is
	Tasks               int      `cbor:"pieces"`       // number of tasks, at most MaxTasks
	CPUs                float64  `cbor:"cpus"`         // of each task
	Accelerators        float64  `cbor:"accelerators"` // of each task
	MemGB               float64  `cbor:"mem_gb"`       // of each task, in GB
	Image               string   `cbor:"bundle"`       // image that a machine must have before a task can start
	ImageGB             float64  `cbor:"size_gb"`      // size of the image, in GB
	MachineTypes        []string `cbor:"flavors"`      // allowed machine types; empty: any
	Zone                string   `cbor:"yard"`         // the only allowed zone; empty: any
	SameZone            bool     `cbor:"together"`     // all tasks run in one zone
	SpreadZones         bool     `cbor:"scatter"`      // at most half of the tasks, rounded up, run in one zone
	SpotAllowed         bool     `cbor:"borrowed"`     // tasks may run on spot machines
	ExpectedS           float64  `cbor:"expected_s"`   // the user's estimate of a task's run time without fetching the image, in seconds
	CheckpointIntervalS float64  `cbor:"snapshot_s"`   // progress between two checkpoints, in seconds; 0: a task has none
	CheckpointDurationS float64  `cbor:"stash_s"`      // time that a stopped task needs to write a checkpoint, in seconds
	DeadlineS           float64  `cbor:"due_s"`        // time from submission in which the job should complete, in seconds; 0: no deadline
}

// Shape says how the tasks of a job run.
type Shape string

// The shapes of jobs, by their names on the wire.
const (
	ShapeArray   Shape = "array"  // a job array: independent tasks that complete
	ShapeGang    Shape = "group"  // gang scheduling: all tasks run at the same time, or none does
	ShapeService Shape = "daemon" // replicas that run until the job is cancelled
)

func (s Shape) known() bool {
	switch s {
	case ShapeArray, ShapeGang, ShapeService:
		return true
	default:
		return false
	}
}

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100000

var jobIDForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID reports whether a job id has the form that users give it: "wk-" and digits.
func ValidJobID(id string) bool { return jobIDForm.MatchString(id) }

// JobStatus is the body of the response to a user's submission, poll or cancellation.
type JobStatus struct {
	UID     string `cbor:"uid"`
	Status  string `cbor:"status"`            // pending, running, done or cancelled
	Done    *int   `cbor:"done,omitempty"`    // number of completed tasks; nil if not reported
	Running *int   `cbor:"running,omitempty"` // number of running tasks; nil if not reported
}
