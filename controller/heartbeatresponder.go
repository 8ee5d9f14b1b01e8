package controller

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"junipershelf/api"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/settings"
)

const (
	// partitionLoadTimeout is how long a heartbeat waits for a new view's partition to be loaded,
	// which saves the agent from retrying elsewhere.
	partitionLoadTimeout = time.Second
	// replyHoldShare is the fraction of the heartbeat interval for which a reply may be held,
	// clamped to the two bounds below. Agents time out after 4 s without a reply.
	replyHoldShare = 0.4
	minReplyHold   = 900 * time.Millisecond
	maxReplyHold   = 2 * time.Second
)

// heartbeatResponder answers the heartbeats of the machines that this node owns. Start commands that
// are stale or unsafe are prevented in four places:
//
//   - mayAnswer: this node owns the partition and holds the ownership lease of its view. This is
//     checked when the heartbeat arrives, and again just before the reply, since the reply may have
//     been held in between.
//   - partition.Commands adds a start to the reply only once its placement is committed, so that
//     any later owner of the machine sees it, and only while the job cache is recent enough to show
//     that the job was not cancelled.
//   - commands withholds starts unless this node holds the start lease: only then does it know all
//     cancellations of which a user may have been told.
//   - The reply's fencing token is the view number: an agent ignores commands with a token lower
//     than the highest one that it has seen.
//
// It is stateless. nodeState.mu is held except while a heartbeat waits for the partition or for a
// commit.
type heartbeatResponder struct {
	state        *nodeState
	membership   *membership.Membership
	metrics      *nodeMetrics
	logDedup     *logDeduplicator
	log          *slog.Logger
	commitWanted chan<- struct{}
	maxHold      time.Duration // maximum time that a reply is held, see replyHold
}

func newHeartbeatResponder(shared *sharedComponents) *heartbeatResponder {
	return &heartbeatResponder{
		state:        shared.state,
		membership:   shared.membership,
		metrics:      shared.metrics,
		logDedup:     shared.logDedup,
		log:          shared.log,
		commitWanted: shared.commitWanted,
		maxHold:      replyHold(shared.settings.Facts.Workers),
	}
}

// replyHold returns the maximum time for which the reply to a heartbeat is held until a start command
// is available, see mayStartSoon. Like a long poll, holding the reply delivers the command with it
// instead of with the reply to the next heartbeat, so the time is proportional to the heartbeat
// interval.
func replyHold(agentTimes settings.WorkerTimes) time.Duration {
	hold := settings.Seconds(agentTimes.HeartbeatIntervalS * replyHoldShare)
	return min(max(hold, minReplyHold), maxReplyHold)
}

// respond answers a heartbeat of a machine that this node owns in a view.
func (h *heartbeatResponder) respond(ctx context.Context, view uint64, heartbeat *protocol.Heartbeat) api.Response {
	h.awaitPartition(ctx, view)
	received := time.Now()
	h.state.mu.Lock()
	defer h.state.mu.Unlock()
	p := h.state.current.partition
	if !h.mayAnswer(p, view) {
		if p != nil {
			p.RecordContact(heartbeat, received)
		}
		return unavailable
	}
	if fresh := h.receive(p, heartbeat, received); !fresh {
		return heartbeatReply(view, nil)
	}
	if h.mayStartSoon(p, heartbeat.Machine) {
		h.metrics.recordReplyHeld()
		signal(h.commitWanted)
		h.holdReply(ctx, p, heartbeat.Machine)
	}
	if !h.mayAnswer(p, view) {
		return unavailable
	}
	return h.reply(ctx, p, heartbeat)
}

// mayAnswer reports whether this node may answer heartbeats as the owner of a partition in a view:
// the partition is still current, and the node holds the ownership lease. The caller holds the lock.
func (h *heartbeatResponder) mayAnswer(p *partition.Partition, view uint64) bool {
	return p != nil && p == h.state.current.partition && p.View() == view && h.membership.HoldsLease(view)
}

// receive applies a heartbeat that arrived at time now to the partition. It reports false if the
// heartbeat was ignored: it is not newer than earlier ones, its machine was terminated, or the node
// has reached its limit of machines. The caller holds the lock.
func (h *heartbeatResponder) receive(p *partition.Partition, heartbeat *protocol.Heartbeat, now time.Time) (fresh bool) {
	if h.logDedup.firstTime("first heartbeat " + heartbeat.Machine) {
		h.log.Debug("first heartbeat", "machine", heartbeat.Machine, "type", heartbeat.MachineType, "zone", heartbeat.Zone, "spot", heartbeat.Spot)
	}
	if !p.HandleHeartbeat(now, heartbeat) {
		return false
	}
	h.metrics.recordHeartbeat()
	p.TickMachine(now, heartbeat.Machine)
	return true
}

// reply returns the reply to a heartbeat with the commands for its machine. The caller holds the
// lock.
func (h *heartbeatResponder) reply(ctx context.Context, p *partition.Partition, heartbeat *protocol.Heartbeat) api.Response {
	p.RecordReply(heartbeat.Machine)
	commands := h.commands(p, heartbeat)
	if commands != nil && h.log.Enabled(ctx, slog.LevelDebug) {
		h.log.Debug("commands sent", "machine", heartbeat.Machine, "sequence", heartbeat.Sequence, "commands", commandText(commands),
			"evidence_ms", h.membership.EvidenceAge().Milliseconds(), "cache_ms", time.Since(h.state.jobs.SyncedAt()).Milliseconds())
	}
	return heartbeatReply(p.View(), commands)
}

// commands returns the commands for the reply to a heartbeat. Starts are withheld while this node does
// not hold the start lease. The caller holds the lock.
func (h *heartbeatResponder) commands(p *partition.Partition, heartbeat *protocol.Heartbeat) []protocol.Command {
	now := time.Now()
	if h.membership.HoldsStartLease(p.View()) {
		return p.Commands(now, heartbeat.Machine, heartbeat.AgentEpoch, heartbeat.Sequence)
	}
	commands, withheld := p.CommandsWithoutStarts(now, heartbeat.Machine, heartbeat.AgentEpoch, heartbeat.Sequence)
	h.metrics.recordStartsWithheld(withheld)
	return commands
}

// awaitPartition waits for up to partitionLoadTimeout while a view's partition is being loaded. It
// acquires the lock.
func (h *heartbeatResponder) awaitPartition(ctx context.Context, view uint64) {
	h.state.mu.Lock()
	loaded := h.state.current.loaded
	p := h.state.current.partition
	h.state.mu.Unlock()
	if p != nil && p.View() == view {
		return
	}
	select {
	case <-loaded:
	case <-time.After(partitionLoadTimeout):
	case <-ctx.Done():
	}
}

// mayStartSoon reports whether a start command for a machine may soon be available: a placement on
// it awaits its commit, or the leader has waiting tasks and the machine has free resources. The
// caller holds the lock.
func (h *heartbeatResponder) mayStartSoon(p *partition.Partition, machine string) bool {
	return p.AwaitsCommit(machine) || h.state.current.hasPlaceableWork && p.HasSpareCapacity(machine)
}

// holdReply waits until no further start for a machine is expected soon, for at most maxHold. The
// caller holds the lock, which is released while waiting.
func (h *heartbeatResponder) holdReply(ctx context.Context, p *partition.Partition, machine string) {
	ctx, cancel := context.WithTimeout(ctx, h.maxHold)
	defer cancel()
	for h.state.current.partition == p && h.mayStartSoon(p, machine) {
		if !h.awaitCommit(ctx) {
			return
		}
		p.TickMachine(time.Now(), machine)
	}
}

// awaitCommit waits until the outcome of a commit is known. It reports false if the context ends
// first. The caller holds the lock, which is released while waiting.
func (h *heartbeatResponder) awaitCommit(ctx context.Context) (settled bool) {
	commitSettled := h.state.commitSettled
	h.state.mu.Unlock()
	defer h.state.mu.Lock()
	select {
	case <-commitSettled:
		return true
	case <-ctx.Done():
		return false
	}
}

// heartbeatReply returns a reply with commands. Nil is encoded as an empty list.
func heartbeatReply(view uint64, commands []protocol.Command) api.Response {
	if commands == nil {
		commands = []protocol.Command{}
	}
	return api.Response{Code: http.StatusOK, Body: protocol.HeartbeatReply{FencingToken: view, Commands: commands}}
}

// commandText formats commands for the log.
func commandText(commands []protocol.Command) string {
	var b strings.Builder
	for _, cmd := range commands {
		b.WriteString(string(cmd.Kind) + " " + cmd.Task + "; ")
	}
	return b.String()
}
