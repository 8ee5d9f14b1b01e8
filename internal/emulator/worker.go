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
	task    string
	attempt uint64
	status  protocol.TaskStatus
	cause   protocol.EndCause
	timer   *time.Timer
}

type worker struct {
	c           *Cloud
	id          string
	machineType protocol.MachineType
	zone        string
	spot        bool
	born        time.Time
	upAt        time.Time
	session     uint64
	sequence    uint64
	token       uint64
	okSent      time.Time
	runs        map[string]*runningTask
	images      map[string]bool
	stop        context.CancelFunc
	hanging     time.Time
	kick        chan struct{}
	dead        bool
}

func (w *worker) end() {
	w.dead = true
	w.stop()
	w.clear()
}

// clear ends all that is on the machine.
func (w *worker) clear() {
	for _, r := range w.runs {
		r.timer.Stop()
		w.set(r, "ended")
	}
	w.runs = map[string]*runningTask{}
}

// set changes a task's status and keeps the tally.
func (w *worker) set(r *runningTask, status protocol.TaskStatus) {
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
	uid, _, _ := strings.Cut(r.task, "/")
	s, t := w.c.specs[uid], &w.c.on
	t.tasks[r.task] += by
	t.teams[s.Team] += float64(by) * s.CPUs
	t.zones[[2]string{uid, w.zone}] += by
	t.jobs[uid] += by
}

// copy sends a report again, long after its worker may be gone.
func (w *worker) copy(raw []byte, node string, late time.Duration) {
	select {
	case <-w.c.ctx.Done():
		return
	case <-time.After(late):
	}
	cl := w.c.client(w.id)
	defer cl.CloseIdleConnections()
	_, _, _ = post(w.c.ctx, cl, "http://"+w.c.Nodes[node]+"/agent/beat", raw)
}

// live boots a worker and lets it report until its machine is gone.
func (w *worker) live(ctx context.Context, boot time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(boot):
	}
	cl := w.c.client(w.id)
	defer cl.CloseIdleConnections()
	w.c.mu.Lock()
	nodes := slices.Sorted(maps.Keys(w.c.Nodes))
	at := w.c.rng.IntN(len(nodes))
	w.okSent = time.Now()
	w.c.mu.Unlock()
	w.watchLease(ctx)
	for ctx.Err() == nil {
		w.c.mu.Lock()
		hung := time.Until(w.hanging)
		w.c.mu.Unlock()
		if hung > 0 {
			time.Sleep(hung)
			continue
		}
		var wait time.Duration
		at, wait = w.reportTo(cl, nodes, at)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-w.kick:
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// watchLease ends the worker's lease in time, even while a report is under way.
func (w *worker) watchLease(ctx context.Context) {
	if ctx.Err() != nil || w.c.KeepsReturned {
		return
	}
	w.c.mu.Lock()
	w.expire()
	left := w.c.rules.Lease - time.Since(w.okSent) + 10*time.Millisecond
	w.c.mu.Unlock()
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

// reportTo reports to one of the nodes and tells which one comes next, and when.
func (w *worker) reportTo(cl *http.Client, nodes []string, at int) (next int, wait time.Duration) {
	sent := time.Now()
	raw, session, unreachable := w.nextReport(nodes)
	elsewhere := (at + 1) % len(nodes)
	code, out, err := post(w.c.ctx, cl, "http://"+w.c.Nodes[nodes[at]]+"/agent/beat", raw)
	if err != nil {
		return elsewhere, time.Second
	}
	switch {
	case unreachable:
		return elsewhere, time.Second
	case code == http.StatusOK:
		var r protocol.HeartbeatReply
		if protocol.Unmarshal(out, &r) == nil {
			w.take(&r, session, sent)
		}
		return at, time.Duration(float64(w.c.rules.Report) * (0.75 + 0.5*rand.Float64()))
	case code == http.StatusMisdirectedRequest:
		var f protocol.Redirect
		_ = protocol.Unmarshal(out, &f)
		if owner, known := slices.BinarySearch(nodes, f.Owner); known && owner != at {
			return owner, 50 * time.Millisecond
		}
	}
	return elsewhere, time.Second
}

// nextReport makes a report, and the late copies of it that the test wants.
func (w *worker) nextReport(nodes []string) (raw []byte, session uint64, unreachable bool) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	w.expire()
	raw, err := protocol.Marshal(w.report())
	if err != nil {
		panic(err)
	}
	if w.c.Copies != nil {
		if late, ok := w.c.Copies(); ok {
			go w.copy(raw, nodes[int(late)%len(nodes)], late)
		}
	}
	if w.c.Keep && w.c.kept[w.id] == nil {
		w.c.kept[w.id] = raw
	}
	return raw, w.session, w.c.Unreachable[w.id]
}

func (w *worker) changed() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

func (w *worker) expire() {
	if !w.c.KeepsReturned && !w.okSent.IsZero() && time.Since(w.okSent) > w.c.rules.Lease {
		w.clear()
		w.session++
		w.okSent = time.Now()
		w.changed()
	}
}

func (w *worker) report() any {
	w.sequence++
	pieces := []map[string]any{}
	for _, r := range w.runs {
		p := map[string]any{"piece": r.task, "try": r.attempt, "status": r.status}
		if r.status == "ended" {
			p["cause"] = r.cause
		}
		pieces = append(pieces, p)
	}
	return map[string]any{
		"host": w.id, "endpoint": w.id + ":9000", "flavor": w.machineType.Name, "yard": w.zone,
		"borrowed": w.spot, "shift": w.session, "tick": w.sequence, "baton": w.token, "warning_s": nil, "pieces": pieces,
	}
}

func (w *worker) take(r *protocol.HeartbeatReply, shift uint64, sent time.Time) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	w.expire()
	if w.dead || r.FencingToken < w.token || shift != w.session {
		return
	}
	if r.FencingToken > w.token {
		w.token = r.FencingToken
		w.changed()
	}
	w.okSent = sent
	for _, o := range r.Commands {
		x := w.runs[o.Task]
		switch o.Kind {
		case "start":
			if x != nil && x.attempt == o.Attempt {
				continue
			}
			w.start(o, x)
		case "kill":
			if x != nil && x.attempt == o.Attempt && x.status != "ended" {
				x.timer.Stop()
				w.set(x, "ended")
				x.cause = "halted"
			}
		case "forget":
			if x != nil && x.attempt == o.Attempt && x.status == "ended" {
				delete(w.runs, o.Task)
			}
		}
		w.changed()
	}
}

// underWay is how long an answer may take to a worker.
const underWay = 20 * time.Millisecond

// start carries a start out, or refuses it.
func (w *worker) start(o protocol.Command, x *runningTask) {
	uid, _, _ := strings.Cut(o.Task, "/")
	s := w.c.specs[uid]
	n := &runningTask{task: o.Task, attempt: o.Attempt, status: protocol.TaskEnded, timer: time.NewTimer(0)}
	if at, ok := w.c.gone[uid]; ok && time.Since(at) > underWay {
		w.c.OrderedAfterCancel++
	}
	if cause := w.refusal(s, x); cause != "" {
		n.cause = cause
		if x == nil {
			w.runs[o.Task] = n
		}
		return
	}
	fetch := time.Duration(0)
	if !w.images[s.Image] {
		fetch = time.Duration(s.ImageGB / w.machineType.PullGBPerS * float64(time.Second))
	}
	n.status = protocol.TaskFetching
	w.runs[o.Task] = n
	n.timer = time.AfterFunc(fetch, func() { w.run(n, s) })
}

// refusal tells why a start is refused; empty: it is not.
func (w *worker) refusal(s *protocol.JobSpec, x *runningTask) protocol.EndCause {
	switch {
	case s == nil:
		return protocol.CauseNoSuchTask
	case x != nil:
		return protocol.CauseOtherAttempt
	}
	used := s.CPUs
	for _, r := range w.runs {
		uid, _, _ := strings.Cut(r.task, "/")
		if r.status != protocol.TaskEnded {
			used += w.c.specs[uid].CPUs
		}
	}
	if used > w.machineType.CPUs+1e-9 {
		return protocol.CauseNoRoom
	}
	return ""
}

// run starts a task whose image is there. A service's replica runs until it is stopped.
func (w *worker) run(n *runningTask, s *protocol.JobSpec) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	if w.dead || w.runs[n.task] != n || n.status != protocol.TaskFetching {
		return
	}
	w.images[s.Image] = true
	w.set(n, protocol.TaskRunning)
	w.c.judge(w, n, s)
	d := w.c.RunFor(n.task)
	if s.Shape == protocol.ShapeService {
		d = 1000 * time.Hour
	}
	n.timer = time.AfterFunc(d, func() { w.complete(n, s) })
}

// complete ends a task that has run for its time.
func (w *worker) complete(n *runningTask, s *protocol.JobSpec) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	if w.dead || w.runs[n.task] != n || n.status != protocol.TaskRunning {
		return
	}
	w.set(n, protocol.TaskEnded)
	n.cause = protocol.CauseDone
	if w.c.Sick[w.id] || w.c.Broken[s.UID] {
		n.cause = protocol.CauseError
	} else {
		w.c.Results[n.task]++
	}
	w.changed()
}
