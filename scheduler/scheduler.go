// Package scheduler decides on the leader which tasks run on which machines. It performs no
// I/O: its inputs are the current time and the owners' updates, its outputs are assignments and
// preemptions. It is not safe for concurrent use.
//
// Each component has a file and a type that owns its state:
//
//   - updates.go applies the owners' updates to the leader's copy of the cluster, clusterState
//     (cluster.go), which tracks what machines, jobs and teams hold (accounting.go, quota.go);
//   - changefeed.go versions the changes of the cluster state that are sent to owners;
//   - waiting.go, targets.go and timetable.go order the waiting jobs, serviceorder.go divides
//     capacity among teams, and starvation.go protects jobs that have been deferred for long;
//   - placer.go, scorer.go, candidates.go and gang.go pack tasks onto machines;
//   - preempt.go stops tasks to free capacity for others;
//   - quarantine.go and backoff.go handle machines and jobs whose tasks fail;
//   - estimates.go learns how long tasks run;
//   - compaction.go moves completed tasks to the job records.
//
// cycle.go runs them in turn. The cost of a cycle grows with the number of waiting jobs and of
// machines with free capacity, not with the total number of tasks.
package scheduler

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/partition"
)

// Scheduler schedules for one view: a new one is created when a controller becomes leader.
type Scheduler struct {
	// Teams are in the order of the settings; a job's team is an index into it.
	Teams []Team
	// Quarantined holds the machines that get no work because tasks keep failing on them.
	Quarantined map[string]bool
	// Limits counts how often each limit was reached.
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
	withdrawal withdrawal
	compaction compactionPlanner
	forwards   []partition.ForwardRequest // requested by owners since the last cycle
}

// Counts are the leader's totals for one view. The tags are the names that `show` prints.
type Counts struct {
	Assigned            uint64 `msgpack:"Assigned"`
	Preempted           uint64 `msgpack:"Preempted"`
	Withdrawn           uint64 `msgpack:"Withdrawn"` // tasks taken out of queues for a place elsewhere
	StarvationProtected uint64 `msgpack:"StarvationProtected"`

	// Assigned replicas, and how long they had waited for a machine in total.
	ReplicasAssigned uint64        `msgpack:"ReplicasAssigned"`
	ReplicaWait      time.Duration `msgpack:"ReplicaWait"`
}

// New returns the scheduler of a view; owners is the number of members of the view.
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
		waiting: &s.waiting, counts: &s.Counts, preempted: map[job.Task]time.Time{},
	}
	s.withdrawal = withdrawal{cluster: s.cluster, quarantine: s.quarantine, preemptor: &s.preemptor, counts: &s.Counts, targets: map[job.Task]string{}}
	s.compaction = compactionPlanner{cfg: s.cfg, cluster: s.cluster}
	return s
}

// AllOwnersSynced reports whether every owner has sent an update in this view.
func (s *Scheduler) AllOwnersSynced() bool { return s.cluster.allOwnersSynced() }

// UnacknowledgedAssignments returns the assignments that an owner has not yet acknowledged.
func (s *Scheduler) UnacknowledgedAssignments(owner int) []Assignment {
	return s.cluster.owners[owner].unacked
}

// UnackedCount returns the number of unacknowledged assignments of all owners.
func (s *Scheduler) UnackedCount() int { return s.cluster.unackedCount() }

// Preemptions lists the preempted tasks of an owner that the owner does not yet report as
// stopping.
func (s *Scheduler) Preemptions(owner int) []job.Task { return s.preemptor.unconfirmed(owner) }

// Compactions lists the job records to write, with at most maxChanges changes in total.
func (s *Scheduler) Compactions(maxChanges int) []Compaction { return s.compaction.list(maxChanges) }

// Machines returns all machines, sorted by id. Callers must not modify the slice.
func (s *Scheduler) Machines() []*Machine { return s.cluster.machines.all() }

// Machine returns a machine, or nil if no owner holds it.
func (s *Scheduler) Machine(id string) *Machine { return s.cluster.machines.byID[id] }

// Job returns a live job, or nil if there is none with this id.
func (s *Scheduler) Job(uid string) *job.CachedJob { return s.cluster.jobs.Get(uid) }

// IsService reports whether a job's tasks run until it is cancelled.
func (s *Scheduler) IsService(uid string) bool {
	live := s.Job(uid)
	return live != nil && live.IsService()
}

// HasCheckpoints reports whether a job's tasks write checkpoints and so keep their progress
// when they are stopped.
func (s *Scheduler) HasCheckpoints(uid string) bool {
	live := s.Job(uid)
	return live != nil && live.Spec.CheckpointIntervalS > 0
}

// QueuedTasks returns how many tasks of a job wait for free capacity in the queues of machines.
func (s *Scheduler) QueuedTasks(uid string) int {
	if entry := s.cluster.entries[uid]; entry != nil {
		return entry.queued
	}
	return 0
}

// WithinLimit reports whether the limit of a job's team allows one more task of the job.
func (s *Scheduler) WithinLimit(live *job.CachedJob) bool {
	return s.cluster.quotas.allows(live, limitQuota)
}

// ZoneRoom returns how many more tasks of a waiting job may run in a zone; math.MaxInt if there is no limit.
func (s *Scheduler) ZoneRoom(waiting *WaitingJob, zone string) int { return waiting.zoneRoom(zone) }

// ZoneRoomOfJob returns how many more tasks of a live job may run in a zone; math.MaxInt if there is no limit.
func (s *Scheduler) ZoneRoomOfJob(uid, zone string) int { return s.cluster.entry(uid).zoneRoom(zone) }

// FleetSince returns what owners need to forward overflow: the machines that have changed since a
// version, the ids of the machines removed since, and the current version.
func (s *Scheduler) FleetSince(knownVersion uint64) (changed []partition.FleetMachine, removed []string, version uint64) {
	for _, m := range s.Machines() {
		if m.version > knownVersion {
			changed = append(changed, partition.FleetMachine{ID: m.ID, Underloaded: m.underloaded(), FreeResources: m.FreeNow})
		}
	}
	return changed, s.cluster.changes.removedSince(knownVersion), s.cluster.changes.version
}

// BaseVersion returns the version since which an owner is sent changes: the one that it knows,
// or 0 if it must be sent all machines again.
func (s *Scheduler) BaseVersion(knownVersion uint64) uint64 {
	return s.cluster.changes.baseFor(knownVersion)
}

// RunningCountsSince returns the number of running tasks of each job for which this number has changed since
// a version (see FleetSince).
func (s *Scheduler) RunningCountsSince(knownVersion uint64) map[string]int {
	running := map[string]int{}
	for uid, entry := range s.cluster.entries {
		if entry.version > knownVersion {
			running[uid] = entry.running
		}
	}
	return running
}
