package controller

import (
	"context"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/scheduler"
)

const (
	// syncInterval is the interval between an owner's calls to the leader.
	syncInterval = 400 * time.Millisecond
	// directRetryDelay is the delay before direct calls are tried again after one has failed. Until
	// then calls go through the mailbox.
	directRetryDelay = 2 * time.Second
)

// syncClient is an owner's client of the leader. It sends updates of the owner's state and applies
// the leader's replies. Both sides send what has changed since the version that the other side
// acknowledged last, so calls and replies may be lost or delivered twice.
//
// directFailedAt is accessed only by the goroutine of run; all other fields are immutable.
type syncClient struct {
	state        *nodeState
	membership   *membership.Membership
	peers        map[string]*peer.Client
	mailbox      *mailboxTransport
	server       *syncServer // serves the calls while this node is the leader
	metrics      *nodeMetrics
	failures     *failureLogger
	commitWanted chan struct{}

	directFailedAt time.Time // when the last direct call failed
}

func newSyncClient(shared *sharedComponents, server *syncServer) *syncClient {
	return &syncClient{
		state:        shared.state,
		membership:   shared.membership,
		peers:        shared.peers,
		mailbox:      shared.mailbox,
		server:       server,
		metrics:      shared.metrics,
		failures:     shared.failures,
		commitWanted: shared.commitWanted,
	}
}

// syncRequest is a call to the leader, with the partition and the view that it is made for.
type syncRequest struct {
	partition *partition.Partition
	view      membership.View
	call      peer.Sync
}

// run calls the leader at intervals until the context is cancelled.
func (c *syncClient) run(ctx context.Context) {
	for pause := syncInterval; ctxtime.Sleep(ctx, pause); {
		pause = c.syncOnce(ctx)
	}
}

// syncOnce makes one call: in process if this node is the leader, else directly, or by mailbox while
// direct calls fail. It returns the delay until the next call.
func (c *syncClient) syncOnce(ctx context.Context) time.Duration {
	request, ok := c.nextRequest()
	if !ok {
		return syncInterval
	}
	if request.call.Index == 0 {
		c.handleReply(request, c.server.Sync(request.call))
		return syncInterval
	}
	leader := c.peers[request.view.Members[0].Node]
	if leader == nil {
		return syncInterval
	}
	if time.Since(c.directFailedAt) >= directRetryDelay {
		reply, err := leader.Sync(ctx, request.call)
		if err == nil {
			c.handleReply(request, reply)
			return syncInterval
		}
		c.failures.logFailure("sync failed", err)
		c.directFailedAt = time.Now()
	}
	c.syncByMailbox(ctx, request)
	return max(syncInterval, c.mailbox.callInterval())
}

// nextRequest prepares the next call. It reports false while the node has no partition.
func (c *syncClient) nextRequest() (*syncRequest, bool) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	current := &c.state.current
	if current.partition == nil {
		return nil, false
	}
	return &syncRequest{
		partition: current.partition,
		view:      current.view,
		call: peer.Sync{
			View:         current.view.Number,
			Index:        current.index,
			FleetVersion: current.fleetVersion,
			Update:       current.partition.Update(time.Now()),
		},
	}, true
}

// syncByMailbox calls the leader through the key-value store.
func (c *syncClient) syncByMailbox(ctx context.Context, request *syncRequest) {
	var reply peer.SyncReply
	err := c.mailbox.call(ctx, mailboxCall{
		view:        request.view,
		caller:      request.call.Index,
		number:      request.call.Update.Sequence,
		body:        request.call,
		replyWanted: func() bool { return c.state.ownsPartition(request.partition) },
	}, &reply)
	if err != nil {
		c.failures.logFailure("sync by mailbox failed", err)
		return
	}
	c.metrics.recordMailboxReply()
	c.handleReply(request, reply)
}

// handleReply applies a reply. If the reply shows a later view, the membership is notified, so that
// it reads that view.
func (c *syncClient) handleReply(request *syncRequest, reply peer.SyncReply) {
	if reply.View > request.view.Number {
		c.membership.ObserveView(reply.View)
	}
	if reply.OK {
		c.applyReply(request, &reply)
	}
}

// applyReply applies the leader's reply to an update, unless the partition is no longer current.
func (c *syncClient) applyReply(request *syncRequest, reply *peer.SyncReply) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p, current := request.partition, &c.state.current
	if current.partition != p {
		return
	}
	now := time.Now()
	p.HandleUpdateDelivered(&request.call.Update, reply.UpdateVersion)
	if reply.FleetBase == 0 { // the reply contains the leader's full state
		p.ResetFleet()
		clear(current.runningTasks)
	}
	p.ApplyFleetChanges(reply.Fleet, reply.FleetRemoved)
	p.ApplyAssignments(now, assignedTasks(reply.Assignments))
	p.Evict(reply.Evict, now)
	p.TerminateWithoutEviction(reply.Terminate, now)
	p.Preempt(reply.Stop)
	current.applyRunningTasks(reply.Running)
	current.fleetVersion = reply.FleetVersion
	current.hasPlaceableWork = reply.HasPlaceableWork
	c.metrics.recordSync()
	p.Tick(now)
	signal(c.commitWanted)
}

// assignedTasks converts the leader's assignments to the partition's type.
func assignedTasks(assignments []scheduler.Assignment) []partition.Assigned {
	assigned := make([]partition.Assigned, len(assignments))
	for i, a := range assignments {
		assigned[i] = partition.Assigned{Seq: a.Seq, Job: a.Job, Tasks: a.Tasks, Machine: a.Machine, Gang: a.Gang}
	}
	return assigned
}

// applyRunningTasks applies changed counts of running tasks, by job. The caller holds the state's
// lock.
func (v *viewState) applyRunningTasks(changed map[string]int) {
	for uid, count := range changed {
		if count == 0 {
			delete(v.runningTasks, uid)
		} else {
			v.runningTasks[uid] = count
		}
	}
}
