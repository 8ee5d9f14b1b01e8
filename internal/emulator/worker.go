package emulator

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"junipershelf/protocol"
)

type runningTask struct {
	name    string
	attempt uint64
	status  protocol.TaskStatus
	cause   protocol.EndCause
	timer   *time.Timer
}

type agent struct {
	cloud            *Cloud
	id               string
	machineType      protocol.MachineType
	zone             string
	spot             bool
	startedAt        time.Time
	readyAt          time.Time
	epoch            uint64
	sequence         uint64
	fencingToken     uint64
	lastAcknowledged time.Time
	tasks            map[string]*runningTask
	images           map[string]bool
	stop             context.CancelFunc
	pausedUntil      time.Time
	heartbeatNow     chan struct{}
	terminated       bool
}

func (w *agent) terminate() {
	w.terminated = true
	w.stop()
	w.endAllTasks()
}

// endAllTasks ends all that is on the machine.
func (w *agent) endAllTasks() {
	for _, r := range w.tasks {
		r.timer.Stop()
		w.setStatus(r, "ended")
	}
	w.tasks = map[string]*runningTask{}
}

// setStatus changes a task's status and keeps the tally.
func (w *agent) setStatus(r *runningTask, status protocol.TaskStatus) {
	by := 0
	if r.status == "running" {
		by--
	}
	if r.status = status; status == "running" {
		by++
	}
	if by == 0 {
		return
	}
	uid, _, _ := strings.Cut(r.name, "/")
	s, t := w.cloud.jobSpecs[uid], &w.cloud.usage
	t.tasks[r.name] += by
	t.teams[s.Team] += float64(by) * s.CPUs
	t.zones[[2]string{uid, w.zone}] += by
	t.jobs[uid] += by
}

// sendCopy sends a report again, long after its worker may be gone.
func (w *agent) sendCopy(raw []byte, node string, late time.Duration) {
	select {
	case <-w.cloud.ctx.Done():
		return
	case <-time.After(late):
	}
	cl := w.cloud.client(w.id)
	defer cl.CloseIdleConnections()
	_, _, _ = post(w.cloud.ctx, cl, "http://"+w.cloud.Nodes[node]+"/agent/beat", raw)
}

// run boots a worker and lets it report until its machine is gone.
func (w *agent) run(ctx context.Context, boot time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(boot):
	}
	cl := w.cloud.client(w.id)
	defer cl.CloseIdleConnections()
	w.cloud.mu.Lock()
	nodes := slices.Sorted(maps.Keys(w.cloud.Nodes))
	at := w.cloud.rng.IntN(len(nodes))
	w.lastAcknowledged = time.Now()
	w.cloud.mu.Unlock()
	w.watchLease(ctx)
	for ctx.Err() == nil {
		w.cloud.mu.Lock()
		hung := time.Until(w.pausedUntil)
		w.cloud.mu.Unlock()
		if hung > 0 {
			time.Sleep(hung)
			continue
		}
		var wait time.Duration
		at, wait = w.sendHeartbeat(cl, nodes, at)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-w.heartbeatNow:
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// watchLease ends the worker's lease in time, even while a report is under way.
func (w *agent) watchLease(ctx context.Context) {
	if ctx.Err() != nil || w.cloud.IgnoreTermination {
		return
	}
	w.cloud.mu.Lock()
	w.expireLease()
	left := w.cloud.invariants.LeaseDuration - time.Since(w.lastAcknowledged) + 10*time.Millisecond
	w.cloud.mu.Unlock()
	time.AfterFunc(left, func() { w.watchLease(ctx) })
}

// answerTimeout is how long a worker waits for an answer.
const answerTimeout = 4 * time.Second

// post sends a report and reads the answer.
func post(ctx context.Context, cl *http.Client, url string, raw []byte) (code int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := cl.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// sendHeartbeat reports to one of the nodes and tells which one comes next, and when.
func (w *agent) sendHeartbeat(cl *http.Client, nodes []string, at int) (next int, wait time.Duration) {
	sent := time.Now()
	raw, session, unreachable := w.nextHeartbeat(nodes)
	elsewhere := (at + 1) % len(nodes)
	code, out, err := post(w.cloud.ctx, cl, "http://"+w.cloud.Nodes[nodes[at]]+"/agent/beat", raw)
	if err != nil {
		return elsewhere, time.Second
	}
	switch {
	case unreachable:
		return elsewhere, time.Second
	case code == http.StatusOK:
		var r protocol.HeartbeatReply
		if protocol.Unmarshal(out, &r) == nil {
			w.apply(&r, session, sent)
		}
		return at, time.Duration(float64(w.cloud.invariants.HeartbeatInterval) * (0.75 + 0.5*rand.Float64()))
	case code == http.StatusMisdirectedRequest:
		var f protocol.Redirect
		_ = protocol.Unmarshal(out, &f)
		if owner, known := slices.BinarySearch(nodes, f.Owner); known && owner != at {
			return owner, 50 * time.Millisecond
		}
	}
	return elsewhere, time.Second
}

// nextHeartbeat makes a report, and the late copies of it that the test wants.
func (w *agent) nextHeartbeat(nodes []string) (raw []byte, session uint64, unreachable bool) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	w.expireLease()
	raw, err := protocol.Marshal(w.heartbeat())
	if err != nil {
		panic(err)
	}
	if w.cloud.DuplicateHeartbeat != nil {
		if late, ok := w.cloud.DuplicateHeartbeat(); ok {
			go w.sendCopy(raw, nodes[int(late)%len(nodes)], late)
		}
	}
	if w.cloud.RecordHeartbeats && w.cloud.recordedHeartbeats[w.id] == nil {
		w.cloud.recordedHeartbeats[w.id] = raw
	}
	return raw, w.epoch, w.cloud.UnreachableForReplies[w.id]
}

func (w *agent) requestHeartbeat() {
	select {
	case w.heartbeatNow <- struct{}{}:
	default:
	}
}

func (w *agent) expireLease() {
	if !w.cloud.IgnoreTermination && !w.lastAcknowledged.IsZero() && time.Since(w.lastAcknowledged) > w.cloud.invariants.LeaseDuration {
		w.endAllTasks()
		w.epoch++
		w.lastAcknowledged = time.Now()
		w.requestHeartbeat()
	}
}

func (w *agent) heartbeat() any {
	w.sequence++
	pieces := []map[string]any{}
	for _, r := range w.tasks {
		p := map[string]any{"piece": r.name, "try": r.attempt, "status": r.status}
		if r.status == "ended" {
			p["cause"] = r.cause
		}
		pieces = append(pieces, p)
	}
	return map[string]any{
		"host": w.id, "endpoint": w.id + ":9000", "flavor": w.machineType.Name, "yard": w.zone,
		"borrowed": w.spot, "shift": w.epoch, "tick": w.sequence, "baton": w.fencingToken, "warning_s": nil, "pieces": pieces,
	}
}

func (w *agent) apply(r *protocol.HeartbeatReply, shift uint64, sent time.Time) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	w.expireLease()
	if w.terminated || r.FencingToken < w.fencingToken || shift != w.epoch {
		return
	}
	if r.FencingToken > w.fencingToken {
		w.fencingToken = r.FencingToken
		w.requestHeartbeat()
	}
	w.lastAcknowledged = sent
	for _, o := range r.Commands {
		x := w.tasks[o.Task]
		switch o.Kind {
		case "start":
			if x != nil && x.attempt == o.Attempt {
				continue
			}
			w.applyStart(o, x)
		case "kill":
			if x != nil && x.attempt == o.Attempt && x.status != "ended" {
				x.timer.Stop()
				w.setStatus(x, "ended")
				x.cause = "halted"
			}
		case "forget":
			if x != nil && x.attempt == o.Attempt && x.status == "ended" {
				delete(w.tasks, o.Task)
			}
		}
		w.requestHeartbeat()
	}
}

// startCommandTransit is how long an answer may take to a worker.
const startCommandTransit = 20 * time.Millisecond

// applyStart carries a start out, or refuses it.
func (w *agent) applyStart(o protocol.Command, x *runningTask) {
	uid, _, _ := strings.Cut(o.Task, "/")
	s := w.cloud.jobSpecs[uid]
	n := &runningTask{name: o.Task, attempt: o.Attempt, status: protocol.TaskEnded, timer: time.NewTimer(0)}
	if at, ok := w.cloud.cancelledAt[uid]; ok && time.Since(at) > startCommandTransit {
		w.cloud.StartCommandsAfterCancel++
	}
	if cause := w.refusal(s, x); cause != "" {
		n.cause = cause
		if x == nil {
			w.tasks[o.Task] = n
		}
		return
	}
	fetch := time.Duration(0)
	if !w.images[s.Image] {
		fetch = time.Duration(s.ImageGB / w.machineType.PullGBPerS * float64(time.Second))
	}
	n.status = protocol.TaskFetching
	w.tasks[o.Task] = n
	n.timer = time.AfterFunc(fetch, func() { w.startRunning(n, s) })
}

// refusal tells why a start is refused; empty: it is not.
func (w *agent) refusal(s *protocol.JobSpec, x *runningTask) protocol.EndCause {
	switch {
	case s == nil:
		return protocol.CauseNoSuchTask
	case x != nil:
		return protocol.CauseOtherAttempt
	}
	used := s.CPUs
	for _, r := range w.tasks {
		uid, _, _ := strings.Cut(r.name, "/")
		if r.status != protocol.TaskEnded {
			used += w.cloud.jobSpecs[uid].CPUs
		}
	}
	if used > w.machineType.CPUs+1e-9 {
		return protocol.CauseNoRoom
	}
	return ""
}

// startRunning starts a task whose image is there. A service's replica runs until it is stopped.
func (w *agent) startRunning(n *runningTask, s *protocol.JobSpec) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	if w.terminated || w.tasks[n.name] != n || n.status != protocol.TaskFetching {
		return
	}
	w.images[s.Image] = true
	w.setStatus(n, protocol.TaskRunning)
	w.cloud.checkInvariants(w, n, s)
	d := w.cloud.RunFor(n.name)
	if s.Shape == protocol.ShapeService {
		d = 1000 * time.Hour
	}
	n.timer = time.AfterFunc(d, func() { w.complete(n, s) })
}

// complete ends a task that has run for its time.
func (w *agent) complete(n *runningTask, s *protocol.JobSpec) {
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	if w.terminated || w.tasks[n.name] != n || n.status != protocol.TaskRunning {
		return
	}
	w.setStatus(n, protocol.TaskEnded)
	n.cause = protocol.CauseDone
	if w.cloud.FailingMachines[w.id] || w.cloud.FailingJobs[s.UID] {
		n.cause = protocol.CauseError
	} else {
		w.cloud.Results[n.name]++
	}
	w.requestHeartbeat()
}
