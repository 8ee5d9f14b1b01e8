// Package scheduler decides for the leader which tasks start on which machines. It is pure:
// the time and owners' updates go in, assignments and preemptions come out. Nothing in it is
// safe for concurrent use.
//
// Each part has a file and a type, which owns its state:
//
//   - updates.go applies what owners send to the leader's copy, clusterState (cluster.go),
//     which counts what machines, jobs and teams hold (holdings.go, quota.go);
//   - changefeed.go numbers the changes of it that owners are sent;
//   - waiting.go, targets.go and timetable.go order the waiting jobs, serviceorder.go shares
//     room among the teams, and starvation.go protects what was deferred for long;
//   - placer.go, scorer.go, candidates.go and gang.go pack tasks onto machines;
//   - preempt.go stops tasks for others;
//   - quarantine.go and backoff.go judge machines and jobs whose tasks fail;
//   - estimates.go learns how long tasks run;
//   - compaction.go moves finished tasks to the jobs' records.
//
// cycle.go runs these in turn. The work of a cycle grows with what waits and with the machines
// that have room, not with all tasks.
package scheduler

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/partition"
)

// Scheduler schedules for one view: it is made anew when a controller becomes leader.
type Scheduler struct {
	// Teams are in the order of the settings; a job's team is an index into it.
	Teams []Team
	// Quarantined holds the machines that take no work since tasks keep failing on them.
	Quarantined map[string]bool
	// Limits counts the limits that were reached.
	Limits limits.Counts
	// Counts are the totals of this view.
	Counts Counts

	cfg        *Config
	cluster    *clusterState
	estimates  *runTimeEstimator
	quarantine *quarantine
	waiting    waitingQueue
	starvation starvationGuard
	placer     *placer
	preemptor  preemptor
	compaction compactionPlanner
	forwards   []partition.ForwardRequest // asked for by owners since the last cycle
}

// Counts are the leader's totals. The tags are the names that `show` prints.
type Counts struct {
	Assigned            uint64 `msgpack:"Assigned"`
	Preempted           uint64 `msgpack:"Preempted"`
	StarvationProtected uint64 `msgpack:"StarvationProtected"`

	// Replicas that were assigned, and how long they had waited for a machine in all.
	ReplicasAssigned uint64        `msgpack:"ReplicasAssigned"`
	ReplicaWait      time.Duration `msgpack:"ReplicaWait"`
}

// New returns the scheduler of a view with as many owners as the view has members.
func New(cfg Config, teams []Team, owners int, capacityOf partition.CapacityOf, jobs *job.Cache) *Scheduler {
	s := &Scheduler{Teams: teams, Limits: limits.Counts{}, cfg: &cfg}
	s.cluster = newClusterState(teams, owners, capacityOf, jobs)
	s.estimates = &runTimeEstimator{byClass: map[string]*classRunTimes{}}
	s.quarantine = newQuarantine(s.cfg, s.cluster)
	s.Quarantined = s.quarantine.machines
	s.waiting = waitingQueue{cfg: s.cfg, cluster: s.cluster, estimates: s.estimates}
	s.starvation = starvationGuard{cfg: s.cfg, cluster: s.cluster}
	s.placer = newPlacer(s.cfg, s.cluster, s.quarantine, s.Limits, &s.Counts)
	s.preemptor = preemptor{
		cfg: s.cfg, cluster: s.cluster, estimates: s.estimates, quarantine: s.quarantine, placer: s.placer,
		counts: &s.Counts, preempted: map[job.Task]time.Time{},
	}
	s.compaction = compactionPlanner{cfg: s.cfg, cluster: s.cluster}
	return s
}

// AllOwnersSynced reports whether every owner has sent an update in this view.
func (s *Scheduler) AllOwnersSynced() bool { return s.cluster.allOwnersSynced() }

// UnacknowledgedAssignments returns the assignments that an owner has not acknowledged.
func (s *Scheduler) UnacknowledgedAssignments(owner int) []Assignment {
	return s.cluster.owners[owner].unacked
}

// UnackedCount returns how many assignments no owner has acknowledged.
func (s *Scheduler) UnackedCount() int { return s.cluster.unackedCount() }

// Preemptions lists the tasks of an owner that are to stop for others, until the owner reports
// that it stops them.
func (s *Scheduler) Preemptions(owner int) []job.Task { return s.preemptor.ofOwner(owner) }

// Compactions lists the jobs' records to write, of at most maxChanges changes in all.
func (s *Scheduler) Compactions(maxChanges int) []Compaction { return s.compaction.list(maxChanges) }

// Machines returns all machines by id. Callers do not change the list.
func (s *Scheduler) Machines() []*Machine { return s.cluster.machines.all() }

// Machine returns a machine, nil if no owner holds it.
func (s *Scheduler) Machine(id string) *Machine { return s.cluster.machines.byID[id] }

// Job returns a live job, nil if there is none.
func (s *Scheduler) Job(uid string) *job.CachedJob { return s.cluster.jobs.Get(uid) }

// IsService reports whether a job's tasks run until it is cancelled.
func (s *Scheduler) IsService(uid string) bool {
	live := s.Job(uid)
	return live != nil && live.IsService()
}

// HasCheckpoints reports whether a job's tasks keep their progress when they are stopped.
func (s *Scheduler) HasCheckpoints(uid string) bool {
	live := s.Job(uid)
	return live != nil && live.Spec.CheckpointIntervalS > 0
}

// QueuedTasks returns how many tasks of a job wait on machines for room.
func (s *Scheduler) QueuedTasks(uid string) int {
	if entry := s.cluster.entries[uid]; entry != nil {
		return entry.queued
	}
	return 0
}

// WithinLimit reports whether a team's limit has room for one more task of a job.
func (s *Scheduler) WithinLimit(live *job.CachedJob) bool {
	return s.cluster.quotas.allows(live, limitQuota)
}

// ZoneAllowed reports whether a zone may take one more task of a job that waits.
func (s *Scheduler) ZoneAllowed(waiting *WaitingJob, zone string) bool {
	return waiting.zoneAllowed(zone)
}

// FleetSince returns what has changed of the machines since a version, for the owners'
// overflow, the ids of those that are gone, and the version that it leads up to.
func (s *Scheduler) FleetSince(known uint64) (changed []partition.FleetMachine, gone []string, version uint64) {
	for _, m := range s.Machines() {
		if m.version > known {
			changed = append(changed, partition.FleetMachine{ID: m.ID, Underloaded: m.underloaded(), Room: m.FreeNow})
		}
	}
	return changed, s.cluster.changes.removedSince(known), s.cluster.changes.version
}

// KnownVersion returns the version from which an owner is sent changes: the one that it
// knows, or 0 if it must be sent all machines anew.
func (s *Scheduler) KnownVersion(known uint64) uint64 { return s.cluster.changes.baseFor(known) }

// RunningSince returns the counts of running tasks that have changed since a version, by job.
func (s *Scheduler) RunningSince(known uint64) map[string]int {
	running := map[string]int{}
	for uid, entry := range s.cluster.entries {
		if entry.version > known {
			running[uid] = entry.running
		}
	}
	return running
}
