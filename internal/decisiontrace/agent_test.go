package decisiontrace

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// agentLease is how long an agent keeps its tasks without a reply.
const agentLease = 8 * time.Second

// agent simulates a machine and its agent, which executes commands and sends heartbeats.
type agent struct {
	id          string
	machineType string
	zone        string
	spot        bool
	capacity    job.Resources

	status         string // in the cloud's list
	startedAt      time.Time
	terminatedAt   time.Time
	bootsAt        time.Time
	epoch          uint64
	sequence       uint64
	fencingToken   uint64
	lastReply      time.Time
	silentUntil    time.Time
	preemptedAt    time.Time // set by a preemption notice; zero: none
	tasks          []*agentTask
	sentHeartbeats []*protocol.Heartbeat // the latest ones, which may be delivered again
	repliesToLose  int                   // number of next replies to lose
	startsToRefuse int                   // number of next starts to refuse for lack of free resources
}

// agentTask is a task on a machine.
type agentTask struct {
	reported     protocol.ReportedTask
	spec         *protocol.JobSpec
	statusEndsAt time.Time // when the current status ends
	fails        bool
}

// responsive reports whether the agent runs and is not silent.
func (a *agent) responsive(now time.Time) bool {
	return a.status != "failed" && !now.Before(a.bootsAt) && !now.Before(a.silentUntil)
}

// nextHeartbeat returns the next heartbeat.
func (a *agent) nextHeartbeat(now time.Time) *protocol.Heartbeat {
	a.sequence++
	r := &protocol.Heartbeat{
		Machine: a.id, Endpoint: a.id + ":1", MachineType: a.machineType, Zone: a.zone, Spot: a.spot,
		AgentEpoch: a.epoch, Sequence: a.sequence, FencingToken: a.fencingToken,
	}
	if !a.preemptedAt.IsZero() {
		left := a.preemptedAt.Sub(now).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, t := range a.tasks {
		r.Tasks = append(r.Tasks, t.reported)
	}
	a.sentHeartbeats = append(a.sentHeartbeats, r)
	if len(a.sentHeartbeats) > 4 {
		a.sentHeartbeats = a.sentHeartbeats[1:]
	}
	return r
}

// advance moves tasks to their next status when the time for the current one is over. Once the
// agent's lease has expired, advance fences the agent: it drops all tasks and starts a new agent epoch.
func (a *agent) advance(now time.Time, h *history) {
	if a.epoch > 0 && now.Sub(a.lastReply) > agentLease {
		a.tasks = nil
		a.epoch++
		a.lastReply = now
	}
	for _, t := range a.tasks {
		if now.Before(t.statusEndsAt) {
			continue
		}
		switch t.reported.Status {
		case protocol.TaskFetching:
			t.reported.Status, t.statusEndsAt = protocol.TaskRunning, now.Add(h.runTime(t.spec))
		case protocol.TaskRunning:
			t.reported.Cause = protocol.CauseDone
			if t.fails {
				t.reported.Cause = protocol.CauseError
			}
			t.reported.Status = protocol.TaskEnded
		case protocol.TaskCheckpointing:
			t.reported.Status, t.reported.Cause, t.reported.Checkpointed = protocol.TaskEnded, protocol.CauseStopped, true
		case protocol.TaskWaiting, protocol.TaskEnded:
			// These statuses do not change with time.
		}
	}
}

// applyReply executes the commands in the reply to a heartbeat.
func (a *agent) applyReply(now time.Time, reply protocol.HeartbeatReply, h *history) {
	a.fencingToken, a.lastReply = max(a.fencingToken, reply.FencingToken), now
	for _, c := range reply.Commands {
		at := slices.IndexFunc(a.tasks, func(t *agentTask) bool { return t.reported.Task == c.Task && t.reported.Attempt == c.Attempt })
		switch c.Kind {
		case protocol.CommandForget:
			if at >= 0 && a.tasks[at].reported.Status == protocol.TaskEnded {
				a.tasks = slices.Delete(a.tasks, at, at+1)
			}
		case protocol.CommandStop:
			if at >= 0 {
				a.tasks[at].stop(now, *c.GraceS)
			}
		case protocol.CommandStart:
			if at < 0 {
				a.tasks = append(a.tasks, a.start(now, c, h))
			}
		}
	}
}

func (t *agentTask) stop(now time.Time, graceS float64) {
	switch {
	case t.reported.Status == protocol.TaskEnded:
	case graceS > 0 && t.reported.Status == protocol.TaskRunning:
		t.reported.Status, t.statusEndsAt = protocol.TaskCheckpointing, now.Add(seconds(t.spec.CheckpointDurationS))
	case graceS == 0 || t.reported.Status != protocol.TaskCheckpointing:
		t.reported.Status, t.reported.Cause = protocol.TaskEnded, protocol.CauseStopped
	}
}

// start starts a task, or refuses it for lack of free resources or because of another attempt at it.
func (a *agent) start(now time.Time, c protocol.Command, h *history) *agentTask {
	t := &agentTask{reported: protocol.ReportedTask{Task: c.Task, Attempt: c.Attempt, Status: protocol.TaskFetching}}
	uid, _, err := protocol.ParseTaskName(c.Task)
	check(err)
	t.spec = h.specs[uid]
	free := a.capacity
	for _, o := range a.tasks {
		if o.reported.Status == protocol.TaskEnded {
			continue
		}
		free = free.Sub(job.TaskResources(o.spec))
		if o.reported.Task == c.Task {
			t.reported.Status, t.reported.Cause = protocol.TaskEnded, protocol.CauseOtherAttempt
			return t
		}
	}
	if a.startsToRefuse > 0 || !job.TaskResources(t.spec).FitsIn(free) {
		a.startsToRefuse = max(a.startsToRefuse-1, 0)
		t.reported.Status, t.reported.Cause = protocol.TaskEnded, protocol.CauseNoCapacity
		return t
	}
	t.statusEndsAt = now.Add(seconds(t.spec.ImageGB))
	t.fails = h.chance(h.scenario.taskFailures)
	return t
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
