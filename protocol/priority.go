package protocol

import "slices"

// Priority is how urgent a job is.
type Priority string

// The priorities that a job may have.
const (
	PriorityCritical   Priority = "critical"
	PriorityUrgent     Priority = "urgent"
	PriorityNormal     Priority = "normal"
	PriorityBestEffort Priority = "best_effort"
)

// Priorities lists the priorities by rank, the most urgent first.
var Priorities = []Priority{PriorityCritical, PriorityUrgent, PriorityNormal, PriorityBestEffort}

// FirstNonUrgentRank is the rank of PriorityNormal: jobs with a lower rank are urgent.
const FirstNonUrgentRank = 2

// Rank returns a priority's place in Priorities: 0 is the most urgent. For a priority that
// is not in the list it returns 0 and false.
func (p Priority) Rank() (rank int, known bool) {
	rank = slices.Index(Priorities, p)
	return max(0, rank), rank >= 0
}

func (p Priority) known() bool { return slices.Contains(Priorities, p) }
