package decisiontrace

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

const (
	stepTime       = 500 * time.Millisecond
	heartbeatSteps = 2 // steps between two heartbeats of an agent
	buckets        = 6
)

// scenario configures a generated history. Each float64 except quota is the probability of an
// event, drawn at each opportunity.
type scenario struct {
	name                          string
	seed                          uint64
	steps                         int
	owners                        int     // of the first view
	quota                         float64 // base of the teams' guarantees and limits, in CPUs
	maxMachines                   int
	valueBytes                    int
	loweredValueBytes             int // valueBytes from the second view on; 0: unchanged
	stepsPerView                  int // steps between view changes; 0: no view changes
	jobArrivals                   float64
	shapes                        []protocol.Shape
	maxTasks                      int
	maxRunS                       int
	cpus                          []float64 // of a task; nil: commonCPUs
	burstStep                     int       // step in which submitBurst is called; 0: none
	blackouts                     float64   // periods in which about three of four agents are silent
	unreachableForReplies         float64   // new machines whose first 30 replies are lost
	cancellations                 float64
	taskFailures                  float64
	preemptionNotices             float64
	machineFailures               float64
	silentAgents                  float64
	lateHeartbeats                float64
	lostReplies                   float64
	startRefusals                 float64
	expiredOwnershipLease         float64
	slowCommits                   float64
	refusedCommits                float64
	lostCommitReplies             float64 // the commit is applied or not, and the reply is lost
	tooLargeCommits               float64
	lostSyncs                     float64
	staleCaches                   float64 // periods in which the job caches are not synced
	delayedUpdates                float64 // a job update reaches an owner late
	refusedScaleOuts, failedBoots float64
}

// commonCPUs are the default sizes of tasks.
var commonCPUs = []float64{0.5, 1, 1, 2, 4}

// catalogue is the cloud's catalogue. Sums of its sizes are exact in floating point.
var catalogue = []protocol.MachineType{
	{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 4, PullGBPerS: 0.5, Price: 0.5, SpotPrice: 0.125, BootS: 4, Zones: []string{"a", "b"}},
	{Name: "octo", CPUs: 8, Accelerators: 2, MemGB: 64, CacheGB: 4, PullGBPerS: 0.5, Price: 1.25, SpotPrice: 0.3125, BootS: 6, Zones: []string{"a", "b", "c"}},
}

// history is a generated history of a cluster.
type history struct {
	scenario         *scenario
	rng              *rand.Rand
	trace            recorder
	now              time.Time
	step             int
	view             uint64
	valueBytes       int
	revision         uint64
	store            map[string]protocol.Entry // stored shards of placements
	specs            map[string]*protocol.JobSpec
	liveJobs         []string // uids
	caches           []*job.Cache
	owners           []*owner
	leader           *leader
	agents           []*agent  // sorted by id
	terminated       []*agent  // agents whose machines were terminated
	cachesStaleUntil time.Time // the caches are not synced before this
	pendingUpdates   []jobUpdate
	startedMachines  int
}

// jobUpdate is a job update that reaches an owner late.
type jobUpdate struct {
	dueAt time.Time
	apply func()
}

// runHistory generates a history and returns its trace.
func runHistory(s *scenario) *recorder {
	h := &history{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 9774)), now: time.Unix(1_000_000, 0), valueBytes: s.valueBytes,
		store: map[string]protocol.Entry{}, specs: map[string]*protocol.JobSpec{},
	}
	h.trace.beginStep()
	h.startView(s.owners)
	for h.step = 1; h.step <= s.steps; h.step++ {
		h.now = h.now.Add(stepTime)
		h.trace.beginStep()
		h.drawEvents()
		h.updateCaches()
		h.runStep()
	}
	h.trace.beginStep()
	for _, o := range h.owners {
		h.recordOwnerTotals(o)
	}
	h.leader.recordTotals(h)
	return &h.trace
}

// runStep runs the agents' heartbeats, the owners' commits and syncs, and the leader's scheduling
// and scaling.
func (h *history) runStep() {
	for i, a := range slices.Clone(h.agents) {
		if !a.responsive(h.now) {
			continue
		}
		a.status = "running"
		a.advance(h.now, h)
		if (h.step+i)%heartbeatSteps == 0 && a.responsive(h.now) {
			h.handleHeartbeat(a, a.nextHeartbeat(h.now), onTime)
		}
		if h.chance(h.scenario.lateHeartbeats) && len(a.sentHeartbeats) > 0 {
			h.handleHeartbeat(a, a.sentHeartbeats[h.rng.IntN(len(a.sentHeartbeats))], late)
		}
	}
	if h.chance(h.scenario.lateHeartbeats) && len(h.terminated) > 0 {
		if a := pick(h, h.terminated); len(a.sentHeartbeats) > 0 {
			h.handleHeartbeat(a, pick(h, a.sentHeartbeats), late)
		}
	}
	for _, o := range h.owners {
		h.tickOwner(o)
	}
	for _, o := range h.owners {
		h.sync(o)
	}
	if h.step%4 == 0 {
		h.leader.autoscaler.ObserveList(h.now, h.listMachines())
	}
	h.leader.plan(h, h.leader.runCycle(h))
	h.leader.compact(h)
}

// updateCaches applies the job updates that are due and marks the job caches as synced, except
// while they are stale.
func (h *history) updateCaches() {
	if h.chance(h.scenario.staleCaches) {
		h.cachesStaleUntil = h.now.Add(time.Duration(4+h.rng.IntN(12)) * time.Second)
	}
	h.pendingUpdates = slices.DeleteFunc(h.pendingUpdates, func(n jobUpdate) bool {
		due := !h.now.Before(n.dueAt)
		if due {
			n.apply()
		}
		return due
	})
	if h.now.Before(h.cachesStaleUntil) {
		return
	}
	for _, cache := range h.caches {
		cache.SetSyncedAt(h.now)
	}
}

// publish applies a job update to the leader's cache at once and to the other owners' caches at
// once or late.
func (h *history) publish(update func(m *job.Cache, now time.Time)) {
	for i, m := range h.caches {
		if i > 0 && h.chance(h.scenario.delayedUpdates) {
			at := h.now.Add(time.Duration(1+h.rng.IntN(4)) * time.Second)
			h.pendingUpdates = append(h.pendingUpdates, jobUpdate{at, func() { update(m, at) }})
			continue
		}
		update(m, h.now)
	}
}

// replyLossProbability returns the probability that the next replies to an agent are lost, drawn once a
// step. It equals silentAgents, the probability that an agent falls silent.
func (s *scenario) replyLossProbability() float64 { return s.silentAgents }

// drawEvents draws a step's external events.
func (h *history) drawEvents() {
	s := h.scenario
	if s.stepsPerView > 0 && h.step%s.stepsPerView == 0 {
		if s.loweredValueBytes > 0 {
			h.valueBytes = s.loweredValueBytes
		}
		h.startView(1 + h.rng.IntN(3))
	}
	if s.burstStep > 0 && h.step == s.burstStep {
		h.submitBurst()
	}
	if h.chance(s.jobArrivals) && len(h.liveJobs) < 24 {
		h.submit()
	}
	if h.chance(s.cancellations) && len(h.liveJobs) > 0 {
		uid := h.liveJobs[h.rng.IntN(len(h.liveJobs))]
		h.revision++
		h.endJob(uid)
	}
	if len(h.agents) > 0 {
		h.drawAgentFaults()
	}
}

// drawAgentFaults draws the faults of agents and machines in a step.
func (h *history) drawAgentFaults() {
	s := h.scenario
	if h.chance(s.blackouts) {
		for _, a := range h.agents {
			if !h.chance(0.25) && h.now.After(a.silentUntil) {
				a.silentUntil = h.now.Add(8 * time.Second)
			}
		}
	}
	a := h.agents[h.rng.IntN(len(h.agents))]
	switch {
	case h.chance(s.preemptionNotices) && a.spot && a.preemptedAt.IsZero():
		a.preemptedAt = h.now.Add(8 * time.Second)
	case h.chance(s.silentAgents):
		a.silentUntil = h.now.Add(time.Duration(2+h.rng.IntN(20)) * time.Second)
	case h.chance(s.replyLossProbability()):
		a.repliesToLose = 2 + h.rng.IntN(12)
	case h.chance(s.machineFailures):
		a.silentUntil = h.now.Add(time.Hour)
	case h.chance(s.startRefusals):
		a.startsToRefuse = 1 + h.rng.IntN(2)
	}
	for _, a := range h.agents {
		if !a.preemptedAt.IsZero() && h.now.After(a.preemptedAt) {
			a.silentUntil = h.now.Add(time.Hour) // the cloud has reclaimed it
		}
	}
}

// startView starts the next view with a number of owners, which load the stored shards.
func (h *history) startView(owners int) {
	h.view++
	h.caches = h.caches[:min(len(h.caches), owners)]
	for len(h.caches) < owners {
		teams := map[string]int{}
		for i, name := range teamNames {
			teams[name] = i
		}
		m := job.NewCache(teams)
		m.SetSyncedAt(h.now)
		if len(h.caches) > 0 {
			for _, uid := range h.liveJobs {
				l := h.caches[0].Get(uid)
				check(m.Set(uid, l.Record, l.Revision, h.now))
			}
		}
		h.caches = append(h.caches, m)
	}
	h.owners = nil
	for i := range owners {
		h.owners = append(h.owners, h.newOwner(i))
	}
	h.leader = h.newLeader()
}

// submit draws and submits a job. Sums of its sizes are exact in floating point.
func (h *history) submit() {
	uid := fmt.Sprintf("wk-%d", len(h.specs)+1)
	spec := protocol.JobSpec{
		UID: uid, Team: pick(h, teamNames), Shape: pick(h, h.scenario.shapes), Priority: pick(h, protocol.Priorities),
		Class: pick(h, []string{"batch", "interactive", "other"}), Tasks: 1 + h.rng.IntN(h.scenario.maxTasks), CPUs: pick(h, h.cpus()),
		MemGB: pick(h, []float64{0.5, 1, 4, 8}), Image: pick(h, []string{"img-1", "img-2", "img-3"}), SpotAllowed: !h.chance(0.2), ExpectedS: pick(h, []float64{2, 4, 8, 16}),
	}
	if h.scenario.cpus != nil {
		spec.MemGB = spec.CPUs // so that many tasks fit on a machine
	}
	spec.ImageGB = map[string]float64{"img-1": 0.5, "img-2": 1, "img-3": 2}[spec.Image]
	switch spec.Shape {
	case protocol.ShapeGang:
		spec.Tasks = 2 + h.rng.IntN(5)
	case protocol.ShapeService:
		spec.Tasks, spec.ExpectedS = 1+h.rng.IntN(4), 0
	case protocol.ShapeArray: // as drawn
	}
	if spec.Shape != protocol.ShapeService && h.chance(0.3) {
		spec.CheckpointIntervalS, spec.CheckpointDurationS = 4, 1
	}
	if h.chance(0.25) {
		spec.DeadlineS = pick(h, []float64{8, 32, 64})
	}
	switch h.rng.IntN(10) {
	case 0:
		spec.Zone = "a"
	case 1:
		spec.SameZone = true
	case 2:
		spec.SpreadZones = true
	case 3:
		spec.MachineTypes, spec.Accelerators = []string{"octo"}, 0.5
	case 4:
		spec.MachineTypes = []string{"quad"}
	}
	h.addJob(&spec)
}

// submitBurst submits urgent jobs that need more than the free resources, so that other tasks must
// be preempted.
func (h *history) submitBurst() {
	for range 8 {
		h.addJob(&protocol.JobSpec{
			UID: fmt.Sprintf("wk-%d", len(h.specs)+1), Team: teamNames[1], Shape: protocol.ShapeArray, Priority: "urgent",
			Tasks: 8, CPUs: 4, MemGB: 4, Image: "img-1", ImageGB: 0.5, SpotAllowed: true, ExpectedS: 8,
		})
	}
}

func (h *history) addJob(spec *protocol.JobSpec) {
	h.specs[spec.UID] = spec
	h.liveJobs = append(h.liveJobs, spec.UID)
	h.revision++
	h.setJob(spec.UID, job.Record{Spec: *spec, SubmittedMS: h.now.UnixMilli()})
}

func (h *history) cpus() []float64 {
	if h.scenario.cpus != nil {
		return h.scenario.cpus
	}
	return commonCPUs
}

// setJob publishes a job's record at the current revision to all controllers.
func (h *history) setJob(uid string, record job.Record) {
	revision := h.revision
	h.publish(func(m *job.Cache, now time.Time) { check(m.Set(uid, record, revision, now)) })
}

// endJob publishes the removal of a job to all controllers.
func (h *history) endJob(uid string) {
	h.liveJobs = slices.DeleteFunc(h.liveJobs, func(o string) bool { return o == uid })
	h.publish(func(m *job.Cache, now time.Time) { m.Remove(uid, now) })
}

// runTime draws how long a task runs.
func (h *history) runTime(spec *protocol.JobSpec) time.Duration {
	if spec.Shape == protocol.ShapeService {
		return time.Duration(20+h.rng.IntN(400)) * time.Second
	}
	return time.Duration(1+h.rng.IntN(2*h.scenario.maxRunS)) * stepTime
}

// apply executes a transaction and returns its revision.
func (h *history) apply(t protocol.Transaction) uint64 {
	h.revision++
	for _, c := range t.Changes {
		if c.DeleteKey != "" {
			delete(h.store, c.DeleteKey)
		} else {
			h.store[c.PutKey] = protocol.Entry{Key: c.PutKey, Data: c.Data, Revision: h.revision}
		}
	}
	return h.revision
}

// tooLarge reports whether a transaction has a value above the current limit.
func (h *history) tooLarge(t protocol.Transaction) bool {
	return slices.ContainsFunc(t.Changes, func(c protocol.Change) bool { return len(c.Data) > h.valueBytes })
}

// scaleOut draws the cloud's reply to a request for machines. It returns replied false if there
// is none.
func (h *history) scaleOut(machineType, zone string, spot bool, count int) (ids []string, replied bool) {
	switch draw := h.rng.Float64(); {
	case draw < h.scenario.refusedScaleOuts/4:
		return nil, false
	case draw < h.scenario.refusedScaleOuts || len(h.agents) >= h.scenario.maxMachines:
		return nil, true
	case draw > 0.9:
		count = (count + 1) / 2
	}
	for range min(count, h.scenario.maxMachines-len(h.agents)) {
		h.startedMachines++
		a := &agent{
			id: fmt.Sprintf("i-%06d", h.startedMachines), machineType: machineType, zone: zone, spot: spot, status: "booting",
			startedAt: h.now, bootsAt: h.now.Add(time.Duration(2+h.rng.IntN(5)) * time.Second), epoch: 1, lastReply: h.now,
		}
		a.capacity, _ = h.capacityOf(machineType)
		if h.chance(h.scenario.failedBoots) {
			a.status = pick(h, []string{"failed", "booting"})
			a.bootsAt = h.now.Add(time.Hour)
		}
		if h.chance(h.scenario.unreachableForReplies) {
			a.repliesToLose = 30
		}
		h.agents = append(h.agents, a)
		ids = append(ids, a.id)
	}
	return ids, true
}

// listMachines returns the cloud's list of machines, which lags behind starts and terminations.
func (h *history) listMachines() (list []protocol.CloudMachine) {
	lagging := slices.DeleteFunc(slices.Clone(h.terminated), func(a *agent) bool { return h.now.Sub(a.terminatedAt) > 3*time.Second })
	for _, a := range slices.Concat(h.agents, lagging) {
		if age := h.now.Sub(a.startedAt); age > 2*time.Second {
			list = append(list, protocol.CloudMachine{ID: a.id, MachineType: a.machineType, Zone: a.zone, Spot: a.spot, Status: a.status, AgeS: age.Seconds()})
		}
	}
	return list
}

// terminateMachines removes machines, and their agents, from the fleet.
func (h *history) terminateMachines(ids []string) {
	h.agents = slices.DeleteFunc(h.agents, func(a *agent) bool {
		terminated := slices.Contains(ids, a.id)
		if terminated {
			a.terminatedAt = h.now
			h.terminated = append(h.terminated, a)
		}
		return terminated
	})
}

func (h *history) capacityOf(machineType string) (job.Resources, bool) {
	for _, t := range catalogue {
		if t.Name == machineType {
			return job.Resources{CPUs: t.CPUs, Accelerators: t.Accelerators, MemoryGB: t.MemGB}, true
		}
	}
	return job.Resources{}, false
}

func bucketOf(machine string) int {
	hash := fnv.New32a()
	hash.Write([]byte(machine))
	return int(hash.Sum32() % buckets)
}

// ownerOf returns the index of a machine's owner.
func (h *history) ownerOf(machine string) int {
	return h.ownerOfKey(partition.ShardKey(bucketOf(machine), 0))
}

// ownedBy returns those of the machines that belong to an owner.
func (h *history) ownedBy(index int, ids []string) (owned []string) {
	for _, id := range ids {
		if h.ownerOf(id) == index {
			owned = append(owned, id)
		}
	}
	return owned
}

func (h *history) chance(p float64) bool { return h.rng.Float64() < p }

func pick[T any](h *history, values []T) T { return values[h.rng.IntN(len(values))] }
