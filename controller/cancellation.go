package controller

import (
	"context"
	"log/slog"
	"net/http"

	"junipershelf/api"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// maxCancelAttempts limits the attempts at a cancellation whose job record changes concurrently.
	maxCancelAttempts = 6
	// cancelTimeout limits the total duration of all attempts at a cancellation.
	cancelTimeout = 2 * statestore.CallTimeout
)

// cancellationHandler cancels jobs.
type cancellationHandler struct {
	rateLimiter    *userRateLimiter
	jobs           *jobReader
	store          userStoreClient
	terminalStates *terminalStateRecorder
	replicator     *cancellationReplicator
	tracker        *peerTracker
	log            *slog.Logger
}

// Cancel cancels a job unless it has already ended, and answers with its terminal status.
func (h *cancellationHandler) Cancel(ctx context.Context, uid string) api.Response {
	if !h.rateLimiter.allow(callCancel) {
		return unavailable
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for range maxCancelAttempts {
		state, err := h.jobs.lookup(ctx, uid)
		if err != nil {
			return unavailable
		}
		if state.phase == jobUnknown {
			return noSuchJob
		}
		if state.phase == jobEnded {
			return cancelResponse(uid, state.terminal.Status)
		}
		err = h.cancelLive(ctx, uid, state)
		if isConflict(err) {
			continue // the record has changed since it was read
		}
		if err != nil {
			return unavailable
		}
		logged := h.terminalStates.cancellations.end()
		h.replicator.replicate(ctx)
		h.log.Debug("cancellation confirmed", "job", uid, "unacknowledged", h.tracker.unacknowledged(logged))
		return cancelResponse(uid, job.StatusCancelled)
	}
	return unavailable
}

// cancelLive replaces a live job's record with a terminal state. It returns a
// *statestore.ConflictError if the record has changed.
func (h *cancellationHandler) cancelLive(ctx context.Context, uid string, state jobState) error {
	completed, err := job.ParseRanges(state.record.Done)
	if err != nil {
		return err
	}
	terminal := job.TerminalState{Status: job.StatusCancelled, Done: completed.Len()}
	transaction := protocol.Transaction{
		Guards:  []protocol.Guard{{Key: job.Key(uid), Revision: state.revision}},
		Changes: []protocol.Change{{DeleteKey: job.Key(uid)}},
	}
	if err := transaction.Put(job.TerminalKey(uid), terminal); err != nil {
		return err
	}
	if _, err := h.store.commit(ctx, transaction); err != nil {
		return err
	}
	h.terminalStates.record(uid, terminal)
	return nil
}

// cancelResponse answers a cancellation with the job's terminal status.
func cancelResponse(uid, status string) api.Response {
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: status}}
}
