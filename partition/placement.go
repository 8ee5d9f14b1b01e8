package partition

import (
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// A Placement is a task that was taken off a machine's queue to run there. Once committed it
// may exist on the machine.
//
// Its life has four sides, which change independently of each other. Only the methods in this
// file change them:
//
//	committed  false -> true                  markCommitted: it is in its shard record
//	start      startNotSent -> startSent      sendStart: a heartbeat reply orders its start
//	           startSent -> startNotSent      withdrawStart: that reply was lost
//	           startRestored (from the first) restore: read from a record of an earlier view
//	status     any <-> any                    observe, markUnreported: as heartbeats report it
//	outcome    outcomePending -> any other    end: the first outcome is kept
//
// A placement with an outcome is taken out of its record by the next commit, or is dropped at
// once if it was never committed.
type Placement struct {
	Task       job.Task
	Attempt    uint64
	AgentEpoch uint64
	Resources  job.Resources
	Team       string
	Image      string
	ImageGB    float64

	shard         *shard // whose record it is in, or is to be in
	committed     bool
	start         startState
	outcome       outcome
	stopping      bool                // it is to be stopped, with graceS seconds to save a checkpoint
	status        protocol.TaskStatus // as last reported; empty: the last heartbeat did not show it
	startSequence uint64              // of the heartbeat whose reply carried the start
	lastReported  uint64              // number of the machine's last heartbeat that showed it
	since         time.Time           // when the status last changed
	runS          float64             // seconds that it ran, as far as heartbeats showed
	graceS        float64
	timestamps    replicaTimestamps
}

// startState is whether a placement may have been ordered to start.
type startState uint8

const (
	startNotSent  startState = iota // it waits for its commit, or for room
	startSent                       // a heartbeat reply ordered it
	startRestored                   // read from a record: an owner of an earlier view may have ordered it
)

// outcome is how a placement ended.
type outcome uint8

const (
	outcomePending   outcome = iota // it waits, or may exist on its machine
	outcomeLost                     // it exists no more, or was given up before it was started
	outcomeFailed                   // the worker reported that it ended, other than completed
	outcomeCompleted                // the worker reported that it completed
	outcomeReleased                 // it was never started, and goes back to its machine's queue
)

// isPending reports whether a placement waits for its start.
func (pl *Placement) isPending() bool {
	return pl.outcome == outcomePending && pl.start == startNotSent && pl.status == ""
}

// hasEnded reports whether a placement has an outcome, and takes no room any more.
func (pl *Placement) hasEnded() bool { return pl.outcome != outcomePending }

// isObsolete reports whether a placement is to be taken out of its record.
func (pl *Placement) isObsolete() bool { return pl.hasEnded() && pl.committed }

// mayExist reports whether a placement may exist on its machine for all that is known.
func (pl *Placement) mayExist() bool { return pl.committed && !pl.hasEnded() }

// restore marks a placement as read from a record of an earlier view.
func (pl *Placement) restore(now time.Time) { pl.start, pl.since = startRestored, now }

// markCommitted records that a placement is in its record.
func (pl *Placement) markCommitted(now time.Time) {
	pl.committed = true
	pl.timestamps.committed = now
}

// sendStart records that the reply to the heartbeat of a sequence number orders the start.
func (pl *Placement) sendStart(sequence uint64, now time.Time) {
	pl.start, pl.startSequence = startSent, sequence
	pl.since = now
	if pl.timestamps.ordered.IsZero() {
		pl.timestamps.ordered = now
	}
}

// startUnconfirmed reports whether a start was sent and no heartbeat has shown its effect.
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

// markUnreported records that a heartbeat did not show a placement.
func (pl *Placement) markUnreported() { pl.status = "" }

// withdrawStart records that the reply with the start was lost: it is to be sent again.
func (pl *Placement) withdrawStart() { pl.start = startNotSent }

// requestStop marks a placement to be stopped, with a time to save a checkpoint.
func (pl *Placement) requestStop(graceS float64) { pl.stopping, pl.graceS = true, graceS }

// end records how a placement ended, unless it has ended before.
func (pl *Placement) end(result outcome) {
	if pl.outcome == outcomePending {
		pl.outcome = result
	}
}

// reportedEnded reports whether the last heartbeat showed that a placement has ended.
func (pl *Placement) reportedEnded() bool { return pl.status == protocol.TaskEnded }

// endedTask is a placement as a heartbeat reports it that has ended.
func (pl *Placement) endedTask() protocol.ReportedTask {
	return protocol.ReportedTask{Task: pl.Task.String(), Attempt: pl.Attempt, Status: protocol.TaskEnded}
}
