package partition

import (
	"time"

	"junipershelf/internal/limits"
)

// metrics holds an owner's metrics in a view.
type metrics struct {
	Counts   Counts
	Replicas ReplicaTimes
	Limits   limits.Counts
}

// Counts counts events, mostly of tasks. The tags are the names that `show` prints.
type Counts struct {
	Queued                uint64 `msgpack:"Queued"`
	Overflowed            uint64 `msgpack:"Overflowed"`
	Forwarded             uint64 `msgpack:"SentOn"`
	FallbackBeyondBuddies uint64 `msgpack:"WalkedOn"`
	PreCommitted          uint64 `msgpack:"CommittedAhead"`
	Returned              uint64 `msgpack:"Returned"` // tasks whose reservation ended, see reservations
	Started               uint64 `msgpack:"Started"`
	Done                  uint64 `msgpack:"Done"`
	Lost                  uint64 `msgpack:"Lost"`
	Stopped               uint64 `msgpack:"Stopped"`
	Unreachable           uint64 `msgpack:"Unreachable"` // machines that receive no replies
}

// ReplicaTimes breaks down the time during which replicas of services do not run. Each duration is a
// sum over all replicas that Lost counts, or over all that Started counts. The time from the loss of a
// replica until its task is assigned again is not included; the leader measures it.
type ReplicaTimes struct {
	Lost      int           // replicas that ended or were lost after their start may have been sent
	Detection time.Duration // from when it was last seen until it is decided that it is lost or has to be stopped
	Proof     time.Duration // from that decision until it certainly no longer exists
	Removal   time.Duration // from when it certainly no longer exists until its placement is removed from the record

	Started int           // replicas that a heartbeat reported as running
	Commit  time.Duration // from its assignment to the commit of its placement
	Command time.Duration // from that commit to the reply with its start command
	Fetch   time.Duration // from that reply to the last heartbeat that reports it fetching its image
	Start   time.Duration // from that heartbeat, or from the start command if it fetched no image, to the first heartbeat that reports it running
}

// replicaTimestamps are the times of a placement's steps, from which ReplicaTimes is computed.
type replicaTimestamps struct {
	assigned      time.Time
	committed     time.Time
	startSent     time.Time // first start command
	fetching      time.Time // last heartbeat that reported it fetching its image
	stopSent      time.Time // first stop command
	confirmedGone time.Time // when it certainly no longer existed
	startCounted  bool      // its start is included in ReplicaTimes
}

// replicaLoss holds when a replica was last seen alive, when it was decided that it is lost or has to
// be stopped, and when it certainly no longer existed. Unknown times are zero.
type replicaLoss struct {
	lastSeen, decided, confirmed time.Time
}

// recordReplicaStart adds the start of a replica that is reported running for the first time.
func (s *shared) recordReplicaStart(pl *Placement, now time.Time) {
	if pl.timestamps.startCounted || pl.timestamps.startSent.IsZero() || !s.isReplica(pl) {
		return
	}
	pl.timestamps.startCounted = true
	s.Replicas.addStart(&pl.timestamps, now)
}

// recordReplicaLoss adds the loss of a replica that no longer exists.
func (s *shared) recordReplicaLoss(pl *Placement, loss replicaLoss) {
	if !pl.committed || pl.isPending() || !s.isReplica(pl) {
		return
	}
	pl.timestamps.confirmedGone = loss.confirmed
	s.Replicas.addLoss(loss)
}

// recordReplicaRemoval adds the time until a lost replica's placement was removed from its record.
func (s *shared) recordReplicaRemoval(pl *Placement, now time.Time) {
	if !pl.timestamps.confirmedGone.IsZero() {
		s.Replicas.Removal += now.Sub(pl.timestamps.confirmedGone)
	}
}

func (r *ReplicaTimes) addStart(steps *replicaTimestamps, now time.Time) {
	r.Started++
	r.Commit += steps.committed.Sub(steps.assigned)
	r.Command += steps.startSent.Sub(steps.committed)
	started := steps.startSent
	if steps.fetching.After(started) {
		r.Fetch += steps.fetching.Sub(started)
		started = steps.fetching
	}
	r.Start += now.Sub(started)
}

func (r *ReplicaTimes) addLoss(loss replicaLoss) {
	decided, seen := loss.decided, loss.lastSeen
	if decided.IsZero() || decided.After(loss.confirmed) {
		decided = loss.confirmed
	}
	if seen.IsZero() || seen.After(decided) {
		seen = decided
	}
	r.Lost++
	r.Detection += decided.Sub(seen)
	r.Proof += loss.confirmed.Sub(decided)
}
