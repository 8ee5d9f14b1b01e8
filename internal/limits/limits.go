// Package limits names the limits that a node keeps to and counts how often each is reached. None is reached
// in silence: what it holds back is refused, split or paged, and counted.
package limits

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Name is a limit, as the log and docs/scale.md name it.
type Name string

// The limits. docs/scale.md says what each one counts and what happens when it is reached.
const (
	Machines        Name = "machines"         // machines of the fleet that the memory can hold
	UnknownTasks    Name = "unknown_tasks"    // tasks reported by workers that no owner has placed
	RemovedMachines Name = "removed_machines" // removed machines remembered until all owners know of it
	UpdateDetail    Name = "update_detail"    // tasks that an update lists one by one
	TerminalStates  Name = "terminal_states"  // entries of the terminal-state cache
	StatusReads     Name = "status_reads"     // status reads that wait for a confirmation
	Cancellations   Name = "cancellation_log" // entries of the cancellation log
	Redirects       Name = "redirects"        // workers remembered as redirected to their owner
	LoggedLines     Name = "logged_lines"     // lines remembered as logged
	Connections     Name = "connections"      // connections of users and workers
	PeerConnections Name = "peer_connections" // connections of other controllers
	Replies         Name = "replies"          // bytes of a reply to this node
	Messages        Name = "messages"         // bytes of a message by mailbox
	FinishedTasks   Name = "finished_tasks"   // finished tasks that are not in their job's record yet
	MachineList     Name = "cloud_list"       // machines that the cloud lists
	EndedJobs       Name = "ended_jobs"       // jobs remembered as ended, so that no late copy restores them
	JobDescription  Name = "job_description"  // bytes of a job's record beside the ranges of its tasks
	RecordSize      Name = "record_size"      // bytes of a shard record, outgrown by a machine's placements
)

// Counts is how often each limit was reached. It is not safe for concurrent use.
type Counts map[Name]uint64

// Record counts a limit that was reached.
func (c Counts) Record(name Name) { c[name]++ }

// SnapshotAndReset returns the counts and begins anew.
func (c Counts) SnapshotAndReset() Counts {
	snapshot := maps.Clone(c)
	clear(c)
	return snapshot
}

// Add adds other counts.
func (c Counts) Add(others Counts) {
	for name, count := range others {
		c[name] += count
	}
}

// Names returns the limits that were reached, sorted.
func (c Counts) Names() []Name { return slices.Sorted(maps.Keys(c)) }

// String formats the counts as "name=count", sorted by name and separated by spaces.
func (c Counts) String() string {
	var parts []string
	for _, name := range c.Names() {
		parts = append(parts, fmt.Sprintf("%s=%d", name, c[name]))
	}
	return strings.Join(parts, " ")
}
