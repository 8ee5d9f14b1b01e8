package protocol

import "strings"

// TaskStatus is the state of a task on its machine.
type TaskStatus string

// The states that agents report, by their names on the wire.
const (
	TaskFetching      TaskStatus = "fetching" // waits for its image
	TaskWaiting       TaskStatus = "waiting"
	TaskRunning       TaskStatus = "running"
	TaskCheckpointing TaskStatus = "saving" // being stopped, while it writes a last checkpoint
	TaskEnded         TaskStatus = "ended"  // see EndCause
)

func (s TaskStatus) known() bool {
	switch s {
	case TaskFetching, TaskWaiting, TaskRunning, TaskCheckpointing, TaskEnded:
		return true
	default:
		return false
	}
}

// EndCause is why a task ended.
type EndCause string

// The causes that the service distinguishes, by their names on the wire; all others are failures.
const (
	CauseDone         EndCause = "done"    // completed
	CauseStopped      EndCause = "halted"  // stopped by a command
	CauseError        EndCause = "error"   // failed
	CauseNoCapacity   EndCause = "full"    // start rejected: not enough free resources on the machine
	CauseOtherAttempt EndCause = "busy"    // start rejected: the machine has another attempt at the task
	CauseNoSuchTask   EndCause = "no_such" // start rejected: no such job or task
)

// ReportedTask is a task in a heartbeat.
type ReportedTask struct {
	Task         string     `cbor:"piece"` // see TaskName
	Attempt      uint64     `cbor:"try"`
	Status       TaskStatus `cbor:"status"`
	Cause        EndCause   `cbor:"cause"` // only of an ended task
	Checkpointed bool       `cbor:"kept"`  // whether the progress of the stopped task was saved
}

// Heartbeat is an agent's heartbeat, with the status of all tasks on its machine. On the wire
// it is a report.
type Heartbeat struct {
	Machine     string // id of the machine
	Endpoint    string // address of the agent, host and port
	MachineType string
	Zone        string
	Spot        bool
	// AgentEpoch starts at 1 and increases each time that the agent's lease expires, when the
	// agent drops all of its tasks.
	AgentEpoch uint64
	// Sequence increases with each message of the agent. Of two heartbeats, the one with the
	// larger epoch is newer, and within an epoch the one with the larger sequence.
	Sequence uint64
	// FencingToken is the highest token that the agent has seen. The agent ignores commands with
	// a lower one.
	FencingToken uint64
	// PreemptionNoticeS is the time until the cloud reclaims a spot machine, in seconds; nil
	// if there is no notice.
	PreemptionNoticeS *float64
	Tasks             []ReportedTask // all tasks on the machine; ended ones are kept until a CommandForget
}

// heartbeatBody is a heartbeat as it is encoded; fields that the body lacks are nil. If a
// field cannot be decoded, the error that the agent gets in a 400 prints this type as an
// anonymous struct with its field names. To keep that text, the type must remain an alias and
// its fields must keep their names.
type heartbeatBody = struct {
	Host     *string         `cbor:"host"`
	Endpoint *string         `cbor:"endpoint"`
	Flavor   *string         `cbor:"flavor"`
	Yard     *string         `cbor:"yard"`
	Borrowed *bool           `cbor:"borrowed"`
	Shift    *uint64         `cbor:"shift"`
	Tick     *uint64         `cbor:"tick"` // Heartbeat.Sequence
	Baton    *uint64         `cbor:"baton"`
	WarningS *float64        `cbor:"warning_s"`
	Pieces   *[]ReportedTask `cbor:"pieces"`
}

// Limits of a machine's id, which becomes part of paths and keys.
const (
	maxMachineIDLength    = 150 // bytes
	invalidMachineIDChars = " /?#"
)

// ParseHeartbeat decodes and checks a heartbeat. The error is returned to the agent in a 400:
// a *ValidationError for the first invalid field, or that of decoding the body.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var b heartbeatBody
	if err := Unmarshal(body, &b); err != nil {
		return nil, err
	}
	if err := checkHeartbeat(&b); err != nil {
		return nil, err
	}
	return &Heartbeat{
		Machine:           *b.Host,
		Endpoint:          *b.Endpoint,
		MachineType:       *b.Flavor,
		Zone:              *b.Yard,
		Spot:              *b.Borrowed,
		AgentEpoch:        *b.Shift,
		Sequence:          *b.Tick,
		FencingToken:      *b.Baton,
		PreemptionNoticeS: b.WarningS,
		Tasks:             *b.Pieces,
	}, nil
}

// checkHeartbeat returns a *ValidationError for the first field that is missing or invalid.
func checkHeartbeat(b *heartbeatBody) error {
	switch {
	case !isComplete(b):
		return &ValidationError{"report", "a field is missing"}
	case *b.Host == "" || len(*b.Host) > maxMachineIDLength || strings.ContainsAny(*b.Host, invalidMachineIDChars):
		return &ValidationError{"host", "invalid"}
	case b.WarningS != nil && !finite(*b.WarningS):
		return &ValidationError{"warning_s", "invalid"}
	}
	for i := range *b.Pieces {
		if err := checkReportedTask(&(*b.Pieces)[i]); err != nil {
			return err
		}
	}
	return nil
}

// isComplete reports whether a body has all fields except the preemption notice, which most
// heartbeats omit.
func isComplete(b *heartbeatBody) bool {
	return b.Host != nil && b.Endpoint != nil && b.Flavor != nil && b.Yard != nil && b.Borrowed != nil &&
		b.Shift != nil && b.Tick != nil && b.Baton != nil && b.Pieces != nil
}

func checkReportedTask(task *ReportedTask) error {
	if _, _, err := ParseTaskName(task.Task); err != nil {
		return err
	}
	if !task.Status.known() {
		return &ValidationError{"pieces", "unknown status"}
	}
	return nil
}

// HeartbeatReply is the body of the response to a heartbeat that renews the agent's lease.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"baton"` // see Heartbeat.FencingToken
	Commands     []Command `cbor:"orders"`
}

// Redirect is the body of the response that sends an agent to another controller.
type Redirect struct {
	// Owner is the node that owns the machine, the foreman on the wire. If it is empty, the
	// agent tries the next node that it knows.
	Owner string `cbor:"foreman,omitempty"`
}
