// Package sizing derives from the settings what a node can hold, and tells which settings
// cannot serve a fleet of a given size. It is pure. The figures that it rests on are measured,
// see docs/scale.md.
package sizing

import (
	"junipershelf/settings"
)

const megabyte = 1 << 20

// What a node's memory is used for, in bytes: itself, each machine of the fleet on the leader,
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

// finishedTasksPerMB is how many finished tasks may wait for their job's record for each MB of
// memory: about a tenth of it.
const finishedTasksPerMB = 1600

// The minimum of each limit, however small the settings are.
const (
	minMachines       = 64
	minConnections    = 64
	minPeerConns      = 24
	minPolls          = 512
	minLogEntries     = 4096
	minMessageEntries = 256
	minReplyBytes     = 4 * megabyte
)

// Parts of the process's sockets: most are for users and workers, some for other nodes, and
// the rest for its own calls.
const (
	apiSocketShare  = 0.75
	peerSocketShare = 0.1
)

// logSeconds is for how long of confirmed cancellations at the highest rate a node can tell a
// peer that was away; each takes two changes.
const (
	logSeconds             = 60
	changesPerCancellation = 2
)

// Limits are what a node holds at the most.
type Limits struct {
	Machines        int // of the whole fleet
	Connections     int // of users and workers
	PeerConnections int // of all other controllers
	PeerCalls       int // connections to each of them
	StatusReads     int // that wait for a confirmation
	LogEntries      int // of the log of cancellations
	MessageEntries  int // of them in one message
	FinishedTasks   int // that stand in no job's record
	ReplyBytes      int // of one answer or message of another process
}

// LimitsFor derives the limits from a deployment's facts.
func LimitsFor(facts settings.Facts) Limits {
	memory := facts.Resources.MemMB * megabyte
	sockets := float64(facts.Resources.MaxSockets)
	cancellations := facts.Store.WriteRPS / changesPerCancellation
	free := memory - processBytes
	connections := min(int(sockets*apiSocketShare), int(free*connectionShare/connectionBytes))
	peers := max(int(sockets*peerSocketShare), minPeerConns)
	return Limits{
		Machines:        max(int(free*machineShare/machineBytes), minMachines),
		Connections:     max(min(connections, int(sockets*apiSocketShare)), minConnections),
		PeerConnections: peers,
		PeerCalls:       max(peers/max(facts.Nodes-1, 1), minPeerConns),
		StatusReads:     max(connections, minPolls),
		LogEntries:      max(int(cancellations*logSeconds), minLogEntries),
		MessageEntries:  max(int(cancellations), minMessageEntries),
		FinishedTasks:   int(facts.Resources.MemMB * finishedTasksPerMB),
		ReplyBytes:      max(int(memory*replyShare), minReplyBytes),
	}
}
