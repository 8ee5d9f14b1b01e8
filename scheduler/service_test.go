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

// agentModel is a model of an agent that executes the commands of the replies.
type agentModel struct {
	machine      string
	sequence     uint64
	fencingToken uint64
	tasks        map[string]*protocol.ReportedTask // by name
	notice       bool                              // preemption notice of the cloud
	silent       bool                              // sends no heartbeats
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

// start starts the tasks that are fetching their image.
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

// endTask ends the first running task, if any, with a cause.
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

// exists reports whether a task on a machine has not ended and may still have effects.
func exists(task *protocol.ReportedTask) bool { return task.Status != "ended" }

const (
	modelFencingToken = 7
	modelMachines     = 14
	// maxLostMachines is the maximum number of machines that get a preemption notice or fall silent;
	// the others have enough capacity for all services.
	maxLostMachines = 6
	// killDelay is how long a replica may still run after its service was cancelled.
	killDelay = 3 * time.Second
	// settleSteps is long enough for failed replicas to be retried: a job is paused for at most
	// MaxFailurePause.
	settleSteps = 200
)

// servicesModel runs services with a leader and one owner with its agents. All commits to the
// key-value store succeed.
type servicesModel struct {
	now       time.Time
	specs     []protocol.JobSpec
	jobs      *job.Cache
	partition *partition.Partition
	scheduler *Scheduler
	agents    map[string]*agentModel // by machine
	lost      int                    // number of machines that got a preemption notice or fell silent
	revision  uint64
	cancelled map[string]time.Time // cancellation time by service
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

// machines lists the machine ids in order.
func (m *servicesModel) machines() []string { return slices.Sorted(maps.Keys(m.agents)) }

// step advances time by one second: agents send heartbeats, the owner commits and terminates
// machines, the leader runs a cycle, and the replicas are checked.
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
		m.partition.HandleCommitApplied(commit, m.revision, m.now)
	}
}

func (m *servicesModel) terminateMachines() {
	terminated := m.partition.MachinesToTerminate(m.now)
	if len(terminated) == 0 {
		return
	}
	m.partition.HandleTerminated(terminated, m.now)
	for _, id := range terminated {
		delete(m.agents, id) // together with its tasks
	}
}

func (m *servicesModel) schedule() {
	update := m.partition.Update(m.now)
	m.partition.HandleUpdateDelivered(&update, m.scheduler.ApplyUpdate(0, update, m.now))
	m.scheduler.RunCycle(m.now)
	for _, a := range m.scheduler.UnacknowledgedAssignments(0) {
		m.partition.ApplyAssignments(m.now, []partition.Assigned{{Seq: a.Seq, Job: a.Job, Tasks: a.Tasks, Machine: a.Machine, Gang: a.Gang}})
	}
	m.partition.Preempt(m.scheduler.Preemptions(0))
}

// checkReplicas checks that no replica is on two machines, no team exceeds its limit, and replicas
// of a cancelled service end within killDelay.
func (m *servicesModel) checkReplicas(t *rapid.T) {
	t.Helper()
	machineOf, used := map[string]string{}, map[string]float64{}
	for _, id := range m.machines() {
		for name, task := range m.agents[id].tasks {
			if !exists(task) {
				continue
			}
			if other, twice := machineOf[name]; twice {
				t.Fatalf("replica %s is on machines %s and %s", name, other, id)
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
			t.Fatalf("team %s uses %v CPUs, its limit is %v", team.Name, used[team.Name], team.Limit.CPUs)
		}
	}
}

// checkCancelled reports whether a service is cancelled, and if so checks that its replica on an
// agent that sends heartbeats does not run for longer than killDelay afterwards.
func (m *servicesModel) checkCancelled(t *rapid.T, agent *agentModel, uid string) bool {
	t.Helper()
	at, cancelled := m.cancelled[uid]
	if cancelled && m.now.Sub(at) > killDelay && !agent.silent {
		t.Fatalf("a replica of %s still runs %v after the cancellation, want at most %v", uid, m.now.Sub(at), killDelay)
	}
	return cancelled
}

func (m *servicesModel) drawAgent(t *rapid.T) *agentModel {
	return m.agents[rapid.SampledFrom(m.machines()).Draw(t, "machine")]
}

// endReplica ends a replica as done.
func (m *servicesModel) endReplica(t *rapid.T) {
	m.drawAgent(t).endTask(protocol.CauseDone)
	m.step(t)
}

// failReplica ends a replica with an error.
func (m *servicesModel) failReplica(t *rapid.T) {
	m.drawAgent(t).endTask(protocol.CauseError)
	m.step(t)
}

// announcePreemption gives a machine a preemption notice.
func (m *servicesModel) announcePreemption(t *rapid.T) {
	if agent := m.drawAgent(t); m.mayLose(agent) {
		agent.notice = true
		m.lost++
	}
	m.step(t)
}

// silenceAgent stops the heartbeats of an agent.
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

// cancelService cancels a service in some calls.
func (m *servicesModel) cancelService(t *rapid.T) {
	uid := rapid.SampledFrom(m.specs).Draw(t, "service").UID
	if m.jobs.Get(uid) != nil && rapid.IntRange(0, 3).Draw(t, "cancelled") == 0 {
		m.jobs.Remove(uid, m.now)
		m.cancelled[uid] = m.now
	}
	m.step(t)
}

// checkSettled checks that all replicas that the limits allow are running, those of a service on
// different machines, and none of a cancelled service.
func (m *servicesModel) checkSettled(t *rapid.T) {
	t.Helper()
	wanted, running := map[string]int{}, map[string]int{}
	for _, spec := range m.specs {
		replicas, maxOnMachine := m.runningReplicas(spec.UID)
		running[spec.Team] += replicas
		if _, cancelled := m.cancelled[spec.UID]; cancelled {
			if replicas > 0 {
				t.Fatalf("%d replicas of the cancelled service %s are running, want none", replicas, spec.UID)
			}
			continue
		}
		wanted[spec.Team] += spec.Tasks
		if maxOnMachine > 1 {
			t.Fatalf("%d replicas of %s are on one machine, want at most 1", maxOnMachine, spec.UID)
		}
	}
	for _, team := range teams() {
		if want := min(wanted[team.Name], int(team.Limit.CPUs)); running[team.Name] != want {
			t.Fatalf("team %s runs %d replicas, want %d", team.Name, running[team.Name], want)
		}
	}
}

// runningReplicas counts the running replicas of a service, in total and the maximum on one machine.
func (m *servicesModel) runningReplicas(uid string) (total, maxOnMachine int) {
	for _, agent := range m.agents {
		replicas := agent.runningReplicas(uid)
		total, maxOnMachine = total+replicas, max(maxOnMachine, replicas)
	}
	return total, maxOnMachine
}

// Replicas end or fail, machines get preemption notices or fall silent, and services are cancelled.
// At no time does a replica exist twice or a team exceed its limit. Once no more such events happen,
// all replicas that the limits allow run again, those of a service on different machines.
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
