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
	stepTime    = 500 * time.Millisecond
	reportSteps = 2 // a worker reports in every second step
	buckets     = 6
)

// scenario says what a drawn history is made of. Chances are for each occasion.
type scenario struct {
	name                     string
	seed                     uint64
	steps                    int
	owners                   int     // at first
	quota                    float64 // CPUs that the teams' guarantees and limits follow from
	maxMachines              int
	valueBytes               int
	smallerValues            int // the value size after a change of view; 0: the same
	viewEvery                int // steps between changes of the view; 0: none
	newJobs                  float64
	shapes                   []protocol.Shape
	maxTasks                 int
	maxRunS                  int
	cpus                     []float64 // of a task; nil: commonCPUs
	burst                    int       // step in which much urgent work comes; 0: none
	blackouts                float64   // times in which all workers are silent
	deafMachines             float64   // new machines whose answers are lost for long
	cancellations            float64
	taskFailures             float64
	notices                  float64
	deaths                   float64
	silences                 float64
	lateReports              float64
	lostAnswers              float64
	fullRefusals             float64
	noAuthority              float64
	slowCommits              float64
	refused                  float64
	unseen                   float64 // commits whose answer is lost
	tooLarge                 float64
	lostCalls                float64
	staleMirrors             float64 // times in which no news of the jobs comes
	lateNews                 float64 // news of a job that reaches an owner late
	rentalsRefused, unlisted float64
}

// commonCPUs are the sizes of tasks.
var commonCPUs = []float64{0.5, 1, 1, 2, 4}

// catalogue is what can be rented. All sizes add up exactly in floating point.
var catalogue = []protocol.MachineType{
	{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 4, PullGBPerS: 0.5, Price: 0.5, SpotPrice: 0.125, BootS: 4, Zones: []string{"a", "b"}},
	{Name: "octo", CPUs: 8, Accelerators: 2, MemGB: 64, CacheGB: 4, PullGBPerS: 0.5, Price: 1.25, SpotPrice: 0.3125, BootS: 6, Zones: []string{"a", "b", "c"}},
}

// history is one drawn history of a cluster.
type history struct {
	scenario   *scenario
	rng        *rand.Rand
	trace      recorder
	now        time.Time
	step       int
	view       uint64
	valueBytes int
	revision   uint64
	store      map[string]protocol.Entry // records of placements
	specs      map[string]*protocol.JobSpec
	live       []string // jobs
	mirrors    []*job.Cache
	owners     []*owner
	leader     *leader
	workers    []*worker // by id
	returned   []*worker // that the cloud has taken back
	staleUntil time.Time // the mirrors hear nothing before this
	late       []lateNews
	rented     int
}

// lateNews is news of a job that reaches an owner late.
type lateNews struct {
	at    time.Time
	reach func()
}

// runHistory draws a history and returns its trace.
func runHistory(s *scenario) *recorder {
	h := &history{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 9774)), now: time.Unix(1_000_000, 0), valueBytes: s.valueBytes,
		store: map[string]protocol.Entry{}, specs: map[string]*protocol.JobSpec{},
	}
	h.trace.beginStep()
	h.enterView(s.owners)
	for h.step = 1; h.step <= s.steps; h.step++ {
		h.now = h.now.Add(stepTime)
		h.trace.beginStep()
		h.drawEvents()
		h.bringNews()
		h.passStep()
	}
	h.trace.beginStep()
	for _, o := range h.owners {
		h.ownerTotals(o)
	}
	h.leader.totals(h)
	return &h.trace
}

// passStep lets workers report, owners commit and call, and the leader plan.
func (h *history) passStep() {
	for i, w := range slices.Clone(h.workers) {
		if !w.running(h.now) {
			continue
		}
		w.status = "running"
		w.passTime(h.now, h)
		if (h.step+i)%reportSteps == 0 && w.running(h.now) {
			h.handleHeartbeat(w, w.report(h.now), onTime)
		}
		if h.chance(h.scenario.lateReports) && len(w.earlier) > 0 {
			h.handleHeartbeat(w, w.earlier[h.rng.IntN(len(w.earlier))], late)
		}
	}
	if h.chance(h.scenario.lateReports) && len(h.returned) > 0 {
		if w := pick(h, h.returned); len(w.earlier) > 0 {
			h.handleHeartbeat(w, pick(h, w.earlier), late)
		}
	}
	for _, o := range h.owners {
		h.tickOwner(o)
	}
	for _, o := range h.owners {
		h.sync(o)
	}
	if h.step%4 == 0 {
		h.leader.planner.ObserveList(h.now, h.machineList())
	}
	h.leader.plan(h, h.leader.runCycle(h))
	h.leader.compact(h)
}

// bringNews brings the controllers' mirrors up to date, unless nothing comes through.
func (h *history) bringNews() {
	if h.chance(h.scenario.staleMirrors) {
		h.staleUntil = h.now.Add(time.Duration(4+h.rng.IntN(12)) * time.Second)
	}
	h.late = slices.DeleteFunc(h.late, func(n lateNews) bool {
		due := !h.now.Before(n.at)
		if due {
			n.reach()
		}
		return due
	})
	if h.now.Before(h.staleUntil) {
		return
	}
	for _, m := range h.mirrors {
		m.SetSyncedAt(h.now)
	}
}

// tell brings news of a job to the leader at once and to the other owners at once or late.
func (h *history) tell(news func(m *job.Cache, now time.Time)) {
	for i, m := range h.mirrors {
		if i > 0 && h.chance(h.scenario.lateNews) {
			at := h.now.Add(time.Duration(1+h.rng.IntN(4)) * time.Second)
			h.late = append(h.late, lateNews{at, func() { news(m, at) }})
			continue
		}
		news(m, h.now)
	}
}

// unansweredSpells is the chance that a worker's heartbeats go unanswered for a while: as often as
// workers fall silent.
func (s *scenario) unansweredSpells() float64 { return s.silences }

// drawEvents draws what happens from outside in a step.
func (h *history) drawEvents() {
	s := h.scenario
	if s.viewEvery > 0 && h.step%s.viewEvery == 0 {
		if s.smallerValues > 0 {
			h.valueBytes = s.smallerValues
		}
		h.enterView(1 + h.rng.IntN(3))
	}
	if s.burst > 0 && h.step == s.burst {
		h.submitBurst()
	}
	if h.chance(s.newJobs) && len(h.live) < 24 {
		h.submit()
	}
	if h.chance(s.cancellations) && len(h.live) > 0 {
		uid := h.live[h.rng.IntN(len(h.live))]
		h.revision++
		h.endJob(uid)
	}
	if len(h.workers) > 0 {
		h.drawWorkerFaults()
	}
}

// drawWorkerFaults draws what befalls the workers in a step.
func (h *history) drawWorkerFaults() {
	s := h.scenario
	if h.chance(s.blackouts) {
		for _, w := range h.workers {
			if !h.chance(0.25) && h.now.After(w.silentUntil) {
				w.silentUntil = h.now.Add(8 * time.Second)
			}
		}
	}
	w := h.workers[h.rng.IntN(len(h.workers))]
	switch {
	case h.chance(s.notices) && w.spot && w.diesAt.IsZero():
		w.diesAt = h.now.Add(8 * time.Second)
	case h.chance(s.silences):
		w.silentUntil = h.now.Add(time.Duration(2+h.rng.IntN(20)) * time.Second)
	case h.chance(s.unansweredSpells()):
		w.lostAnswers = 2 + h.rng.IntN(12)
	case h.chance(s.deaths):
		w.silentUntil = h.now.Add(time.Hour)
	case h.chance(s.fullRefusals):
		w.refuseStarts = 1 + h.rng.IntN(2)
	}
	for _, w := range h.workers {
		if !w.diesAt.IsZero() && h.now.After(w.diesAt) {
			w.silentUntil = h.now.Add(time.Hour) // the cloud has taken it
		}
	}
}

// enterView begins the next view with a number of owners, who load what is stored.
func (h *history) enterView(owners int) {
	h.view++
	h.mirrors = h.mirrors[:min(len(h.mirrors), owners)]
	for len(h.mirrors) < owners {
		teams := map[string]int{}
		for i, name := range teamNames {
			teams[name] = i
		}
		m := job.NewCache(teams)
		m.SetSyncedAt(h.now)
		if len(h.mirrors) > 0 {
			for _, uid := range h.live {
				l := h.mirrors[0].Get(uid)
				check(m.Set(uid, l.Record, l.Revision, h.now))
			}
		}
		h.mirrors = append(h.mirrors, m)
	}
	h.owners = nil
	for i := range owners {
		h.owners = append(h.owners, h.newOwner(i))
	}
	h.leader = h.newLeader()
}

// submit draws a job. All its sizes add up exactly in floating point.
func (h *history) submit() {
	uid := fmt.Sprintf("wk-%d", len(h.specs)+1)
	spec := protocol.JobSpec{
		UID: uid, Team: pick(h, teamNames), Shape: pick(h, h.scenario.shapes), Priority: pick(h, protocol.Priorities),
		Class: pick(h, []string{"batch", "interactive", "other"}), Tasks: 1 + h.rng.IntN(h.scenario.maxTasks), CPUs: pick(h, h.cpus()),
		MemGB: pick(h, []float64{0.5, 1, 4, 8}), Image: pick(h, []string{"img-1", "img-2", "img-3"}), SpotAllowed: !h.chance(0.2), ExpectedS: pick(h, []float64{2, 4, 8, 16}),
	}
	if h.scenario.cpus != nil {
		spec.MemGB = spec.CPUs // so that many fit on a machine
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

// submitBurst submits urgent work that is too large for the room there is: other work has to
// be stopped for it.
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
	h.live = append(h.live, spec.UID)
	h.revision++
	h.setJob(spec.UID, job.Record{Spec: *spec, SubmittedMS: h.now.UnixMilli()})
}

func (h *history) cpus() []float64 {
	if h.scenario.cpus != nil {
		return h.scenario.cpus
	}
	return commonCPUs
}

// setJob shows all controllers a job's record at the present revision.
func (h *history) setJob(uid string, record job.Record) {
	revision := h.revision
	h.tell(func(m *job.Cache, now time.Time) { check(m.Set(uid, record, revision, now)) })
}

// endJob ends a job for all controllers.
func (h *history) endJob(uid string) {
	h.live = slices.DeleteFunc(h.live, func(o string) bool { return o == uid })
	h.tell(func(m *job.Cache, now time.Time) { m.Remove(uid, now) })
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

// tooLarge reports whether a transaction has a value beyond the present limit.
func (h *history) tooLarge(t protocol.Transaction) bool {
	return slices.ContainsFunc(t.Changes, func(c protocol.Change) bool { return len(c.Data) > h.valueBytes })
}

// rent draws what the cloud answers; answered is false if it does not.
func (h *history) rent(machineType, zone string, spot bool, count int) (ids []string, answered bool) {
	switch draw := h.rng.Float64(); {
	case draw < h.scenario.rentalsRefused/4:
		return nil, false
	case draw < h.scenario.rentalsRefused || len(h.workers) >= h.scenario.maxMachines:
		return nil, true
	case draw > 0.9:
		count = (count + 1) / 2
	}
	for range min(count, h.scenario.maxMachines-len(h.workers)) {
		h.rented++
		w := &worker{
			id: fmt.Sprintf("i-%06d", h.rented), machineType: machineType, zone: zone, spot: spot, status: "booting",
			rentedAt: h.now, bootsAt: h.now.Add(time.Duration(2+h.rng.IntN(5)) * time.Second), session: 1, lastAnswer: h.now,
		}
		w.capacity, _ = h.capacityOf(machineType)
		if h.chance(h.scenario.unlisted) {
			w.status = pick(h, []string{"failed", "booting"})
			w.bootsAt = h.now.Add(time.Hour)
		}
		if h.chance(h.scenario.deafMachines) {
			w.lostAnswers = 30
		}
		h.workers = append(h.workers, w)
		ids = append(ids, w.id)
	}
	return ids, true
}

// machineList is the cloud's list, which lags behind for new and for returned machines.
func (h *history) machineList() (list []protocol.CloudMachine) {
	late := slices.DeleteFunc(slices.Clone(h.returned), func(w *worker) bool { return h.now.Sub(w.returnedAt) > 3*time.Second })
	for _, w := range slices.Concat(h.workers, late) {
		if held := h.now.Sub(w.rentedAt); held > 2*time.Second {
			list = append(list, protocol.CloudMachine{ID: w.id, MachineType: w.machineType, Zone: w.zone, Spot: w.spot, Status: w.status, AgeS: held.Seconds()})
		}
	}
	return list
}

// takeBack ends machines that were returned.
func (h *history) takeBack(ids []string) {
	h.workers = slices.DeleteFunc(h.workers, func(w *worker) bool {
		gone := slices.Contains(ids, w.id)
		if gone {
			w.returnedAt = h.now
			h.returned = append(h.returned, w)
		}
		return gone
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

// ownerOf is the owner of a machine.
func (h *history) ownerOf(machine string) int {
	return h.ownerOfKey(partition.ShardKey(bucketOf(machine), 0))
}

// ownedBy returns those of some machines that an owner owns.
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
