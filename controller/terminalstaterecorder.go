package controller

import (
	"time"

	"junipershelf/job"
)

// terminalStateRecorder records that jobs have ended: it adds them to the terminal-state cache,
// removes them from the job cache and, if they were cancelled, appends them to the cancellation log.
// Lock order: nodeState.mu, then the lock of the log.
type terminalStateRecorder struct {
	state         *nodeState
	cancellations *cancellationLog
}

// record records that a job has ended. It is idempotent.
func (r *terminalStateRecorder) record(uid string, terminal job.TerminalState) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.recordLocked(uid, terminal)
}

// recordLocked is record for a caller that holds nodeState.mu.
func (r *terminalStateRecorder) recordLocked(uid string, terminal job.TerminalState) {
	if _, known := r.state.terminalStates.get(uid); known {
		return
	}
	r.state.jobs.Remove(uid, time.Now())
	if terminal.Status != job.StatusCancelled {
		r.state.terminalStates.put(uid, terminal)
		return
	}
	position := r.cancellations.append(uid, terminal.Done)
	r.state.terminalStates.putCancelled(uid, terminal, loggedCancellation{position: position, loggedAt: time.Now()})
}
