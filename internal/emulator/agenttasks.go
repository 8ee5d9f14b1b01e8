package emulator

import (
	"strings"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
)

const (
	// startCommandTransit is the longest time that a command takes to reach an agent. A start
	// command that arrives more than this after a cancellation was sent after the cancellation.
	startCommandTransit = 20 * time.Millisecond
	// serviceRunTime exceeds the length of any test: a service's replica runs until it is stopped.
	serviceRunTime = 1000 * time.Hour
)

// agentTask is an attempt at a task on a machine. It is kept until a forget command.
type agentTask struct {
	name    string
	attempt uint64
	status  protocol.TaskStatus
	cause   protocol.EndCause // of an ended task
	timer   *time.Timer       // fires when the next status is due
}

// jobOf returns the id of a task's job, which is part of the task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// endAllTasks ends and removes all tasks. For this and the following methods the caller holds
// the cloud's lock, unless noted otherwise.
func (a *agent) endAllTasks() {
	for _, t := range a.tasks {
		t.timer.Stop()
		a.setStatus(t, protocol.TaskEnded)
	}
	a.tasks = map[string]*agentTask{}
}

// setStatus changes a task's status and updates the usage of running tasks.
func (a *agent) setStatus(t *agentTask, status protocol.TaskStatus) {
	ran, runs := t.status == protocol.TaskRunning, status == protocol.TaskRunning
	t.status = status
	spec := a.cloud.jobSpecs[jobOf(t.name)]
	switch {
	case runs && !ran:
		a.cloud.running.add(t.name, spec, a.zone)
	case ran && !runs:
		a.cloud.running.remove(t.name, spec, a.zone)
	}
}

// apply renews the lease from the time at which the heartbeat was sent, and executes the reply's
// commands. It ignores a reply to a heartbeat of an earlier epoch, and a reply with a lower
// fencing token than the agent has seen.
func (a *agent) apply(r *protocol.HeartbeatReply, epoch uint64, times replyTimes) {
	a.cloud.mu.Lock()
	defer a.cloud.mu.Unlock()
	a.expireLease()
	if a.terminated || r.FencingToken < a.fencingToken || epoch != a.epoch {
		return
	}
	if r.FencingToken > a.fencingToken {
		a.fencingToken = r.FencingToken
		a.requestHeartbeat()
	}
	a.lastAcknowledged, a.replyArrived = times.sent, times.arrived
	for _, command := range r.Commands {
		if a.applyCommand(command) {
			a.requestHeartbeat()
		}
	}
}

// applyCommand executes a command. It returns false for a start that was executed before.
func (a *agent) applyCommand(command protocol.Command) bool {
	existing := a.tasks[command.Task]
	same := existing != nil && existing.attempt == command.Attempt
	switch command.Kind {
	case protocol.CommandStart:
		if same {
			return false
		}
		a.applyStart(command, existing)
	case protocol.CommandStop:
		if same && existing.status != protocol.TaskEnded {
			existing.timer.Stop()
			a.setStatus(existing, protocol.TaskEnded)
			existing.cause = protocol.CauseStopped
		}
	case protocol.CommandForget:
		if same && existing.status == protocol.TaskEnded {
			delete(a.tasks, command.Task)
		}
	}
	return true
}

// applyStart fetches a task's image, or refuses the start. An existing other attempt at the task
// is kept.
func (a *agent) applyStart(command protocol.Command, existing *agentTask) {
	job := jobOf(command.Task)
	spec := a.cloud.jobSpecs[job]
	t := &agentTask{name: command.Task, attempt: command.Attempt, status: protocol.TaskEnded, timer: time.NewTimer(0)}
	if at, ok := a.cloud.cancelledAt[job]; ok && a.replyArrived.Sub(at) > startCommandTransit {
		a.cloud.StartCommandsAfterCancel++
	}
	if cause := a.refusalCause(spec, existing); cause != "" {
		t.cause = cause
		if existing == nil {
			a.tasks[command.Task] = t
		}
		return
	}
	key := attemptKey{command.Task, command.Attempt}
	if a.started[key] {
		a.cloud.recordViolation(RuleRunsOnce, "attempt %d at task %s started again on machine %s", command.Attempt, command.Task, a.id)
	}
	a.started[key] = true
	t.status = protocol.TaskFetching
	a.tasks[command.Task] = t
	t.timer = ctxtime.AfterFunc(a.fetchTime(spec), func() { a.startRunning(t, spec) })
}

// fetchTime returns how long the machine takes to fetch a job's image, 0 if it is cached.
func (a *agent) fetchTime(spec *protocol.JobSpec) time.Duration {
	if a.images[spec.Image] {
		return 0
	}
	return time.Duration(spec.ImageGB / a.machineType.PullGBPerS * float64(time.Second))
}

// refusalCause returns the reason to refuse a start, empty to accept it.
func (a *agent) refusalCause(spec *protocol.JobSpec, existing *agentTask) protocol.EndCause {
	switch {
	case spec == nil:
		return protocol.CauseNoSuchTask
	case existing != nil:
		return protocol.CauseOtherAttempt
	}
	used := spec.CPUs
	for _, t := range a.tasks {
		if t.status != protocol.TaskEnded {
			used += a.cloud.jobSpecs[jobOf(t.name)].CPUs
		}
	}
	if used > a.machineType.CPUs+cpuTolerance {
		return protocol.CauseNoCapacity
	}
	return ""
}

// isCurrent reports whether a task is still on the machine and has the given status.
func (a *agent) isCurrent(t *agentTask, status protocol.TaskStatus) bool {
	return !a.terminated && a.tasks[t.name] == t && t.status == status
}

// startRunning runs a task whose image has been fetched. It acquires the cloud's lock.
func (a *agent) startRunning(t *agentTask, spec *protocol.JobSpec) {
	a.cloud.mu.Lock()
	defer a.cloud.mu.Unlock()
	if !a.isCurrent(t, protocol.TaskFetching) {
		return
	}
	a.images[spec.Image] = true
	a.setStatus(t, protocol.TaskRunning)
	a.cloud.checkInvariants(a, t, spec)
	runTime := a.cloud.RunFor(t.name)
	if spec.Shape == protocol.ShapeService {
		runTime = serviceRunTime
	}
	t.timer = ctxtime.AfterFunc(runTime, func() { a.complete(t, spec) })
}

// complete ends a task whose run time is over. It acquires the cloud's lock.
func (a *agent) complete(t *agentTask, spec *protocol.JobSpec) {
	a.cloud.mu.Lock()
	defer a.cloud.mu.Unlock()
	if !a.isCurrent(t, protocol.TaskRunning) {
		return
	}
	a.setStatus(t, protocol.TaskEnded)
	t.cause = protocol.CauseDone
	if a.cloud.FailingMachines[a.id] || a.cloud.FailingJobs[spec.UID] {
		t.cause = protocol.CauseError
	} else {
		a.cloud.Results[t.name]++
	}
	a.requestHeartbeat()
}
