// Package sizing derives from the settings the limits that a node keeps to, and finds the settings that
// cannot serve a fleet of a given size. It does no I/O and keeps no state. Its figures are measured; see
// docs/scale.md.
package sizing

import "junipershelf/settings"

const megabyte = 1 << 20

// What a node's memory is used for, in bytes: the process itself, each machine of the fleet on the leader,
// and each connection of a worker or user.
const (
	processBytes    = 24 * megabyte
	machineBytes    = 9 << 10
	connectionBytes = 18 << 10
)

// Parts of the memory that limits are derived from. They overlap: not all is needed at once.
const (
	machineShare    = 0.6
	connectionShare = 0.25
	replyShare      = 0.125
)

// finishedTasksPerMB is how many finished tasks may wait for their job's record for each MB of memory:
// they take about a tenth of it.
const finishedTasksPerMB = 1600

// The minimum of each limit, however small the settings are.
const (
	minMachines        = 64
	minConnections     = 64
	minPeerConnections = 24
	minStatusReads     = 512
	minLogEntries      = 4096
	minMessageEntries  = 256
	minReplyBytes      = 4 * megabyte
)

// The cancellation log holds the confirmed cancellations of this many seconds at the highest rate, for peers
// that were away; each takes two changes of the key-value store.
const (
	cancellationLogSeconds = 60
	changesPerCancellation = 2
)

// Parts of the process's sockets: most are for users and workers, some for other nodes, and the rest for its
// own calls.
const (
	apiSocketShare  = 0.75
	peerSocketShare = 0.1
)

// Limits are the most that a node holds of each kind.
type Limits struct {
	Machines           int // of the whole fleet
	Connections        int // of users and workers
	PeerConnections    int // of all other controllers
	ConnectionsPerPeer int // to each other controller
	StatusReads        int // that wait for a confirmation
	LogEntries         int // of the cancellation log
	MessageEntries     int // of the cancellation log in one message
	FinishedTasks      int // that are not in their job's record yet
	ReplyBytes         int // of one reply or message of another process
}

// LimitsFor derives the limits from a deployment's facts.
func LimitsFor(facts settings.Facts) Limits {
	memory := facts.Resources.MemMB * megabyte
	free := memory - processBytes
	sockets := float64(facts.Resources.MaxSockets)
	connections := min(int(sockets*apiSocketShare), int(free*connectionShare/connectionBytes))
	peerConnections := max(int(sockets*peerSocketShare), minPeerConnections)
	cancellationsPerSecond := facts.State.WriteRPS / changesPerCancellation
	return Limits{
		Machines:           max(int(free*machineShare/machineBytes), minMachines),
		Connections:        max(connections, minConnections),
		PeerConnections:    peerConnections,
		ConnectionsPerPeer: max(peerConnections/max(facts.Nodes-1, 1), minPeerConnections),
		StatusReads:        max(connections, minStatusReads),
		LogEntries:         max(int(cancellationsPerSecond*cancellationLogSeconds), minLogEntries),
		MessageEntries:     max(int(cancellationsPerSecond), minMessageEntries),
		FinishedTasks:      int(facts.Resources.MemMB * finishedTasksPerMB),
		ReplyBytes:         max(int(memory*replyShare), minReplyBytes),
	}
}
