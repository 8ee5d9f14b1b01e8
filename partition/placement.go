package partition

import (
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// A Placement is a task that was taken off a machine's queue to run there. Once it is committed,
// the task may exist on the machine.
//
// Its state has four independent parts. Only the methods in this file change them:
//
//	committed  false -> true                  markCommitted: it is in its shard record
//	start      startNotSent -> startSent      sendStart: a heartbeat reply carries its start command
//	           startSent -> startNotSent      withdrawStart: that reply was lost
//	           startRestored (initial state)  restore: read from a record of an earlier view
//	status     any <-> any                    observe, markUnreported: as heartbeats report it
//	outcome    outcomePending -> any other    end: the first outcome is kept
//
// The next commit removes a placement with an outcome from its record; one that was never committed
// is dropped without a commit.
type Placement struct {
	Task       job.Task
	Attempt    uint64
	AgentEpoch uint64
	Resources  job.Resources
	Team       string
	Image      string
	ImageGB    float64

	shard         *shard // whose record contains it, or will; nil: not assigned yet
	committed     bool
	start         startState
	outcome       outcome
	stopping      bool                // to be stopped, with graceS seconds to save a checkpoint
	status        protocol.TaskStatus // as last reported; empty: not in the last heartbeat
	startSequence uint64              // of the heartbeat whose reply carried the start
	lastReported  uint64              // number of the machine's last heartbeat that reported it
	since         time.Time           // when the status last changed
	runS          float64             // run time in seconds, as observed from heartbeats
	graceS        float64
	reservation   reservation
	timestamps    replicaTimestamps
}

// startState tells whether a start command may have been sent.
type startState uint8

const (
	startNotSent  startState = iota // waits for its commit or for free resources
	startSent                       // sent in a heartbeat reply
	startRestored                   // read from a record: an owner of an earlier view may have sent it
)

// outcome is how a placement ended.
type outcome uint8

const (
	outcomePending   outcome = iota // not ended: waits for its start, or may exist on its machine
	outcomeLost                     // no longer exists, or was dropped before it was started
	outcomeFailed                   // the agent reported that it ended without completing
	outcomeCompleted                // the agent reported that it completed
	outcomeReleased                 // never started; it returns to its machine's queue
	outcomeReturned                 // never started; it returns to the leader, see reservations
)

// isPending reports whether a placement waits for its start.
func (pl *Placement) isPending() bool {
	return pl.outcome == outcomePending && pl.start == startNotSent && pl.status == ""
}

// hasEnded reports whether a placement has an outcome and no longer occupies resources.
func (pl *Placement) hasEnded() bool { return pl.outcome != outcomePending }

// isObsolete reports whether a placement is to be removed from its record.
func (pl *Placement) isObsolete() bool { return pl.hasEnded() && pl.committed }

// mayExist reports whether a placement may exist on its machine.
func (pl *Placement) mayExist() bool { return pl.committed && !pl.hasEnded() }

// restore marks a placement as read from a record of an earlier view.
func (pl *Placement) restore(now time.Time) { pl.start, pl.since = startRestored, now }

// markCommitted records that a placement is in its record.
func (pl *Placement) markCommitted(now time.Time) {
	pl.committed = true
	pl.timestamps.committed = now
}

// sendStart records that the reply to the heartbeat with a sequence number carries the start command.
func (pl *Placement) sendStart(sequence uint64, now time.Time) {
	pl.start, pl.startSequence = startSent, sequence
	pl.since = now
	if pl.timestamps.startSent.IsZero() {
		pl.timestamps.startSent = now
	}
}

// startUnconfirmed reports whether a start was sent and no heartbeat has reported the task since.
func (pl *Placement) startUnconfirmed() bool { return pl.start == startSent && pl.status == "" }

// observe records the status that a heartbeat reports, and reports whether it has changed.
func (pl *Placement) observe(status protocol.TaskStatus, now time.Time) (changed bool) {
	changed = status != pl.status
	if changed {
		if pl.status == protocol.TaskRunning {
			pl.runS = now.Sub(pl.since).Seconds()
		}
		pl.since = now
	}
	pl.status = status
	return changed
}

// markUnreported records that a heartbeat did not report the task.
func (pl *Placement) markUnreported() { pl.status = "" }

// withdrawStart records that the reply with the start command was lost, so it must be sent again.
func (pl *Placement) withdrawStart() { pl.start = startNotSent }

// requestStop marks a placement to be stopped, with graceS seconds to save a checkpoint.
func (pl *Placement) requestStop(graceS float64) { pl.stopping, pl.graceS = true, graceS }

// end sets the outcome of a placement unless it already has one.
func (pl *Placement) end(result outcome) {
	if pl.outcome == outcomePending {
		pl.outcome = result
	}
}

// reportedEnded reports whether the last heartbeat reported the task as ended.
func (pl *Placement) reportedEnded() bool { return pl.status == protocol.TaskEnded }

// endedTask returns the placement in the form in which a heartbeat reports an ended task.
func (pl *Placement) endedTask() protocol.ReportedTask {
	return protocol.ReportedTask{Task: pl.Task.String(), Attempt: pl.Attempt, Status: protocol.TaskEnded}
}
