package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

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
	// userReplyTimeout is the time within which a cancellation, or a submission of a cancelled job, is
	// answered, at the latest by asking the user to retry. Users wait 5 s for the reply.
	userReplyTimeout = 4500 * time.Millisecond
)

// Errors of a cancellation.
var (
	errJobUnknown     = errors.New("job was never submitted")
	errRecordChanging = errors.New("job record changed at each attempt")
)

// cancellationHandler cancels jobs.
type cancellationHandler struct {
	rateLimiter    *userRateLimiter
	jobs           *jobReader
	store          userStoreClient
	terminalStates *terminalStateRecorder
	confirmer      *cancellationConfirmer
}

// Cancel cancels a job unless it has already ended, and answers with its terminal status. The user is
// told that the job is cancelled only once no node will start a task of it any more.
func (h *cancellationHandler) Cancel(ctx context.Context, uid string) api.Response {
	deadline := time.Now().Add(userReplyTimeout)
	if !h.rateLimiter.allow(callCancel) {
		return unavailable
	}
	status, err := h.cancel(ctx, uid)
	switch {
	case errors.Is(err, errJobUnknown):
		return noSuchJob
	case err != nil:
		return unavailable
	case status == job.StatusCancelled && !h.confirmer.await(ctx, uid, deadline):
		return unavailable
	}
	return cancelResponse(uid, status)
}

// cancel cancels a job unless it has already ended, and returns its terminal status. The error wraps
// errJobUnknown if the job was never submitted; any other error is temporary.
func (h *cancellationHandler) cancel(ctx context.Context, uid string) (status string, err error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for range maxCancelAttempts {
		state, err := h.jobs.lookup(ctx, uid)
		if err != nil {
			return "", err
		}
		if state.phase == jobUnknown {
			return "", errJobUnknown
		}
		if state.phase == jobEnded {
			return state.terminal.Status, nil
		}
		err = h.cancelLive(ctx, uid, state)
		if isConflict(err) {
			continue // the record has changed since it was read
		}
		if err != nil {
			return "", err
		}
		return job.StatusCancelled, nil
	}
	return "", errRecordChanging
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
