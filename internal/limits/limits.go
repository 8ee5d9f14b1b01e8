// Package limits names the limits that a node keeps to and counts how often each is reached. None
// is reached in silence: what it holds back is refused, split or paged, and counted.
package limits

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Name is a limit, as the log and the operators' page name it.
type Name string

// The limits. docs/scale.md tells what each one counts and what happens when it is reached.
const (
	Machines        Name = "machines"         // that the memory can hold
	UnknownTasks    Name = "unknown_tasks"    // reported by workers and placed by nobody
	RemovedMachines Name = "removed_machines" // remembered for owners that have yet to hear of them
	UpdateDetail    Name = "update_detail"    // tasks that an update tells one by one
	TerminalStates  Name = "terminal_states"  // terminal states kept in memory
	StatusReads     Name = "status_reads"     // that wait for a confirmation
	Cancellations   Name = "cancellation_log" // entries that a log keeps for its peers
	Redirects       Name = "redirects"        // workers remembered as sent to their owner
	LoggedLines     Name = "logged_lines"     // lines remembered as logged
	Connections     Name = "connections"      // of users and workers
	PeerConnections Name = "peer_connections" // of other controllers
	Replies         Name = "replies"          // bytes of an answer
	Messages        Name = "messages"         // bytes of a message by mailbox
	FinishedTasks   Name = "finished_tasks"   // that no job's record has
	MachineList     Name = "cloud_list"       // machines that the cloud lists
	EndedJobs       Name = "ended_jobs"       // remembered so that no late copy brings them back
	JobDescription  Name = "job_description"  // bytes of a job's record beside its ranges
	RecordSize      Name = "record_size"      // bytes of a record that a machine's placements outgrow
)

// Counts is how often each limit was reached.
type Counts map[Name]uint64

// Record counts a limit that was reached.
func (c Counts) Record(name Name) { c[name]++ }

// SnapshotAndReset gives the counts and begins anew.
func (c Counts) SnapshotAndReset() Counts {
	taken := maps.Clone(c)
	clear(c)
	return taken
}

// Add adds other counts.
func (c Counts) Add(others Counts) {
	for name, n := range others {
		c[name] += n
	}
}

// Names lists the limits that were reached, sorted.
func (c Counts) Names() []Name { return slices.Sorted(maps.Keys(c)) }

// String gives the counts as "name=count" parted by spaces.
func (c Counts) String() string {
	var parts []string
	for _, name := range c.Names() {
		parts = append(parts, fmt.Sprintf("%s=%d", name, c[name]))
	}
	return strings.Join(parts, " ")
}
