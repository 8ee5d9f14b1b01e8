package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"junipershelf/api"
	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// recordGrowth is how much a job's record may grow, by its finished tasks.
	recordGrowth = 800
	// roundingError is allowed where a need is compared with a team's limit.
	roundingError = 1e-6
)

// Submit accepts a job once it stands in the state service.
func (c *Controller) Submit(ctx context.Context, spec *protocol.JobSpec) api.Response {
	refusal := c.checkFeasible(spec)
	if !c.userLimits.allow(callSubmit) {
		return unavailable
	}
	if refusal != nil {
		return c.knownStatusOr(ctx, spec.UID, *refusal)
	}
	if final, _ := c.cachedTerminalState(spec.UID); final != nil {
		return c.statusOf(spec.UID, jobState{terminal: final})
	}
	now := time.Now()
	rec := job.Record{Spec: *spec, SubmittedMS: now.UnixMilli()}
	transaction := protocol.Transaction{Guards: []protocol.Guard{{Key: job.Key(spec.UID)}, {Key: job.TerminalKey(spec.UID)}}}
	if err := transaction.Put(job.Key(spec.UID), rec); err != nil {
		return unavailable
	}
	if len(transaction.Changes[0].Data)+recordGrowth > c.store.ValueByteLimit() {
		c.limitCounts.record(limits.JobDescription)
		// One that was accepted under larger limits stays known.
		return c.knownStatusOr(ctx, spec.UID, api.ErrorResponse(http.StatusUnprocessableEntity, "the job's description is too large to keep"))
	}
	revision, err := c.commitForUser(ctx, transaction)
	var conflict *statestore.ConflictError
	switch {
	case err == nil:
		c.accepted(rec, revision, now)
		return api.Response{Code: http.StatusCreated, Body: protocol.JobStatus{UID: spec.UID, Status: job.StatusPending}}
	case errors.As(err, &conflict):
		return c.knownStatusOr(ctx, spec.UID, unavailable)
	}
	return unavailable
}

// commitForUser runs a transaction for a user's call.
func (c *Controller) commitForUser(ctx context.Context, t protocol.Transaction) (revision uint64, err error) {
	err = retryRateLimited(ctx, func(ctx context.Context) error {
		revision, err = c.store.Commit(ctx, statestore.PriorityUser, t)
		return err
	})
	return revision, err
}

// accepted takes a job that was just written into the mirror.
func (c *Controller) accepted(rec job.Record, revision uint64, now time.Time) {
	spec := &rec.Spec
	c.state.mu.Lock()
	err := c.state.jobs.Set(spec.UID, rec, revision, now)
	c.state.mu.Unlock()
	if err != nil {
		c.log.Error("a job's own record cannot be read", "job", spec.UID, "err", err)
	}
	c.log.Debug("job is accepted", "job", spec.UID, "class", spec.Class, "tasks", spec.Tasks, "cpus", spec.CPUs,
		"expected_s", spec.ExpectedS, "deadline_s", spec.DeadlineS, "image", spec.Image, "gb", spec.ImageGB, "after", time.Since(now))
}

// RejectSubmission answers a malformed submission with 400, unless it repeats one that was
// accepted. Only a job that this node has met is looked up: what nobody knows is not worth a
// call, and must not wait for a state service that is out.
func (c *Controller) RejectSubmission(ctx context.Context, uid, why string) api.Response {
	c.state.mu.Lock()
	_, known := c.state.terminalStates.get(uid)
	known = known || c.state.jobs.Get(uid) != nil || c.state.jobs.HasEnded(uid)
	c.state.mu.Unlock()
	if known {
		if a := c.Status(ctx, uid); a.Code != http.StatusNotFound {
			return a
		}
	}
	return api.ErrorResponse(http.StatusBadRequest, why)
}

// checkFeasible refuses a job that can never run, or that cannot be judged yet.
func (c *Controller) checkFeasible(s *protocol.JobSpec) *api.Response {
	refuse := func(code int, why string) *api.Response {
		r := api.ErrorResponse(code, why)
		return &r
	}
	team, ok := c.teams[s.Team]
	if !ok {
		return refuse(http.StatusUnprocessableEntity, "unknown team")
	}
	limit := c.settings.Facts.Teams[team]
	together := 1.0 // tasks that run at the same time: of an array one at least
	if s.Shape != protocol.ShapeArray {
		together = float64(s.Tasks)
	}
	if s.CPUs*together > limit.CPUsMax+roundingError || s.Accelerators*together > limit.GPUsMax+roundingError {
		return refuse(http.StatusUnprocessableEntity, "the job needs more than the team's limit")
	}
	if c.catalogue.empty() {
		return refuse(http.StatusServiceUnavailable, "machine types are not known yet")
	}
	if !c.catalogue.hasRoomFor(s) {
		return refuse(http.StatusUnprocessableEntity, "a task fits no allowed machine type")
	}
	return nil
}
