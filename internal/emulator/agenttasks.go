package emulator

import (
	"strings"
	"time"

	"junipershelf/protocol"
)

const (
	// startCommandTransit is how long a command may take to an agent: a start that comes later
	// after a cancellation was sent after it.
	startCommandTransit = 20 * time.Millisecond
	// serviceRunTime is longer than any test: a service's replica runs until it is stopped.
	serviceRunTime = 1000 * time.Hour
)

// agentTask is an attempt at a task on a machine, until it is forgotten.
type agentTask struct {
	name    string
	attempt uint64
	status  protocol.TaskStatus
	cause   protocol.EndCause // of an ended task
	timer   *time.Timer       // to its next status
}

// jobOf returns the job of a task by the task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, "/")
	return job
}

// endAllTasks ends all tasks and forgets them. The caller holds the cloud's lock, here and below.
func (a *agent) endAllTasks() {
	for _, t := range a.tasks {
		t.timer.Stop()
		a.setStatus(t, protocol.TaskEnded)
	}
	a.tasks = map[string]*agentTask{}
}

// setStatus changes a task's status and counts what runs.
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

// apply renews the lease from when the heartbeat was sent and carries the reply's commands out.
// It ignores a reply to an earlier epoch or with a lower fencing token than the agent has seen.
func (a *agent) apply(r *protocol.HeartbeatReply, epoch uint64, sent time.Time) {
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
	a.lastAcknowledged = sent
	for _, command := range r.Commands {
		if a.applyCommand(command) {
			a.requestHeartbeat()
		}
	}
}

// applyCommand carries a command out. It reports false for a start that was carried out before.
func (a *agent) applyCommand(command protocol.Command) bool {
	present := a.tasks[command.Task]
	same := present != nil && present.attempt == command.Attempt
	switch command.Kind {
	case protocol.CommandStart:
		if same {
			return false
		}
		a.applyStart(command, present)
	case protocol.CommandStop:
		if same && present.status != protocol.TaskEnded {
			present.timer.Stop()
			a.setStatus(present, protocol.TaskEnded)
			present.cause = protocol.CauseStopped
		}
	case protocol.CommandForget:
		if same && present.status == protocol.TaskEnded {
			delete(a.tasks, command.Task)
		}
	}
	return true
}

// applyStart fetches a task's image, or refuses the start. Another attempt at the task, if one is
// present, stays.
func (a *agent) applyStart(command protocol.Command, present *agentTask) {
	job := jobOf(command.Task)
	spec := a.cloud.jobSpecs[job]
	t := &agentTask{name: command.Task, attempt: command.Attempt, status: protocol.TaskEnded, timer: time.NewTimer(0)}
	if at, ok := a.cloud.cancelledAt[job]; ok && time.Since(at) > startCommandTransit {
		a.cloud.StartCommandsAfterCancel++
	}
	if cause := a.refusalCause(spec, present); cause != "" {
		t.cause = cause
		if present == nil {
			a.tasks[command.Task] = t
		}
		return
	}
	t.status = protocol.TaskFetching
	a.tasks[command.Task] = t
	t.timer = time.AfterFunc(a.fetchTime(spec), func() { a.startRunning(t, spec) })
}

// fetchTime returns how long the image of a job takes, nothing if the machine has it.
func (a *agent) fetchTime(spec *protocol.JobSpec) time.Duration {
	if a.images[spec.Image] {
		return 0
	}
	return time.Duration(spec.ImageGB / a.machineType.PullGBPerS * float64(time.Second))
}

// refusalCause returns why a start is refused; empty if it is not.
func (a *agent) refusalCause(spec *protocol.JobSpec, present *agentTask) protocol.EndCause {
	switch {
	case spec == nil:
		return protocol.CauseNoSuchTask
	case present != nil:
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

// isCurrent reports whether a task is still on the machine with a status.
func (a *agent) isCurrent(t *agentTask, status protocol.TaskStatus) bool {
	return !a.terminated && a.tasks[t.name] == t && t.status == status
}

// startRunning runs a task whose image was fetched. It takes the cloud's lock.
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
	t.timer = time.AfterFunc(runTime, func() { a.complete(t, spec) })
}

// complete ends a task that has run for its time. It takes the cloud's lock.
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
