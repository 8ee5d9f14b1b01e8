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
	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// cloudRetryDelay is the delay before a failed cloud call is retried.
const cloudRetryDelay = time.Second

// fleetScaler carries out the leader's fleet plans: it scales out, and maintains the lists of
// machines that their owners must evict or terminate.
//
// The state's lock guards waitLog and scaleOutCalls.
type fleetScaler struct {
	nodeName string
	state    *nodeState
	cloud    *cloud.Client
	logDedup *logDeduplicator
	log      *slog.Logger
	waitLog  *waitLog

	scaleOutCalls int // number of calls since the process started; makes the idempotency keys unique
	requests      sync.WaitGroup
}

func newFleetScaler(shared *sharedComponents) *fleetScaler {
	return &fleetScaler{
		nodeName: shared.settings.NodeName,
		state:    shared.state,
		cloud:    shared.cloud,
		logDedup: shared.logDedup,
		log:      shared.log,
		waitLog:  newWaitLog(shared.log),
	}
}

// plan requests machines for the waiting jobs and selects machines to evict or terminate. The fleet
// is known only from the owners' reports, so nothing is planned until all owners have called. The
// caller holds the state's lock; the requests run in their own goroutines until the context is
// cancelled.
func (f *fleetScaler) plan(ctx context.Context, now time.Time, waiting []*scheduler.WaitingJob) {
	leader := &f.state.leader
	if !leader.scheduler.AllOwnersSynced() || !leader.autoscaler.HasList() || len(leader.autoscaler.Catalogue) == 0 {
		return
	}
	plan := leader.autoscaler.Plan(now, leader.scheduler, waiting)
	f.logScaleIn(&plan)
	f.waitLog.observe(now, plan.Waits)
	leader.evict, leader.terminate, leader.waits = plan.Evict, plan.Terminate, plan.Waits
	for _, request := range plan.Requests {
		leader.autoscaler.RecordRequest(request)
		call := f.nextCall(request)
		planner := leader.autoscaler
		f.requests.Go(func() { f.scaleOut(ctx, planner, request, call) })
	}
}

// wait returns once all requests have finished.
func (f *fleetScaler) wait() { f.requests.Wait() }

// logScaleIn logs, once for each machine, that it is being evicted or terminated. The caller holds the
// state's lock.
func (f *fleetScaler) logScaleIn(plan *autoscaler.Plan) {
	for _, id := range plan.Evict {
		if f.logDedup.firstTime("evict " + id) {
			f.log.Info("machine evicting", "machine", id)
		}
	}
	for _, id := range plan.Terminate {
		if f.logDedup.firstTime("terminate " + id) {
			f.log.Info("machine terminating", "machine", id, "quarantined", f.state.leader.scheduler.Quarantined[id])
		}
	}
}

// nextCall returns the cloud call for a request, with a new idempotency key. The caller holds the
// state's lock.
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

// scaleOut makes a cloud call and records its outcome with the autoscaler that planned it.
func (f *fleetScaler) scaleOut(
	ctx context.Context, planner *autoscaler.Autoscaler, request autoscaler.Request, call protocol.ScaleOutRequest,
) {
	ids, err := f.cloud.ScaleOut(ctx, call)
	if errors.Is(err, cloud.ErrUnknown) {
		// A retry with the same idempotency key either scales out or returns the first call's result.
		ctxtime.Sleep(ctx, cloudRetryDelay)
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
		log.Debug("cloud has no capacity for the scale-out")
	default:
		planner.RecordFailure(request, now)
		log.Warn("scale out failed", "err", err)
	}
}
