package protocol

// CommandKind is the kind of a command to an agent.
type CommandKind string

// The kinds of commands, by their names on the wire. An agent executes commands in order.
// Repeating one is safe, except for a start after a forget: the attempt would run again.
const (
	CommandForget CommandKind = "forget" // omit an ended task from the heartbeats
	CommandStop   CommandKind = "kill"   // stop a task, after a last checkpoint if there is time for one
	CommandStart  CommandKind = "start"  // start an attempt at a task
)

// Command is a command to an agent for one attempt at a task.
type Command struct {
	Kind    CommandKind `cbor:"verb"`
	Task    string      `cbor:"piece"` // see TaskName
	Attempt uint64      `cbor:"try"`
	// GraceS is the grace period of a CommandStop, in seconds, in which the task may write a
	// checkpoint. If it is shorter than the task needs for one, the task ends at once.
	GraceS *float64 `cbor:"wind_down_s,omitempty"`
}

// DirectCommands is the body of a request that sends commands to an agent, outside of the
// reply to a heartbeat.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton"` // see Heartbeat.FencingToken
	AgentEpoch   uint64    `cbor:"shift"` // see Heartbeat.AgentEpoch
	Commands     []Command `cbor:"orders"`
}
