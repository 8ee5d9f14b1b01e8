package scheduler

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// placer packs the tasks of jobs onto machines and assigns them.
type placer struct {
	cfg        *Config
	cluster    *clusterState
	limits     limits.Counts
	counts     *Counts
	candidates candidates // of the pass
	cycleTime  time.Time
	gangs      uint64 // number of gangs assigned so far, which is also the gang number of the last one
}

func newPlacer(cfg *Config, cluster *clusterState, quarantine *quarantine, limitCounts limits.Counts, counts *Counts) *placer {
	return &placer{
		cfg: cfg, cluster: cluster, limits: limitCounts, counts: counts,
		candidates: candidates{cluster: cluster, quarantine: quarantine},
	}
}

// startPass collects the candidate machines of a pass.
func (p *placer) startPass(ps pass) { p.candidates.collect(ps) }

// serve assigns some of a job's tasks, or marks the job as blocked for this pass. It returns the
// number of tasks assigned.
func (p *placer) serve(w *WaitingJob, ps pass) int {
	if w.Job.Spec.Shape == protocol.ShapeGang {
		return p.serveGang(w, ps)
	}
	return p.serveBatch(w, ps)
}

// A batch takes the team's weight divided by batchesPerShare, in CPUs, but has at least one task and at
// most maxBatchTasks tasks. A task that needs fewer CPUs than minBatchCPUs is counted as needing
// minBatchCPUs.
const (
	batchesPerShare = 64
	maxBatchTasks   = 16
	minBatchCPUs    = 0.1
)

// batchSize returns how many tasks of a job are assigned before teams and jobs are compared
// again. Comparing after every task would cost a pass over all waiting jobs per task; with large
// batches the teams would not take turns.
func (p *placer) batchSize(w *WaitingJob) int {
	cpus := max(w.Job.Spec.CPUs, minBatchCPUs)
	return max(1, min(maxBatchTasks, int(p.cluster.quotas.teams[w.Team].weight()/batchesPerShare/cpus)))
}

// serveBatch assigns a batch of tasks of a job that is not a gang.
func (p *placer) serveBatch(w *WaitingJob, ps pass) int {
	live, entry := w.Job, w.entry
	if live.IsService() && !ps.useFreeCapacity && ps.now.Sub(live.FirstSeen) < serviceQueueAfter {
		// The replicas of a new service are not queued on full machines yet: until serviceQueueAfter,
		// the preemptor may free capacity for them. The job is blocked so that this pass does not
		// select it again.
		w.blocked = true
		return 0
	}
	batch := min(p.batchSize(w), p.cluster.quotas.remaining(live, ps.within), entry.unassignedCount)
	imageRequired := !ps.allowWithoutImage && !live.IsService() && p.waitsForImage(entry, ps.now)
	assigned := 0
	for assigned < batch {
		scorer := p.newScorer(entry, ps)
		scorer.imageRequired = imageRequired
		tasks := p.assignNext(scorer, batch-assigned)
		if tasks == 0 {
			w.blocked = true
			break
		}
		assigned += tasks
	}
	if assigned > 0 {
		entry.servedAt = ps.now
	}
	w.Tasks = entry.unassignedCount
	return assigned
}

// assignNext assigns up to maxTasks tasks to the best machine and returns the number assigned.
func (p *placer) assignNext(scorer *placementScorer, maxTasks int) int {
	m, capacity := p.chooseMachine(scorer, maxTasks)
	if m == nil {
		return 0
	}
	tasks := p.nextTasks(scorer.entry, capacity, m.ID)
	if len(tasks) > 0 {
		p.assignCandidate(scorer.entry, m, tasks, noGang)
	}
	return len(tasks)
}

// chooseMachine returns the machine with the highest score for a job's next tasks, and how many
// of them to assign to it. It returns nil if no machine is suitable.
func (p *placer) chooseMachine(scorer *placementScorer, maxTasks int) (best *Machine, tasks int) {
	live := scorer.entry.live
	if live.IsService() || live.Spec.Shape == protocol.ShapeGang {
		best = p.candidates.scan(scorer)
	} else {
		best = p.candidates.best(scorer)
	}
	switch {
	case best == nil:
		return nil, 0
	case !scorer.pass.useFreeCapacity || !scorer.mayOverflow || live.IsService():
		return best, 1
	}
	return best, max(1, min(maxTasks, scorer.need.FitCount(best.FreeNow)))
}

// noGang is the gang number of tasks that do not belong to a gang.
const noGang = 0

// assignCandidate assigns tasks to a candidate machine and updates the candidate lists.
func (p *placer) assignCandidate(entry *jobEntry, m *Machine, tasks []int, gang uint64) {
	p.candidates.remove(m)
	p.assign(entry, m, tasks, gang)
	p.candidates.restore(m)
}

// assign assigns tasks to a machine, as an unacknowledged assignment to the machine's owner.
func (p *placer) assign(entry *jobEntry, m *Machine, tasks []int, gang uint64) {
	live := entry.live
	owner := &p.cluster.owners[m.Owner]
	owner.assignmentSequence++
	assignment := Assignment{
		Seq: owner.assignmentSequence, Job: entry.uid, Machine: m.ID, Gang: gang,
		resources: live.Resources(), team: live.Team, count: len(tasks), zone: m.Zone,
	}
	for _, i := range tasks {
		assignment.Tasks.Add(i)
	}
	if entry.zones == nil && !job.MayOverflow(&live.Spec) {
		entry.zones = map[string]int{}
	}
	owner.unacked = append(owner.unacked, assignment)
	p.countReplicaWaits(entry, tasks)
	p.cluster.addUnacked(assignment)
	if image := p.cluster.images.number(live.Spec.Image); !m.hasImage(image) {
		m.fetching = append(slices.Clip(m.fetching), image)
	}
	p.counts.Assigned += uint64(len(tasks))
}

const (
	estimatedRangeBytes  = 14   // estimated size of one range of completed tasks in a job record
	minRecordBudgetBytes = 1900 // a job record may reach this estimated size, or ValueBytes if smaller, even if half of ValueBytes is less
)

// nextTasks returns the first unassigned tasks of a job, except those whose last failure was on
// the given machine.
func (p *placer) nextTasks(entry *jobEntry, maxTasks int, machine string) []int {
	fillGaps := p.mustFillGaps(entry.live)
	if fillGaps {
		p.limits.Record(limits.CompletedTasks)
	}
	var tasks []int
	first := true
	for i := entry.firstUnassigned; i < entry.live.Spec.Tasks && len(tasks) < maxTasks; i++ {
		if !entry.tasks[i].isUnassigned() {
			if fillGaps && !entry.isCompleted(i) {
				break
			}
			continue
		}
		if first {
			entry.firstUnassigned, first = i, false
		}
		if entry.avoid[i] == machine && machine != "" {
			continue
		}
		tasks = append(tasks, i)
	}
	return tasks
}

// mustFillGaps reports whether the gaps between a job's completed tasks must be filled first: then
// no task is assigned whose index is higher than that of an assigned, incomplete task.
//
// Completed tasks are stored as ranges, so gaps between them take space in the job's record. Completed
// tasks that the job's record cannot hold stay in the shard records. Gaps are filled first only if the
// shard records hold more than MaxCompletedTasks such tasks, a limit that depends on the available
// memory. If gaps were always filled first, a job of 100,000 tasks on thousands of machines would stall
// repeatedly until its slowest task ends.
func (p *placer) mustFillGaps(live *job.CachedJob) bool {
	if p.cluster.uncompactedTasks <= p.cfg.MaxCompletedTasks {
		return false
	}
	recordBudget := max(p.cfg.ValueBytes/2, min(p.cfg.ValueBytes, minRecordBudgetBytes))
	return live.Completed.Spans()*estimatedRangeBytes+descriptionBytes(p.cfg) > recordBudget
}

// waitsForImage reports whether a job still waits for machines that have its image. A slot on such a
// machine is expected to become free sooner than a fetch on another machine would end, and the
// capacity of that other machine would be idle during the fetch.
func (p *placer) waitsForImage(entry *jobEntry, now time.Time) bool {
	fetch := p.fetchSeconds(entry.live)
	if p.cfg.ImageWaitFactor <= 0 || fetch <= 0 || p.cluster.images.machinesWith(entry.live.Spec.Image) < entry.unassignedCount/4 {
		return false
	}
	since := entry.live.FirstSeen
	if entry.servedAt.After(since) {
		since = entry.servedAt
	}
	return now.Sub(since).Seconds() < p.cfg.ImageWaitFactor*fetch
}

// fetchSeconds returns how many seconds a fetch of a job's image takes, or 0 if that is unknown.
func (p *placer) fetchSeconds(live *job.CachedJob) float64 {
	if p.cfg.PullGBPerS == nil {
		return 0
	}
	if rate := p.cfg.PullGBPerS(); rate > 0 {
		return live.Spec.ImageGB / rate
	}
	return 0
}

// recordReplicaWaits records when each unassigned replica of a service became unassigned.
func (e *jobEntry) recordReplicaWaits(now time.Time) {
	if e.unassignedSince == nil {
		e.unassignedSince = map[int]time.Time{}
	}
	for i := range e.live.Spec.Tasks {
		if _, recorded := e.unassignedSince[i]; e.isUnassigned(i) && !recorded {
			e.unassignedSince[i] = now
		}
	}
}

// countReplicaWaits adds to the totals how long newly assigned replicas waited for a machine.
func (p *placer) countReplicaWaits(entry *jobEntry, tasks []int) {
	for _, i := range tasks {
		if since, recorded := entry.unassignedSince[i]; recorded {
			p.counts.ReplicasAssigned++
			p.counts.ReplicaWait += p.cycleTime.Sub(since)
			delete(entry.unassignedSince, i)
		}
	}
}
