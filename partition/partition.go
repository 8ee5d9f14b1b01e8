// Package partition manages the machines of one owner: their queues, leases and placements, and
// the overflow between them. It does no I/O: its inputs are the time, heartbeats and assignments,
// its outputs are commands and commits. It starts no goroutines and takes no locks; the caller
// must hold a lock during each call.
//
// A Partition consists of components, each with its own state and its own file:
//
//	machinetable.go  the machines, and the versions that track changes for the leader
//	lifecycle.go     lease, eviction and termination of machines
//	machine.go       a single machine; freeresources.go computes its free resources
//	placement.go     a placement and its states; review.go ends and stops placements
//	queue.go         assignments and the machines' queues
//	reservation.go   returns tasks to the leader that would not start on their machine
//	overflow.go      moves queued tasks off overloaded machines; fleet.go has the preferred lists
//	heartbeat.go     applies heartbeats; commands.go computes the replies
//	layout.go        the shard records, and the assignment of placements to them
//	record.go        the stored form of a shard; recordwriter.go, recordreader.go, recordsize.go
//	compose.go       builds a shard's record; split.go splits oversize records
//	attempt.go       attempt numbers
//	commit.go        selects the next commit; settle.go applies the result of a commit
//	update.go        updates to the leader; machinestate.go the machine states in them
//	metrics.go       counters, and the time that replicas spend in each step
package partition

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// Config holds the durations and limits of a partition.
type Config struct {
	Lease              time.Duration // of an agent, including clock drift and a safety margin
	OwnershipLease     time.Duration // of an owner, from its last confirmation
	HeartbeatInterval  time.Duration
	MaxCacheStaleness  time.Duration // age of the job cache above which no tasks are started
	Buddies            int           // size of a buddy set
	Threshold          int           // queue length above which a machine is overloaded
	LocalWait          time.Duration // queueing time after which a task may overflow beyond the buddy set
	MaxPreCommitted    int           // maximum number of tasks per machine that are committed before it has free capacity for them; tasks that overtake others may exceed it
	SilentLimit        time.Duration // time without heartbeats after which a machine is terminated
	TransactionChanges int           // maximum number of records that a transaction writes
	ValueBytes         int           // maximum size of a record in JSON form
	// BucketOf returns the bucket whose records hold a machine's tasks; nil: always 0.
	BucketOf    func(machine string) int
	CacheGB     func(machineType string) float64 // size of a machine's image cache; nil: unlimited
	MaxMachines int                              // memory limit on the number of machines; 0: unlimited
}

// returnAfter returns how long a task waits on a machine in vain before it returns to the leader.
func (c *Config) returnAfter() time.Duration { return 2 * c.LocalWait }

// CapacityOf returns the resources of a machine type, and false if the type is unknown.
type CapacityOf func(machineType string) (job.Resources, bool)

// Partition holds the machines of one owner in one view. It is not safe for concurrent use.
type Partition struct {
	*shared

	queues        *queues
	review        *placementReview
	reservations  *reservations
	lifecycle     *machineLifecycle
	overflow      *overflow
	heartbeats    *heartbeats
	commands      *commands
	layout        *shardLayout
	commitPlanner *commitPlanner
	updates       *updates
}

// shared is the state that the components of a partition have in common.
type shared struct {
	*metrics

	cfg      Config
	view     uint64
	jobs     *job.Cache
	machines *machineTable
	unknown  *unknownTasks
	outbox   *outbox
}

// New returns an empty partition for the member with the given index. seen is when this process
// first saw the view. LoadShard then adds the contents of the stored records.
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
		reservations:  &reservations{shared: s},
		lifecycle:     &machineLifecycle{shared: s, viewSeenAt: seen},
		overflow:      &overflow{shared: s, fleet: newFleetDirectory()},
		heartbeats:    &heartbeats{shared: s},
		commands:      &commands{shared: s},
		layout:        layout,
		commitPlanner: &commitPlanner{shared: s, attempts: attempts, layout: layout},
		updates:       &updates{shared: s, layout: layout},
	}
}

// View returns the number of the view that the partition belongs to.
func (p *Partition) View() uint64 { return p.view }

// LoadShard adds the placements and completed tasks of a record that was read at the start of the
// view. It returns an error if the key or the record is malformed.
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

// loadPlacement adds a placement from a row of a record.
func (p *Partition) loadPlacement(s *shard, row *RecordMachine, kind RecordKind, pl *Placement, now time.Time) {
	m := p.machines.findOrAdd(row.ID, kind, now)
	m.shard, pl.shard = s, s
	pl.restore(now)
	if cached := p.jobs.Get(pl.Task.Job); cached != nil {
		pl.Image, pl.ImageGB = cached.Spec.Image, cached.Spec.ImageGB
	}
	m.placements = append(m.placements, pl)
	// A machine may have rows in two records: use the epoch and sequence of the newer row.
	if row.AgentEpoch > m.agentEpoch || row.AgentEpoch == m.agentEpoch && row.Sequence > m.sequence {
		m.agentEpoch, m.sequence = row.AgentEpoch, row.Sequence
	}
}

// ApplyAssignments queues the tasks that the leader assigned. Assignments with a sequence number
// that was already applied are skipped.
func (p *Partition) ApplyAssignments(now time.Time, assigned []Assigned) {
	p.queues.applyAssignments(now, assigned)
}

// AckedAssignment returns the sequence number of the last assignment that was applied.
func (p *Partition) AckedAssignment() uint64 { return p.queues.ackedAssignment }

// ResetFleet clears the fleet directory, which holds the machines of all owners. The caller then passes
// the leader's full list to ApplyFleetChanges.
func (p *Partition) ResetFleet() { p.overflow.fleet.reset() }

// ApplyFleetChanges applies the leader's changes to the fleet directory: the machines that are new
// or have changed, and the ids of removed ones. Machines are numbered in order of their ids.
func (p *Partition) ApplyFleetChanges(changed []FleetMachine, removed []string) {
	p.overflow.fleet.apply(changed, removed)
}

// Preempt stops tasks, or takes them out of their queue, to free capacity for others.
func (p *Partition) Preempt(tasks []job.Task) {
	for _, task := range tasks {
		for _, m := range p.machines.sorted {
			p.queues.withdraw(m, task)
			p.review.preempt(m, task)
		}
	}
}

// Tick performs the periodic work of all machines: it expires leases, drops obsolete tasks from
// queues, ends reservations that will not be kept, moves overflow, and creates placements for queued tasks.
func (p *Partition) Tick(now time.Time) {
	for _, m := range p.machines.sorted {
		p.tickMachine(now, m)
		p.reservations.review(now, m)
	}
	p.overflow.move(now)
	if p.cacheFresh(now) {
		for _, m := range p.machines.sorted {
			p.queues.placeQueued(m)
		}
	}
	p.machines.forgetTerminated(now)
}

// TickMachine performs the periodic work of one machine after its heartbeat was applied.
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

// Evict marks machines for graceful eviction: they start no new tasks and are terminated once they
// are idle. Machines that the cloud has already terminated are skipped.
func (p *Partition) Evict(ids []string, now time.Time) {
	p.lifecycle.evict(ids, evictingGracefully, now)
}

// TerminateWithoutEviction marks machines for termination without waiting for their tasks.
// Machines that the cloud has already terminated are skipped.
func (p *Partition) TerminateWithoutEviction(ids []string, now time.Time) {
	p.lifecycle.evict(ids, terminatingAtOnce, now)
}

// MachinesToTerminate returns the machines that the cloud is to terminate now. A machine is listed
// until HandleTerminated confirms its termination.
func (p *Partition) MachinesToTerminate(now time.Time) []string {
	return p.lifecycle.machinesToTerminate(now)
}

// HandleTerminated records that the cloud has terminated machines. Their tasks are lost.
func (p *Partition) HandleTerminated(ids []string, now time.Time) {
	p.lifecycle.confirmTerminated(ids, now)
	p.commitPlanner.dropUncommitted()
}

// HandleHeartbeat applies an agent's heartbeat. It returns false, and changes nothing, if the
// heartbeat is not newer than the last one applied, if the machine has been terminated, or if the
// machine would exceed the limit on machines. Such a heartbeat must be answered without commands.
func (p *Partition) HandleHeartbeat(now time.Time, r *protocol.Heartbeat) (fresh bool) {
	return p.heartbeats.handle(now, r)
}

// RecordReply records that a machine's last heartbeat is answered with status 200.
func (p *Partition) RecordReply(id string) {
	if m := p.machines.get(id); m != nil {
		m.replies.record(m.lastHeartbeat)
	}
}

// RecordContact records a heartbeat that could not be applied because the owner's lease had
// expired. It counts as contact, so the machine is not terminated as silent.
func (p *Partition) RecordContact(r *protocol.Heartbeat, now time.Time) {
	m := p.machines.get(r.Machine)
	if m != nil && r.FencingToken >= p.view && !m.lastContact.IsZero() && m.isNewer(r) {
		m.lastContact = now
	}
}

// Commands returns the commands for the reply to the heartbeat with the given agent epoch and sequence
// number, and records starts as sent. It returns none if that is not the machine's last heartbeat. The
// caller must have checked that the owner's ownership lease and its start lease are valid.
func (p *Partition) Commands(now time.Time, id string, agentEpoch, sequence uint64) []protocol.Command {
	m := p.machineAt(id, agentEpoch, sequence)
	if m == nil {
		return nil
	}
	return p.commands.reply(now, m)
}

// CommandsWithoutStarts is Commands for an owner that does not hold its start lease. It reports the number
// of starts that the reply does not carry for this reason; they stay pending.
func (p *Partition) CommandsWithoutStarts(now time.Time, id string, agentEpoch, sequence uint64) (commands []protocol.Command, withheld int) {
	m := p.machineAt(id, agentEpoch, sequence)
	if m == nil {
		return nil, 0
	}
	commands = p.commands.withoutStarts(now, m)
	return commands, len(p.commands.startable(m, now))
}

// machineAt returns a machine if its last heartbeat has the given agent epoch and sequence number, and
// nil otherwise: then a newer heartbeat has arrived, and its reply carries the commands.
func (p *Partition) machineAt(id string, agentEpoch, sequence uint64) *Machine {
	m := p.machines.get(id)
	if m == nil || m.agentEpoch != agentEpoch || m.sequence != sequence {
		return nil
	}
	return m
}

// AwaitsCommit reports whether a task on a machine fits and waits only for its commit, so that
// the machine can start it shortly.
func (p *Partition) AwaitsCommit(id string) bool {
	m := p.machines.get(id)
	return m != nil && m.usable() && m.awaitsCommit()
}

// HasSpareCapacity reports whether a machine has free resources beyond the needs of all tasks held
// there.
func (p *Partition) HasSpareCapacity(id string) bool {
	m := p.machines.get(id)
	return m != nil && m.usable() && m.hasSpareCapacity()
}

// NextCommit returns the next commit, with at most limit records unless it splits one, or nil if there
// is nothing to commit. Before the next call, the caller must settle the commit with
// HandleCommitApplied, HandleCommitTooLarge or HandleCommitRefused; before HandleCommitRefused it calls
// ReconcileShard for each record that it read again.
func (p *Partition) NextCommit(now time.Time, limit int) *Commit {
	return p.commitPlanner.next(now, limit)
}

// HandleCommitApplied settles a commit that was applied at a revision.
func (p *Partition) HandleCommitApplied(c *Commit, revision uint64, now time.Time) {
	p.commitPlanner.settleApplied(c, revision, now)
}

// ReconcileShard settles one record of a commit whose guards failed. rec is the stored record, or nil
// if there is none. If an earlier attempt of the transaction was applied but its reply was lost, the
// stored record contains its changes. Changes that the stored record lacks were not applied and never
// will be, since their guard is stale. It returns an error if the record is malformed.
func (p *Partition) ReconcileShard(c *Commit, key string, rec *Record, revision uint64, now time.Time) error {
	return p.commitPlanner.reconcile(c, key, rec, revision, now)
}

// HandleCommitRefused settles a commit that was certainly not applied. Records that ReconcileShard
// has settled before keep that result; all other changes remain to be committed.
func (p *Partition) HandleCommitRefused(c *Commit) { p.commitPlanner.settleRefused(c) }

// HandleCommitTooLarge settles a commit that the key-value store rejected because of its size limits.
func (p *Partition) HandleCommitTooLarge(c *Commit, now time.Time) {
	p.commitPlanner.settleTooLarge(c, now)
}

// ShrinkCommits makes the next commits smaller, so that they fit a limit that larger ones exceed.
func (p *Partition) ShrinkCommits() { p.commitPlanner.shrink() }

// ShardFill returns the size of the largest record as a fraction of the maximum value size.
func (p *Partition) ShardFill() float64 { return p.layout.fill() }

// CompletedFill returns the largest space that completed tasks take in any record, as a fraction of
// the maximum value size.
func (p *Partition) CompletedFill() float64 { return p.layout.completedFill() }

// States returns the states of all machines, sorted by id.
func (p *Partition) States(now time.Time) []MachineState { return p.updates.states(now) }

// Update returns the changes since the version that the leader has. Forward requests and failures
// are included in each update until HandleUpdateDelivered is called for an update that contains them.
func (p *Partition) Update(now time.Time) Update {
	return p.updates.next(now, p.queues.ackedAssignment)
}

// HandleUpdateDelivered records that the leader has applied an update and now has leaderVersion.
func (p *Partition) HandleUpdateDelivered(update *Update, leaderVersion uint64) {
	p.updates.recordDelivered(update, leaderVersion)
}

// Load returns the number of machines, of tasks held on them, and of completed tasks that are not
// yet in their job's record.
func (p *Partition) Load() (machines, tasks, uncompacted int) {
	for _, m := range p.machines.sorted {
		tasks += len(m.placements) + len(m.queue)
	}
	for _, s := range p.layout.shards {
		uncompacted += len(s.uncompacted)
	}
	return len(p.machines.sorted), tasks, uncompacted
}

// cacheFresh reports whether the job cache is recent enough to start tasks.
func (s *shared) cacheFresh(now time.Time) bool {
	return now.Sub(s.jobs.SyncedAt()) < s.cfg.MaxCacheStaleness
}

// isReplica reports whether a placement is a replica of a service.
func (s *shared) isReplica(pl *Placement) bool {
	cached := s.jobs.Get(pl.Task.Job)
	return cached != nil && cached.IsService()
}

// markLost ends a placement that was lost, or that is no longer needed and was never started.
func (s *shared) markLost(m *Machine, pl *Placement) {
	pl.end(outcomeLost)
	s.Counts.Lost++
	s.machines.markChanged(m)
}

// confirmLost ends a placement that certainly no longer exists, and adds it to the replica metrics.
func (s *shared) confirmLost(m *Machine, pl *Placement, loss replicaLoss) {
	s.recordReplicaLoss(pl, loss)
	s.markLost(m, pl)
}
