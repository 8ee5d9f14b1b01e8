package partition

import "time"

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
	Command time.Duration // from there to the answer that orders its start
	Fetch   time.Duration // from there to the last report that shows it fetching its image
	Start   time.Duration // from there, or from the order, to the first that shows it running
}

// replicaSteps are the moments in a placement's life that ReplicaTimes is made of.
type replicaSteps struct {
	assigned    time.Time
	committed   time.Time
	ordered     time.Time
	fetching    time.Time // last report that showed it so
	stopOrdered time.Time // first order to stop it
	gone        time.Time // it exists no more
	counted     bool      // its start is in the sums
}

// isReplica tells whether a placement is a service's replica.
func (p *Partition) isReplica(pl *Placement) bool {
	l := p.jobs.Get(pl.Task.Job)
	return l != nil && l.IsService()
}

// countStart adds a replica that is seen running for the first time.
func (p *Partition) countStart(pl *Placement, now time.Time) {
	s := &pl.steps
	if s.counted || s.ordered.IsZero() || !p.isReplica(pl) {
		return
	}
	s.counted = true
	r := &p.Replicas
	r.Started++
	r.Commit += s.committed.Sub(s.assigned)
	r.Command += s.ordered.Sub(s.committed)
	started := s.ordered
	if s.fetching.After(started) {
		r.Fetch += s.fetching.Sub(started)
		started = s.fetching
	}
	r.Start += now.Sub(started)
}

// countLoss adds a replica that exists no more: seen is the last sign of its life, and
// decided when it was held for lost or told to stop.
func (p *Partition) countLoss(pl *Placement, seen, decided, now time.Time) {
	if !pl.committed || pl.isPending() || !p.isReplica(pl) {
		return
	}
	if decided.IsZero() || decided.After(now) {
		decided = now
	}
	if seen.IsZero() || seen.After(decided) {
		seen = decided
	}
	pl.steps.gone = now
	r := &p.Replicas
	r.Lost++
	r.Detection += decided.Sub(seen)
	r.Proof += now.Sub(decided)
}

// countRemoval adds the time until a lost replica's placement was taken out.
func (p *Partition) countRemoval(pl *Placement, now time.Time) {
	if !pl.steps.gone.IsZero() {
		p.Replicas.Removal += now.Sub(pl.steps.gone)
	}
}
