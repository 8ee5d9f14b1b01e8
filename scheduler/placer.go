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
	gangs      uint64 // started so far; numbers them
}

func newPlacer(cfg *Config, cluster *clusterState, quarantine *quarantine, reached limits.Counts, counts *Counts) *placer {
	return &placer{
		cfg: cfg, cluster: cluster, limits: reached, counts: counts,
		candidates: candidates{cluster: cluster, quarantine: quarantine},
	}
}

// startPass collects the machines of a pass.
func (p *placer) startPass(ps pass) { p.candidates.collect(ps) }

// serve assigns some of a job's tasks, or marks the job as blocked for this pass. It returns
// how many tasks it assigned.
func (p *placer) serve(w *WaitingJob, ps pass) int {
	if w.Job.Spec.Shape == protocol.ShapeGang {
		return p.serveGang(w, ps)
	}
	return p.serveBatch(w, ps)
}

// A team's fair share is assigned in batches, of this many tasks at most.
const (
	batchesPerShare = 64
	maxBatchTasks   = 16
	minBatchCPUs    = 0.1
)

// batchSize returns how many tasks a job is assigned before teams and jobs are compared anew:
// single ones would cost a look at all that waits for each, and large batches would
// not be served in turn.
func (p *placer) batchSize(w *WaitingJob) int {
	cpus := max(w.Job.Spec.CPUs, minBatchCPUs)
	return max(1, min(maxBatchTasks, int(p.cluster.quotas.teams[w.Team].weight()/batchesPerShare/cpus)))
}

// serveBatch assigns a batch of tasks of a job that is no gang.
func (p *placer) serveBatch(w *WaitingJob, ps pass) int {
	live, entry := w.Job, w.entry
	if live.IsService() && !ps.freeRoom && ps.now.Sub(live.FirstSeen) < serviceQueueAfter {
		// Others are preempted for it first, see preemptor.
		w.blocked = true
		return 0
	}
	batch := min(p.batchSize(w), p.cluster.quotas.remaining(live, ps.within), entry.freeCount)
	imageRequired := !ps.withoutImage && !live.IsService() && p.waitsForImage(entry, ps.now)
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
	w.Tasks = entry.freeCount
	return assigned
}

// assignNext assigns up to a number of tasks to the best machine and returns how many it took.
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

// chooseMachine returns the best machine for a job's next tasks and how many of them it takes:
// one with room, best with the image there; or one whose queue is short. It returns nil if
// none will do.
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
	case !scorer.pass.freeRoom || !scorer.mayOverflow || live.IsService():
		return best, 1
	}
	return best, max(1, min(maxTasks, scorer.need.Count(best.FreeNow)))
}

// noGang is the gang number of tasks that start by themselves.
const noGang = 0

// assignCandidate assigns tasks to a machine of the pass.
func (p *placer) assignCandidate(entry *jobEntry, m *Machine, tasks []int, gang uint64) {
	p.candidates.remove(m)
	p.assign(entry, m, tasks, gang)
	p.candidates.restore(m)
}

// assign assigns tasks to a machine and its owner.
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
	p.countReplicas(entry, tasks)
	p.cluster.addUnacked(assignment)
	if image := p.cluster.images.number(live.Spec.Image); !m.hasImage(image) {
		m.fetching = append(slices.Clip(m.fetching), image)
	}
	p.counts.Assigned += uint64(len(tasks))
}

const (
	rangeBytes     = 14   // of a range of finished tasks in a record, as it is estimated
	minRangesLimit = 1900 // bytes that ranges may take even of a small value
)

// nextTasks returns the first free tasks of a job, without those that failed last on a machine.
func (p *placer) nextTasks(entry *jobEntry, maxTasks int, machine string) []int {
	fillHoles := p.mustFillHoles(entry.live)
	if fillHoles {
		p.limits.Record(limits.FinishedTasks)
	}
	var tasks []int
	first := true
	for i := entry.firstFree; i < entry.live.Spec.Tasks && len(tasks) < maxTasks; i++ {
		if !entry.tasks[i].isFree() {
			if fillHoles && !entry.isFinished(i) {
				break
			}
			continue
		}
		if first {
			entry.firstFree, first = i, false
		}
		if entry.avoid[i] == machine && machine != "" {
			continue
		}
		tasks = append(tasks, i)
	}
	return tasks
}

// mustFillHoles reports whether no task of a job may start behind one that still runs.
//
// Finished tasks are kept as ranges. What a job's record cannot hold for all the holes
// stays in the placements' records, which have room for as much as the memory: only
// beyond that the holes are filled first. Once a job of 100,000 tasks stood still again and
// again on thousands of machines, until the slowest of them had ended.
func (p *placer) mustFillHoles(live *job.CachedJob) bool {
	if p.cluster.uncompactedTasks <= p.cfg.MaxFinishedTasks {
		return false
	}
	rangesLimit := max(p.cfg.ValueBytes/2, min(p.cfg.ValueBytes, minRangesLimit))
	return live.Finished.Spans()*rangeBytes+descriptionBytes(p.cfg) > rangesLimit
}

// waitsForImage reports whether a job leaves machines without its image to others for now: the
// fetch would hold the room idle for longer than another is likely to take to
// fall free where the image is.
func (p *placer) waitsForImage(entry *jobEntry, now time.Time) bool {
	fetch := p.fetchSeconds(entry.live)
	if p.cfg.ImagePatience <= 0 || fetch <= 0 || p.cluster.images.machinesWith(entry.live.Spec.Image) < entry.freeCount/4 {
		return false
	}
	since := entry.live.FirstSeen
	if entry.servedAt.After(since) {
		since = entry.servedAt
	}
	return now.Sub(since).Seconds() < p.cfg.ImagePatience*fetch
}

// fetchSeconds returns how many seconds a fetch of a job's image takes, 0 if it is not known.
func (p *placer) fetchSeconds(live *job.CachedJob) float64 {
	if p.cfg.PullGBPerS == nil {
		return 0
	}
	if rate := p.cfg.PullGBPerS(); rate > 0 {
		return live.Spec.ImageGB / rate
	}
	return 0
}

// recordReplicaWaits records since when nobody holds each replica of a service.
func (e *jobEntry) recordReplicaWaits(now time.Time) {
	if e.freeSince == nil {
		e.freeSince = map[int]time.Time{}
	}
	for i := range e.live.Spec.Tasks {
		if _, recorded := e.freeSince[i]; e.isFree(i) && !recorded {
			e.freeSince[i] = now
		}
	}
}

// countReplicas adds how long replicas waited for the machine that they are assigned.
func (p *placer) countReplicas(entry *jobEntry, tasks []int) {
	for _, i := range tasks {
		if since, recorded := entry.freeSince[i]; recorded {
			p.counts.ReplicasAssigned++
			p.counts.ReplicaWait += p.cycleTime.Sub(since)
			delete(entry.freeSince, i)
		}
	}
}
