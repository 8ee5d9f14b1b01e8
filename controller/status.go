package controller

import (
	"context"
	"net/http"

	"junipershelf/api"
	"junipershelf/job"
	"junipershelf/protocol"
)

// statusHandler answers status reads. A response is never older than what any node has reported to a user
// before the read came in (the reads are linearizable).
type statusHandler struct {
	jobs        *jobReader
	confirmer   *statusConfirmer
	rateLimiter *userRateLimiter
	state       *nodeState
}

// Status answers a status read: of a job that has ended from memory, of a live one from the job
// cache once that is confirmed after the read came in, and otherwise by a read of the store.
func (h *statusHandler) Status(ctx context.Context, uid string) api.Response {
	terminal, ended := h.jobs.cachedTerminalState(uid)
	if terminal != nil {
		return terminalStatus(uid, *terminal)
	}
	if !ended {
		if response, ok := h.confirmedStatus(ctx, uid); ok {
			return response
		}
	}
	if !h.rateLimiter.allow(callRead) {
		return unavailable
	}
	return h.knownStatusOr(ctx, uid, noSuchJob)
}

// confirmedStatus answers a status read from the job cache once that is confirmed. It reports false
// if only a read of the store can answer.
func (h *statusHandler) confirmedStatus(ctx context.Context, uid string) (api.Response, bool) {
	switch h.confirmer.confirm(ctx, uid) {
	case confirmedLive:
		finished, live := h.jobs.cachedFinishedTasks(uid)
		if !live {
			break // it ended after the confirmation
		}
		return h.liveStatus(uid, finished), true
	case confirmedAbsent:
		return noSuchJob, true
	case confirmationUnavailable:
		return unavailable, true
	case confirmationNeedsRead:
	}
	return api.Response{}, false
}

// knownStatusOr answers with a job's present status, or with the given response if there is no
// such job: one that was accepted stays accepted, whatever has changed since.
func (h *statusHandler) knownStatusOr(ctx context.Context, uid string, unknown api.Response) api.Response {
	state, err := h.jobs.lookup(ctx, uid)
	if err != nil {
		return unavailable
	}
	switch state.phase {
	case jobLive:
		return h.liveStatus(uid, finishedTasks(state.record))
	case jobEnded:
		return terminalStatus(uid, state.terminal)
	case jobUnknown:
	}
	return unknown
}

// finishedTasks returns how many tasks of a job have finished by its record.
func finishedTasks(record job.Record) int {
	finished, err := job.ParseRanges(record.Done)
	if err != nil {
		return 0
	}
	return finished.Len()
}

// liveStatus reports a live job's status. It runs if the leader has reported running tasks of it.
func (h *statusHandler) liveStatus(uid string, finished int) api.Response {
	h.state.mu.Lock()
	running := h.state.current.runningTasks[uid]
	h.state.mu.Unlock()
	status := job.StatusPending
	if running > 0 {
		status = job.StatusRunning
	}
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: status, Done: &finished, Running: &running}}
}

// terminalStatus reports the status of a job that has ended.
func terminalStatus(uid string, terminal job.TerminalState) api.Response {
	running := 0
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: terminal.Status, Done: &terminal.Done, Running: &running}}
}
