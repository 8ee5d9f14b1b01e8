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

// recordGrowthBytes is the space that a new job's record must leave for the ranges of its completed
// tasks.
const recordGrowthBytes = 800

// submissionHandler accepts jobs. Submissions are idempotent: a repeated submission of an accepted
// job is answered with that job's status.
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

// Submit accepts a job once its record has been written to the key-value store.
func (h *submissionHandler) Submit(ctx context.Context, spec *protocol.JobSpec) api.Response {
	receivedAt := time.Now()
	deadline := receivedAt.Add(userReplyTimeout)
	infeasible := h.feasibility.check(spec)
	if !h.rateLimiter.allow(callSubmit) {
		return unavailable
	}
	if infeasible != nil {
		return h.statuses.knownStatusOr(ctx, spec.UID, infeasibleResponse(infeasible), deadline)
	}
	if terminal, _ := h.jobs.cachedTerminalState(spec.UID); terminal != nil {
		return h.statuses.endedStatus(ctx, spec.UID, *terminal, deadline)
	}
	record := job.Record{Spec: *spec, SubmittedMS: receivedAt.UnixMilli()}
	transaction, err := submissionTransaction(record)
	if err != nil {
		return unavailable
	}
	if len(transaction.Changes[0].Data)+recordGrowthBytes > h.store.client.ValueByteLimit() {
		h.limitCounts.record(limits.JobDescription)
		// The job may already have been accepted under larger limits.
		return h.statuses.knownStatusOr(ctx, spec.UID, api.ErrorResponse(http.StatusUnprocessableEntity, "the job's description is too large to keep"), deadline)
	}
	revision, err := h.store.commit(ctx, transaction)
	if isConflict(err) {
		return h.statuses.knownStatusOr(ctx, spec.UID, unavailable, deadline)
	}
	if err != nil {
		return unavailable
	}
	h.recordAccepted(record, revision, receivedAt)
	return api.Response{Code: http.StatusCreated, Body: protocol.JobStatus{UID: spec.UID, Status: job.StatusPending}}
}

// submissionTransaction returns a transaction that writes a job's record if the job has neither a
// record nor a terminal state.
func submissionTransaction(record job.Record) (protocol.Transaction, error) {
	uid := record.Spec.UID
	transaction := protocol.Transaction{Guards: []protocol.Guard{{Key: job.Key(uid)}, {Key: job.TerminalKey(uid)}}}
	err := transaction.Put(job.Key(uid), record)
	return transaction, err
}

// recordAccepted adds a job to the job cache after its record was written.
func (h *submissionHandler) recordAccepted(record job.Record, revision uint64, receivedAt time.Time) {
	spec := &record.Spec
	h.state.mu.Lock()
	err := h.state.jobs.Set(spec.UID, record, revision, receivedAt)
	h.state.mu.Unlock()
	if err != nil {
		h.log.Error("job record that was just written could not be added to the job cache", "job", spec.UID, "err", err)
	}
	h.log.Debug("job accepted", "job", spec.UID, "class", spec.Class, "tasks", spec.Tasks, "cpus", spec.CPUs,
		"expected_s", spec.ExpectedS, "deadline_s", spec.DeadlineS, "image", spec.Image, "gb", spec.ImageGB, "after", time.Since(receivedAt))
}

// RejectSubmission answers a malformed submission with 400 and the reason, unless its job was
// already accepted; then it answers with the job's status. Only jobs in this node's memory are
// looked up: a malformed submission is not worth a store call, and must not wait during an outage of
// the store.
func (h *submissionHandler) RejectSubmission(ctx context.Context, uid, reason string) api.Response {
	if h.jobs.isCached(uid) {
		if response := h.statuses.Status(ctx, uid); response.Code != http.StatusNotFound {
			return response
		}
	}
	return api.ErrorResponse(http.StatusBadRequest, reason)
}
