package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/cloud"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// cloudRetry is the pause after a call of the cloud failed.
const cloudRetry = time.Second

// fleetScaler carries out the leader's plans of the fleet: it scales out, and keeps the lists
// of machines that their owners are to evict or to terminate.
//
// The state's lock guards scaleOutCalls.
type fleetScaler struct {
	nodeName string
	state    *nodeState
	cloud    *cloud.Client
	logDedup *logDeduplicator
	log      *slog.Logger

	scaleOutCalls int // since the process started; numbers the idempotency keys
	requests      sync.WaitGroup
}

func newFleetScaler(shared *sharedComponents) *fleetScaler {
	return &fleetScaler{
		nodeName: shared.settings.NodeName,
		state:    shared.state,
		cloud:    shared.cloud,
		logDedup: shared.logDedup,
		log:      shared.log,
	}
}

// plan requests the machines that waiting work needs and picks those to evict or to terminate.
// Nothing is known of the fleet but what owners have reported: it is not planned until all of
// them have called. The caller holds the state's lock; the requests run beside it, until the
// context ends.
func (f *fleetScaler) plan(ctx context.Context, now time.Time, waiting []*scheduler.WaitingJob) {
	leader := &f.state.leader
	if !leader.scheduler.AllOwnersSynced() || !leader.autoscaler.HasList() || len(leader.autoscaler.Catalogue) == 0 {
		return
	}
	plan := leader.autoscaler.Plan(now, leader.scheduler, waiting)
	f.logScaleIn(&plan)
	leader.evict, leader.terminate = plan.Evict, plan.Terminate
	for _, request := range plan.Requests {
		leader.autoscaler.RecordRequest(request)
		call := f.nextCall(request)
		planner := leader.autoscaler
		f.requests.Go(func() { f.scaleOut(ctx, planner, request, call) })
	}
}

// wait returns once all requests have ended.
func (f *fleetScaler) wait() { f.requests.Wait() }

// logScaleIn logs each machine that is to be evicted or terminated, once. The caller holds the
// state's lock.
func (f *fleetScaler) logScaleIn(plan *autoscaler.Plan) {
	for _, id := range plan.Evict {
		if f.logDedup.first("evict " + id) {
			f.log.Info("machine evicting", "machine", id)
		}
	}
	for _, id := range plan.Terminate {
		if f.logDedup.first("terminate " + id) {
			f.log.Info("machine terminating", "machine", id, "quarantined", f.state.leader.scheduler.Quarantined[id])
		}
	}
}

// nextCall returns the call of the cloud for a request, with an idempotency key of its own.
// The caller holds the state's lock.
func (f *fleetScaler) nextCall(request autoscaler.Request) protocol.ScaleOutRequest {
	f.scaleOutCalls++
	return protocol.ScaleOutRequest{
		IdempotencyKey: fmt.Sprintf("%s-%d-%d", f.nodeName, f.state.current.view.Number, f.scaleOutCalls),
		MachineType:    request.MachineType,
		Zone:           request.Zone,
		Spot:           request.Spot,
		Count:          request.Count,
	}
}

// scaleOut makes a call of the cloud and records its outcome with the autoscaler that planned
// it.
func (f *fleetScaler) scaleOut(
	ctx context.Context, planner *autoscaler.Autoscaler, request autoscaler.Request, call protocol.ScaleOutRequest,
) {
	ids, err := f.cloud.ScaleOut(ctx, call)
	if errors.Is(err, cloud.ErrUnknown) {
		// The same idempotency key again either scales out or returns what the first call did.
		sleep(ctx, cloudRetry)
		ids, err = f.cloud.ScaleOut(ctx, call)
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	now := time.Now()
	log := f.log.With("type", request.MachineType, "zone", request.Zone, "spot", request.Spot)
	switch {
	case err == nil:
		planner.RecordGrant(request, ids, now)
		log.Info("scaled out", "wanted", request.Count, "got", len(ids))
	case errors.Is(err, cloud.ErrNoCapacity):
		planner.RecordNoCapacity(request, now)
		log.Debug("no capacity")
	default:
		planner.RecordFailure(request, now)
		log.Warn("scale out failed", "err", err)
	}
}
