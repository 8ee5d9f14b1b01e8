package protocol

// CommandKind is what a command has a worker agent do.
type CommandKind string

// The commands, in the wire's words. An agent executes them in order, and all may be
// repeated, but for a start after a forget: the attempt would run again.
const (
	CommandForget CommandKind = "forget" // drop an ended task from the heartbeats
	CommandStop   CommandKind = "kill"   // stop a task, with a last checkpoint if there is time for it
	CommandStart  CommandKind = "start"  // start an attempt at a task
)

// Command is a command to a worker agent about one attempt at a task.
type Command struct {
	Kind    CommandKind `cbor:"verb"`
	Task    string      `cbor:"piece"` // see TaskName
	Attempt uint64      `cbor:"try"`
	// GraceS is the wire's wind_down_s: the seconds that a stopped task may take for a
	// checkpoint. With fewer than the task needs for one it ends at once. Only for CommandStop.
	GraceS *float64 `cbor:"wind_down_s,omitempty"`
}

// DirectCommands is the body of commands that are sent to a worker agent by themselves, not
// in the reply to a heartbeat.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton"` // see Heartbeat.FencingToken
	AgentEpoch   uint64    `cbor:"shift"` // see Heartbeat.AgentEpoch
	Commands     []Command `cbor:"orders"`
}
