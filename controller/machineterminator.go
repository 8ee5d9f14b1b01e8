package controller

import (
	"context"
	"log/slog"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
	"junipershelf/partition"
)

// scaleInInterval is the interval at which an owner checks for machines to terminate.
const scaleInInterval = 500 * time.Millisecond

// machineTerminator scales in: it terminates the machines of this node's partition that the
// partition has marked for termination. It is stateless.
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

// run terminates machines at intervals until the context is cancelled.
func (t *machineTerminator) run(ctx context.Context) {
	for pause := scaleInInterval; ctxtime.Sleep(ctx, pause); {
		pause = t.terminateOnce(ctx)
	}
}

// terminateOnce makes one cloud call if there are machines to terminate, and returns the delay until
// the next check.
func (t *machineTerminator) terminateOnce(ctx context.Context) time.Duration {
	p, ids := t.machinesToTerminate()
	if len(ids) == 0 {
		return scaleInInterval
	}
	if err := t.cloud.Terminate(ctx, ids); err != nil {
		t.log.Debug("scale in failed", "err", err)
		return cloudRetryDelay
	}
	t.recordTerminated(p, ids)
	return scaleInInterval
}

// machinesToTerminate returns the machines to terminate in one call, and their partition. It returns
// none while the node does not hold its lease.
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

// recordTerminated records that the cloud has terminated machines, unless the partition is no longer
// current.
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
