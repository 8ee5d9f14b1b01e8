package controller

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/settings"
)

// newTestConfirmer returns the confirmer of a node with a peer b, and the recorder of its terminal states.
// Each round of pings calls onPing with the peer tracker.
func newTestConfirmer(ctx context.Context, onPing func(*peerTracker)) (*cancellationConfirmer, *terminalStateRecorder) {
	state := newNodeState(nil, newLimitCounter(slog.New(slog.DiscardHandler)))
	recorder := &terminalStateRecorder{state: state, cancellations: newTestLog(7)}
	tracker := newPeerTracker([]settings.Peer{{NodeName: "b"}})
	replicator := newCancellationReplicator(func(context.Context) { onPing(tracker) }, 8, func() {})
	go replicator.run(ctx)
	return &cancellationConfirmer{
		nodeName:   "a",
		state:      state,
		membership: membership.New("a", nil, membership.Config{}, slog.New(slog.DiscardHandler)),
		tracker:    tracker,
		replicator: replicator,
		metrics:    &nodeMetrics{},
		log:        slog.New(slog.DiscardHandler),
	}, recorder
}

// acknowledge records that b has received entries of the log of newTestConfirmer.
func acknowledge(tracker *peerTracker, entries uint64) {
	tracker.observePing(&peer.Ping{Node: "b", LogID: 1, PeerLogID: 7, PeerLogReceived: entries}, time.Now(), time.Now())
}

// A cancellation is confirmed as soon as all peers have acknowledged it, and without their
// acknowledgement only after a start lease.
func TestCancellationIsConfirmedByPeersOrAfterStartLease(t *testing.T) {
	for _, test := range []struct {
		name         string
		acknowledged uint64
		want         time.Duration
	}{
		{"acknowledged", 2, 0},
		{"an-earlier-one-acknowledged", 1, membership.StartLeaseExpiry},
		{"none-acknowledged", 0, membership.StartLeaseExpiry},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				confirmer, recorder := newTestConfirmer(ctx, func(tracker *peerTracker) { acknowledge(tracker, test.acknowledged) })
				recorder.record("wk-1", job.TerminalState{Status: job.StatusCancelled})
				recorder.record("wk-2", job.TerminalState{Status: job.StatusCancelled})
				began := time.Now()
				if !confirmer.await(ctx, "wk-2", began.Add(time.Minute)) {
					t.Error("the cancellation is not confirmed")
				}
				if waited := time.Since(began); waited < test.want || waited > test.want+cancellationCheckInterval {
					t.Errorf("confirmed after %v, want %v", waited, test.want)
				}
			})
		})
	}
}

// A cancellation that has not taken effect by the deadline is not confirmed, nor is one that is not in
// this node's memory.
func TestCancellationIsNotConfirmedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		confirmer, recorder := newTestConfirmer(ctx, func(*peerTracker) {})
		recorder.record("wk-1", job.TerminalState{Status: job.StatusCancelled})
		began := time.Now()
		if confirmer.await(ctx, "wk-1", began.Add(time.Second)) {
			t.Error("confirmed although the peer may start tasks of the job")
		}
		if waited := time.Since(began); waited != time.Second {
			t.Errorf("waited for %v, want %v", waited, time.Second)
		}
		if confirmer.await(ctx, "wk-2", time.Now().Add(time.Minute)) {
			t.Error("the cancellation of an unknown job is confirmed")
		}
		want := workCounts{cancellations: 1, cancellationTimeouts: 1, longestCancellation: time.Second}
		if got := confirmer.metrics.snapshotAndReset(); got != want {
			t.Errorf("metrics %+v, want %+v", got, want)
		}
	})
}
