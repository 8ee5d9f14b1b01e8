package statestore

import (
	"testing"
	"time"
)

// A burst of the other nodes is no limit: a single refusal now and then changes nothing.
func TestSingleRefusalsDoNotSlowDown(t *testing.T) {
	learned := newLearnedRate()
	now := time.Unix(1_000_000, 0)
	for range 20 {
		if learned.recordRefusal(now) {
			t.Fatal("cut by a refusal each four seconds")
		}
		now = now.Add(refusalWindow + time.Second)
	}
}
