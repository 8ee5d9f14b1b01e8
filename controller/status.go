package controller

import (
	"context"
	"net/http"
	"time"

	"junipershelf/api"
	"junipershelf/job"
	"junipershelf/protocol"
)

// statusHandler answers status reads. Reads are linearizable: a response is never older than what any
// node had reported to a user before the read arrived.
type statusHandler struct {
	jobs          *jobReader
	confirmer     *statusConfirmer
	rateLimiter   *userRateLimiter
	state         *nodeState
	cancellations *cancellationConfirmer
}

// statusReplyTimeout is the time within which a status read of a cancelled job is answered, at the latest by
// asking the user to retry. Users wait 2 s for the reply.
const statusReplyTimeout = 1500 * time.Millisecond

// Status answers a status read. A job that has ended is answered from memory, if it is cached. A
// live job is answered from the job cache, once a transaction sent after the read arrived has
// confirmed that the cache is current. Otherwise the store is read.
func (h *statusHandler) Status(ctx context.Context, uid string) api.Response {
	deadline := time.Now().Add(statusReplyTimeout)
	terminal, ended := h.jobs.cachedTerminalState(uid)
	if terminal != nil {
		return h.endedStatus(ctx, uid, *terminal, deadline)
	}
	if !ended {
		if response, ok := h.confirmedStatus(ctx, uid); ok {
			return response
		}
	}
	if !h.rateLimiter.allow(callRead) {
		return unavailable
	}
	return h.knownStatusOr(ctx, uid, noSuchJob, deadline)
}

// confirmedStatus answers a status read from the job cache once the cache is confirmed to be current.
// It reports false if the store must be read instead.
func (h *statusHandler) confirmedStatus(ctx context.Context, uid string) (api.Response, bool) {
	switch h.confirmer.confirm(ctx, uid) {
	case confirmedLive:
		completed, live := h.jobs.cachedCompletedTasks(uid)
		if !live {
			break // it ended after the confirmation
		}
		return h.liveStatus(uid, completed), true
	case confirmedAbsent:
		return noSuchJob, true
	case confirmationUnavailable:
		return unavailable, true
	case confirmationNeedsRead:
	}
	return api.Response{}, false
}

// knownStatusOr answers with a job's current status, or with the given response if the job does not
// exist. An accepted job keeps its status even if the same submission would now be refused. A cancelled
// job is reported by the deadline or not at all, see endedStatus.
func (h *statusHandler) knownStatusOr(ctx context.Context, uid string, unknown api.Response, deadline time.Time) api.Response {
	state, err := h.jobs.lookup(ctx, uid)
	if err != nil {
		return unavailable
	}
	switch state.phase {
	case jobLive:
		return h.liveStatus(uid, completedTasks(state.record))
	case jobEnded:
		return h.endedStatus(ctx, uid, state.terminal, deadline)
	case jobUnknown:
	}
	return unknown
}

// endedStatus returns the status of a job that has ended. A job is called cancelled only once no node
// will start a task of it any more; until then, at the latest until the deadline, the reply waits.
func (h *statusHandler) endedStatus(ctx context.Context, uid string, terminal job.TerminalState, deadline time.Time) api.Response {
	if terminal.Status == job.StatusCancelled && !h.cancellations.await(ctx, uid, deadline) {
		return unavailable
	}
	return terminalStatus(uid, terminal)
}

// completedTasks returns the number of completed tasks in a job's record.
func completedTasks(record job.Record) int {
	completed, err := job.ParseRanges(record.Done)
	if err != nil {
		return 0
	}
	return completed.Len()
}

// liveStatus returns the status of a live job. The job is running if the leader has reported running
// tasks for it, and pending otherwise.
func (h *statusHandler) liveStatus(uid string, completed int) api.Response {
	h.state.mu.Lock()
	running := h.state.current.runningTasks[uid]
	h.state.mu.Unlock()
	status := job.StatusPending
	if running > 0 {
		status = job.StatusRunning
	}
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: status, Done: &completed, Running: &running}}
}

// terminalStatus returns the status of a job that has ended.
func terminalStatus(uid string, terminal job.TerminalState) api.Response {
	running := 0
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: terminal.Status, Done: &terminal.Done, Running: &running}}
}
