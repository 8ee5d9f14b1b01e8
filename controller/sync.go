package controller

import (
	"context"
	"time"

	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
)

// syncInterval is how often an owner calls the leader, and cycleInterval the leader's
// shortest pause between two scheduling cycles.
const (
	syncInterval  = 400 * time.Millisecond
	cycleInterval = 300 * time.Millisecond
)

// syncLoop shows the leader what this owner holds and takes assignments. Both sides send
// what has changed since the other's last version.
func (c *Controller) syncLoop(ctx context.Context) {
	var link leaderLink
	for pause := syncInterval; sleep(ctx, pause); {
		pause = syncInterval
		p, view, call := c.nextSync()
		if p == nil {
			continue
		}
		reply, ok := c.callLeader(ctx, &link, p, view, call)
		if link.usesMailbox {
			pause = c.mailboxInterval()
		}
		if !ok {
			continue
		}
		if reply.View > view.Number {
			c.membership.ObserveView(reply.View)
		}
		if reply.OK {
			c.applySyncReply(p, &call.Update, reply)
		}
	}
}

// leaderLink is how an owner reaches the leader.
type leaderLink struct {
	failed      time.Time // the last direct call that failed
	usesMailbox bool      // the last call went through the state service
}

// nextSync makes up the next call; the partition is nil while there is none.
func (c *Controller) nextSync() (*partition.Partition, membership.View, peer.Sync) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	s := &c.state.current
	if s.partition == nil {
		return nil, s.view, peer.Sync{}
	}
	return s.partition, s.view, peer.Sync{
		View: s.view.Number, Index: s.index, FleetVersion: s.fleetVersion, Update: s.partition.Update(time.Now()),
	}
}

// callLeader calls the leader: within the process if this node leads, else directly, or
// through the state service while that does not work.
func (c *Controller) callLeader(ctx context.Context, link *leaderLink, p *partition.Partition, view membership.View, call peer.Sync) (peer.SyncReply, bool) {
	link.usesMailbox = false
	if call.Index == 0 {
		return c.Sync(call), true
	}
	client := c.peers[view.Members[0].Node]
	if client == nil {
		return peer.SyncReply{}, false
	}
	if time.Since(link.failed) >= directRetry {
		reply, err := client.Sync(ctx, call)
		if err == nil {
			return reply, true
		}
		c.failures.failed("sync failed", err)
		link.failed = time.Now()
	}
	link.usesMailbox = true
	reply, err := c.syncByMailbox(ctx, p, view, call)
	if err != nil {
		c.failures.failed("sync by mailbox failed", err)
		return peer.SyncReply{}, false
	}
	c.metrics.count(func(w *workMetrics) { w.viaMailbox++ })
	return reply, true
}

// applySyncReply takes the leader's answer to an update, unless the partition is another by
// now.
func (c *Controller) applySyncReply(p *partition.Partition, update *partition.Update, reply peer.SyncReply) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	s := &c.state.current
	if s.partition != p {
		return
	}
	now := time.Now()
	whole := reply.FleetBase == 0
	p.UpdateDelivered(update, reply.UpdateVersion)
	if whole {
		p.ResetFleet()
	}
	p.ApplyFleetChanges(reply.Fleet, reply.FleetRemoved)
	assigned := make([]partition.Assigned, len(reply.Assignments))
	for i, a := range reply.Assignments {
		assigned[i] = partition.Assigned{Seq: a.Seq, Job: a.Job, Tasks: a.Tasks, Machine: a.Machine, Gang: a.Gang}
	}
	p.ApplyAssignments(now, assigned)
	p.Evict(reply.Evict, now)
	p.TerminateWithoutEviction(reply.Terminate, now)
	p.Stop(reply.Stop)
	if whole {
		clear(s.runningTasks)
	}
	for uid, n := range reply.Running {
		if n == 0 {
			delete(s.runningTasks, uid)
		} else {
			s.runningTasks[uid] = n
		}
	}
	s.fleetVersion = reply.FleetVersion
	s.placeableWork = reply.PlaceableWork
	c.metrics.count(func(w *workMetrics) { w.syncs++ })
	p.Tick(now)
	signal(c.commitWanted)
}

// Sync serves an owner's call; it is the leader's side.
func (c *Controller) Sync(q peer.Sync) peer.SyncReply {
	now := time.Now()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	s, l := &c.state.current, &c.state.leader
	reply := peer.SyncReply{View: s.view.Number}
	if l.scheduler == nil || q.View != s.view.Number || q.Index < 0 || q.Index >= len(s.view.Members) {
		return reply
	}
	reply.OK = true
	reply.UpdateVersion = l.scheduler.ApplyUpdate(q.Index, q.Update, now)
	l.autoscaler.MachinesTerminated(q.Update.Terminated, now)
	if now.Sub(l.lastCycle) >= cycleInterval && c.membership.HoldsLease(s.view.Number) {
		c.runCycle(now)
	}
	reply.Assignments = l.scheduler.Unacknowledged(q.Index)
	reply.FleetBase = l.scheduler.KnownVersion(q.FleetVersion)
	reply.Fleet, reply.FleetRemoved, reply.FleetVersion = l.scheduler.FleetSince(reply.FleetBase)
	reply.Running = l.scheduler.RunningSince(reply.FleetBase)
	reply.Evict, reply.Terminate = c.machinesOf(q.Index, l.evict), c.machinesOf(q.Index, l.terminate)
	reply.Stop = l.scheduler.Preemptions(q.Index)
	reply.PlaceableWork = s.placeableWork
	return reply
}

// machinesOf gives those of some machines that a member owns. The caller holds the lock.
func (c *Controller) machinesOf(owner int, ids []string) (out []string) {
	for _, id := range ids {
		if c.ownerOf(id) == owner {
			out = append(out, id)
		}
	}
	return out
}
