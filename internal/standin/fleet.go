package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// Rules are those of a deployment that the judge checks.
type Rules struct {
	Lease  time.Duration
	Report time.Duration
	Cancel time.Duration
	Limits map[string]float64 // CPUs by team
}

// usage counts what runs, so that judging a start does not look at the whole fleet.
type usage struct {
	tasks map[string]int // machines that run a task
	teams map[string]float64
	zones map[[2]string]int // by job and zone
	jobs  map[string]int
}

// Cloud rents out workers and judges what runs on them.
type Cloud struct {
	mu           sync.Mutex
	net          *Net
	rng          *rand.Rand
	rules        Rules
	Nodes        map[string]string // front addresses by node name
	MachineTypes []protocol.MachineType
	Room         map[string]int // machines left, by machine type

	ctx     context.Context
	next    int
	rentals map[string][]string
	workers map[string]*worker
	specs   map[string]*protocol.JobSpec
	gone    map[string]time.Time // cancelled jobs
	on      usage

	RunFor      func(piece string) time.Duration
	Sick        map[string]bool // machines that fail every task
	Broken      map[string]bool // jobs that fail everywhere
	NeverBoots  func(id string) bool
	Unreachable map[string]bool              // machines that no answer reaches
	Copies      func() (time.Duration, bool) // whether a copy of a report comes so much later
	Keep        bool                         // copies of reports are kept for Resend
	kept        map[string][]byte            // the first one of each machine since then
	Down        bool
	Results     map[string]int
	Faults      []string
	Starts      int
	// StartsAfterCancel counts tasks that began to run after their job's user had been
	// told that it is cancelled, OrderedAfterCancel those whose start came after that, a
	// moment for what was under way left out.
	StartsAfterCancel, OrderedAfterCancel int
}

// NewCloud makes a cloud whose workers report to nodes.
func NewCloud(ctx context.Context, n *Net, seed uint64, rules Rules, flavors []protocol.MachineType) *Cloud {
	return &Cloud{net: n, rng: rand.New(rand.NewPCG(seed, 1)), rules: rules, Nodes: map[string]string{}, MachineTypes: flavors,
		Room: map[string]int{}, ctx: ctx, rentals: map[string][]string{}, workers: map[string]*worker{},
		kept: map[string][]byte{}, specs: map[string]*protocol.JobSpec{}, gone: map[string]time.Time{}, Results: map[string]int{},
		Sick: map[string]bool{}, Broken: map[string]bool{}, Unreachable: map[string]bool{},
		on:     usage{tasks: map[string]int{}, teams: map[string]float64{}, zones: map[[2]string]int{}, jobs: map[string]int{}},
		RunFor: func(string) time.Duration { return 5 * time.Second }}
}

// Know tells the workers of a job, as its user's upload does.
func (c *Cloud) Know(s *protocol.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.specs[s.UID] = s
}

// Cancelled notes when a user was told so. All tasks of the job must be gone in time.
func (c *Cloud) Cancelled(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, again := c.gone[uid]; again {
		return
	}
	c.gone[uid] = time.Now()
	time.AfterFunc(c.rules.Cancel, func() {
		if c.ctx.Err() != nil {
			return
		}
		if n := c.Active(uid); n > 0 {
			c.Lock(func() { c.fault("ran_cancelled: %d tasks of %s are left", n, uid) })
		}
	})
}

// Lock runs f while nothing else changes.
func (c *Cloud) Lock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Machines lists those that are rented.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.names()
}

func (c *Cloud) names() []string {
	var out []string
	for id := range c.workers {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Take takes a machine back without notice.
func (c *Cloud) Take(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		w.end()
		delete(c.workers, id)
	}
}

// Hang stops a machine for a while; it may go on within its lease.
func (c *Cloud) Hang(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		w.hanging = time.Now().Add(d)
	}
}

func (c *Cloud) fault(format string, a ...any) {
	c.Faults = append(c.Faults, fmt.Sprintf(format, a...))
}

type runningTask struct {
	task    string
	attempt uint64
	status  string
	cause   string
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
func (w *worker) set(r *runningTask, status string) {
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

// Serve serves the cloud's interface.
func (c *Cloud) Serve(ctx context.Context, a string) error {
	r := chi.NewRouter()
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.mu.Lock()
			down := c.Down
			c.mu.Unlock()
			if down {
				reply(w, 503, protocol.ErrorBody{Error: "trouble"})
				return
			}
			next.ServeHTTP(w, r)
		})
	})
	r.Get("/flavors", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, protocol.Catalogue{MachineTypes: c.MachineTypes})
	})
	r.Post("/machines", func(w http.ResponseWriter, r *http.Request) {
		var h protocol.Rental
		if !body(r, &h) {
			reply(w, 400, protocol.ErrorBody{Error: "malformed"})
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		ids, again := c.rentals[h.IdempotencyKey]
		if !again {
			for range min(h.Count, c.Room[h.MachineType]) {
				ids = append(ids, c.rent(h))
			}
			if ids == nil {
				reply(w, 503, protocol.ErrorBody{Error: "no capacity"})
				return
			}
			c.Room[h.MachineType] -= len(ids)
			c.rentals[h.IdempotencyKey] = ids
		}
		reply(w, 200, protocol.MachineIDs{IDs: ids})
	})
	r.Post("/machines/return", func(w http.ResponseWriter, r *http.Request) {
		var h protocol.MachineIDs
		body(r, &h)
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, id := range h.IDs {
			if x := c.workers[id]; x != nil {
				x.end()
				delete(c.workers, id)
				c.Room[x.machineType.Name]++
			}
		}
		reply(w, 200, protocol.ErrorBody{})
	})
	r.Get("/machines", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		var l protocol.MachineList
		for _, id := range c.names() {
			x := c.workers[id]
			st := "running"
			if time.Now().Before(x.upAt) {
				st = "booting"
			}
			l.Machines = append(l.Machines, protocol.RentedMachine{ID: id, Endpoint: id + ":9000", MachineType: x.machineType.Name, Zone: x.zone,
				Spot: x.spot, Status: st, HeldS: time.Since(x.born).Seconds()})
		}
		reply(w, 200, l)
	})
	return serve(ctx, c.net, a, r)
}

func (c *Cloud) rent(h protocol.Rental) string {
	c.next++
	id := fmt.Sprintf("i-%06d", c.next)
	var f protocol.MachineType
	for _, x := range c.MachineTypes {
		if x.Name == h.MachineType {
			f = x
		}
	}
	ctx, stop := context.WithCancel(c.ctx)
	boot := time.Duration(f.BootS * (0.6 + 0.9*c.rng.Float64()) * float64(time.Second))
	if c.NeverBoots != nil && c.NeverBoots(id) {
		boot = time.Hour
	}
	w := &worker{c: c, id: id, machineType: f, zone: h.Zone, spot: h.Spot, born: time.Now(), upAt: time.Now().Add(boot),
		session: 1, runs: map[string]*runningTask{}, images: map[string]bool{}, stop: stop, kick: make(chan struct{}, 1)}
	c.workers[id] = w
	go w.live(ctx, boot)
	return id
}

// copy sends a report again, long after its worker may be gone.
func (w *worker) copy(raw []byte, node string, late time.Duration) {
	select {
	case <-w.c.ctx.Done():
		return
	case <-time.After(late):
	}
	cl := &http.Client{Transport: &http.Transport{DialContext: w.c.net.Dialer(w.id)}, Timeout: 4 * time.Second}
	defer cl.CloseIdleConnections()
	if resp, err := cl.Post("http://"+w.c.Nodes[node]+"/agent/beat", "application/cbor", bytes.NewReader(raw)); err == nil {
		resp.Body.Close()
	}
}

// Resend sends the reports that were kept to nodes, and forgets them.
func (c *Cloud) Resend(nodes ...string) {
	c.mu.Lock()
	kept := c.kept
	c.kept, c.Keep = map[string][]byte{}, false
	c.mu.Unlock()
	for id, raw := range kept {
		for _, n := range nodes {
			w := &worker{c: c, id: id}
			go w.copy(raw, n, 0)
		}
	}
}

func (w *worker) live(ctx context.Context, boot time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(boot):
	}
	cl := &http.Client{Transport: &http.Transport{DialContext: w.c.net.Dialer(w.id)}, Timeout: 4 * time.Second}
	defer cl.CloseIdleConnections()
	w.c.mu.Lock()
	names := make([]string, 0, len(w.c.Nodes))
	for n := range w.c.Nodes {
		names = append(names, n)
	}
	sort.Strings(names)
	at := w.c.rng.IntN(len(names))
	w.okSent = time.Now()
	w.c.mu.Unlock()
	go func() { // the lease runs even while a report is under way
		for ctx.Err() == nil {
			w.c.mu.Lock()
			w.expire()
			left := w.c.rules.Lease - time.Since(w.okSent) + 10*time.Millisecond
			w.c.mu.Unlock()
			select {
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
	}()
	for ctx.Err() == nil {
		w.c.mu.Lock()
		hung := time.Until(w.hanging)
		w.c.mu.Unlock()
		if hung > 0 {
			time.Sleep(hung)
			continue
		}
		sent := time.Now()
		w.c.mu.Lock()
		w.expire()
		shift := w.session
		raw, err := protocol.Marshal(w.report())
		deaf := w.c.Unreachable[w.id]
		if w.c.Copies != nil {
			if late, ok := w.c.Copies(); ok {
				go w.copy(raw, names[int(late)%len(names)], late)
			}
		}
		if w.c.Keep && w.c.kept[w.id] == nil {
			w.c.kept[w.id] = raw
		}
		w.c.mu.Unlock()
		if err != nil {
			panic(err)
		}
		wait := time.Duration(float64(w.c.rules.Report) * (0.75 + 0.5*rand.Float64()))
		resp, err := cl.Post("http://"+w.c.Nodes[names[at]]+"/agent/beat", "application/cbor", bytes.NewReader(raw))
		if err != nil {
			at, wait = (at+1)%len(names), time.Second
		} else {
			out, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			switch {
			case deaf:
				at, wait = (at+1)%len(names), time.Second
			case resp.StatusCode == 200:
				var r protocol.ReportReply
				if protocol.Unmarshal(out, &r) == nil {
					w.take(&r, shift, sent)
				}
			case resp.StatusCode == 421:
				var f protocol.Redirect
				_ = protocol.Unmarshal(out, &f)
				next := sort.SearchStrings(names, f.Owner)
				if next < len(names) && names[next] == f.Owner && next != at {
					at, wait = next, 50*time.Millisecond
				} else {
					at, wait = (at+1)%len(names), time.Second
				}
			default:
				at, wait = (at+1)%len(names), time.Second
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-w.kick:
			time.Sleep(500 * time.Millisecond)
		}
	}
}

func (w *worker) changed() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

func (w *worker) expire() {
	if !w.okSent.IsZero() && time.Since(w.okSent) > w.c.rules.Lease {
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
	return map[string]any{"host": w.id, "endpoint": w.id + ":9000", "flavor": w.machineType.Name, "yard": w.zone,
		"borrowed": w.spot, "shift": w.session, "tick": w.sequence, "baton": w.token, "warning_s": nil, "pieces": pieces}
}

func (w *worker) take(r *protocol.ReportReply, shift uint64, sent time.Time) {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	w.expire()
	if w.dead || r.Token < w.token || shift != w.session {
		return
	}
	if r.Token > w.token {
		w.token = r.Token
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

func (w *worker) start(o protocol.Command, x *runningTask) {
	uid, _, _ := strings.Cut(o.Task, "/")
	s := w.c.specs[uid]
	n := &runningTask{task: o.Task, attempt: o.Attempt, status: "ended", timer: time.NewTimer(0)}
	refuse := func(cause string) {
		n.cause = cause
		if x == nil {
			w.runs[o.Task] = n
		}
	}
	if at, ok := w.c.gone[uid]; ok && time.Since(at) > underWay {
		w.c.OrderedAfterCancel++
	}
	if s == nil {
		refuse("no_such")
		return
	}
	if x != nil {
		refuse("busy")
		return
	}
	used := s.CPUs
	for _, r := range w.runs {
		u, _, _ := strings.Cut(r.task, "/")
		if r.status != "ended" {
			used += w.c.specs[u].CPUs
		}
	}
	if used > w.machineType.CPUs+1e-9 {
		refuse("full")
		return
	}
	fetch := time.Duration(0)
	if !w.images[s.Image] {
		fetch = time.Duration(s.ImageGB / w.machineType.PullGBPerS * float64(time.Second))
	}
	n.status = "fetching"
	w.runs[o.Task] = n
	n.timer = time.AfterFunc(fetch, func() {
		w.c.mu.Lock()
		defer w.c.mu.Unlock()
		if w.dead || w.runs[o.Task] != n || n.status != "fetching" {
			return
		}
		w.images[s.Image] = true
		w.set(n, "running")
		w.c.judge(w, n, s)
		d := w.c.RunFor(o.Task)
		if s.Shape == protocol.ShapeService {
			d = 1000 * time.Hour // until it is killed
		}
		n.timer = time.AfterFunc(d, func() {
			w.c.mu.Lock()
			defer w.c.mu.Unlock()
			if w.dead || w.runs[o.Task] != n || n.status != "running" {
				return
			}
			w.set(n, "ended")
			n.cause = "done"
			if w.c.Sick[w.id] || w.c.Broken[s.UID] {
				n.cause = "error"
			} else {
				w.c.Results[o.Task]++
			}
			w.changed()
		})
	})
}

// judge checks the rules as a task starts.
func (c *Cloud) judge(w *worker, r *runningTask, s *protocol.JobSpec) {
	c.Starts++
	if c.on.tasks[r.task] > 1 {
		c.fault("ran_twice: %s on %s and elsewhere", r.task, w.id)
	}
	used, here, all := c.on.teams[s.Team], c.on.zones[[2]string{s.UID, w.zone}], c.on.jobs[s.UID]
	if used > c.rules.Limits[s.Team]+1e-9 {
		c.fault("quota: %s uses %v", s.Team, used)
	}
	if w.spot && !s.Spot || s.Zone != "" && s.Zone != w.zone || s.SameZone && here != all ||
		s.SpreadZones && here > (s.Tasks+1)/2 {
		c.fault("wrong_place: %s on %s", r.task, w.id)
	}
	if at, ok := c.gone[s.UID]; ok {
		c.StartsAfterCancel++
		if time.Since(at) > c.rules.Cancel {
			c.fault("ran_cancelled: %s", r.task)
		}
	}
}

// Active counts the tasks of a job that are on machines.
func (c *Cloud) Active(uid string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, uid+"/") && r.status != "ended" {
				n++
			}
		}
	}
	return n
}

// Running counts the tasks that run.
func (c *Cloud) Running() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.on.jobs {
		n += k
	}
	return n
}

// MachineOf names the first machine that runs a task of a job.
func (c *Cloud) MachineOf(uid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.names() {
		for _, r := range c.workers[id].runs {
			if strings.HasPrefix(r.task, uid+"/") && r.status == "running" {
				return id
			}
		}
	}
	return ""
}
