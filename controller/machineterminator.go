package controller

import (
	"context"
	"log/slog"
	"time"

	"junipershelf/cloud"
	"junipershelf/membership"
	"junipershelf/partition"
)

// scaleInInterval is how often an owner looks for machines to terminate.
const scaleInInterval = 500 * time.Millisecond

// machineTerminator scales in: it terminates the machines of this node's partition that are to
// go. It has no state of its own.
type machineTerminator struct {
	state        *nodeState
	membership   *membership.Membership
	cloud        *cloud.Client
	log          *slog.Logger
	commitWanted chan struct{}
}

func newMachineTerminator(shared *sharedComponents) *machineTerminator {
	return &machineTerminator{
		state:        shared.state,
		membership:   shared.membership,
		cloud:        shared.cloud,
		log:          shared.log,
		commitWanted: shared.commitWanted,
	}
}

// run terminates machines until the context ends.
func (t *machineTerminator) run(ctx context.Context) {
	for pause := scaleInInterval; sleep(ctx, pause); {
		pause = t.terminateOnce(ctx)
	}
}

// terminateOnce makes one call of the cloud if there are machines to terminate, and returns
// the pause until the next look.
func (t *machineTerminator) terminateOnce(ctx context.Context) time.Duration {
	p, ids := t.machinesToTerminate()
	if len(ids) == 0 {
		return scaleInInterval
	}
	if err := t.cloud.Terminate(ctx, ids); err != nil {
		t.log.Debug("scale in failed", "err", err)
		return cloudRetry
	}
	t.recordTerminated(p, ids)
	return scaleInInterval
}

// machinesToTerminate returns the machines that one call may terminate now, and the partition
// that they belong to. There are none without a valid lease.
func (t *machineTerminator) machinesToTerminate() (*partition.Partition, []string) {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	p := t.state.current.partition
	if p == nil || !t.membership.HoldsLease(t.state.current.view.Number) {
		return nil, nil
	}
	ids := p.MachinesToTerminate(time.Now())
	return p, ids[:min(len(ids), cloud.MaxTerminate)]
}

// recordTerminated records that the cloud has terminated machines, unless the node has another
// partition by now.
func (t *machineTerminator) recordTerminated(p *partition.Partition, ids []string) {
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	if t.state.current.partition != p {
		return
	}
	p.HandleTerminated(ids, time.Now())
	t.log.Info("machines terminated", "machines", ids)
	signal(t.commitWanted)
}
