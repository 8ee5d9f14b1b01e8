package controller

import (
	"context"
	"errors"
	"net/http"

	"junipershelf/api"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// maxCancelAttempts bounds how often a cancellation meets another change of its job.
const maxCancelAttempts = 6

// Cancel ends a job, unless it is done.
func (c *Controller) Cancel(ctx context.Context, uid string) api.Response {
	if !c.userLimits.allow(callCancel) {
		return unavailable
	}
	ctx, cancel := context.WithTimeout(ctx, 2*statestore.CallTimeout)
	defer cancel()
	for range maxCancelAttempts {
		state, err := c.lookup(ctx, uid)
		switch {
		case err != nil:
			return unavailable
		case state.terminal != nil:
			return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: state.terminal.Status}}
		case state.live == nil:
			return api.ErrorResponse(http.StatusNotFound, "no such job")
		}
		err = c.cancelLive(ctx, uid, state)
		var conflict *statestore.ConflictError
		switch {
		case errors.As(err, &conflict):
			continue // it has changed meanwhile
		case err != nil:
			return unavailable
		}
		c.replicateNow(ctx)
		return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: job.StatusCancelled}}
	}
	return unavailable
}

// cancelLive writes the cancellation of a live job.
func (c *Controller) cancelLive(ctx context.Context, uid string, state jobState) error {
	finished, err := job.ParseRanges(state.live.Done)
	if err != nil {
		return err
	}
	final := job.TerminalState{Status: job.StatusCancelled, Done: finished.Len()}
	t := protocol.Transaction{
		Guards:  []protocol.Guard{{Key: job.Key(uid), Revision: state.revision}},
		Changes: []protocol.Change{{DeleteKey: job.Key(uid)}},
	}
	if err := t.Put(job.TerminalKey(uid), final); err != nil {
		return err
	}
	if _, err := c.commitForUser(ctx, t); err != nil {
		return err
	}
	c.cacheTerminalState(uid, final)
	return nil
}
