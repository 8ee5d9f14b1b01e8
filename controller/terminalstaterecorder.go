package controller

import (
	"time"

	"junipershelf/job"
)

// terminalStateRecorder records that jobs have ended: in the terminal-state cache, in the job
// cache, from which they are removed, and, if they were cancelled, in the log that is replicated
// to the peers. The order of locks is nodeState.mu, then that of the log.
type terminalStateRecorder struct {
	state         *nodeState
	cancellations *cancellationLog
}

// record records that a job has ended; repeating it changes nothing.
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
	r.state.terminalStates.put(uid, terminal)
	r.state.jobs.Remove(uid, time.Now())
	if terminal.Status == job.StatusCancelled {
		r.cancellations.append(uid, terminal.Done)
	}
}
