package controller

import (
	"context"

	"junipershelf/job"
)

// jobPhase is how far a job has come, as the key-value store shows it.
type jobPhase int

const (
	jobUnknown jobPhase = iota // never submitted
	jobLive                    // it has a live record
	jobEnded                   // it has a terminal state, which never changes
)

// jobState is what the key-value store holds of a job.
type jobState struct {
	phase    jobPhase
	record   job.Record        // of a live job
	revision uint64            // of the live record
	terminal job.TerminalState // of a job that has ended
}

// jobReader looks up the state of jobs: in memory where that is sure to be the present state, and
// in the key-value store otherwise.
type jobReader struct {
	store          userStoreClient
	state          *nodeState
	terminalStates *terminalStateRecorder
	failures       *failureLogger
}

// lookup returns a job's present state.
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

// readLive reads a job's live record; the state is unknown if the job has none.
func (r *jobReader) readLive(ctx context.Context, uid string) (jobState, error) {
	entry, err := r.store.get(ctx, job.Key(uid))
	if err != nil || entry.Revision == 0 {
		return jobState{}, err
	}
	record, err := job.Decode(uid, entry.Data)
	if err != nil {
		r.failures.failed("job record could not be decoded", err)
		return jobState{}, err
	}
	return jobState{phase: jobLive, record: record, revision: entry.Revision}, nil
}

// readEnded reads a job's terminal state; the state is unknown if the job has none.
func (r *jobReader) readEnded(ctx context.Context, uid string) (jobState, error) {
	entry, err := r.store.get(ctx, job.TerminalKey(uid))
	if err != nil || entry.Revision == 0 {
		return jobState{}, err
	}
	terminal, err := job.DecodeTerminalState(uid, entry.Data)
	if err != nil {
		r.failures.failed("terminal state could not be decoded", err)
		return jobState{}, err
	}
	r.terminalStates.record(uid, terminal)
	return jobState{phase: jobEnded, terminal: terminal}, nil
}

// cachedTerminalState returns a job's terminal state if memory holds it, nil otherwise, and
// reports whether the job is known to have ended. A job that has ended never lives again.
func (r *jobReader) cachedTerminalState(uid string) (terminal *job.TerminalState, ended bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if cached, ok := r.state.terminalStates.get(uid); ok {
		return &cached, true
	}
	return nil, r.state.jobs.HasEnded(uid)
}

// isCached reports whether this node knows of a job from memory, be it live or ended.
func (r *jobReader) isCached(uid string) bool {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if _, ok := r.state.terminalStates.get(uid); ok {
		return true
	}
	return r.state.jobs.Get(uid) != nil || r.state.jobs.HasEnded(uid)
}

// cachedRevision returns the revision of a live job's record in the job cache, 0 if it has none;
// as the revision of a guard, 0 means that the key does not exist.
func (r *jobReader) cachedRevision(uid string) uint64 {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if cached := r.state.jobs.Get(uid); cached != nil {
		return cached.Revision
	}
	return 0
}

// cachedFinishedTasks returns how many tasks of a live job have finished, as far as this node
// knows, and whether the job cache holds the job.
func (r *jobReader) cachedFinishedTasks(uid string) (finished int, live bool) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	cached := r.state.jobs.Get(uid)
	if cached == nil {
		return 0, false
	}
	return cached.Finished.Len(), true
}
