package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// The confirmation of a cancellation that is not replicated is delayed by exactly the timeout.
func TestReplicationTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		replicator := newCancellationReplicator(nil, 1, func() { t.Error("the limit of waiting cancellations was reached") })
		began := time.Now()
		replicator.replicate(t.Context())
		if waited := time.Since(began); waited != replicationTimeout {
			t.Errorf("waited for %v, want %v", waited, replicationTimeout)
		}
	})
}

// A cancellation beyond the limit does not wait; a replication round releases all waiting ones.
func TestReplicationRoundReleasesAllWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused, rounds := 0, 0
		replicator := newCancellationReplicator(func(context.Context) { rounds++ }, 2, func() { refused++ })
		began := time.Now()
		released := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				replicator.replicate(t.Context())
				released <- time.Since(began)
			}()
		}
		synctest.Wait()
		replicator.replicate(t.Context())
		if waited := time.Since(began); waited != 0 || refused != 1 {
			t.Errorf("cancellation beyond the limit: waited for %v, refused %d times; want 0s, once", waited, refused)
		}
		replicator.runRound(t.Context(), replicator.pending())
		for range 2 {
			if waited := <-released; waited != 0 {
				t.Errorf("released after %v, want 0s", waited)
			}
		}
		if rounds != 1 {
			t.Errorf("%d rounds of pings, want 1", rounds)
		}
	})
}
