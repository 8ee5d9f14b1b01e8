package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// task is an attempt at a task on a machine.
type task struct {
	name    string
	attempt uint64
	status  string
	cause   string
	spec    *protocol.JobSpec
	left    time.Duration // of its run time
	saveEnd time.Time
	fetched time.Time // when its image is there
	on      bool      // it is on the machine in the sense of the rules
}

// agent is a stand-in of the worker on a machine.
type agent struct {
	w      *world
	m      *machine
	client *http.Client
	ctx    context.Context // of the machine, which outlives requests
	cancel context.CancelFunc
	wake   chan struct{}

	mu        sync.Mutex
	began     bool
	ended     bool
	session   uint64
	tick      uint64
	baton     uint64
	batonSeen time.Time // when a higher token last counted as a change
	lease     time.Time // when the last answered report was sent
	tasks     map[string]*task
	images    map[string]bool
	notice    *float64
	hungUntil time.Time
	lastStep  time.Time
	// dropAnswer reports whether an answer is lost on its way; nil: none is.
	dropAnswer func(reply *protocol.HeartbeatReply) bool
	// fails reports whether a task that starts here fails; nil: none does.
	fails func(name string) bool
	muted bool // the network of the machine is cut: nothing is sent
}

func newAgent(w *world, m *machine) *agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &agent{
		w: w, m: m, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), session: 1,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		tasks:  map[string]*task{}, images: map[string]bool{},
	}
}

func (a *agent) endpoint() string { return "127.0.0.1:9" }

// end ends the machine and all that is on it.
func (a *agent) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.cancel()
	a.dropAll("the machine is gone")
}

// dropAll kills and forgets all tasks. The caller holds the lock.
func (a *agent) dropAll(why string) {
	for key, t := range a.tasks {
		a.leave(t)
		if t.status != "ended" {
			a.w.record.add("%s: %s/%d dropped: %s", a.m.id, t.name, t.attempt, why)
		}
		delete(a.tasks, key)
	}
}

// leave records that a task is no longer on the machine. The caller holds the lock.
func (a *agent) leave(t *task) {
	if t.on {
		t.on = false
		a.w.rules.left(a.m, t)
	}
}

func (a *agent) changed() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run serves as the worker until the machine is gone.
func (a *agent) run() {
	a.mu.Lock()
	if a.ended {
		a.mu.Unlock()
		return
	}
	a.began, a.lease, a.lastStep = true, time.Now(), time.Now()
	a.mu.Unlock()
	a.w.record.add("%s is up", a.m.id)
	go a.stepLoop()
	defer a.client.CloseIdleConnections()
	at := rand.IntN(nodeCount)
	for a.ctx.Err() == nil {
		var wait time.Duration
		at, wait = a.report(at)
		sent := time.Now()
		select {
		case <-a.ctx.Done():
		case <-time.After(wait):
		case <-a.wake:
			if wait >= time.Second { // a change is reported no more often than every half second
				time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
			} else {
				time.Sleep(wait)
			}
		}
	}
}

// stepLoop lets the tasks progress and the lease expire.
func (a *agent) stepLoop() {
	for a.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		a.step()
	}
}

func (a *agent) step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	passed := now.Sub(a.lastStep)
	a.lastStep = now
	a.expire(now)
	if now.Before(a.hungUntil) {
		return
	}
	for _, t := range a.tasks {
		a.advance(t, now, passed)
	}
}

// expire begins the next session if the lease has expired. The caller holds the lock.
func (a *agent) expire(now time.Time) {
	if a.ended || now.Sub(a.lease) <= a.w.params.lease {
		return
	}
	a.w.record.add("%s: lease of session %d has expired", a.m.id, a.session)
	a.dropAll("the lease has expired")
	a.session++
	a.lease = now
	a.changed()
}

// advance lets a task progress. The caller holds the lock.
func (a *agent) advance(t *task, now time.Time, passed time.Duration) {
	switch t.status {
	case "fetching":
		if now.Before(t.fetched) {
			return
		}
		a.images[t.spec.Image] = true
		t.status, t.on = "running", true
		a.w.rules.started(a.m, t)
		a.changed()
		if a.w.isFinished(t.name) {
			t.left = 0
		}
	case "running":
		t.left -= passed
		if t.left > 0 || t.spec.Shape == protocol.ShapeService {
			return
		}
		cause := "done"
		if a.fails != nil && a.fails(t.name) {
			cause = "error"
		}
		a.finish(t, cause)
	case "saving":
		if now.After(t.saveEnd) {
			a.finish(t, "halted")
		}
	}
}

// finish ends a task. The caller holds the lock.
func (a *agent) finish(t *task, cause string) {
	a.leave(t)
	t.status, t.cause = "ended", cause
	if cause == "done" {
		a.w.finished(t.name)
	}
	a.w.record.add("%s: %s/%d ended: %s", a.m.id, t.name, t.attempt, cause)
	a.changed()
}

// reportBody is a report with the names on the wire.
type reportBody struct {
	Host     string     `cbor:"host"`
	Endpoint string     `cbor:"endpoint"`
	Flavor   string     `cbor:"flavor"`
	Yard     string     `cbor:"yard"`
	Borrowed bool       `cbor:"borrowed"`
	Shift    uint64     `cbor:"shift"`
	Tick     uint64     `cbor:"tick"`
	Baton    uint64     `cbor:"baton"`
	WarningS *float64   `cbor:"warning_s"`
	Pieces   []pieceRow `cbor:"pieces"`
}

type pieceRow struct {
	Piece  string `cbor:"piece"`
	Try    uint64 `cbor:"try"`
	Status string `cbor:"status"`
	Cause  string `cbor:"cause,omitempty"`
}

// nextReport builds the next report.
func (a *agent) nextReport() reportBody {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tick++
	o := a.m.offer
	body := reportBody{
		Host: a.m.id, Endpoint: a.endpoint(), Flavor: o.flavor, Yard: o.zone, Borrowed: o.spot,
		Shift: a.session, Tick: a.tick, Baton: a.baton, WarningS: a.notice, Pieces: []pieceRow{},
	}
	for _, key := range slices.Sorted(maps.Keys(a.tasks)) {
		t := a.tasks[key]
		body.Pieces = append(body.Pieces, pieceRow{Piece: t.name, Try: t.attempt, Status: t.status, Cause: t.cause})
	}
	return body
}

// awaitAwake waits while the machine hangs.
func (a *agent) awaitAwake() {
	for a.ctx.Err() == nil {
		a.mu.Lock()
		left := time.Until(a.hungUntil)
		a.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, 100*time.Millisecond))
	}
}

// report sends a report to a controller and applies the answer. It returns the controller for the next report
// and the time until then.
func (a *agent) report(at int) (next int, wait time.Duration) {
	a.awaitAwake()
	sent := time.Now()
	body := a.nextReport()
	next = (at + 1) % nodeCount
	code, raw, err := a.post(at, body)
	a.awaitAwake()
	if err != nil || time.Since(sent) > 4*time.Second {
		a.w.record.add("%s: report %d/%d (%s) to %s: no answer", a.m.id, body.Shift, body.Tick, rows(body.Pieces), a.w.nodes[at].name)
		return next, time.Second
	}
	switch code {
	case http.StatusOK:
		var reply protocol.HeartbeatReply
		if protocol.Unmarshal(raw, &reply) == nil {
			a.apply(at, &reply, body, sent)
		}
		return at, time.Duration(float64(a.w.params.report) * (0.75 + 0.5*rand.Float64()))
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		_ = protocol.Unmarshal(raw, &redirect) // without a name the next controller is tried
		for i, n := range a.w.nodes {
			if n.name == redirect.Owner && i != at {
				return i, 100 * time.Millisecond
			}
		}
	}
	return next, time.Second
}

func rows(pieces []pieceRow) string {
	var text strings.Builder
	for _, p := range pieces {
		fmt.Fprintf(&text, "%s:%d:%s%s ", p.Piece, p.Try, p.Status, p.Cause)
	}
	return text.String()
}

// bodyLimit is the limit on reports and on their answers, which is counted in JSON.
const bodyLimit = 64 << 10

var errTooLarge = errors.New("larger than 64 KiB")

// jsonSize returns the size of a body in JSON, in which the limits are counted.
func jsonSize(raw []byte) int { return emulator.JSONBytes(raw) }

// post sends a report.
func (a *agent) post(at int, body reportBody) (code int, raw []byte, err error) {
	a.mu.Lock()
	muted := a.muted
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(a.ctx, 4*time.Second)
	defer cancel()
	if muted || a.w.isCut(a.m.offer.zone, at) {
		<-ctx.Done()
		return 0, nil, ctx.Err()
	}
	encoded, err := protocol.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	if size := jsonSize(encoded); size > bodyLimit {
		a.w.record.add("%s: report %d/%d with %d pieces would have %d bytes: not sent", a.m.id, body.Shift, body.Tick, len(body.Pieces), size)
		return 0, nil, errTooLarge
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.w.nodes[at].agents.address+"/agent/beat", bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/cbor")
	response, err := a.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or the call failed
	raw, err = io.ReadAll(response.Body)
	if err == nil && len(raw) > 0 {
		size := jsonSize(raw)
		a.w.countAnswer(size)
		if size > bodyLimit {
			a.w.record.add("%s: the answer to report %d/%d has %d bytes, more than 64 KiB: dropped", a.m.id, body.Shift, body.Tick, size)
			return 0, nil, errTooLarge
		}
	}
	return response.StatusCode, raw, err
}

// apply applies the answer to a report.
func (a *agent) apply(at int, reply *protocol.HeartbeatReply, body reportBody, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(time.Now())
	from := a.w.nodes[at].name
	if a.dropAnswer != nil && a.dropAnswer(reply) {
		a.w.record.add("%s: answer of %s to %d/%d is lost: %s", a.m.id, from, body.Shift, body.Tick, orders(reply.Commands))
		return
	}
	if a.ended || reply.FencingToken < a.baton || body.Shift != a.session {
		return
	}
	if reply.FencingToken > a.baton {
		a.baton = reply.FencingToken
		if time.Since(a.batonSeen) > a.w.params.lease/2 {
			a.batonSeen = time.Now()
			a.changed()
		}
	}
	a.lease = sent
	if len(reply.Commands) > 0 {
		a.w.record.add("%s: %s answers %d/%d, baton %d: %s", a.m.id, from, body.Shift, body.Tick, reply.FencingToken, orders(reply.Commands))
	}
	for _, command := range reply.Commands {
		a.execute(command)
	}
}

func orders(commands []protocol.Command) string {
	var text strings.Builder
	for _, c := range commands {
		fmt.Fprintf(&text, "%s %s/%d; ", c.Kind, c.Task, c.Attempt)
	}
	return text.String()
}

// execute executes a command. The caller holds the lock.
func (a *agent) execute(command protocol.Command) {
	key := fmt.Sprintf("%s/%d", command.Task, command.Attempt)
	t := a.tasks[key]
	switch command.Kind {
	case protocol.CommandStart:
		if t == nil {
			a.startTask(key, command)
		}
	case protocol.CommandStop:
		if t != nil && t.status != "ended" {
			a.stop(t, command.GraceS)
		}
	case protocol.CommandForget:
		if t != nil && t.status == "ended" {
			delete(a.tasks, key)
			a.changed()
		}
	}
}

// stop carries out a kill. The caller holds the lock.
func (a *agent) stop(t *task, grace *float64) {
	seconds := 0.0
	if grace != nil {
		seconds = *grace
	}
	if t.status == "running" && t.spec.CheckpointIntervalS > 0 && seconds >= t.spec.CheckpointDurationS {
		t.status = "saving"
		t.saveEnd = time.Now().Add(time.Duration(t.spec.CheckpointDurationS * float64(time.Second)))
		a.changed()
		return
	}
	if t.status == "saving" && seconds > 0 {
		return
	}
	a.finish(t, "halted")
}

// startTask carries out a start. The caller holds the lock.
func (a *agent) startTask(key string, command protocol.Command) {
	spec := a.w.spec(jobOf(command.Task))
	t := &task{name: command.Task, attempt: command.Attempt, status: "ended", spec: spec}
	a.tasks[key] = t
	defer a.changed()
	if spec == nil {
		t.cause = "no_such"
		return
	}
	usedCPUs, usedMem := spec.CPUs, spec.MemGB
	for otherKey, other := range a.tasks {
		if otherKey == key || other.status == "ended" {
			continue
		}
		if other.name == t.name {
			t.cause = "busy"
			return
		}
		usedCPUs += other.spec.CPUs
		usedMem += other.spec.MemGB
	}
	flavor := a.w.flavor(a.m.offer.flavor)
	if usedCPUs > flavor.CPUs+1e-9 || usedMem > flavor.MemGB+1e-9 {
		t.cause = "full"
		return
	}
	t.status, t.left, t.fetched = "fetching", a.w.runTime(command.Task), time.Now()
	if !a.images[spec.Image] {
		t.fetched = t.fetched.Add(time.Duration(spec.ImageGB / flavor.PullGBPerS * float64(time.Second)))
	}
}

// mute cuts the machine's network, or ends the cut.
func (a *agent) mute(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.w.record.add("%s is cut off: %v", a.m.id, on)
	a.muted = on
}
