// Package sizing derives a node's limits from the settings, and finds the settings that are insufficient for
// a fleet of a given size. It does no I/O and keeps no state. docs/scale.md explains its figures.
package sizing

import "junipershelf/settings"

const megabyte = 1 << 20

// Memory use of a node in bytes: the process itself, each machine of the fleet on the leader, and each
// connection of an agent or user.
const (
	processBytes    = 24 * megabyte
	machineBytes    = 9 << 10
	connectionBytes = 18 << 10
)

// Shares of the memory from which limits are derived. Their sum may exceed 1 because not all of them are
// used at the same time.
const (
	machineShare    = 0.6
	connectionShare = 0.25
	replyShare      = 0.125
)

// completedTasksPerMB is how many completed tasks may wait to be added to their job's record, for each
// MB of the process's memory. At this limit they take about a tenth of the memory.
const completedTasksPerMB = 1600

// The minimum of each limit.
const (
	minMachines        = 64
	minConnections     = 64
	minPeerConnections = 24
	minStatusReads     = 512
	minLogEntries      = 4096
	minMessageEntries  = 256
	minReplyBytes      = 4 * megabyte
)

const (
	// cancellationLogSeconds is the number of seconds for which the cancellation log keeps confirmed
	// cancellations for unreachable peers, at the maximum rate of cancellations.
	cancellationLogSeconds = 60
	// changesPerCancellation is the number of changes in the key-value store for one cancellation.
	changesPerCancellation = 2
)

// Shares of the process's sockets: one for users and agents, and one for other nodes. The rest is for
// outgoing calls.
const (
	apiSocketShare  = 0.75
	peerSocketShare = 0.1
)

// Limits has a node's maximum for each quantity that could otherwise exhaust its memory or sockets.
type Limits struct {
	Machines           int // in the whole fleet
	Connections        int // from users and agents
	PeerConnections    int // from all other controllers
	ConnectionsPerPeer int // to each other controller
	StatusReads        int // waiting for a confirmation
	LogEntries         int // in the cancellation log
	MessageEntries     int // of the cancellation log in one message
	CompletedTasks     int // not yet in their job's record
	ReplyBytes         int // in one reply or message from another process
}

// LimitsFor derives the limits of a node from the facts in the settings.
func LimitsFor(facts settings.Facts) Limits {
	memory := facts.Resources.MemMB * megabyte
	free := memory - processBytes
	sockets := float64(facts.Resources.MaxSockets)
	connections := min(int(sockets*apiSocketShare), int(free*connectionShare/connectionBytes))
	peerConnections := max(int(sockets*peerSocketShare), minPeerConnections)
	cancellationsPerSecond := facts.Store.WriteRPS / changesPerCancellation
	return Limits{
		Machines:           max(int(free*machineShare/machineBytes), minMachines),
		Connections:        max(connections, minConnections),
		PeerConnections:    peerConnections,
		ConnectionsPerPeer: max(peerConnections/max(facts.Nodes-1, 1), minPeerConnections),
		StatusReads:        max(connections, minStatusReads),
		LogEntries:         max(int(cancellationsPerSecond*cancellationLogSeconds), minLogEntries),
		MessageEntries:     max(int(cancellationsPerSecond), minMessageEntries),
		CompletedTasks:     int(facts.Resources.MemMB * completedTasksPerMB),
		ReplyBytes:         max(int(memory*replyShare), minReplyBytes),
	}
}
