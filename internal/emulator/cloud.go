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

// Invariants are those of a deployment that the judge checks.
type Invariants struct {
	LeaseDuration        time.Duration
	HeartbeatInterval    time.Duration
	CancellationDeadline time.Duration
	TeamCPULimits        map[string]float64 // CPUs by team
}

// runningUsage counts what runs, so that judging a start does not look at the whole fleet.
type runningUsage struct {
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
	invariants   Invariants
	Nodes        map[string]string // front addresses by node name
	MachineTypes []protocol.MachineType
	Capacity     map[string]int // machines left, by machine type

	ctx                      context.Context
	lastMachineNumber        int
	machinesByIdempotencyKey map[string][]string
	workers                  map[string]*agent
	jobSpecs                 map[string]*protocol.JobSpec
	cancelledAt              map[string]time.Time // cancelled jobs
	usage                    runningUsage

	RunFor          func(piece string) time.Duration
	FailingMachines map[string]bool // machines that fail every task
	FailingJobs     map[string]bool // jobs that fail everywhere
	NeverBoots      func(id string) bool
	// IgnoreTermination is a double: machines that are returned go on as if they were not, and no
	// lease ends.
	IgnoreTermination     bool
	UnreachableForReplies map[string]bool              // machines that no answer reaches
	DuplicateHeartbeat    func() (time.Duration, bool) // whether a copy of a report comes so much later
	RecordHeartbeats      bool                         // copies of reports are kept for Resend
	recordedHeartbeats    map[string][]byte            // the first one of each machine since then
	Unavailable           bool
	Results               map[string]int
	Violations            []string
	Starts                int
	// StartsAfterCancel counts tasks that began to run after their job's user had been
	// told that it is cancelled, StartCommandsAfterCancel those whose start came after that, a
	// moment for what was under way left out.
	StartsAfterCancel, StartCommandsAfterCancel int
}

// NewCloud makes a cloud whose workers report to nodes.
func NewCloud(ctx context.Context, n Network, seed uint64, rules Invariants, flavors []protocol.MachineType) *Cloud {
	return &Cloud{
		net: n, rng: rand.New(rand.NewPCG(seed, 1)), invariants: rules, Nodes: map[string]string{}, MachineTypes: flavors,
		Capacity: map[string]int{}, ctx: ctx, machinesByIdempotencyKey: map[string][]string{}, workers: map[string]*agent{},
		recordedHeartbeats: map[string][]byte{}, jobSpecs: map[string]*protocol.JobSpec{}, cancelledAt: map[string]time.Time{}, Results: map[string]int{},
		FailingMachines: map[string]bool{}, FailingJobs: map[string]bool{}, UnreachableForReplies: map[string]bool{},
		usage:  runningUsage{tasks: map[string]int{}, teams: map[string]float64{}, zones: map[[2]string]int{}, jobs: map[string]int{}},
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

// RegisterJob tells the workers of a job, as its user's upload does.
func (c *Cloud) RegisterJob(s *protocol.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobSpecs[s.UID] = s
}

// RecordCancellation notes when a user was told so. All tasks of the job must be gone in time.
func (c *Cloud) RecordCancellation(uid string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, again := c.cancelledAt[uid]; again {
		return
	}
	c.cancelledAt[uid] = time.Now()
	time.AfterFunc(c.invariants.CancellationDeadline, func() {
		if c.ctx.Err() != nil {
			return
		}
		if n := c.ActiveTasks(uid); n > 0 {
			c.WithLock(func() { c.violation("ran_cancelled: %d tasks of %s are left", n, uid) })
		}
	})
}

// WithLock runs f while nothing else changes.
func (c *Cloud) WithLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// Machines lists those that are rented.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineIDs()
}

func (c *Cloud) machineIDs() []string {
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

// Reclaim takes a machine back without notice.
func (c *Cloud) Reclaim(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		w.terminate()
		delete(c.workers, id)
	}
}

// Pause stops a machine for a while; it may go on within its lease.
func (c *Cloud) Pause(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.workers[id]; w != nil {
		w.pausedUntil = time.Now().Add(d)
	}
}

func (c *Cloud) violation(format string, a ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, a...))
}

// ReplayHeartbeats sends the reports that were kept to nodes, and forgets them.
func (c *Cloud) ReplayHeartbeats(nodes ...string) {
	c.mu.Lock()
	kept := c.recordedHeartbeats
	c.recordedHeartbeats, c.RecordHeartbeats = map[string][]byte{}, false
	c.mu.Unlock()
	for id, raw := range kept {
		for _, n := range nodes {
			w := &agent{cloud: c, id: id}
			go w.sendCopy(raw, n, 0)
		}
	}
}

// checkInvariants checks the rules as a task starts.
func (c *Cloud) checkInvariants(w *agent, r *runningTask, s *protocol.JobSpec) {
	c.Starts++
	if c.usage.tasks[r.name] > 1 {
		c.violation("ran_twice: %s on %s and elsewhere", r.name, w.id)
	}
	used, here, all := c.usage.teams[s.Team], c.usage.zones[[2]string{s.UID, w.zone}], c.usage.jobs[s.UID]
	if used > c.invariants.TeamCPULimits[s.Team]+1e-9 {
		c.violation("quota: %s uses %v", s.Team, used)
	}
	if w.spot && !s.SpotAllowed || s.Zone != "" && s.Zone != w.zone || s.SameZone && here != all ||
		s.SpreadZones && here > (s.Tasks+1)/2 {
		c.violation("wrong_place: %s on %s", r.name, w.id)
	}
	if at, ok := c.cancelledAt[s.UID]; ok {
		c.StartsAfterCancel++
		if time.Since(at) > c.invariants.CancellationDeadline {
			c.violation("ran_cancelled: %s", r.name)
		}
	}
}

// ActiveTasks counts the tasks of a job that are on machines.
func (c *Cloud) ActiveTasks(uid string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, w := range c.workers {
		for _, r := range w.tasks {
			if strings.HasPrefix(r.name, uid+"/") && r.status != "ended" {
				n++
			}
		}
	}
	return n
}

// RunningTasks counts the tasks that run.
func (c *Cloud) RunningTasks() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.usage.jobs {
		n += k
	}
	return n
}

// MachineOf names the first machine that runs a task of a job.
func (c *Cloud) MachineOf(uid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.machineIDs() {
		for _, r := range c.workers[id].tasks {
			if strings.HasPrefix(r.name, uid+"/") && r.status == "running" {
				return id
			}
		}
	}
	return ""
}
