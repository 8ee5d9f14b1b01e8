package controller

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"junipershelf/api"
	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// recordGrowth is by how many bytes a job's record may grow, by the ranges of its finished tasks.
const recordGrowth = 800

// submissionHandler accepts jobs. Submissions are idempotent: one that repeats an accepted job is
// answered with that job's status.
type submissionHandler struct {
	feasibility feasibilityCheck
	rateLimiter *userRateLimiter
	jobs        *jobReader
	statuses    *statusHandler
	store       userStoreClient
	state       *nodeState
	limitCounts *limitCounter
	log         *slog.Logger
}

// Submit accepts a job once its record is in the key-value store.
func (h *submissionHandler) Submit(ctx context.Context, spec *protocol.JobSpec) api.Response {
	infeasible := h.feasibility.check(spec)
	if !h.rateLimiter.allow(callSubmit) {
		return unavailable
	}
	if infeasible != nil {
		return h.statuses.knownStatusOr(ctx, spec.UID, infeasibleResponse(infeasible))
	}
	if terminal, _ := h.jobs.cachedTerminalState(spec.UID); terminal != nil {
		return terminalStatus(spec.UID, *terminal)
	}
	receivedAt := time.Now()
	record := job.Record{Spec: *spec, SubmittedMS: receivedAt.UnixMilli()}
	transaction, err := submissionTransaction(record)
	if err != nil {
		return unavailable
	}
	if len(transaction.Changes[0].Data)+recordGrowth > h.store.client.ValueByteLimit() {
		h.limitCounts.record(limits.JobDescription)
		// A job that was accepted under larger limits stays known.
		return h.statuses.knownStatusOr(ctx, spec.UID, api.ErrorResponse(http.StatusUnprocessableEntity, "the job's description is too large to keep"))
	}
	revision, err := h.store.commit(ctx, transaction)
	if isConflict(err) {
		return h.statuses.knownStatusOr(ctx, spec.UID, unavailable)
	}
	if err != nil {
		return unavailable
	}
	h.recordAccepted(record, revision, receivedAt)
	return api.Response{Code: http.StatusCreated, Body: protocol.JobStatus{UID: spec.UID, Status: job.StatusPending}}
}

// submissionTransaction writes the record of a job that has neither a record nor a terminal state.
func submissionTransaction(record job.Record) (protocol.Transaction, error) {
	uid := record.Spec.UID
	transaction := protocol.Transaction{Guards: []protocol.Guard{{Key: job.Key(uid)}, {Key: job.TerminalKey(uid)}}}
	err := transaction.Put(job.Key(uid), record)
	return transaction, err
}

// recordAccepted adds a job whose record was just written to the job cache.
func (h *submissionHandler) recordAccepted(record job.Record, revision uint64, receivedAt time.Time) {
	spec := &record.Spec
	h.state.mu.Lock()
	err := h.state.jobs.Set(spec.UID, record, revision, receivedAt)
	h.state.mu.Unlock()
	if err != nil {
		h.log.Error("own job record could not be read", "job", spec.UID, "err", err)
	}
	h.log.Debug("job accepted", "job", spec.UID, "class", spec.Class, "tasks", spec.Tasks, "cpus", spec.CPUs,
		"expected_s", spec.ExpectedS, "deadline_s", spec.DeadlineS, "image", spec.Image, "gb", spec.ImageGB, "after", time.Since(receivedAt))
}

// RejectSubmission answers a malformed submission with 400 and the reason, unless it repeats a job
// that was accepted. Only a job that is in this node's memory is looked up: any other is not worth
// a call, and must not wait for a store that is out.
func (h *submissionHandler) RejectSubmission(ctx context.Context, uid, reason string) api.Response {
	if h.jobs.isCached(uid) {
		if response := h.statuses.Status(ctx, uid); response.Code != http.StatusNotFound {
			return response
		}
	}
	return api.ErrorResponse(http.StatusBadRequest, reason)
}
