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
	commit        *partition.Commit // in flight
	commitEndsAt  time.Time
	earlierSyncs  []peer.Sync // that may reach the leader again
}

// newOwner returns an owner of the current view, which has loaded its shards.
func (h *history) newOwner(index int) *owner {
	o := &owner{index: index, jobs: h.caches[index]}
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
	h.trace.addText("owner %d loads %d machines, %d tasks, %d finished", index, machines, tasks, uncompacted)
	return o
}

// delivery is the way in which a heartbeat reaches its owner.
type delivery int

const (
	onTime delivery = iota
	late            // a copy of an earlier heartbeat, whose reply is lost
)

// handleHeartbeat passes a heartbeat to the machine's owner, and the reply to the agent unless it
// is lost.
func (h *history) handleHeartbeat(a *agent, r *protocol.Heartbeat, timing delivery) {
	o := h.owners[h.ownerOf(a.id)]
	if h.chance(h.scenario.expiredOwnershipLease) {
		o.partition.RecordContact(r, h.now)
		return
	}
	if !o.partition.HandleHeartbeat(h.now, r) {
		h.trace.addText("report %s %d.%d is old", a.id, r.AgentEpoch, r.Sequence)
		return
	}
	o.partition.TickMachine(h.now, a.id)
	awaitsCommit, hasSpareCapacity := o.partition.AwaitsCommit(a.id), o.partition.HasSpareCapacity(a.id)
	if awaitsCommit && h.chance(0.5) {
		h.startCommit(o)
		h.finishCommit(o)
		o.partition.TickMachine(h.now, a.id)
	}
	o.partition.RecordReply(a.id)
	commands := o.partition.Commands(h.now, a.id, r.AgentEpoch, r.Sequence)
	sortUnplaced(commands, h.placements(commands))
	reply := protocol.HeartbeatReply{FencingToken: h.view, Commands: commands}
	if timing == late || len(commands) > 0 || awaitsCommit {
		h.trace.addCBOR(fmt.Sprintf("answer %s waits %v room %v", a.id, awaitsCommit, hasSpareCapacity), reply)
	}
	switch {
	case a.repliesToLose > 0:
		a.repliesToLose--
	case timing == late || h.chance(h.scenario.lostReplies):
	default:
		a.applyReply(h.now, reply, h)
	}
}

// placements returns the stored placements, from which sortUnplaced learns which commands are for
// placed tasks. For fewer than two commands it returns none, since there is nothing to sort.
func (h *history) placements(commands []protocol.Command) map[placementKey]bool {
	placed := map[placementKey]bool{}
	if len(commands) > 1 {
		for _, key := range h.shardKeys() {
			readPlacements(h.store[key].Data, placed)
		}
	}
	return placed
}

// tickOwner advances an owner to the current time, commits its changes and terminates machines.
func (h *history) tickOwner(o *owner) {
	o.partition.Tick(h.now)
	if o.commit != nil && !h.now.Before(o.commitEndsAt) {
		h.finishCommit(o)
	}
	for range 2 {
		h.startCommit(o)
		if h.chance(h.scenario.slowCommits) {
			break // the commit finishes in a later step
		}
		h.finishCommit(o)
	}
	if ids := o.partition.MachinesToTerminate(h.now); len(ids) > 0 {
		h.trace.addText("owner %d returns %v", o.index, ids)
		if h.chance(0.8) {
			o.partition.HandleTerminated(ids, h.now)
			h.terminateMachines(ids)
		}
	}
}

// startCommit starts an owner's next commit unless one is in flight.
func (h *history) startCommit(o *owner) {
	if o.commit != nil {
		return
	}
	maxShards := 1 + h.rng.IntN(6)
	c := o.partition.NextCommit(h.now, maxShards)
	if c == nil {
		return
	}
	o.commit, o.commitEndsAt = c, h.now.Add(time.Second)
	h.trace.addCBOR(fmt.Sprintf("owner %d commits", o.index), commitTransaction(c))
}

// commitTransaction returns a commit as a transaction of the key-value store, without the guard on
// the view.
func commitTransaction(c *partition.Commit) (t protocol.Transaction) {
	for _, shard := range c.Shards {
		t.Guards = append(t.Guards, protocol.Guard{Key: shard.Key, Revision: shard.Revision})
		if shard.Record == nil {
			t.Changes = append(t.Changes, protocol.Change{DeleteKey: shard.Key})
		} else {
			check(t.Put(shard.Key, shard.Record))
		}
	}
	return t
}

// finishCommit draws the outcome of the commit in flight.
func (h *history) finishCommit(o *owner) {
	c := o.commit
	if c == nil {
		return
	}
	o.commit = nil
	transaction := commitTransaction(c)
	switch {
	case h.tooLarge(transaction) || h.chance(h.scenario.tooLargeCommits):
		h.trace.addText("owner %d: too large", o.index)
		o.partition.HandleCommitTooLarge(c, h.now)
	case h.chance(h.scenario.refusedCommits):
		h.trace.addText("owner %d: refused", o.index)
		o.partition.HandleCommitRefused(c)
		o.partition.ShrinkCommits()
	case h.chance(h.scenario.lostCommitReplies):
		h.trace.addText("owner %d: reconciled", o.index)
		if h.chance(0.5) {
			h.apply(transaction) // only the reply is lost
		}
		for _, g := range transaction.Guards {
			if h.store[g.Key].Revision != g.Revision || h.chance(0.5) {
				h.reconcile(o, c, g.Key)
			}
		}
		o.partition.HandleCommitRefused(c)
		o.partition.ShrinkCommits()
	default:
		o.partition.HandleCommitApplied(c, h.apply(transaction), h.now)
	}
}

// reconcile reconciles a shard of a commit with its stored record.
func (h *history) reconcile(o *owner, c *partition.Commit, key string) {
	var stored *partition.Record
	if _, there := h.store[key]; there {
		record := h.storedRecord(key)
		stored = &record
	}
	check(o.partition.ReconcileShard(c, key, stored, h.store[key].Revision, h.now))
}

// sync sends an owner's sync to the leader. The sync or its reply may be lost, and an earlier sync
// may arrive again.
func (h *history) sync(o *owner) {
	request := peer.Sync{View: h.view, Index: o.index, FleetVersion: o.fleetVersion, Update: o.partition.Update(h.now)}
	h.trace.addMsgpack("call", request)
	received := msgpackRoundTrip(request)
	o.earlierSyncs = append(o.earlierSyncs, received)
	if len(o.earlierSyncs) > 3 {
		o.earlierSyncs = o.earlierSyncs[1:]
	}
	if o.index > 0 && h.chance(h.scenario.lostSyncs) {
		return
	}
	reply := h.leader.handleSync(h, received)
	h.trace.addMsgpack("reply", reply)
	if o.index > 0 && h.chance(h.scenario.lostSyncs) {
		return
	}
	o.applySyncReply(h, &request.Update, msgpackRoundTrip(reply))
	if h.chance(h.scenario.lostSyncs) {
		repeated := o.earlierSyncs[h.rng.IntN(len(o.earlierSyncs))]
		h.trace.addMsgpack("reply to a late call", h.leader.handleSync(h, repeated))
	}
}

// applySyncReply applies the leader's reply as a controller does.
func (o *owner) applySyncReply(h *history, update *partition.Update, reply peer.SyncReply) {
	o.partition.HandleUpdateDelivered(update, reply.UpdateVersion)
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
	o.fleetVersion, o.placeableWork = reply.FleetVersion, reply.HasPlaceableWork
	o.partition.Tick(h.now)
}

// recordOwnerTotals records an owner's counts, with labels that are independent of names in the
// code.
func (h *history) recordOwnerTotals(o *owner) {
	c, r := &o.partition.Counts, &o.partition.Replicas
	h.trace.addText("owner %d: queued %d, overflowed %d, sent on %d, walked on %d, ahead %d, started %d, done %d, lost %d, stopped %d, unreachable %d; fill %v %v", o.index,
		c.Queued, c.Overflowed, c.Forwarded, c.FallbackBeyondBuddies, c.PreCommitted, c.Started, c.Done, c.Lost, c.Stopped, c.Unreachable,
		o.partition.ShardFill(), o.partition.CompletedFill())
	h.trace.addText("owner %d: replicas lost %d after %v %v %v, started %d after %v %v %v %v", o.index,
		r.Lost, r.Detection, r.Proof, r.Removal, r.Started, r.Commit, r.Command, r.Fetch, r.Start)
}

// storedRecord decodes a stored shard.
func (h *history) storedRecord(key string) (record partition.Record) {
	check(protocol.DecodeRecord(key, h.store[key].Data, &record))
	check(record.Check())
	return record
}

// shardKeys returns the keys of the stored shards, sorted.
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
	return bucket % len(h.caches)
}
