package protocol

import "strings"

// TaskStatus is the state of a task on its machine.
type TaskStatus string

// The states that worker agents report, in the wire's words.
const (
	TaskFetching      TaskStatus = "fetching" // waits for its image
	TaskWaiting       TaskStatus = "waiting"
	TaskRunning       TaskStatus = "running"
	TaskCheckpointing TaskStatus = "saving" // was stopped and writes a last checkpoint
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

// The causes that the service distinguishes, in the wire's words; all others are failures.
const (
	CauseDone         EndCause = "done"    // completed
	CauseStopped      EndCause = "halted"  // stopped by a command
	CauseError        EndCause = "error"   // failed
	CauseNoRoom       EndCause = "full"    // start refused: not enough free resources on the machine
	CauseOtherAttempt EndCause = "busy"    // start refused: the machine has another attempt at the task
	CauseNoSuchTask   EndCause = "no_such" // start refused: no such job or task
)

// ReportedTask is a task in a heartbeat.
type ReportedTask struct {
	Task         string     `cbor:"piece"` // see TaskName
	Attempt      uint64     `cbor:"try"`
	Status       TaskStatus `cbor:"status"`
	Cause        EndCause   `cbor:"cause"` // of TaskEnded
	Checkpointed bool       `cbor:"kept"`  // the stopped task's progress was saved
}

// Heartbeat is a worker agent's heartbeat, with the status of all that its machine runs.
// The wire calls it a report.
type Heartbeat struct {
	Machine     string // id of the machine
	Endpoint    string // address of the agent, host and port
	MachineType string
	Zone        string
	Spot        bool
	// AgentEpoch starts at 1 and rises each time that the agent's lease expires, by which it
	// has dropped all of its tasks.
	AgentEpoch uint64
	// Sequence rises with each message of the agent. Of two heartbeats, that with the larger
	// epoch is the newer one, and within an epoch that with the larger sequence.
	Sequence uint64
	// FencingToken is the highest that the agent has seen. It ignores commands with a lower one.
	FencingToken uint64
	// PreemptionNoticeS is the time until the cloud takes a spot machine back, in seconds; nil
	// when there is no notice.
	PreemptionNoticeS *float64
	Tasks             []ReportedTask // all tasks on the machine, with those that ended until a CommandForget
}

// heartbeatBody is a heartbeat in the wire's words, in which a field that the body lacks is
// nil. When a field cannot be decoded, the text in the agent's 400 spells out the type, with
// the names of its fields. An alias keeps that text as it has always been.
type heartbeatBody = struct {
	Host     *string         `cbor:"host"`
	Endpoint *string         `cbor:"endpoint"`
	Flavor   *string         `cbor:"flavor"`
	Yard     *string         `cbor:"yard"`
	Borrowed *bool           `cbor:"borrowed"`
	Shift    *uint64         `cbor:"shift"`
	Tick     *uint64         `cbor:"tick"`
	Baton    *uint64         `cbor:"baton"`
	WarningS *float64        `cbor:"warning_s"`
	Pieces   *[]ReportedTask `cbor:"pieces"`
}

// Limits of a machine's id, which is a part of paths and keys.
const (
	maxMachineIDLength = 150 // bytes
	notInMachineID     = " /?#"
)

// ParseHeartbeat decodes and checks a heartbeat. Its error goes to the agent in a 400: a
// *ValidationError for the first field that is wrong, or why the body cannot be decoded.
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
	case *b.Host == "" || len(*b.Host) > maxMachineIDLength || strings.ContainsAny(*b.Host, notInMachineID):
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

// isComplete reports whether a body has all fields but the preemption notice, which most
// heartbeats lack.
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

// Redirect is the body of the response that sends a worker agent to another controller.
type Redirect struct {
	// Owner is the wire's foreman: the node that owns the machine. When it is empty the agent
	// tries the next node that it knows.
	Owner string `cbor:"foreman,omitempty"`
}
