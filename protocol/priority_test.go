package protocol_test

import (
	"testing"

	"junipershelf/protocol"
)

func TestPriorityRanks(t *testing.T) {
	for _, c := range []struct {
		priority protocol.Priority
		rank     int
		known    bool
	}{
		{protocol.PriorityCritical, 0, true},
		{protocol.PriorityUrgent, 1, true},
		{protocol.PriorityNormal, protocol.FirstNonUrgentRank, true},
		{protocol.PriorityBestEffort, 3, true},
		{"soon", 0, false},
		{"", 0, false},
	} {
		if rank, known := c.priority.Rank(); rank != c.rank || known != c.known {
			t.Errorf("%q: rank %d, known %v; want %d, %v", c.priority, rank, known, c.rank, c.known)
		}
	}
}
