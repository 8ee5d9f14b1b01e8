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
	// userCallTimeout is how long a user's call may look for room in the state service's
	// limits. What cannot be done then, or in an outage, is refused at once.
	userCallTimeout = 300 * time.Millisecond
	// userRetryPause is the pause before such a call is repeated. Once the service is known
	// to grant less, what is beyond that is refused by the client and not sent.
	userRetryPause = 50 * time.Millisecond
)

var unavailable = api.ErrorResponse(http.StatusServiceUnavailable, "try again")

// retryRateLimited repeats a call that found no room in the limits, for a short while.
func retryRateLimited(ctx context.Context, call func(context.Context) error) error {
	for end := time.Now().Add(userCallTimeout); ; {
		err := call(ctx)
		if !errors.Is(err, statestore.ErrRateLimited) || time.Now().After(end) || !sleep(ctx, userRetryPause) {
			return err
		}
	}
}

// jobState is what the state service knows of a job: a live record, a final state, or
// neither.
type jobState struct {
	live     *job.Record
	revision uint64 // of the live record
	terminal *job.TerminalState
}

func (s *jobState) known() bool { return s.live != nil || s.terminal != nil }

// lookup reads a job's state.
func (c *Controller) lookup(ctx context.Context, uid string) (jobState, error) {
	final, ended := c.cachedTerminalState(uid)
	if final != nil {
		return jobState{terminal: final}, nil
	}
	if !ended {
		entry, err := c.read(ctx, job.Key(uid))
		if err != nil {
			return jobState{}, err
		}
		if entry.Revision != 0 {
			rec, err := job.Decode(uid, entry.Data)
			if err != nil {
				c.failures.failed("a job cannot be read", err)
				return jobState{}, err
			}
			return jobState{live: &rec, revision: entry.Revision}, nil
		}
	}
	entry, err := c.read(ctx, job.TerminalKey(uid))
	if err != nil || entry.Revision == 0 {
		return jobState{}, err
	}
	read, err := job.DecodeTerminalState(uid, entry.Data)
	if err != nil {
		c.failures.failed("a job cannot be read", err)
		return jobState{}, err
	}
	c.cacheTerminalState(uid, read)
	return jobState{terminal: &read}, nil
}

// read reads a key for a user's call.
func (c *Controller) read(ctx context.Context, key string) (entry protocol.Entry, err error) {
	err = retryRateLimited(ctx, func(ctx context.Context) error {
		entry, err = c.store.Get(ctx, statestore.PriorityUser, key)
		return err
	})
	return entry, err
}

// cachedTerminalState gives a final state from memory. Ended tells of a job whose record is known
// to have moved: it never moves back.
func (c *Controller) cachedTerminalState(uid string) (final *job.TerminalState, ended bool) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if f, known := c.state.terminalStates.get(uid); known {
		return &f, true
	}
	return nil, c.state.jobs.HasEnded(uid)
}

// cacheTerminalState keeps a final state, which never changes.
func (c *Controller) cacheTerminalState(uid string, f job.TerminalState) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.cacheTerminalStateLocked(uid, f)
}

// cacheTerminalStateLocked is cacheTerminalState for a caller that holds the lock.
func (c *Controller) cacheTerminalStateLocked(uid string, f job.TerminalState) {
	if _, known := c.state.terminalStates.get(uid); known {
		return
	}
	c.state.terminalStates.put(uid, f)
	c.state.jobs.Remove(uid, time.Now())
	if f.Status == job.StatusCancelled {
		c.cancellations.record(uid, f.Done)
	}
}

// statusOf tells a user the state of a known job.
func (c *Controller) statusOf(uid string, s jobState) api.Response {
	if s.terminal != nil {
		none := 0
		return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: s.terminal.Status, Done: &s.terminal.Done, Running: &none}}
	}
	done := 0
	if finished, err := job.ParseRanges(s.live.Done); err == nil {
		done = finished.Len()
	}
	return c.liveStatus(uid, done)
}

// liveStatus tells a user the state of a live job of which so many tasks are done.
func (c *Controller) liveStatus(uid string, done int) api.Response {
	c.state.mu.Lock()
	running := c.state.current.runningTasks[uid]
	c.state.mu.Unlock()
	status := job.StatusPending
	if running > 0 {
		status = job.StatusRunning
	}
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: uid, Status: status, Done: &done, Running: &running}}
}

// knownStatusOr answers a submission that would be refused: a job that was accepted stays
// accepted, whatever has changed since.
func (c *Controller) knownStatusOr(ctx context.Context, uid string, refusal api.Response) api.Response {
	state, err := c.lookup(ctx, uid)
	switch {
	case err != nil:
		return unavailable
	case state.known():
		return c.statusOf(uid, state)
	}
	return refusal
}

// Status answers a poll: finals from memory, live jobs from the mirror once that is confirmed
// after the poll came in, the rest by a read.
func (c *Controller) Status(ctx context.Context, uid string) api.Response {
	final, ended := c.cachedTerminalState(uid)
	if final != nil {
		return c.statusOf(uid, jobState{terminal: final})
	}
	if !ended {
		switch c.statusReads.confirm(ctx, uid) {
		case confirmedLive:
			if done, live := c.finishedTasks(uid); live {
				return c.liveStatus(uid, done)
			}
			// It ended since then.
		case confirmedAbsent:
			return api.ErrorResponse(http.StatusNotFound, "no such job")
		case confirmationUnavailable:
			return unavailable
		}
	}
	if !c.userLimits.allow(callRead) {
		return unavailable
	}
	return c.knownStatusOr(ctx, uid, api.ErrorResponse(http.StatusNotFound, "no such job"))
}

// finishedTasks counts a live job's finished tasks, as far as they are known here.
func (c *Controller) finishedTasks(uid string) (done int, live bool) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	l := c.state.jobs.Get(uid)
	if l == nil {
		return 0, false
	}
	return l.Finished.Len(), true
}

const (
	// storeLostAfter: a node that the state service has not answered for this long has lost it.
	storeLostAfter = 2500 * time.Millisecond
	// storeReachableWithin: and one that it has answered within this has not.
	storeReachableWithin = 1500 * time.Millisecond
)

// Healthy is false for a node that has lost the state service alone. When the others have
// lost it too, it stays healthy and says 503, so that an outage does not empty the load
// balancer.
func (c *Controller) Healthy() bool {
	return c.store.SinceLastReply() < storeLostAfter || !c.cancellations.anyPeerReachesStore(storeReachableWithin)
}
