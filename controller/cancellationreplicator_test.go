package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A cancellation that nobody replicates delays its user for the timeout and no longer.
func TestReplicationTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicator := newCancellationReplicator(nil, 1, func() { t.Error("no room") })
		began := time.Now()
		replicator.replicate(t.Context())
		if waited := time.Since(began); waited != replicationTimeout {
			t.Errorf("waited for %v", waited)
		}
	})
}

// One cancellation more than may wait is not waited for; a round ends all that wait.
func TestReplicationRoundReleasesAllWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused, rounds := 0, 0
		replicator := newCancellationReplicator(func(context.Context) { rounds++ }, 2, func() { refused++ })
		began := time.Now()
		served := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				replicator.replicate(t.Context())
				served <- time.Since(began)
			}()
		}
		synctest.Wait()
		replicator.replicate(t.Context())
		if waited := time.Since(began); waited != 0 || refused != 1 {
			t.Errorf("without room: waited for %v, refused %d times", waited, refused)
		}
		replicator.runRound(t.Context(), replicator.pending())
		for range 2 {
			if waited := <-served; waited != 0 {
				t.Errorf("served after %v", waited)
			}
		}
		if rounds != 1 {
			t.Errorf("%d rounds of pings", rounds)
		}
	})
}
