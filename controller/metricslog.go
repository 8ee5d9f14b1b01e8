package controller

import (
	"fmt"
	"log/slog"
	"maps"
	"runtime"
	"strings"

	"junipershelf/autoscaler"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

// metricsLogger logs a node's metric lines: "placement metrics", "replica metrics", "node
// metrics" and, on the leader, "scheduler metrics". It is stateless; its fields are immutable.
type metricsLogger struct {
	state       *nodeState
	store       *statestore.Client
	peers       map[string]*peer.Client
	metrics     *nodeMetrics
	rateLimiter *userRateLimiter
	limitCounts *limitCounter
	log         *slog.Logger
}

func newMetricsLogger(shared *sharedComponents, rateLimiter *userRateLimiter) *metricsLogger {
	return &metricsLogger{
		state:       shared.state,
		store:       shared.store,
		peers:       shared.peers,
		metrics:     shared.metrics,
		rateLimiter: rateLimiter,
		limitCounts: shared.limitCounts,
		log:         shared.log,
	}
}

// logNode logs the metrics of this node, resets the counters that cover one log interval, and drops
// the counts of running tasks of ended jobs. The caller holds the state's lock.
func (l *metricsLogger) logNode() {
	l.limitCounts.collect(l.state)
	l.dropEndedJobs()
	p := l.state.current.partition
	if p == nil {
		return
	}
	l.logPlacement(p)
	l.logReplicas(p)
	l.logWork(p)
}

// dropEndedJobs drops the counts of running tasks of jobs that have ended. The leader does not report
// the end of a job, so the counts would otherwise be kept until the view ends. The caller holds the
// state's lock.
func (l *metricsLogger) dropEndedJobs() {
	maps.DeleteFunc(l.state.current.runningTasks, func(uid string, _ int) bool { return l.state.jobs.Get(uid) == nil })
}

// logPlacement logs the partition's task counters since it was loaded. The caller holds the state's
// lock.
func (l *metricsLogger) logPlacement(p *partition.Partition) {
	n := p.Counts
	l.log.Info("placement metrics", "view", p.View(),
		"queued", n.Queued, "overflowed", n.Overflowed, "forwarded", n.Forwarded,
		"fallback_beyond_buddies", n.FallbackBeyondBuddies, "pre_committed", n.PreCommitted, "returned", n.Returned,
		"started", n.Started, "done", n.Done, "lost", n.Lost, "stopped", n.Stopped, "unreachable", n.Unreachable)
}

// logReplicas logs how long service replicas were unavailable, in milliseconds by cause, accumulated
// since the partition was loaded. It logs nothing until there are replicas. The caller holds the
// state's lock.
func (l *metricsLogger) logReplicas(p *partition.Partition) {
	r := p.Replicas
	var counts scheduler.Counts
	if s := l.state.leader.scheduler; s != nil {
		counts = s.Counts
	}
	if r.Lost == 0 && r.Started == 0 && counts.ReplicasAssigned == 0 {
		return
	}
	l.log.Info("replica metrics", "view", p.View(),
		"lost", r.Lost, "detection_ms", r.Detection.Milliseconds(),
		"proof_ms", r.Proof.Milliseconds(), "removal_ms", r.Removal.Milliseconds(),
		"assigned", counts.ReplicasAssigned, "room_ms", counts.ReplicaWait.Milliseconds(),
		"started", r.Started, "commit_ms", r.Commit.Milliseconds(), "command_ms", r.Command.Milliseconds(),
		"fetch_ms", r.Fetch.Milliseconds(), "start_ms", r.Start.Milliseconds())
}

// logWork logs the node's store calls and other work since the last line, and its current load. The
// caller holds the state's lock.
func (l *metricsLogger) logWork(p *partition.Partition) {
	calls := l.store.SnapshotAndResetMetrics()
	grantedRequests, grantedChanges := l.store.GrantedShare()
	work := l.metrics.snapshotAndReset()
	machines, tasks, uncompacted := p.Load()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	l.log.Info("node metrics",
		"requests", calls.Requests, "changes", calls.Changes, "refused", calls.Refused,
		"granted", grantedRequests, "granted_changes", grantedChanges,
		"commits", work.commits, "compactions", work.compactions, "commit_ms", work.longestCommit.Milliseconds(),
		"cycles", work.cycles, "cycle_ms", work.longestCycle.Milliseconds(),
		"syncs", work.syncs, "peer_kb", l.snapshotAndResetPeerBytes()>>10, "via_mailbox", work.mailboxReplies,
		"heartbeats", work.heartbeats, "replies_held", work.repliesHeld, "starts_withheld", work.startsWithheld,
		"cancellations", work.cancellations, "cancellation_ms", work.longestCancellation.Milliseconds(), "cancellations_retried", work.cancellationTimeouts,
		"machines", machines, "tasks", tasks, "uncompacted", uncompacted, "fill", int(100*p.ShardFill()),
		"status_reads_refused", l.rateLimiter.snapshotAndResetRefused(),
		"heap_mb", memory.HeapInuse>>20, "goroutines", runtime.NumGoroutine(),
		"limits_reached", l.limitCounts.snapshotAndReset())
}

// snapshotAndResetPeerBytes returns the number of bytes of calls to other nodes since the last line.
func (l *metricsLogger) snapshotAndResetPeerBytes() (bytes int64) {
	for _, client := range l.peers {
		bytes += client.SnapshotAndResetBytes()
	}
	return bytes
}

// logScheduler logs the totals and counters of the leader's scheduler. The caller holds the state's
// lock.
func (l *metricsLogger) logScheduler() {
	s := l.state.leader.scheduler
	totals := s.Totals()
	l.log.Info("scheduler metrics", "view", l.state.current.view.Number,
		"machines", len(s.Machines()), "jobs", len(l.state.jobs.Jobs),
		"held", totals.Held, "running", totals.Running, "starting", totals.Starting,
		"queued", totals.Queued, "waiting", totals.Waiting, "waiting_for", waitSummary(l.state.leader.waits),
		"free_cpus", int(totals.FreeCPUs), "teams", teamSummary(s, totals.Teams),
		"assigned", s.Counts.Assigned, "starvation_protected", s.Counts.StarvationProtected, "preempted", s.Counts.Preempted, "withdrawn", s.Counts.Withdrawn)
}

// waitSummary returns how many tasks wait for what, as of the last plan.
func waitSummary(waits []autoscaler.JobWait) string {
	total := autoscaler.TotalWaits(waits)
	return fmt.Sprintf("team_limit %d place %d requested %d no_machine %d", total.TeamLimit, total.Place, total.Requested, total.NoMachine)
}

// teamSummary returns, for each team, its running CPUs, the CPUs that count against its limit, and
// the limit.
func teamSummary(s *scheduler.Scheduler, teams []scheduler.TeamTotals) string {
	var b strings.Builder
	for i, team := range teams {
		fmt.Fprintf(&b, "%s %.0f/%.0f of %.0f ", s.Teams[i].Name, team.Running, team.Used, s.Teams[i].Limit.CPUs)
	}
	return strings.TrimSpace(b.String())
}
