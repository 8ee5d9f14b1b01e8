package protocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// TaskStatus is what becomes of a task on its machine.
type TaskStatus string

// The states that workers report.
const (
	TaskFetching      TaskStatus = "fetching" // waits for its image
	TaskWaiting       TaskStatus = "waiting"
	TaskRunning       TaskStatus = "running"
	TaskCheckpointing TaskStatus = "saving" // was told to stop and saves its progress
	TaskEnded         TaskStatus = "ended"
)

// EndCause is why a task has ended.
type EndCause string

// The causes that the service tells apart; others are failures.
const (
	CauseDone         EndCause = "done"
	CauseStopped      EndCause = "halted" // stopped by command
	CauseError        EndCause = "error"
	CauseNoRoom       EndCause = "full"    // start refused for want of room on the machine
	CauseOtherAttempt EndCause = "busy"    // start refused: the task is there with another attempt
	CauseNoSuchTask   EndCause = "no_such" // start refused: no such task
)

// CommandKind is what a command tells a worker to do.
type CommandKind string

// The commands. Their order is that in which a worker is to carry them out.
const (
	CommandForget CommandKind = "forget" // drop an ended task from the reports
	CommandStop   CommandKind = "kill"
	CommandStart  CommandKind = "start"
)

// ReportedTask is a task as a worker reports it.
type ReportedTask struct {
	Task         string     `cbor:"piece"`
	Attempt      uint64     `cbor:"try"`
	Status       TaskStatus `cbor:"status"`
	Cause        EndCause   `cbor:"cause"`
	Checkpointed bool       `cbor:"kept"`
}

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine           string
	Endpoint          string
	MachineType       string
	Zone              string
	Spot              bool
	AgentEpoch        uint64
	Sequence          uint64
	FencingToken      uint64
	PreemptionNoticeS *float64
	Tasks             []ReportedTask
}

// ParseHeartbeat decodes and checks a report: every error is a 400.
func ParseHeartbeat(b []byte) (*Heartbeat, error) {
	var w struct {
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
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	if w.Host == nil || w.Endpoint == nil || w.Flavor == nil || w.Yard == nil || w.Borrowed == nil ||
		w.Shift == nil || w.Tick == nil || w.Baton == nil || w.Pieces == nil {
		return nil, errors.New("report: a field is missing")
	}
	if *w.Host == "" || len(*w.Host) > 150 || strings.ContainsAny(*w.Host, " /?#") {
		return nil, errors.New("host: invalid")
	}
	if w.WarningS != nil && (math.IsNaN(*w.WarningS) || math.IsInf(*w.WarningS, 0)) {
		return nil, errors.New("warning_s: invalid")
	}
	for _, p := range *w.Pieces {
		if _, _, err := ParseTaskName(p.Task); err != nil {
			return nil, err
		}
		switch p.Status {
		case TaskFetching, TaskWaiting, TaskRunning, TaskCheckpointing, TaskEnded:
		default:
			return nil, errors.New("pieces: unknown status")
		}
	}
	return &Heartbeat{
		Machine: *w.Host, Endpoint: *w.Endpoint, MachineType: *w.Flavor, Zone: *w.Yard, Spot: *w.Borrowed,
		AgentEpoch: *w.Shift, Sequence: *w.Tick, FencingToken: *w.Baton, PreemptionNoticeS: w.WarningS, Tasks: *w.Pieces,
	}, nil
}

// ParseTaskName takes a task's wire name apart.
func ParseTaskName(s string) (uid string, index int, err error) {
	uid, rest, ok := strings.Cut(s, "/")
	if ok {
		index, err = strconv.Atoi(rest)
	}
	if !ok || err != nil || uid == "" || index < 0 || index >= MaxTasks {
		return "", 0, fmt.Errorf("piece: %q is no task", s)
	}
	return uid, index, nil
}

// TaskName is a task's wire name.
func TaskName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// Command is a command to a worker.
type Command struct {
	Kind    CommandKind `cbor:"verb"`
	Task    string      `cbor:"piece"`
	Attempt uint64      `cbor:"try"`
	GraceS  *float64    `cbor:"wind_down_s,omitempty"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	Owner string `cbor:"foreman,omitempty"`
}

// DirectCommands is a direct command to a worker.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton"`
	AgentEpoch   uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}
