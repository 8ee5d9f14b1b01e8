package controller

import (
	"fmt"
	"maps"
	"runtime"
	"strings"
	"sync"
	"time"

	"junipershelf/partition"
	"junipershelf/scheduler"
)

// nodeMetrics counts a node's work between two lines of the log.
type nodeMetrics struct {
	mu sync.Mutex
	workMetrics
}

// workMetrics are the counts themselves.
type workMetrics struct {
	cycles      int
	syncs       int
	viaMailbox  int
	heartbeats  int
	repliesHeld int
	commits     int
	compactions int
	longest     struct{ cycle, commit time.Duration }
}

// count changes the counts.
func (s *nodeMetrics) count(change func(*workMetrics)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.workMetrics)
}

// snapshotAndReset gives the counts and begins anew.
func (s *nodeMetrics) snapshotAndReset() workMetrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.workMetrics
	s.workMetrics = workMetrics{}
	return counts
}

func (s *nodeMetrics) cycle(took time.Duration) {
	s.count(func(w *workMetrics) {
		w.cycles++
		w.longest.cycle = max(w.longest.cycle, took)
	})
}

func (s *nodeMetrics) commit(took time.Duration) {
	s.count(func(w *workMetrics) {
		w.commits++
		w.longest.commit = max(w.longest.commit, took)
	})
}

// logMetrics logs what the node's machines and budgets are used for. The caller holds
// the lock.
func (c *Controller) logMetrics() {
	c.collectLimits()
	c.dropOverJobs()
	p := c.state.current.partition
	if p == nil {
		return
	}
	c.logOrdinaryPath(p)
	c.logReplicas(p)
	used := c.store.SnapshotAndResetMetrics()
	granted, grantedChanges := c.store.GrantedShare()
	work := c.metrics.snapshotAndReset()
	machines, tasks, uncompacted := p.Load()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	c.log.Info("usage", "requests", used.Requests, "changes", used.Changes, "refused", used.Refused,
		"granted", granted, "granted_changes", grantedChanges,
		"commits", work.commits, "compactions", work.compactions, "commit_ms", work.longest.commit.Milliseconds(),
		"cycles", work.cycles, "cycle_ms", work.longest.cycle.Milliseconds(),
		"syncs", work.syncs, "peer_kb", c.snapshotAndResetPeerBytes()>>10, "via_mailbox", work.viaMailbox, "reports", work.heartbeats, "reports_held", work.repliesHeld,
		"machines", machines, "tasks", tasks, "uncompacted", uncompacted, "fill", int(100*p.ShardFill()),
		"polls_refused", c.users.rateLimiter.snapshotAndResetRefused(), "heap_mb", mem.HeapInuse>>20, "goroutines", runtime.NumGoroutine(),
		"limits_reached", c.limitCounts.snapshotAndReset())
}

// snapshotAndResetPeerBytes gives the bytes of the calls to other controllers since the last look.
func (c *Controller) snapshotAndResetPeerBytes() (bytes int64) {
	for _, client := range c.peers {
		bytes += client.SnapshotAndResetBytes()
	}
	return bytes
}

// dropOverJobs drops the counts of jobs that are over. The leader tells no end of a job, so
// they stayed for as long as the view did. The caller holds the lock.
func (c *Controller) dropOverJobs() {
	maps.DeleteFunc(c.state.current.runningTasks, func(uid string, _ int) bool { return c.state.jobs.Get(uid) == nil })
}

// logOrdinaryPath logs the counts of the design's ordinary path since the partition was
// loaded.
func (c *Controller) logOrdinaryPath(p *partition.Partition) {
	n := p.Counts
	c.log.Info("path", "view", p.View(), "queued", n.Queued, "overflowed", n.Overflowed, "sent_on", n.Forwarded,
		"walked_on", n.FallbackBeyondBuddies, "committed_ahead", n.PreCommitted, "started", n.Started, "done", n.Done, "lost", n.Lost,
		"stopped", n.Stopped, "unreachable", n.Unreachable)
}

// logReplicas logs where the time goes in which replicas are not served, in milliseconds
// since the partition was loaded, once there is something to tell.
func (c *Controller) logReplicas(p *partition.Partition) {
	r := p.Replicas
	var counts scheduler.Counts
	if s := c.state.leader.scheduler; s != nil {
		counts = s.Counts
	}
	if r.Lost == 0 && r.Started == 0 && counts.ReplicasAssigned == 0 {
		return
	}
	c.log.Info("replicas", "view", p.View(), "lost", r.Lost, "detection_ms", r.Detection.Milliseconds(),
		"proof_ms", r.Proof.Milliseconds(), "removal_ms", r.Removal.Milliseconds(),
		"assigned", counts.ReplicasAssigned, "room_ms", counts.ReplicaWait.Milliseconds(), "started", r.Started,
		"commit_ms", r.Commit.Milliseconds(), "command_ms", r.Command.Milliseconds(),
		"fetch_ms", r.Fetch.Milliseconds(), "start_ms", r.Start.Milliseconds())
}

// logSchedule logs what the leader's ledger holds. The caller holds the lock.
func (c *Controller) logSchedule() {
	s := c.state.leader.scheduler
	t := s.Totals()
	var teams strings.Builder
	for i, team := range t.Teams {
		fmt.Fprintf(&teams, "%s %.0f/%.0f of %.0f ", s.Teams[i].Name, team.Running, team.Used, s.Teams[i].Limit.CPUs)
	}
	c.log.Info("schedule", "view", c.state.current.view.Number, "machines", len(s.Machines()), "jobs", len(c.state.jobs.Jobs),
		"held", t.Held, "running", t.Running, "starting", t.Starting, "queued", t.Queued, "waiting", t.Waiting,
		"free_cpus", int(t.Free), "teams", strings.TrimSpace(teams.String()),
		"assigned", s.Counts.Assigned, "starvation_protected", s.Counts.StarvationProtected, "preempted", s.Counts.Preempted)
}
