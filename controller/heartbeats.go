package controller

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"junipershelf/api"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/settings"
)

const (
	// loadWait: while a new view's records are read, a moment's wait spares the worker a
	// detour.
	loadWait = time.Second
	// replyHoldShare is the part of the report interval for which an answer may be held,
	// between the two bounds; workers give an answer up after 4 s.
	replyHoldShare = 0.4
	minReplyHold   = 900 * time.Millisecond
	maxReplyHold   = 2 * time.Second
)

// replyHold is how long a report's answer waits for a commit, or for the leader, when its
// machine has room that waiting work could take: the next start goes with this answer, and
// the machine would not report again before its time. So it is the longer the more seldom
// machines report.
func (c *Controller) replyHold() time.Duration {
	hold := settings.Seconds(c.settings.Facts.Workers.ReportS * replyHoldShare)
	return min(max(hold, minReplyHold), maxReplyHold)
}

// Heartbeat answers a worker's report.
func (c *Controller) Heartbeat(ctx context.Context, body []byte) api.Response {
	r, err := protocol.ParseHeartbeat(body)
	if err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	return c.handleHeartbeat(ctx, r, body)
}

// handleHeartbeat answers a report, or sends its worker to the owner. Body is empty for a
// report that was forwarded already.
func (c *Controller) handleHeartbeat(ctx context.Context, r *protocol.Heartbeat, body []byte) api.Response {
	view, self, _ := c.membership.Current()
	if view.Number == 0 || !view.Contains(self) {
		return unavailable
	}
	if owner := view.Members[view.OwnerOfBucket(view.BucketOf(r.Machine))]; owner != self {
		return c.redirectHeartbeat(ctx, owner.Node, r.Machine, body)
	}
	return c.handleOwnHeartbeat(ctx, view.Number, r)
}

// redirectHeartbeat answers a report that belongs to another owner. A worker that comes back
// although it was sent there cannot reach its owner: its report is forwarded.
func (c *Controller) redirectHeartbeat(ctx context.Context, owner, machine string, body []byte) api.Response {
	cameBack := c.redirects.record(machine, time.Now())
	if !c.cancellations.reachable(owner) {
		// Its name would only send the worker to a node that does not answer.
		return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{}}
	}
	if cameBack && body != nil {
		return c.forwardHeartbeat(ctx, owner, body)
	}
	return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{Owner: owner}}
}

// forwardHeartbeat sends a report to its owner and gives the owner's answer back.
func (c *Controller) forwardHeartbeat(ctx context.Context, owner string, body []byte) api.Response {
	client := c.peers[owner]
	if client == nil {
		return unavailable
	}
	answer, err := client.Forward(ctx, peer.Forward{Body: body})
	if err != nil {
		c.failures.failed("forwarding a report failed", err)
		return unavailable
	}
	if answer.Code != http.StatusOK {
		return unavailable
	}
	var reply protocol.HeartbeatReply
	if err := protocol.Unmarshal(answer.Body, &reply); err != nil {
		c.failures.failed("forwarding a report failed", &protocol.DecodeError{Source: "report answer", Sender: owner, Err: err})
		return unavailable
	}
	return api.Response{Code: http.StatusOK, Body: reply}
}

// Forward takes a report that another node forwards.
func (c *Controller) Forward(ctx context.Context, q peer.Forward) peer.ForwardReply {
	r, err := protocol.ParseHeartbeat(q.Body)
	if err != nil {
		return peer.ForwardReply{Code: http.StatusBadRequest}
	}
	answer := c.handleHeartbeat(ctx, r, nil)
	body, err := protocol.Marshal(answer.Body)
	if err != nil {
		return peer.ForwardReply{Code: http.StatusInternalServerError}
	}
	return peer.ForwardReply{Code: answer.Code, Body: body}
}

// handleOwnHeartbeat answers a report of a machine of this node's partition.
func (c *Controller) handleOwnHeartbeat(ctx context.Context, view uint64, r *protocol.Heartbeat) api.Response {
	c.awaitPartition(ctx, view)
	now := time.Now()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p := c.state.current.partition
	if p == nil || p.View() != view || !c.membership.HoldsLease(view) {
		if p != nil {
			p.RecordContact(r, now)
		}
		return unavailable
	}
	if c.logDedup.first("reports " + r.Machine) {
		c.log.Debug("machine reports", "machine", r.Machine, "type", r.MachineType, "zone", r.Zone, "spot", r.Spot)
	}
	if fresh := p.HandleHeartbeat(now, r); !fresh {
		return heartbeatReply(view, nil)
	}
	c.metrics.count(func(w *workMetrics) { w.heartbeats++ })
	p.TickMachine(now, r.Machine)
	if c.couldStart(p, r.Machine) {
		c.metrics.count(func(w *workMetrics) { w.repliesHeld++ })
		signal(c.commitWanted)
		c.holdReply(ctx, p, r.Machine)
	}
	if c.state.current.partition != p || !c.membership.HoldsLease(view) {
		return unavailable
	}
	p.RecordReply(r.Machine)
	commands := p.Commands(time.Now(), r.Machine, r.AgentEpoch, r.Sequence)
	if commands != nil && c.log.Enabled(ctx, slog.LevelDebug) {
		c.log.Debug("commands", "machine", r.Machine, "sequence", r.Sequence, "commands", commandText(commands))
	}
	return heartbeatReply(view, commands)
}

// awaitPartition waits for a moment while a view's partition is being read.
func (c *Controller) awaitPartition(ctx context.Context, view uint64) {
	c.state.mu.Lock()
	loaded := c.state.current.loaded
	ready := c.state.current.partition != nil && c.state.current.partition.View() == view
	c.state.mu.Unlock()
	if ready {
		return
	}
	select {
	case <-loaded:
	case <-time.After(loadWait):
	case <-ctx.Done():
	}
}

// couldStart tells whether a machine could start something within moments: a task waits for
// its commit, or work waits that the machine has room for. The caller holds the lock.
func (c *Controller) couldStart(p *partition.Partition, machine string) bool {
	return p.AwaitsCommit(machine) || c.state.current.placeableWork && p.HasSpareRoom(machine)
}

// holdReply waits until a machine's start is committed, or for as long as its answer may be
// held. The caller holds the lock, which is given up meanwhile.
func (c *Controller) holdReply(ctx context.Context, p *partition.Partition, machine string) {
	limit := time.After(c.replyHold())
	for c.state.current.partition == p && c.couldStart(p, machine) {
		settled := c.state.commitSettled
		c.state.mu.Unlock()
		over := false
		select {
		case <-settled:
		case <-limit:
			over = true
		case <-ctx.Done():
			over = true
		}
		c.state.mu.Lock()
		if over {
			return
		}
		p.TickMachine(time.Now(), machine)
	}
}

// heartbeatReply answers a report with commands, none of which is said as an empty list.
func heartbeatReply(view uint64, commands []protocol.Command) api.Response {
	if commands == nil {
		commands = []protocol.Command{}
	}
	return api.Response{Code: http.StatusOK, Body: protocol.HeartbeatReply{FencingToken: view, Commands: commands}}
}

// commandText shortens commands for the log.
func commandText(commands []protocol.Command) string {
	var b strings.Builder
	for _, cmd := range commands {
		b.WriteString(string(cmd.Kind) + " " + cmd.Task + "; ")
	}
	return b.String()
}
