package partition

import (
	"time"

	"junipershelf/internal/limits"
)

// metrics are what an owner counts in a view.
type metrics struct {
	Counts   Counts
	Replicas ReplicaTimes
	Limits   limits.Counts
}

// Counts counts tasks by what became of them. The tags are the names that `show` prints.
type Counts struct {
	Queued                uint64 `msgpack:"Queued"`
	Overflowed            uint64 `msgpack:"Overflowed"`
	Forwarded             uint64 `msgpack:"SentOn"`
	FallbackBeyondBuddies uint64 `msgpack:"WalkedOn"`
	PreCommitted          uint64 `msgpack:"CommittedAhead"`
	Started               uint64 `msgpack:"Started"`
	Done                  uint64 `msgpack:"Done"`
	Lost                  uint64 `msgpack:"Lost"`
	Stopped               uint64 `msgpack:"Stopped"`
	Unreachable           uint64 `msgpack:"Unreachable"` // machines that receive no replies
}

// ReplicaTimes is where the time goes that replicas of services are not served: sums over
// all that were lost or moved, and over all that started, by step. The step between them,
// until a lost replica is given room, is the leader's.
type ReplicaTimes struct {
	Lost      int           // running replicas that were lost or stopped to be moved
	Detection time.Duration // from the last sign of life to the decision that it is lost
	Proof     time.Duration // from there until it certainly exists no more
	Removal   time.Duration // from there until its placement is taken out of the record

	Started int
	Commit  time.Duration // from being given room to its placement's commit
	Command time.Duration // from there to the reply that orders its start
	Fetch   time.Duration // from there to the last heartbeat that shows it fetching its image
	Start   time.Duration // from there, or from the order, to the first that shows it running
}

// replicaTimestamps are the moments in a placement's life that ReplicaTimes is made of.
type replicaTimestamps struct {
	assigned      time.Time
	committed     time.Time
	ordered       time.Time // first start
	fetching      time.Time // last heartbeat that showed it so
	stopOrdered   time.Time // first order to stop it
	confirmedGone time.Time // when it was known to exist no more
	startCounted  bool      // its start is in the sums
}

// replicaLoss is when a replica was last seen alive, when it was decided that it is lost or to be
// stopped, and when it was known to exist no more. Times that are not known are zero.
type replicaLoss struct {
	lastSeen, decided, confirmed time.Time
}

// recordReplicaStart adds a replica that is seen running for the first time.
func (s *shared) recordReplicaStart(pl *Placement, now time.Time) {
	if pl.timestamps.startCounted || pl.timestamps.ordered.IsZero() || !s.isReplica(pl) {
		return
	}
	pl.timestamps.startCounted = true
	s.Replicas.addStart(&pl.timestamps, now)
}

// recordReplicaLoss adds a replica that exists no more.
func (s *shared) recordReplicaLoss(pl *Placement, loss replicaLoss) {
	if !pl.committed || pl.isPending() || !s.isReplica(pl) {
		return
	}
	pl.timestamps.confirmedGone = loss.confirmed
	s.Replicas.addLoss(loss)
}

// recordReplicaRemoval adds the time until a lost replica's placement was taken out.
func (s *shared) recordReplicaRemoval(pl *Placement, now time.Time) {
	if !pl.timestamps.confirmedGone.IsZero() {
		s.Replicas.Removal += now.Sub(pl.timestamps.confirmedGone)
	}
}

func (r *ReplicaTimes) addStart(steps *replicaTimestamps, now time.Time) {
	r.Started++
	r.Commit += steps.committed.Sub(steps.assigned)
	r.Command += steps.ordered.Sub(steps.committed)
	started := steps.ordered
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
