// Package partition decides for the machines of one owner: their queues, the overflow
// between them, their leases and placements. It is pure: time, heartbeats and assignments go in,
// commands and commits come out. It starts no goroutine and takes no lock; the caller holds one
// over each call.
//
// A Partition is put together from parts, each of which owns its state and has a file of its own:
//
//	machinetable.go  the machines, and the versions by which the leader learns of changes
//	lifecycle.go     a machine's lease, eviction and termination
//	machine.go       a machine; room.go what of it is free
//	placement.go     a placement and its states; review.go ends and stops placements
//	queue.go         assignments, and the queues of machines
//	overflow.go      moves what is over the threshold; fleet.go the preferred lists
//	heartbeat.go     applies heartbeats; commands.go replies to them
//	layout.go        the shard records, and which one a placement goes to
//	record.go        the stored form of a shard; recordwriter.go, recordreader.go, recordsize.go
//	compose.go       makes a record anew; split.go distributes one that is too large
//	attempt.go       numbers attempts
//	commit.go        chooses what to commit next; settle.go applies what became of it
//	update.go        reports to the leader; machinestate.go a machine as it is reported
//	metrics.go       counts, and where replicas' time goes
package partition

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// Config holds the times and sizes that a partition works with.
type Config struct {
	Lease              time.Duration // of a worker, with drift and margin
	OwnershipLease     time.Duration // of an owner, after its last confirmation
	HeartbeatInterval  time.Duration
	MaxCacheStaleness  time.Duration // of the job cache, beyond which no work is started
	Buddies            int           // length of a buddy set
	Threshold          int           // queued tasks above which a machine is overloaded
	LocalWait          time.Duration // after which a queued task may go beyond the buddy set
	MaxPreCommitted    int           // tasks of a full machine that are committed before they have room
	SilentLimit        time.Duration // after which a silent machine is terminated
	TransactionChanges int           // records that a transaction may write
	ValueBytes         int           // that a record may have, in its JSON form
	BucketOf           func(machine string) int
	CacheGB            func(machineType string) float64 // size of a machine's image cache; nil: unlimited
	MaxMachines        int                              // that the memory can hold; 0: any number
}

// CapacityOf returns the size of a machine type, and false for an unknown one.
type CapacityOf func(machineType string) (job.Resources, bool)

// Partition holds the machines of one owner in one view. Its methods are not safe for concurrent
// use.
type Partition struct {
	*shared

	queues        *queues
	review        *placementReview
	lifecycle     *machineLifecycle
	overflow      *overflow
	heartbeats    *heartbeats
	commands      *commands
	layout        *shardLayout
	commitPlanner *commitPlanner
	updates       *updates
}

// shared is what the parts of a partition have in common.
type shared struct {
	*metrics

	cfg      Config
	view     uint64
	jobs     *job.Cache
	machines *machineTable
	unknown  *unknownTasks
	outbox   *outbox
}

// New returns the empty partition of the member with an index in a view that was first seen at
// a time. LoadShard adds what the view's records hold.
func New(cfg Config, view uint64, index int, seen time.Time, capacityOf CapacityOf, jobs *job.Cache) *Partition {
	counters := &metrics{Limits: limits.Counts{}}
	s := &shared{
		metrics: counters, cfg: cfg, view: view, jobs: jobs,
		machines: newMachineTable(capacityOf),
		unknown:  &unknownTasks{metrics: counters},
		outbox:   &outbox{},
	}
	attempts := &attemptNumbers{view: view, owner: index}
	layout := newShardLayout(cfg.ValueBytes, cfg.BucketOf)
	return &Partition{
		shared:        s,
		queues:        &queues{shared: s, attempts: attempts},
		review:        &placementReview{shared: s},
		lifecycle:     &machineLifecycle{shared: s, viewSeenAt: seen},
		overflow:      &overflow{shared: s, fleet: newFleetDirectory()},
		heartbeats:    &heartbeats{shared: s},
		commands:      &commands{shared: s},
		layout:        layout,
		commitPlanner: &commitPlanner{shared: s, attempts: attempts, layout: layout},
		updates:       &updates{shared: s, layout: layout},
	}
}

// View is the number of the view that the partition belongs to.
func (p *Partition) View() uint64 { return p.view }

// LoadShard adds the placements and completed tasks of a record, as it was read when the view
// began. The error names what in the key or the record cannot be read.
func (p *Partition) LoadShard(key string, rec Record, revision uint64, now time.Time) error {
	bucket, chunk, err := ParseShardKey(key)
	if err != nil {
		return err
	}
	s := &shard{bucket: bucket, chunk: chunk, key: key, revision: revision, bytes: rec.Bytes(), completedBytes: rec.completedBytes()}
	p.layout.add(s)
	err = rec.eachPlacement(func(row *RecordMachine, kind RecordKind, pl *Placement) {
		p.loadPlacement(s, row, kind, pl, now)
	})
	if err != nil {
		return err
	}
	return rec.eachCompleted(func(t job.Task) {
		s.uncompacted = append(s.uncompacted, uncompactedTask{task: t, version: p.machines.version})
	})
}

// loadPlacement adds a placement from a record's row.
func (p *Partition) loadPlacement(s *shard, row *RecordMachine, kind RecordKind, pl *Placement, now time.Time) {
	m := p.machines.findOrAdd(row.ID, kind, now)
	m.shard, pl.shard = s, s
	pl.restore(now)
	if l := p.jobs.Get(pl.Task.Job); l != nil {
		pl.Image, pl.ImageGB = l.Spec.Image, l.Spec.ImageGB
	}
	m.placements = append(m.placements, pl)
	// Of a machine that is in two records the later row counts.
	if row.AgentEpoch > m.agentEpoch || row.AgentEpoch == m.agentEpoch && row.Sequence > m.sequence {
		m.agentEpoch, m.sequence = row.AgentEpoch, row.Sequence
	}
}

// ApplyAssignments queues what the leader has assigned. Assignments that were applied before are
// skipped, by their sequence numbers.
func (p *Partition) ApplyAssignments(now time.Time, assigned []Assigned) {
	p.queues.applyAssignments(now, assigned)
}

// AckedAssignment is the sequence number of the last assignment that was applied.
func (p *Partition) AckedAssignment() uint64 { return p.queues.ackedAssignment }

// ResetFleet drops what is known of the fleet's machines. The leader's full list follows, by
// ApplyFleetChanges.
func (p *Partition) ResetFleet() { p.overflow.fleet.reset() }

// ApplyFleetChanges applies what the leader sent of the fleet's machines: those that have
// changed, new ones included, and the ids of those that were removed. The machines are
// numbered by sorted id.
func (p *Partition) ApplyFleetChanges(changed []Buddy, removed []string) {
	p.overflow.fleet.apply(changed, removed)
}

// Preempt asks for tasks to be stopped to make room for others.
func (p *Partition) Preempt(tasks []job.Task) {
	for _, task := range tasks {
		for _, m := range p.machines.sorted {
			p.queues.withdraw(m, task)
			p.review.preempt(m, task)
		}
	}
}

// Tick lets time pass: leases expire, queues drop what is no longer wanted, overflow moves, and
// queued tasks are put up for commit.
func (p *Partition) Tick(now time.Time) {
	for _, m := range p.machines.sorted {
		p.tickMachine(now, m)
	}
	p.overflow.move(now)
	if p.cacheFresh(now) {
		for _, m := range p.machines.sorted {
			p.queues.placeQueued(m)
		}
	}
	p.machines.forgetTerminated(now)
}

// TickMachine lets time pass for one machine, whose heartbeat was just applied.
func (p *Partition) TickMachine(now time.Time, id string) {
	m := p.machines.get(id)
	if m == nil {
		return
	}
	p.tickMachine(now, m)
	if p.cacheFresh(now) {
		p.queues.placeQueued(m)
	}
}

func (p *Partition) tickMachine(now time.Time, m *Machine) {
	p.lifecycle.expireLease(m, now)
	p.queues.dropObsolete(m)
	p.review.reviewPlacements(m)
	if m.updateIdle(now) {
		p.machines.markChanged(m)
	}
}

// Evict marks machines for graceful eviction: they start nothing new and are terminated once
// they are idle. Machines that the cloud has terminated are skipped.
func (p *Partition) Evict(ids []string, now time.Time) {
	p.lifecycle.evict(ids, evictingGracefully, now)
}

// TerminateWithoutEviction marks machines to be terminated without waiting for their tasks.
// Machines that the cloud has terminated are skipped.
func (p *Partition) TerminateWithoutEviction(ids []string, now time.Time) {
	p.lifecycle.evict(ids, terminatingAtOnce, now)
}

// MachinesToTerminate lists the machines to give back to the cloud now, until HandleTerminated
// confirms each.
func (p *Partition) MachinesToTerminate(now time.Time) []string {
	return p.lifecycle.machinesToTerminate(now)
}

// HandleTerminated records that the cloud has taken machines back: they and all on them are gone.
func (p *Partition) HandleTerminated(ids []string, now time.Time) {
	p.lifecycle.confirmTerminated(ids, now)
	p.commitPlanner.dropUncommitted()
}

// HandleHeartbeat applies a worker's heartbeat. It returns false for one that is not newer than
// the last one, or that comes from a machine that is gone or beyond the limit of machines: it
// changes nothing and gets no commands.
func (p *Partition) HandleHeartbeat(now time.Time, r *protocol.Heartbeat) (fresh bool) {
	return p.heartbeats.handle(now, r)
}

// RecordReply records that a machine's last heartbeat is replied to with 200.
func (p *Partition) RecordReply(id string) {
	if m := p.machines.get(id); m != nil {
		m.replies.record(m.lastHeartbeat)
	}
}

// RecordContact records a heartbeat that could not be applied as the owner's lease had expired:
// the machine is not silent, whatever becomes of its own lease.
func (p *Partition) RecordContact(r *protocol.Heartbeat, now time.Time) {
	m := p.machines.get(r.Machine)
	if m != nil && r.FencingToken >= p.view && !m.lastContact.IsZero() && m.isNewer(r) {
		m.lastContact = now
	}
}

// Commands returns the commands of the reply to a machine's heartbeat, which is its last one by
// agent epoch and sequence. The caller has checked that the owner's lease is valid; starts are
// recorded as sent.
func (p *Partition) Commands(now time.Time, id string, agentEpoch, sequence uint64) []protocol.Command {
	m := p.machines.get(id)
	if m == nil || m.agentEpoch != agentEpoch || m.sequence != sequence {
		return nil // a newer heartbeat came in meanwhile: its reply has the commands
	}
	return p.commands.reply(now, m)
}

// AwaitsCommit reports whether a machine could start more within moments: a task with room waits
// for its commit.
func (p *Partition) AwaitsCommit(id string) bool {
	m := p.machines.get(id)
	return m != nil && m.usable() && m.awaitsCommit()
}

// HasSpareRoom reports whether a machine has room that nothing held there would take.
func (p *Partition) HasSpareRoom(id string) bool {
	m := p.machines.get(id)
	return m != nil && m.usable() && m.hasSpareRoom()
}

// NextCommit returns what is to be committed next, of at most a number of records, or nil. It is
// to be settled before the next call, by CommitApplied, CommitTooLarge or CommitRefused, the
// latter after ReconcileShard for each record that was read again.
func (p *Partition) NextCommit(now time.Time, limit int) *Commit {
	return p.commitPlanner.next(now, limit)
}

// CommitApplied settles a commit that was carried out, at a revision.
func (p *Partition) CommitApplied(c *Commit, revision uint64, now time.Time) {
	p.commitPlanner.applied(c, revision, now)
}

// ReconcileShard settles one record of a commit whose guards failed with what is stored now; rec
// is nil if nothing is. A write of ours that passed unseen is in the record; what the record
// lacks was not placed and never will be, since its guard is stale. The error names what in the
// record cannot be read.
func (p *Partition) ReconcileShard(c *Commit, key string, rec *Record, revision uint64, now time.Time) error {
	return p.commitPlanner.reconcile(c, key, rec, revision, now)
}

// CommitRefused settles a commit that was surely not carried out, as far as ReconcileShard has
// not: all of it is still wanted.
func (p *Partition) CommitRefused(c *Commit) { p.commitPlanner.refused(c) }

// CommitTooLarge settles a commit that the service's limits refuse.
func (p *Partition) CommitTooLarge(c *Commit, now time.Time) { p.commitPlanner.tooLarge(c, now) }

// ShrinkCommits makes the next commits smaller: they find room in a limit that larger ones do not.
func (p *Partition) ShrinkCommits() { p.commitPlanner.shrink() }

// ShardFill is how full the fullest record is, as a part of a value.
func (p *Partition) ShardFill() float64 { return p.layout.fill() }

// CompletedFill is how much of a value the completed tasks take, where they take most.
func (p *Partition) CompletedFill() float64 { return p.layout.completedFill() }

// States returns the states of all machines, by id.
func (p *Partition) States(now time.Time) []MachineState { return p.updates.states(now) }

// Update returns what has changed since what the leader has. Requests to forward and failures
// are part of each update until UpdateDelivered.
func (p *Partition) Update(now time.Time) Update {
	return p.updates.next(now, p.queues.ackedAssignment)
}

// UpdateDelivered records that the leader has applied an update, and has a version by now.
func (p *Partition) UpdateDelivered(update *Update, leaderVersion uint64) {
	p.updates.delivered(update, leaderVersion)
}

// Load counts the machines, the tasks on them, and the completed tasks that no job's record has.
func (p *Partition) Load() (machines, tasks, uncompacted int) {
	for _, m := range p.machines.sorted {
		tasks += len(m.placements) + len(m.queue)
	}
	for _, s := range p.layout.shards {
		uncompacted += len(s.uncompacted)
	}
	return len(p.machines.sorted), tasks, uncompacted
}

// cacheFresh reports whether the job cache is young enough to start work on it.
func (s *shared) cacheFresh(now time.Time) bool {
	return now.Sub(s.jobs.SyncedAt()) < s.cfg.MaxCacheStaleness
}

// isReplica reports whether a placement is a service's replica.
func (s *shared) isReplica(pl *Placement) bool {
	l := s.jobs.Get(pl.Task.Job)
	return l != nil && l.IsService()
}

// markLost ends a placement that was lost, or is not wanted any more before it was started.
func (s *shared) markLost(m *Machine, pl *Placement) {
	pl.end(outcomeLost)
	s.Counts.Lost++
	s.machines.markChanged(m)
}

// confirmLost ends a placement that exists no more, and adds it to the metrics of replicas.
func (s *shared) confirmLost(m *Machine, pl *Placement, loss replicaLoss) {
	s.recordReplicaLoss(pl, loss)
	s.markLost(m, pl)
}
