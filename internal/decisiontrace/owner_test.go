package decisiontrace

import (
	"fmt"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
)

// owner is a controller that owns the machines of some buckets.
type owner struct {
	index         int
	partition     *partition.Partition
	jobs          *job.Cache
	fleetVersion  uint64
	placeableWork bool
	commit        *partition.Commit // that is under way
	settlesAt     time.Time
	earlierCalls  []peer.Sync // that may reach the leader late or again
}

// newOwner makes an owner of the present view and loads its records.
func (h *history) newOwner(index int) *owner {
	o := &owner{index: index, jobs: h.mirrors[index]}
	o.partition = partition.New(partition.Config{
		Lease: 10 * time.Second, OwnershipLease: 6 * time.Second, HeartbeatInterval: time.Second, MaxCacheStaleness: 5 * time.Second,
		Buddies: 3, Threshold: 1, LocalWait: 3 * time.Second, MaxPreCommitted: 2, SilentLimit: 7 * time.Second,
		TransactionChanges: 6, ValueBytes: h.valueBytes, BucketOf: bucketOf, CacheGB: func(string) float64 { return 2 },
	}, h.view, index, h.now, h.capacityOf, o.jobs)
	for _, key := range h.shardKeys() {
		if h.ownerOfKey(key) != index {
			continue
		}
		check(o.partition.LoadShard(key, h.storedRecord(key), h.store[key].Revision, h.now))
	}
	machines, tasks, uncompacted := o.partition.Load()
	h.trace.words("owner %d loads %d machines, %d tasks, %d finished", index, machines, tasks, uncompacted)
	return o
}

// delivery is how a heartbeat reached its owner.
type delivery int

const (
	onTime delivery = iota
	late            // a copy of an earlier heartbeat, whose reply reaches nobody
)

// handleHeartbeat lets the owner of a machine handle a heartbeat; the reply may be lost.
func (h *history) handleHeartbeat(w *worker, r *protocol.Heartbeat, how delivery) {
	o := h.owners[h.ownerOf(w.id)]
	if h.chance(h.scenario.noAuthority) {
		o.partition.RecordContact(r, h.now)
		return
	}
	if !o.partition.HandleHeartbeat(h.now, r) {
		h.trace.words("report %s %d.%d is old", w.id, r.AgentEpoch, r.Sequence)
		return
	}
	o.partition.TickMachine(h.now, w.id)
	awaits, spare := o.partition.AwaitsCommit(w.id), o.partition.HasSpareCapacity(w.id)
	if awaits && h.chance(0.5) {
		h.startCommit(o)
		h.settleCommit(o)
		o.partition.TickMachine(h.now, w.id)
	}
	o.partition.RecordReply(w.id)
	commands := o.partition.Commands(h.now, w.id, r.AgentEpoch, r.Sequence)
	sortUnplaced(commands, h.placements(commands))
	reply := protocol.HeartbeatReply{FencingToken: h.view, Commands: commands}
	if how == late || len(commands) > 0 || awaits {
		h.trace.stored(fmt.Sprintf("answer %s waits %v room %v", w.id, awaits, spare), reply)
	}
	switch {
	case w.lostAnswers > 0:
		w.lostAnswers--
	case how == late || h.chance(h.scenario.lostAnswers):
	default:
		w.obey(h.now, reply, h)
	}
}

// placements returns the stored placements, if the order of commands may depend on them.
func (h *history) placements(commands []protocol.Command) map[placementKey]bool {
	placed := map[placementKey]bool{}
	if len(commands) > 1 {
		for _, key := range h.shardKeys() {
			storedPlacements(h.store[key].Data, placed)
		}
	}
	return placed
}

// tickOwner lets time pass for an owner, commits, and returns machines.
func (h *history) tickOwner(o *owner) {
	o.partition.Tick(h.now)
	if o.commit != nil && !h.now.Before(o.settlesAt) {
		h.settleCommit(o)
	}
	for range 2 {
		h.startCommit(o)
		if h.chance(h.scenario.slowCommits) {
			break // it is settled in a later step
		}
		h.settleCommit(o)
	}
	if ids := o.partition.MachinesToTerminate(h.now); len(ids) > 0 {
		h.trace.words("owner %d returns %v", o.index, ids)
		if h.chance(0.8) {
			o.partition.HandleTerminated(ids, h.now)
			h.takeBack(ids)
		}
	}
}

// startCommit makes an owner's next transaction unless one is under way.
func (h *history) startCommit(o *owner) {
	if o.commit != nil {
		return
	}
	most := 1 + h.rng.IntN(6)
	c := o.partition.NextCommit(h.now, most)
	if c == nil {
		return
	}
	o.commit, o.settlesAt = c, h.now.Add(time.Second)
	h.trace.stored(fmt.Sprintf("owner %d commits", o.index), commitTransaction(c))
}

// commitTransaction is a commit as the state service takes it, without the guard on the view.
func commitTransaction(c *partition.Commit) (t protocol.Transaction) {
	for _, w := range c.Shards {
		t.Guards = append(t.Guards, protocol.Guard{Key: w.Key, Revision: w.Revision})
		if w.Record == nil {
			t.Changes = append(t.Changes, protocol.Change{DeleteKey: w.Key})
		} else {
			check(t.Put(w.Key, w.Record))
		}
	}
	return t
}

// settleCommit draws what becomes of the transaction that is under way.
func (h *history) settleCommit(o *owner) {
	c := o.commit
	if c == nil {
		return
	}
	o.commit = nil
	transaction := commitTransaction(c)
	switch {
	case h.tooLarge(transaction) || h.chance(h.scenario.tooLarge):
		h.trace.words("owner %d: too large", o.index)
		o.partition.CommitTooLarge(c, h.now)
	case h.chance(h.scenario.refused):
		h.trace.words("owner %d: refused", o.index)
		o.partition.CommitRefused(c)
		o.partition.ShrinkCommits()
	case h.chance(h.scenario.unseen):
		h.trace.words("owner %d: reconciled", o.index)
		if h.chance(0.5) {
			h.apply(transaction) // and the answer is lost
		}
		for _, g := range transaction.Guards {
			if h.store[g.Key].Revision != g.Revision || h.chance(0.5) {
				h.reconcile(o, c, g.Key)
			}
		}
		o.partition.CommitRefused(c)
		o.partition.ShrinkCommits()
	default:
		o.partition.CommitApplied(c, h.apply(transaction), h.now)
	}
}

// reconcile settles one record of a commit from what is stored now.
func (h *history) reconcile(o *owner, c *partition.Commit, key string) {
	var stored *partition.Record
	if _, there := h.store[key]; there {
		record := h.storedRecord(key)
		stored = &record
	}
	check(o.partition.ReconcileShard(c, key, stored, h.store[key].Revision, h.now))
}

// sync lets an owner call the leader; calls and answers may be lost, late or repeated.
func (h *history) sync(o *owner) {
	call := peer.Sync{View: h.view, Index: o.index, FleetVersion: o.fleetVersion, Update: o.partition.Update(h.now)}
	h.trace.sent("call", call)
	received := throughMsgpack(call)
	o.earlierCalls = append(o.earlierCalls, received)
	if len(o.earlierCalls) > 3 {
		o.earlierCalls = o.earlierCalls[1:]
	}
	if o.index > 0 && h.chance(h.scenario.lostCalls) {
		return
	}
	reply := h.leader.answer(h, received)
	h.trace.sent("reply", reply)
	if o.index > 0 && h.chance(h.scenario.lostCalls) {
		return
	}
	o.takeReply(h, &call.Update, throughMsgpack(reply))
	if h.chance(h.scenario.lostCalls) {
		again := o.earlierCalls[h.rng.IntN(len(o.earlierCalls))]
		h.trace.sent("reply to a late call", h.leader.answer(h, again))
	}
}

// takeReply takes the leader's answer as a controller does.
func (o *owner) takeReply(h *history, update *partition.Update, reply peer.SyncReply) {
	o.partition.UpdateDelivered(update, reply.UpdateVersion)
	if reply.FleetBase == 0 {
		o.partition.ResetFleet()
	}
	o.partition.ApplyFleetChanges(reply.Fleet, reply.FleetRemoved)
	assigned := make([]partition.Assigned, len(reply.Assignments))
	for i, a := range reply.Assignments {
		assigned[i] = partition.Assigned{Seq: a.Seq, Job: a.Job, Tasks: a.Tasks, Machine: a.Machine, Gang: a.Gang}
	}
	o.partition.ApplyAssignments(h.now, assigned)
	o.partition.Evict(reply.Evict, h.now)
	o.partition.TerminateWithoutEviction(reply.Terminate, h.now)
	o.partition.Preempt(reply.Stop)
	o.fleetVersion, o.placeableWork = reply.FleetVersion, reply.PlaceableWork
	o.partition.Tick(h.now)
}

// ownerTotals writes an owner's counts, in words of this package.
func (h *history) ownerTotals(o *owner) {
	c, r := &o.partition.Counts, &o.partition.Replicas
	h.trace.words("owner %d: queued %d, overflowed %d, sent on %d, walked on %d, ahead %d, started %d, done %d, lost %d, stopped %d, unreachable %d; fill %v %v", o.index,
		c.Queued, c.Overflowed, c.Forwarded, c.FallbackBeyondBuddies, c.PreCommitted, c.Started, c.Done, c.Lost, c.Stopped, c.Unreachable,
		o.partition.ShardFill(), o.partition.CompletedFill())
	h.trace.words("owner %d: replicas lost %d after %v %v %v, started %d after %v %v %v %v", o.index,
		r.Lost, r.Detection, r.Proof, r.Removal, r.Started, r.Commit, r.Command, r.Fetch, r.Start)
}

// storedRecord reads a record of placements.
func (h *history) storedRecord(key string) (record partition.Record) {
	check(protocol.DecodeRecord(key, h.store[key].Data, &record))
	check(record.Check())
	return record
}

// shardKeys lists the stored records of placements.
func (h *history) shardKeys() (keys []string) {
	for key := range h.store {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (h *history) ownerOfKey(key string) int {
	bucket, _, err := partition.ParseShardKey(key)
	check(err)
	return bucket % len(h.mirrors)
}
