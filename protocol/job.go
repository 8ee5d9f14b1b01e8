package protocol

import "regexp"

// JobSpec is a job as its user submits it, and as the key-value store keeps it.
type JobSpec struct {
	UID                 string   `cbor:"uid"`          // chosen by the user; see ValidJobID
	Class               string   `cbor:"queue"`        // the class of jobs that service-level objectives apply to
	Team                string   `cbor:"owner"`        // whose guarantee and limit apply
	Shape               Shape    `cbor:"shape"`        // how the tasks run
	Priority            Priority `cbor:"urgency"`      // how urgent the job is
	Tasks               int      `cbor:"pieces"`       // number of tasks, at most MaxTasks
	CPUs                float64  `cbor:"cpus"`         // of each task
	Accelerators        float64  `cbor:"accelerators"` // of each task
	MemGB               float64  `cbor:"mem_gb"`       // of each task, in GB
	Image               string   `cbor:"bundle"`       // the image that a machine must have before a task can start
	ImageGB             float64  `cbor:"size_gb"`      // size of the image, in GB
	MachineTypes        []string `cbor:"flavors"`      // the machine types allowed; none given: any
	Zone                string   `cbor:"yard"`         // the only zone allowed; empty: any
	SameZone            bool     `cbor:"together"`     // all tasks run in one zone
	SpreadZones         bool     `cbor:"scatter"`      // at most half of the tasks, rounded up, run in one zone
	SpotAllowed         bool     `cbor:"borrowed"`     // tasks may run on spot machines
	ExpectedS           float64  `cbor:"expected_s"`   // the user's estimate of a task's run time without the image fetch, in seconds
	CheckpointIntervalS float64  `cbor:"snapshot_s"`   // progress between two checkpoints, in seconds; 0: a task has none
	CheckpointDurationS float64  `cbor:"stash_s"`      // time that a stopped task needs for a checkpoint, in seconds
	DeadlineS           float64  `cbor:"due_s"`        // seconds from submission to when the job should be complete; 0: no deadline
}

// Shape says how the tasks of a job run.
type Shape string

// The shapes of jobs, in the wire's words.
const (
	ShapeArray   Shape = "array"  // a job array: independent tasks that complete
	ShapeGang    Shape = "group"  // gang scheduling: the tasks run only all together
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
	Done    *int   `cbor:"done,omitempty"`    // number of completed tasks; nil where it is not reported
	Running *int   `cbor:"running,omitempty"` // number of running tasks; nil where it is not reported
}
