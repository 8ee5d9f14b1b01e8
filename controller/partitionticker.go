package controller

import (
	"context"
	"time"
)

// tickInterval is how often the partition receives the time.
const tickInterval = 200 * time.Millisecond

// partitionTicker lets time pass in this node's partition: leases expire, queued tasks become
// placements and overflow to other machines. It takes the lock of nodeState.
type partitionTicker struct {
	state        *nodeState
	commitWanted chan<- struct{}
}

// run ticks until the context ends.
func (t *partitionTicker) run(ctx context.Context) {
	for sleep(ctx, tickInterval) {
		t.tick()
	}
}

// tick lets time pass once, if this node has a partition.
func (t *partitionTicker) tick() {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	if p := t.state.current.partition; p != nil {
		p.Tick(time.Now())
		signal(t.commitWanted)
	}
}
