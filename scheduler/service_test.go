package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// agentModel is a worker agent that obeys: a list of its tasks.
type agentModel struct {
	machine      string
	sequence     uint64
	fencingToken uint64
	tasks        map[string]*protocol.ReportedTask // by name
	notice       bool                              // of preemption by the cloud
	silent       bool                              // no heartbeats
}

// heartbeat returns the next heartbeat.
func (a *agentModel) heartbeat() *protocol.Heartbeat {
	a.sequence++
	heartbeat := &protocol.Heartbeat{Machine: a.machine, Endpoint: a.machine, MachineType: "quad", Zone: "z", AgentEpoch: 1, Sequence: a.sequence, FencingToken: a.fencingToken}
	if a.notice {
		left := 20.0
		heartbeat.PreemptionNoticeS = &left
	}
	for _, task := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, *task)
	}
	return heartbeat
}

// start lets the tasks run whose images were fetched.
func (a *agentModel) start() {
	for _, task := range a.tasks {
		if task.Status == "fetching" {
			task.Status = "running"
		}
	}
}

// execute carries out the commands of a reply.
func (a *agentModel) execute(commands []protocol.Command) {
	a.fencingToken = modelFencingToken
	for _, command := range commands {
		task := a.tasks[command.Task]
		isAttempt := task != nil && task.Attempt == command.Attempt
		switch {
		case command.Kind == "start" && task == nil:
			a.tasks[command.Task] = &protocol.ReportedTask{Task: command.Task, Attempt: command.Attempt, Status: "fetching"}
		case command.Kind == "kill" && isAttempt && exists(task):
			task.Status, task.Cause = "ended", "halted"
		case command.Kind == "forget" && isAttempt && !exists(task):
			delete(a.tasks, command.Task)
		}
	}
}

// endTask ends one of the running tasks.
func (a *agentModel) endTask(cause protocol.EndCause) {
	for _, name := range slices.Sorted(maps.Keys(a.tasks)) {
		if task := a.tasks[name]; task.Status == "running" {
			task.Status, task.Cause = "ended", cause
			return
		}
	}
}

// runningReplicas counts the running replicas of a service.
func (a *agentModel) runningReplicas(uid string) int {
	count := 0
	for name, task := range a.tasks {
		if of, _, _ := protocol.ParseTaskName(name); of == uid && task.Status == "running" {
			count++
		}
	}
	return count
}

// exists reports whether a task on a machine may still have effects.
func exists(task *protocol.ReportedTask) bool { return task.Status != "ended" }

const (
	modelFencingToken = 7
	modelMachines     = 14
	// maxLostMachines may get a notice or fall silent: the others have room for all services.
	maxLostMachines = 6
	// killDelay is how long a replica may run on after its service was cancelled.
	killDelay = 3 * time.Second
	// settleSteps are enough for failing replicas to be retried: they pause for a minute at most.
	settleSteps = 200
)

// servicesModel is services on one owner with its agents, and the leader. The key-value store
// always answers.
type servicesModel struct {
	now       time.Time
	specs     []protocol.JobSpec
	jobs      *job.Cache
	partition *partition.Partition
	scheduler *Scheduler
	agents    map[string]*agentModel // by machine
	lost      int                    // machines that got a notice or fell silent
	revision  uint64
	cancelled map[string]time.Time // by service
}

func newServicesModel(t *rapid.T) *servicesModel {
	m := &servicesModel{now: t0, agents: map[string]*agentModel{}, revision: 1, cancelled: map[string]time.Time{}}
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		m.specs = append(m.specs, protocol.JobSpec{
			UID: fmt.Sprintf("wk-%d", i), Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
			Priority: "critical", Shape: protocol.ShapeService, CPUs: 1, MemGB: 1, Image: "img", Tasks: rapid.IntRange(1, 4).Draw(t, "replicas"),
		})
	}
	m.jobs = jobCache(m.specs...)
	cfg := partition.Config{
		Lease: 10 * time.Second, OwnershipLease: 6 * time.Second, HeartbeatInterval: time.Second, MaxCacheStaleness: time.Hour, Buddies: 10,
		LocalWait: 10 * time.Second, SilentLimit: 4 * time.Second, TransactionChanges: 16, ValueBytes: 8192, MaxPreCommitted: 2,
	}
	m.partition = partition.New(cfg, modelFencingToken, 0, t0, capacityOf, m.jobs)
	m.scheduler = New(testConfig, teams(), 1, capacityOf, m.jobs)
	for i := range modelMachines {
		id := fmt.Sprintf("i-%02d", i)
		m.agents[id] = &agentModel{machine: id, tasks: map[string]*protocol.ReportedTask{}}
	}
	m.jobs.SetSyncedAt(t0.Add(time.Hour))
	return m
}

// machines lists the machines by id.
func (m *servicesModel) machines() []string { return slices.Sorted(maps.Keys(m.agents)) }

// step lets a second pass: every agent sends a heartbeat, and all that follows from it is done.
func (m *servicesModel) step(t *rapid.T) {
	t.Helper()
	m.now = m.now.Add(time.Second)
	m.sendHeartbeats()
	m.commit()
	m.terminateMachines()
	m.schedule()
	m.checkReplicas(t)
}

func (m *servicesModel) sendHeartbeats() {
	for _, id := range m.machines() {
		agent := m.agents[id]
		agent.start()
		if agent.silent {
			continue
		}
		heartbeat := agent.heartbeat()
		m.partition.HandleHeartbeat(m.now, heartbeat)
		m.partition.TickMachine(m.now, id)
		m.partition.RecordReply(id)
		agent.execute(m.partition.Commands(m.now, id, heartbeat.AgentEpoch, heartbeat.Sequence))
	}
}

func (m *servicesModel) commit() {
	m.partition.Tick(m.now)
	if commit := m.partition.NextCommit(m.now, 16); commit != nil {
		m.revision++
		m.partition.CommitApplied(commit, m.revision, m.now)
	}
}

func (m *servicesModel) terminateMachines() {
	terminated := m.partition.MachinesToTerminate(m.now)
	if len(terminated) == 0 {
		return
	}
	m.partition.HandleTerminated(terminated, m.now)
	for _, id := range terminated {
		delete(m.agents, id) // and all that ran on it
	}
}

func (m *servicesModel) schedule() {
	update := m.partition.Update(m.now)
	m.partition.UpdateDelivered(&update, m.scheduler.ApplyUpdate(0, update, m.now))
	m.scheduler.RunCycle(m.now)
	for _, a := range m.scheduler.UnacknowledgedAssignments(0) {
		m.partition.ApplyAssignments(m.now, []partition.Assigned{{Seq: a.Seq, Job: a.Job, Tasks: a.Tasks, Machine: a.Machine, Gang: a.Gang}})
	}
	m.partition.Preempt(m.scheduler.Preemptions(0))
}

// checkReplicas checks that no replica is on two machines, no team is beyond its limit, and a
// cancelled service ends soon.
func (m *servicesModel) checkReplicas(t *rapid.T) {
	t.Helper()
	machineOf, used := map[string]string{}, map[string]float64{}
	for _, id := range m.machines() {
		for name, task := range m.agents[id].tasks {
			if !exists(task) {
				continue
			}
			if other, twice := machineOf[name]; twice {
				t.Fatalf("%s is on %s and on %s", name, other, id)
			}
			machineOf[name] = id
			uid, _, err := protocol.ParseTaskName(name)
			if err != nil {
				t.Fatal(err)
			}
			if m.checkCancelled(t, m.agents[id], uid) {
				continue
			}
			spec := &m.jobs.Get(uid).Spec
			used[spec.Team] += spec.CPUs
		}
	}
	for _, team := range teams() {
		if used[team.Name] > team.Limit.CPUs {
			t.Fatalf("%s uses %v of %v", team.Name, used[team.Name], team.Limit.CPUs)
		}
	}
}

// checkCancelled reports whether a service is cancelled, and checks that its replica on an agent
// that sends heartbeats does not run for long after that.
func (m *servicesModel) checkCancelled(t *rapid.T, agent *agentModel, uid string) bool {
	t.Helper()
	at, cancelled := m.cancelled[uid]
	if cancelled && m.now.Sub(at) > killDelay && !agent.silent {
		t.Fatalf("a replica of %s runs %v after its cancellation", uid, m.now.Sub(at))
	}
	return cancelled
}

func (m *servicesModel) drawAgent(t *rapid.T) *agentModel {
	return m.agents[rapid.SampledFrom(m.machines()).Draw(t, "machine")]
}

// endReplica lets a replica end by itself.
func (m *servicesModel) endReplica(t *rapid.T) {
	m.drawAgent(t).endTask(protocol.CauseDone)
	m.step(t)
}

// failReplica lets a replica fail.
func (m *servicesModel) failReplica(t *rapid.T) {
	m.drawAgent(t).endTask(protocol.CauseError)
	m.step(t)
}

// announcePreemption sends a machine a preemption notice.
func (m *servicesModel) announcePreemption(t *rapid.T) {
	if agent := m.drawAgent(t); m.mayLose(agent) {
		agent.notice = true
		m.lost++
	}
	m.step(t)
}

// silenceAgent lets an agent send no more heartbeats.
func (m *servicesModel) silenceAgent(t *rapid.T) {
	if agent := m.drawAgent(t); m.mayLose(agent) {
		agent.silent = true
		m.lost++
	}
	m.step(t)
}

func (m *servicesModel) mayLose(agent *agentModel) bool {
	return m.lost < maxLostMachines && !agent.notice && !agent.silent
}

// cancelService cancels a service now and then.
func (m *servicesModel) cancelService(t *rapid.T) {
	uid := rapid.SampledFrom(m.specs).Draw(t, "service").UID
	if m.jobs.Get(uid) != nil && rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
		m.jobs.Remove(uid, m.now)
		m.cancelled[uid] = m.now
	}
	m.step(t)
}

// checkSettled checks that all replicas that the limits allow run, those of a service on
// different machines, and none of a cancelled service.
func (m *servicesModel) checkSettled(t *rapid.T) {
	t.Helper()
	wanted, running := map[string]int{}, map[string]int{}
	for _, spec := range m.specs {
		replicas, maxOnMachine := m.runningReplicas(spec.UID)
		running[spec.Team] += replicas
		if _, cancelled := m.cancelled[spec.UID]; cancelled {
			if replicas > 0 {
				t.Fatalf("%d replicas of %s are left", replicas, spec.UID)
			}
			continue
		}
		wanted[spec.Team] += spec.Tasks
		if maxOnMachine > 1 {
			t.Fatalf("%d replicas of %s on one machine", maxOnMachine, spec.UID)
		}
	}
	for _, team := range teams() {
		if want := min(wanted[team.Name], int(team.Limit.CPUs)); running[team.Name] != want {
			t.Fatalf("%s runs %d replicas, want %d", team.Name, running[team.Name], want)
		}
	}
}

// runningReplicas counts the running replicas of a service, and the most of them on one machine.
func (m *servicesModel) runningReplicas(uid string) (total, maxOnMachine int) {
	for _, agent := range m.agents {
		replicas := agent.runningReplicas(uid)
		total, maxOnMachine = total+replicas, max(maxOnMachine, replicas)
	}
	return total, maxOnMachine
}

// Replicas end by themselves, machines get a preemption notice, fall silent or fail what they
// run, services are cancelled. At no time does a replica exist twice or a team exceed its limit;
// once it is quiet all replicas that the limits allow run again, those of a service on different
// machines.
func TestReplicasAreReplacedAndNeverDuplicated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newServicesModel(t)
		for range 5 {
			m.step(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"end replica":         m.endReplica,
			"fail replica":        m.failReplica,
			"announce preemption": m.announcePreemption,
			"silence agent":       m.silenceAgent,
			"cancel service":      m.cancelService,
			"wait":                m.step,
		})
		for range settleSteps {
			m.step(t)
		}
		m.checkSettled(t)
	})
}
