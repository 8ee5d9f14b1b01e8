package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"junipershelf/protocol"
)

// timing holds the workers' times of a site.
type timing struct {
	report, lease time.Duration
	cancel        time.Duration
}

// Times of the workers' protocol.
const (
	responseTimeout = 4 * time.Second
	retryAfter      = time.Second
	changeInterval  = 500 * time.Millisecond
	failsAfter      = 500 * time.Millisecond // how long a task runs on a machine that fails all tasks
)

// endpoint is where workers would take direct commands. The controllers send none, and nothing listens
// there.
const endpoint = "127.0.0.1:1"

// worker is the stand-in of a machine's worker.
type worker struct {
	platform *platform
	id       string
	flavor   protocol.MachineType
	kind     offer
	rentedAt time.Time
	client   *http.Client
	ctx      context.Context
	stop     context.CancelFunc
	changed  chan struct{}

	mu           sync.Mutex
	up           bool
	shift, tick  uint64
	baton        uint64
	leaseFrom    time.Time // when the last answered report was sent, or the session began
	batonChanged time.Time // when a higher token last counted as a change
	tasks        map[string]*workerTask
	images       map[string]bool
	failing      bool // each task that it starts fails
	deaf         bool // answers to it are lost
	lost         int  // answers that were lost
}

// workerTask is an attempt at a task.
type workerTask struct {
	name    string
	attempt uint64
	spec    protocol.JobSpec
	status  protocol.TaskStatus
	cause   protocol.EndCause
	timer   *time.Timer
}

func newWorker(p *platform, id string, flavor protocol.MachineType, kind offer) *worker {
	ctx, stop := context.WithCancel(p.ctx)
	return &worker{
		platform: p, id: id, flavor: flavor, kind: kind, rentedAt: time.Now(), client: &http.Client{Transport: &http.Transport{}},
		ctx: ctx, stop: stop, changed: make(chan struct{}, 1), shift: 1, tasks: map[string]*workerTask{}, images: map[string]bool{},
	}
}

// listed returns the machine's entry in the cloud's list.
func (w *worker) listed() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := "booting"
	if w.up {
		status = "running"
	}
	return map[string]any{
		"uid": w.id, "endpoint": endpoint, "flavor": w.kind.flavor, "yard": w.kind.zone, "borrowed": w.kind.spot,
		"status": status, "held_s": time.Since(w.rentedAt).Seconds(),
	}
}

// end ends the machine.
func (w *worker) end() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropTasks()
}

// dropTasks kills and forgets all tasks. The caller holds the lock.
func (w *worker) dropTasks() {
	for _, t := range w.tasks {
		t.timer.Stop()
	}
	w.tasks = map[string]*workerTask{}
}

// set changes the machine's troubles.
func (w *worker) set(change func(w *worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

// hasRoom reports whether the machine works and has room for a task of a job.
func (w *worker) hasRoom(spec protocol.JobSpec) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpus, memory := w.flavor.CPUs, w.flavor.MemGB
	for _, t := range w.tasks {
		if t.status != protocol.TaskEnded {
			cpus -= t.spec.CPUs
			memory -= t.spec.MemGB
		}
	}
	return w.up && !w.failing && !w.deaf && spec.CPUs <= cpus && spec.MemGB <= memory
}

// token returns the highest token that the worker has seen.
func (w *worker) token() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.baton
}

// lostAnswers returns how many answers to the worker were lost.
func (w *worker) lostAnswers() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// held returns how many tasks of a job are on the machine.
func (w *worker) held(uid string) (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.spec.UID == uid && t.status != protocol.TaskEnded {
			count++
		}
	}
	return count
}

// pause waits. It reports false if the machine has ended.
func (w *worker) pause(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// run boots the machine and reports until it ends.
func (w *worker) run() {
	defer w.client.CloseIdleConnections()
	if !w.pause(w.platform.boot) {
		return
	}
	w.mu.Lock()
	w.up, w.leaseFrom = true, time.Now()
	w.mu.Unlock()
	w.platform.record.printf("%s is up", w.id)
	go w.watchLease()
	at := 0
	for w.ctx.Err() == nil {
		sent, previous := time.Now(), at
		var wait time.Duration
		at, wait = w.reportTo(at)
		if at != previous {
			w.pause(wait) // a redirect, or the next node after a failure
			continue
		}
		w.awaitNext(sent, wait)
	}
}

// awaitNext waits until the next report is due or something has changed, but for no less than
// changeInterval after the last report.
func (w *worker) awaitNext(sent time.Time, wait time.Duration) {
	select {
	case <-w.ctx.Done():
	case <-time.After(wait):
	case <-w.changed:
		w.pause(max(0, changeInterval-time.Since(sent)))
	}
}

// noteChange makes the next report come early.
func (w *worker) noteChange() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// watchLease ends the session when its lease is over.
func (w *worker) watchLease() {
	for w.pause(10 * time.Millisecond) {
		w.mu.Lock()
		if time.Since(w.leaseFrom) > w.platform.timing.lease {
			w.platform.record.printf("%s: lease of session %d is over, %d tasks dropped", w.id, w.shift, len(w.tasks))
			w.dropTasks()
			w.shift++
			w.leaseFrom = time.Now()
			w.noteChange()
		}
		w.mu.Unlock()
	}
}

// nextReport returns the next report and its session.
func (w *worker) nextReport() (body map[string]any, shift uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tick++
	pieces := []map[string]any{}
	for _, t := range w.tasks {
		piece := map[string]any{"piece": t.name, "try": t.attempt, "status": string(t.status)}
		if t.status == protocol.TaskEnded {
			piece["cause"] = string(t.cause)
		}
		pieces = append(pieces, piece)
	}
	return map[string]any{
		"host": w.id, "endpoint": endpoint, "flavor": w.kind.flavor, "yard": w.kind.zone, "borrowed": w.kind.spot,
		"shift": w.shift, "tick": w.tick, "baton": w.baton, "warning_s": nil, "pieces": pieces,
	}, w.shift
}

// response is the body of an answer to a report.
type response struct {
	Baton   *uint64 `cbor:"baton"`
	Foreman string  `cbor:"foreman"`
	Orders  []struct {
		Verb  string   `cbor:"verb"`
		Piece string   `cbor:"piece"`
		Try   uint64   `cbor:"try"`
		Grace *float64 `cbor:"wind_down_s"`
	} `cbor:"orders"`
}

// reportTo sends a report to a node and follows the answer. It returns the next node and when to
// report to it.
func (w *worker) reportTo(at int) (next int, wait time.Duration) {
	nodes := w.platform.nodes
	body, shift := w.nextReport()
	sent := time.Now()
	code, answer := w.send(nodes[at].addr, body)
	w.mu.Lock()
	deaf := w.deaf
	if deaf {
		w.lost++
	}
	w.mu.Unlock()
	following := (at + 1) % len(nodes)
	if deaf {
		w.platform.record.printf("%s: the answer of %s to report %d is lost (%d, %+v)", w.id, nodes[at].name, body["tick"], code, answer.Orders)
		w.client.CloseIdleConnections()
		w.pause(time.Until(sent.Add(responseTimeout)))
		return following, retryAfter
	}
	switch code {
	case http.StatusOK:
		w.apply(nodes[at].name, &answer, shift, sent)
		return at, time.Duration(float64(w.platform.timing.report) * (0.75 + 0.5*rand.Float64()))
	case http.StatusMisdirectedRequest:
		for i, n := range nodes {
			if n.name == answer.Foreman && i != at {
				w.client.CloseIdleConnections()
				return i, 0
			}
		}
	}
	return following, retryAfter
}

// send sends a report. Code 0 means that there was no answer.
func (w *worker) send(addr string, body map[string]any) (code int, answer response) {
	raw, err := protocol.Marshal(body)
	if err != nil {
		return 0, answer
	}
	ctx, cancel := context.WithTimeout(w.ctx, responseTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/agent/beat", bytes.NewReader(raw))
	if err != nil {
		return 0, answer
	}
	httpResponse, err := w.client.Do(request)
	if err != nil {
		return 0, answer
	}
	defer func() { _ = httpResponse.Body.Close() }() // it was read
	text, err := io.ReadAll(httpResponse.Body)
	if err != nil || len(text) > 0 && protocol.Unmarshal(text, &answer) != nil {
		return 0, answer
	}
	return httpResponse.StatusCode, answer
}

// apply carries out the commands of an answer, unless it is dropped.
func (w *worker) apply(from string, answer *response, shift uint64, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Baton == nil || *answer.Baton < w.baton || shift != w.shift || w.ctx.Err() != nil {
		return
	}
	if *answer.Baton > w.baton {
		w.baton = *answer.Baton
		if time.Since(w.batonChanged) >= w.platform.timing.lease/2 {
			w.batonChanged = time.Now()
			w.noteChange()
		}
	}
	w.leaseFrom = sent
	for _, order := range answer.Orders {
		w.platform.record.printf("%s: %s (token %d) says %s %s try %d", w.id, from, *answer.Baton, order.Verb, order.Piece, order.Try)
		existing := w.tasks[order.Piece]
		same := existing != nil && existing.attempt == order.Try
		switch order.Verb {
		case "start":
			if !same {
				w.start(order.Piece, order.Try, existing)
			}
		case "kill":
			if same && existing.status != protocol.TaskEnded {
				w.kill(existing, order.Grace)
			}
		case "forget":
			if same && existing.status == protocol.TaskEnded {
				delete(w.tasks, order.Piece)
				w.noteChange()
			}
		}
	}
}

// start starts a task or refuses it. The caller holds the lock.
func (w *worker) start(name string, attempt uint64, existing *workerTask) {
	uid, _, err := protocol.ParseTaskName(name)
	if err != nil {
		return
	}
	spec, known := w.platform.job(uid)
	t := &workerTask{name: name, attempt: attempt, spec: spec, status: protocol.TaskFetching, timer: time.NewTimer(time.Hour)}
	if existing != nil && existing.status != protocol.TaskEnded {
		return // it stays; a second attempt is refused as busy
	}
	free := w.flavor.CPUs
	for _, other := range w.tasks {
		if other.status != protocol.TaskEnded {
			free -= other.spec.CPUs
		}
	}
	w.tasks[name] = t
	switch {
	case !known:
		w.finish(t, protocol.CauseNoSuchTask)
		return
	case spec.CPUs > free+1e-9:
		w.finish(t, protocol.CauseNoCapacity)
		return
	}
	fetch := time.Duration(0)
	if !w.images[spec.Image] {
		fetch = time.Duration(spec.ImageGB / w.flavor.PullGBPerS * float64(time.Second))
	}
	t.timer = time.AfterFunc(fetch, func() { w.begin(t) })
	if w.platform.onStart != nil {
		w.platform.onStart(w, name, attempt)
	}
	w.noteChange()
}

// begin runs a task that has its image.
func (w *worker) begin(t *workerTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.name] != t || t.status != protocol.TaskFetching {
		return
	}
	w.images[t.spec.Image] = true
	t.status = protocol.TaskRunning
	runs, cause := w.platform.runFor(t.name), protocol.CauseDone
	if w.failing {
		runs, cause = failsAfter, protocol.CauseError
	}
	w.platform.record.printf("%s: %s try %d runs", w.id, t.name, t.attempt)
	t.timer = time.AfterFunc(runs, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[t.name] == t && t.status == protocol.TaskRunning {
			w.finish(t, cause)
		}
	})
	w.noteChange()
}

// kill stops a task, which first saves its progress if it can and has the time. The caller holds the
// lock.
func (w *worker) kill(t *workerTask, grace *float64) {
	stash := t.spec.CheckpointDurationS
	if t.status != protocol.TaskRunning || t.spec.CheckpointIntervalS <= 0 || grace == nil || *grace < stash {
		w.finish(t, protocol.CauseStopped)
		return
	}
	t.timer.Stop()
	t.status = protocol.TaskCheckpointing
	t.timer = time.AfterFunc(time.Duration(stash*float64(time.Second)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[t.name] == t && t.status == protocol.TaskCheckpointing {
			w.finish(t, protocol.CauseStopped)
		}
	})
	w.noteChange()
}

// finish ends a task. The caller holds the lock.
func (w *worker) finish(t *workerTask, cause protocol.EndCause) {
	t.timer.Stop()
	t.status, t.cause = protocol.TaskEnded, cause
	w.platform.recordEnd(taskEnd{t.name, cause})
	w.platform.record.printf("%s: %s try %d ends: %s", w.id, t.name, t.attempt, cause)
	w.noteChange()
}
