package controller

import (
	"context"

	"junipershelf/job"
)

// jobPhase is the phase of a job's life cycle, according to the key-value store.
type jobPhase int

const (
	jobUnknown jobPhase = iota // never submitted
	jobLive                    // the job has a live record
	jobEnded                   // the job has a terminal state, which never changes
)

// jobState is the state of a job in the key-value store.
type jobState struct {
	phase    jobPhase
	record   job.Record        // of a live job
	revision uint64            // of the live record
	terminal job.TerminalState // of a job that has ended
}

// jobReader looks up the state of jobs: in memory if a terminal state is cached, and in the key-value
// store otherwise.
type jobReader struct {
	store          userStoreClient
	state          *nodeState
	terminalStates *terminalStateRecorder
	failures       *failureLogger
}

// lookup returns a job's current state.
func (r *jobReader) lookup(ctx context.Context, uid string) (jobState, error) {
	terminal, ended := r.cachedTerminalState(uid)
	if terminal != nil {
		return jobState{phase: jobEnded, terminal: *terminal}, nil
	}
	if !ended {
		state, err := r.readLive(ctx, uid)
		if err != nil || state.phase == jobLive {
			return state, err
		}
	}
	return r.readEnded(ctx, uid)
}

// readLive reads a job's live record. The phase is jobUnknown if there is none.
func (r *jobReader) readLive(ctx context.Context, uid string) (jobState, error) {
	entry, err := r.store.get(ctx, job.Key(uid))
	if err != nil || entry.Revision == 0 {
		return jobState{}, err
	}
	record, err := job.Decode(uid, entry.Data)
	if err != nil {
		r.failures.logFailure("job record could not be decoded", err)
		return jobState{}, err
	}
	return jobState{phase: jobLive, record: record, revision: entry.Revision}, nil
}

// readEnded reads a job's terminal state. The phase is jobUnknown if there is none.
func (r *jobReader) readEnded(ctx context.Context, uid string) (jobState, error) {
	entry, err := r.store.get(ctx, job.TerminalKey(uid))
	if err != nil || entry.Revision == 0 {
		return jobState{}, err
	}
	terminal, err := job.DecodeTerminalState(uid, entry.Data)
	if err != nil {
		r.failures.logFailure("terminal state could not be decoded", err)
		return jobState{}, err
	}
	r.terminalStates.record(uid, terminal)
	return jobState{phase: jobEnded, terminal: terminal}, nil
}

// cachedTerminalState returns a job's terminal state, nil if it is not in memory, and reports whether
// the job is known to have ended. A job that has ended never becomes live again.
func (r *jobReader) cachedTerminalState(uid string) (terminal *job.TerminalState, ended bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if cached, ok := r.state.terminalStates.get(uid); ok {
		return &cached, true
	}
	return nil, r.state.jobs.HasEnded(uid)
}

// isCached reports whether a job, live or ended, is in this node's memory.
func (r *jobReader) isCached(uid string) bool {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if _, ok := r.state.terminalStates.get(uid); ok {
		return true
	}
	return r.state.jobs.Get(uid) != nil || r.state.jobs.HasEnded(uid)
}

// cachedRevision returns the revision of a live job's record in the job cache, 0 if there is none. As
// the revision of a guard, 0 requires that the key does not exist.
func (r *jobReader) cachedRevision(uid string) uint64 {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if cached := r.state.jobs.Get(uid); cached != nil {
		return cached.Revision
	}
	return 0
}

// cachedCompletedTasks returns how many completed tasks of a live job are in the job cache, and reports
// whether the cache holds the job.
func (r *jobReader) cachedCompletedTasks(uid string) (completed int, live bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	cached := r.state.jobs.Get(uid)
	if cached == nil {
		return 0, false
	}
	return cached.Completed.Len(), true
}
