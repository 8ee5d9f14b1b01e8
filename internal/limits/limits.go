// Package limits names the limits of a node and counts how often each is reached. What exceeds a limit is
// refused, split or paged, and always counted.
package limits

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Name is the name of a limit, as used in the log and in docs/scale.md.
type Name string

// The limits. docs/scale.md describes what each one counts and what happens when it is reached.
const (
	Machines        Name = "machines"         // machines of the fleet that fit into memory
	UnknownTasks    Name = "unknown_tasks"    // tasks reported by agents but placed by no owner
	RemovedMachines Name = "removed_machines" // removed machines kept until all owners know of the removal
	UpdateDetail    Name = "update_detail"    // tasks that an update lists individually
	TerminalStates  Name = "terminal_states"  // entries of the terminal-state cache
	StatusReads     Name = "status_reads"     // status reads waiting for a confirmation
	Cancellations   Name = "cancellation_log" // entries of the cancellation log
	Redirects       Name = "redirects"        // agents recorded as redirected to their machine's owner
	LoggedLines     Name = "logged_lines"     // log lines recorded as written, for deduplication
	Connections     Name = "connections"      // connections of users and agents
	PeerConnections Name = "peer_connections" // connections of other controllers
	Replies         Name = "replies"          // bytes of a reply received by this node
	Messages        Name = "messages"         // bytes of a message sent by mailbox
	CompletedTasks  Name = "finished_tasks"   // completed tasks that are not in their job's record yet
	MachineList     Name = "cloud_list"       // machines that the cloud lists
	EndedJobs       Name = "ended_jobs"       // jobs recorded as ended, so that no late copy restores them
	JobDescription  Name = "job_description"  // bytes of a job's record without its task ranges
	RecordSize      Name = "record_size"      // bytes of a shard record; a larger one must be split
)

// Counts has the number of times that each limit was reached. It is not safe for concurrent use.
type Counts map[Name]uint64

// Record counts that a limit was reached.
func (c Counts) Record(name Name) { c[name]++ }

// SnapshotAndReset returns the counts and resets them.
func (c Counts) SnapshotAndReset() Counts {
	snapshot := maps.Clone(c)
	clear(c)
	return snapshot
}

// Add adds other counts to these.
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
