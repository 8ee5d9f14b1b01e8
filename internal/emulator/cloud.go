package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

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
	net          Network
	Transport    func(host string) http.RoundTripper // how workers call; nil: by connections
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

	RunFor     func(piece string) time.Duration
	Sick       map[string]bool // machines that fail every task
	Broken     map[string]bool // jobs that fail everywhere
	NeverBoots func(id string) bool
	// KeepsReturned is a double: machines that are returned go on as if they were not, and no
	// lease ends.
	KeepsReturned bool
	Unreachable   map[string]bool              // machines that no answer reaches
	Copies        func() (time.Duration, bool) // whether a copy of a report comes so much later
	Keep          bool                         // copies of reports are kept for Resend
	kept          map[string][]byte            // the first one of each machine since then
	Down          bool
	Results       map[string]int
	Faults        []string
	Starts        int
	// StartsAfterCancel counts tasks that began to run after their job's user had been
	// told that it is cancelled, OrderedAfterCancel those whose start came after that, a
	// moment for what was under way left out.
	StartsAfterCancel, OrderedAfterCancel int
}

// NewCloud makes a cloud whose workers report to nodes.
func NewCloud(ctx context.Context, n Network, seed uint64, rules Rules, flavors []protocol.MachineType) *Cloud {
	return &Cloud{
		net: n, rng: rand.New(rand.NewPCG(seed, 1)), rules: rules, Nodes: map[string]string{}, MachineTypes: flavors,
		Room: map[string]int{}, ctx: ctx, rentals: map[string][]string{}, workers: map[string]*worker{},
		kept: map[string][]byte{}, specs: map[string]*protocol.JobSpec{}, gone: map[string]time.Time{}, Results: map[string]int{},
		Sick: map[string]bool{}, Broken: map[string]bool{}, Unreachable: map[string]bool{},
		on:     usage{tasks: map[string]int{}, teams: map[string]float64{}, zones: map[[2]string]int{}, jobs: map[string]int{}},
		RunFor: func(string) time.Duration { return 5 * time.Second },
	}
}

// client makes a host's client.
func (c *Cloud) client(host string) *http.Client {
	if c.Transport != nil {
		return &http.Client{Transport: c.Transport(host)}
	}
	return &http.Client{Transport: &http.Transport{DialContext: c.net.Dialer(host)}}
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

// ZoneOf names a machine's zone.
func (c *Cloud) ZoneOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		return w.zone
	}
	return ""
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
	if w.spot && !s.SpotAllowed || s.Zone != "" && s.Zone != w.zone || s.SameZone && here != all ||
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
