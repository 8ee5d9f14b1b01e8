package emulator

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
)

const (
	// replyTimeout is how long an agent waits for a reply.
	replyTimeout = 4 * time.Second
	// retryDelay is how long an agent waits after a failed heartbeat before it sends the next.
	retryDelay = time.Second
	// redirectDelay is how long an agent waits before it follows a redirect.
	redirectDelay = 50 * time.Millisecond
	// changeDelay is how long an agent batches task changes before it reports them.
	changeDelay = 500 * time.Millisecond
	// leaseCheckMargin is how long after the lease's expiry an agent checks it.
	leaseCheckMargin = 10 * time.Millisecond
)

// agent emulates the agent of a machine. The cloud's lock guards its fields, except for those
// that never change and rng, which only run uses.
type agent struct {
	cloud       *Cloud
	id          string // of the machine
	machineType protocol.MachineType
	zone        string
	spot        bool
	startedAt   time.Time
	readyAt     time.Time // when the machine has booted
	stop        context.CancelFunc
	rng         *rand.Rand

	epoch            uint64
	sequence         uint64
	fencingToken     uint64
	lastAcknowledged time.Time // when the latest heartbeat with a reply was sent; the lease starts then
	replyArrived     time.Time // when the reply that is being applied arrived at the machine, before any delay there
	tasks            map[string]*agentTask
	started          map[attemptKey]bool // all attempts that were started on the machine
	images           map[string]bool     // cached on the machine
	pausedUntil      time.Time
	terminated       bool
	heartbeatNow     chan struct{} // holds an item when a heartbeat is due before the interval ends
}

// attemptKey identifies an attempt at a task.
type attemptKey struct {
	task    string
	attempt uint64
}

func (a *agent) endpoint() string { return a.id + ":9000" }

// terminate ends the agent and all of its tasks.
func (a *agent) terminate() {
	a.terminated = true
	a.stop()
	a.endAllTasks()
}

// run boots the machine and sends heartbeats until the context ends.
func (a *agent) run(ctx context.Context, boot time.Duration) {
	if !ctxtime.Sleep(ctx, boot) {
		return
	}
	client := a.cloud.client(a.id)
	defer client.CloseIdleConnections()
	a.cloud.mu.Lock()
	nodes := slices.Sorted(maps.Keys(a.cloud.Nodes))
	node := a.cloud.rng.IntN(len(nodes))
	a.lastAcknowledged = time.Now()
	a.cloud.mu.Unlock()
	a.watchLease(ctx)
	for ctx.Err() == nil {
		if pause := a.pauseLeft(); pause > 0 {
			time.Sleep(pause)
			continue
		}
		var wait time.Duration
		node, wait = a.sendHeartbeat(client, nodes, node)
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-a.heartbeatNow:
			time.Sleep(changeDelay)
		}
	}
}

func (a *agent) pauseLeft() time.Duration {
	a.cloud.mu.Lock()
	defer a.cloud.mu.Unlock()
	return time.Until(a.pausedUntil)
}

// watchLease expires the agent's lease on time, even while a heartbeat is in flight.
func (a *agent) watchLease(ctx context.Context) {
	if ctx.Err() != nil || a.cloud.IgnoreTermination {
		return
	}
	a.cloud.mu.Lock()
	a.expireLease()
	left := a.cloud.invariants.LeaseDuration - time.Since(a.lastAcknowledged) + leaseCheckMargin
	a.cloud.mu.Unlock()
	ctxtime.AfterFunc(left, func() { a.watchLease(ctx) })
}

// expireLease drops all tasks and begins the next epoch if the lease has expired. The caller
// holds the cloud's lock.
func (a *agent) expireLease() {
	if a.cloud.IgnoreTermination || a.lastAcknowledged.IsZero() {
		return
	}
	if time.Since(a.lastAcknowledged) <= a.cloud.invariants.LeaseDuration {
		return
	}
	a.beginEpoch()
}

// beginEpoch drops all tasks and begins the next epoch. The caller holds the cloud's lock.
func (a *agent) beginEpoch() {
	a.endAllTasks()
	a.epoch++
	a.lastAcknowledged = time.Now()
	a.requestHeartbeat()
}

// requestHeartbeat makes run send a heartbeat without waiting for the interval.
func (a *agent) requestHeartbeat() {
	select {
	case a.heartbeatNow <- struct{}{}:
	default:
	}
}

// heartbeatInterval draws the time until the next heartbeat: 0.75 to 1.25 times the mean.
func (a *agent) heartbeatInterval() time.Duration {
	return time.Duration(float64(a.cloud.invariants.HeartbeatInterval) * (0.75 + 0.5*a.rng.Float64()))
}

// sendHeartbeat sends a heartbeat to the node with an index and applies the reply. It returns
// the index of the node for the next heartbeat and the delay until then.
func (a *agent) sendHeartbeat(client *http.Client, nodes []string, node int) (next int, wait time.Duration) {
	sent := time.Now()
	h := a.nextHeartbeat(nodes)
	nextNode := (node + 1) % len(nodes)
	response, err := postHeartbeat(a.cloud.ctx, client, a.cloud.Nodes[nodes[node]], h.raw)
	arrived := time.Now()
	time.Sleep(h.replyDelay)
	if err != nil || h.replyLost || time.Since(sent) > replyTimeout {
		return nextNode, retryDelay
	}
	switch response.code {
	case http.StatusOK:
		var r protocol.HeartbeatReply
		if protocol.Unmarshal(response.body, &r) == nil {
			times := replyTimes{sent, arrived}
			a.apply(&r, h.epoch, times)
			a.repeatReply(&r, &h, times)
		}
		return node, a.heartbeatInterval()
	case http.StatusMisdirectedRequest:
		var redirect protocol.Redirect
		_ = protocol.Unmarshal(response.body, &redirect) // without an owner the next node is tried
		if owner, known := slices.BinarySearch(nodes, redirect.Owner); known && owner != node {
			return owner, redirectDelay
		}
	}
	return nextNode, retryDelay
}

// repeatReply applies a reply again if the cloud's faults say so. A copy that arrives too late after the
// heartbeat is dropped like any reply.
func (a *agent) repeatReply(r *protocol.HeartbeatReply, h *encodedHeartbeat, times replyTimes) {
	if !h.replyRepeated || time.Since(times.sent)+h.repeatDelay > replyTimeout {
		return
	}
	copied := *r
	ctxtime.AfterFunc(h.repeatDelay, func() { a.apply(&copied, h.epoch, times) })
}

// replyTimes are when a heartbeat was sent, and when its reply arrived.
type replyTimes struct{ sent, arrived time.Time }

// encodedHeartbeat is a heartbeat ready to be sent, with the faults of its reply.
type encodedHeartbeat struct {
	raw           []byte
	epoch         uint64
	replyLost     bool // the machine does not receive the reply
	replyDelay    time.Duration
	replyRepeated bool
	repeatDelay   time.Duration
}

// nextHeartbeat encodes a heartbeat, and sends or records copies of it as configured by the
// cloud's faults.
func (a *agent) nextHeartbeat(nodes []string) encodedHeartbeat {
	c := a.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	a.expireLease()
	raw, err := protocol.Marshal(a.heartbeat())
	if err != nil {
		panic(err)
	}
	if c.DuplicateHeartbeat != nil {
		if delay, ok := c.DuplicateHeartbeat(); ok {
			go c.sendCopy(a.id, nodes[int(delay)%len(nodes)], raw, delay)
		}
	}
	if c.RecordHeartbeats && c.recordedHeartbeats[a.id] == nil {
		c.recordedHeartbeats[a.id] = raw
	}
	h := encodedHeartbeat{raw: raw, epoch: a.epoch, replyLost: c.UnreachableForReplies[a.id]}
	if c.DelayReply != nil {
		h.replyDelay = c.DelayReply()
	}
	if c.RepeatReply != nil {
		h.repeatDelay, h.replyRepeated = c.RepeatReply()
	}
	return h
}

// heartbeatMessage is a heartbeat with its wire keys. It is declared apart from
// protocol.Heartbeat because real agents are not part of this module.
type heartbeatMessage struct {
	Machine           string          `cbor:"host"`
	Endpoint          string          `cbor:"endpoint"`
	MachineType       string          `cbor:"flavor"`
	Zone              string          `cbor:"yard"`
	Spot              bool            `cbor:"borrowed"`
	AgentEpoch        uint64          `cbor:"shift"`
	Sequence          uint64          `cbor:"tick"`
	FencingToken      uint64          `cbor:"baton"`
	PreemptionNoticeS *float64        `cbor:"warning_s"`
	Tasks             []statusMessage `cbor:"pieces"`
}

// statusMessage is the status of a task in a heartbeat.
type statusMessage struct {
	Task    string              `cbor:"piece"`
	Attempt uint64              `cbor:"try"`
	Status  protocol.TaskStatus `cbor:"status"`
	Cause   protocol.EndCause   `cbor:"cause,omitempty"` // of an ended task
}

// heartbeat builds the next heartbeat. The caller holds the cloud's lock.
func (a *agent) heartbeat() heartbeatMessage {
	a.sequence++
	tasks := []statusMessage{}
	for _, t := range a.tasks {
		status := statusMessage{Task: t.name, Attempt: t.attempt, Status: t.status}
		if t.status == protocol.TaskEnded {
			status.Cause = t.cause
		}
		tasks = append(tasks, status)
	}
	return heartbeatMessage{
		Machine: a.id, Endpoint: a.endpoint(), MachineType: a.machineType.Name, Zone: a.zone, Spot: a.spot,
		AgentEpoch: a.epoch, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: tasks,
	}
}

// heartbeatResponse is a controller's reply to a heartbeat.
type heartbeatResponse struct {
	code int
	body []byte
}

// postHeartbeat sends a heartbeat to a controller's API and reads the reply.
func postHeartbeat(ctx context.Context, client *http.Client, address string, raw []byte) (heartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/agent/beat", bytes.NewReader(raw))
	if err != nil {
		return heartbeatResponse{}, err
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(req)
	if err != nil {
		return heartbeatResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read in full, or the call failed
	body, err := io.ReadAll(resp.Body)
	return heartbeatResponse{code: resp.StatusCode, body: body}, err
}
