package controller

import (
	"context"
	"time"

	"junipershelf/internal/ctxtime"
)

// tickInterval is the interval at which the partition's time-based state is updated.
const tickInterval = 200 * time.Millisecond

// partitionTicker periodically updates the time-based state of this node's partition: it expires
// leases, and turns queued tasks into placements or moves them to other machines. It acquires
// nodeState.mu.
type partitionTicker struct {
	state        *nodeState
	commitWanted chan<- struct{}
}

// run ticks at intervals until the context is cancelled.
func (t *partitionTicker) run(ctx context.Context) {
	for ctxtime.Sleep(ctx, tickInterval) {
		t.tick()
	}
}

// tick updates the partition to the current time, if this node has one.
func (t *partitionTicker) tick() {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	if p := t.state.current.partition; p != nil {
		p.Tick(time.Now())
		signal(t.commitWanted)
	}
}
