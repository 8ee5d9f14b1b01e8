package statestore

import (
	"testing"
	"time"
)

// Occasional single refusals come from bursts of other nodes, and do not reduce the rate.
func TestSingleRefusalsDoNotReduceTheRate(t *testing.T) {
	learned := newLearnedRate()
	now := time.Unix(1_000_000, 0)
	for range 20 {
		if learned.recordRefusal(now) {
			t.Fatalf("the rate is cut by one refusal every %v", refusalWindow+time.Second)
		}
		now = now.Add(refusalWindow + time.Second)
	}
}
