package decisiontrace

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// workerLease is how long a worker keeps its tasks without an answer.
const workerLease = 8 * time.Second

// worker is a rented machine with its worker process: it carries commands out and reports.
type worker struct {
	id          string
	machineType string
	zone        string
	spot        bool
	capacity    job.Resources

	status       string // in the cloud's list
	rentedAt     time.Time
	returnedAt   time.Time
	bootsAt      time.Time
	session      uint64
	sequence     uint64
	token        uint64
	lastAnswer   time.Time
	silentUntil  time.Time
	diesAt       time.Time // after a preemption notice; zero: there is none
	tasks        []*workerTask
	earlier      []*protocol.Heartbeat // that may come late or again
	lostAnswers  int                   // answers to lose from now on
	refuseStarts int                   // starts to refuse as full from now on
}

// workerTask is a task on a worker.
type workerTask struct {
	report protocol.ReportedTask
	spec   *protocol.JobSpec
	until  time.Time // the end of its present status
	fails  bool
}

// running reports whether the worker process is up.
func (w *worker) running(now time.Time) bool {
	return w.status != "failed" && !now.Before(w.bootsAt) && !now.Before(w.silentUntil)
}

// report makes the next report.
func (w *worker) report(now time.Time) *protocol.Heartbeat {
	w.sequence++
	r := &protocol.Heartbeat{
		Machine: w.id, Endpoint: w.id + ":1", MachineType: w.machineType, Zone: w.zone, Spot: w.spot,
		AgentEpoch: w.session, Sequence: w.sequence, FencingToken: w.token,
	}
	if !w.diesAt.IsZero() {
		left := w.diesAt.Sub(now).Seconds()
		r.PreemptionNoticeS = &left
	}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.report)
	}
	w.earlier = append(w.earlier, r)
	if len(w.earlier) > 4 {
		w.earlier = w.earlier[1:]
	}
	return r
}

// passTime lets tasks start and end, and fences the worker when its lease is over: without an
// answer it drops all tasks and begins a new agent epoch.
func (w *worker) passTime(now time.Time, h *history) {
	if w.session > 0 && now.Sub(w.lastAnswer) > workerLease {
		w.tasks = nil
		w.session++
		w.lastAnswer = now
	}
	for _, t := range w.tasks {
		if now.Before(t.until) {
			continue
		}
		switch t.report.Status {
		case protocol.TaskFetching:
			t.report.Status, t.until = protocol.TaskRunning, now.Add(h.runTime(t.spec))
		case protocol.TaskRunning:
			t.report.Cause = protocol.CauseDone
			if t.fails {
				t.report.Cause = protocol.CauseError
			}
			t.report.Status = protocol.TaskEnded
		case protocol.TaskCheckpointing:
			t.report.Status, t.report.Cause, t.report.Checkpointed = protocol.TaskEnded, protocol.CauseStopped, true
		case protocol.TaskWaiting, protocol.TaskEnded:
			// Time alone changes nothing.
		}
	}
}

// obey carries the answer to a report out.
func (w *worker) obey(now time.Time, reply protocol.HeartbeatReply, h *history) {
	w.token, w.lastAnswer = max(w.token, reply.FencingToken), now
	for _, c := range reply.Commands {
		at := slices.IndexFunc(w.tasks, func(t *workerTask) bool { return t.report.Task == c.Task && t.report.Attempt == c.Attempt })
		switch c.Kind {
		case protocol.CommandForget:
			if at >= 0 && w.tasks[at].report.Status == protocol.TaskEnded {
				w.tasks = slices.Delete(w.tasks, at, at+1)
			}
		case protocol.CommandStop:
			if at >= 0 {
				w.tasks[at].stop(now, *c.GraceS)
			}
		case protocol.CommandStart:
			if at < 0 {
				w.tasks = append(w.tasks, w.start(now, c, h))
			}
		}
	}
}

func (t *workerTask) stop(now time.Time, graceS float64) {
	switch {
	case t.report.Status == protocol.TaskEnded:
	case graceS > 0 && t.report.Status == protocol.TaskRunning:
		t.report.Status, t.until = protocol.TaskCheckpointing, now.Add(seconds(t.spec.CheckpointDurationS))
	case graceS == 0 || t.report.Status != protocol.TaskCheckpointing:
		t.report.Status, t.report.Cause = protocol.TaskEnded, protocol.CauseStopped
	}
}

// start starts a task, or refuses it for want of room or for another attempt that is there.
func (w *worker) start(now time.Time, c protocol.Command, h *history) *workerTask {
	t := &workerTask{report: protocol.ReportedTask{Task: c.Task, Attempt: c.Attempt, Status: protocol.TaskFetching}}
	uid, _, err := protocol.ParseTaskName(c.Task)
	check(err)
	t.spec = h.specs[uid]
	free := w.capacity
	for _, o := range w.tasks {
		if o.report.Status == protocol.TaskEnded {
			continue
		}
		free = free.Sub(job.TaskResources(o.spec))
		if o.report.Task == c.Task {
			t.report.Status, t.report.Cause = protocol.TaskEnded, protocol.CauseOtherAttempt
			return t
		}
	}
	if w.refuseStarts > 0 || !job.TaskResources(t.spec).FitsIn(free) {
		w.refuseStarts = max(w.refuseStarts-1, 0)
		t.report.Status, t.report.Cause = protocol.TaskEnded, protocol.CauseNoCapacity
		return t
	}
	t.until = now.Add(seconds(t.spec.ImageGB))
	t.fails = h.chance(h.scenario.taskFailures)
	return t
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
