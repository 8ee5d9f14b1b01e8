package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"junipershelf/protocol"
)

const (
	// defaultRunTime is how long a task runs if RunFor is not set.
	defaultRunTime = 5 * time.Second
	// cloudStream and agentStreams select the random streams of a seed: the cloud's stream, and
	// the first of the agents' streams, to which the machine's number is added.
	cloudStream  = 1
	agentStreams = 1 << 32
)

// Cloud emulates the provider of machines and the agents on them, and checks the invariants.
// Exported fields that change while agents run must be accessed within WithLock.
type Cloud struct {
	// Set before the first machine starts.

	Transport    func(host string) http.RoundTripper // of the agents on a host; nil: connections of the network
	Nodes        map[string]string                   // API address by controller
	MachineTypes []protocol.MachineType
	RunFor       func(task string) time.Duration // how long a task runs; 5 s by default
	NeverBoots   func(machine string) bool       // nil: all machines boot
	// IgnoreTermination keeps terminated machines running and agents' leases from expiring: a
	// fault that the invariant checks must detect.
	IgnoreTermination bool

	Capacity              map[string]int                        // available machines, by machine type
	Unavailable           bool                                  // the API replies 503
	FailingMachines       map[string]bool                       // all tasks on them fail
	FailingJobs           map[string]bool                       // all of their tasks fail
	UnreachableForReplies map[string]bool                       // machines that send heartbeats but receive no replies
	DuplicateHeartbeat    func() (delay time.Duration, ok bool) // whether a heartbeat is sent again, and after what delay; nil: never
	DelayReply            func() time.Duration                  // how much later an agent receives a reply, which it drops if it is too late; nil: at once
	RepeatReply           func() (delay time.Duration, ok bool) // whether an agent receives a reply again, and after what delay; nil: never
	RecordHeartbeats      bool                                  // record each machine's next heartbeat for ReplayHeartbeats

	Results    map[string]int // completions by task
	Violations []Violation
	Starts     int // tasks that started to run
	// StartsAfterCancel counts tasks that started to run after the user had been informed of their
	// job's cancellation.
	StartsAfterCancel int
	// StartCommandsAfterCancel counts start commands that arrived more than startCommandTransit
	// after the user had been informed of the job's cancellation.
	StartCommandsAfterCancel int

	ctx        context.Context // ends the machines and their agents, which outlive the requests that start them
	mu         sync.Mutex
	net        Network
	seed       uint64
	rng        *rand.Rand
	invariants Invariants

	lastMachineNumber        uint64
	machinesByIdempotencyKey map[string][]string
	agents                   map[string]*agent // of the machines that boot or run, by machine
	jobSpecs                 map[string]*protocol.JobSpec
	cancelledAt              map[string]time.Time // by job: when its user received the reply
	running                  runningUsage
	recordedHeartbeats       map[string][]byte // by machine
}

// NewCloud returns a cloud without machines or capacity. Its agents end with ctx, call over the
// network, and derive their random draws from the seed.
func NewCloud(ctx context.Context, network Network, seed uint64, invariants Invariants, types []protocol.MachineType) *Cloud {
	return &Cloud{
		Nodes:                 map[string]string{},
		MachineTypes:          types,
		RunFor:                func(string) time.Duration { return defaultRunTime },
		Capacity:              map[string]int{},
		FailingMachines:       map[string]bool{},
		FailingJobs:           map[string]bool{},
		UnreachableForReplies: map[string]bool{},
		Results:               map[string]int{},

		ctx:                      ctx,
		net:                      network,
		seed:                     seed,
		rng:                      rand.New(rand.NewPCG(seed, cloudStream)),
		invariants:               invariants,
		machinesByIdempotencyKey: map[string][]string{},
		agents:                   map[string]*agent{},
		jobSpecs:                 map[string]*protocol.JobSpec{},
		cancelledAt:              map[string]time.Time{},
		running:                  newRunningUsage(),
		recordedHeartbeats:       map[string][]byte{},
	}
}

// client returns the HTTP client of an agent.
func (c *Cloud) client(machine string) *http.Client {
	if c.Transport != nil {
		return &http.Client{Transport: c.Transport(machine)}
	}
	return &http.Client{Transport: &http.Transport{DialContext: c.net.Dialer(machine)}}
}

// WithLock runs f while it holds the lock that agents and API calls take for all changes.
func (c *Cloud) WithLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// RegisterJob makes a job known to the agents, which refuse the tasks of unknown jobs. It stands
// for the upload by the job's user.
func (c *Cloud) RegisterJob(spec *protocol.JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobSpecs[spec.UID] = spec
}

// Machines returns the ids of the machines that boot or run, sorted.
func (c *Cloud) Machines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineIDs()
}

// machineIDs is Machines for a caller that holds c.mu.
func (c *Cloud) machineIDs() []string {
	var ids []string
	for id := range c.agents {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ZoneOf returns a machine's zone, empty if there is no such machine.
func (c *Cloud) ZoneOf(machine string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.agents[machine]; a != nil {
		return a.zone
	}
	return ""
}

// ActiveTasks returns the number of tasks of a job that are on machines and have not ended.
func (c *Cloud) ActiveTasks(job string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.agents {
		for _, t := range a.tasks {
			if strings.HasPrefix(t.name, job+"/") && t.status != protocol.TaskEnded {
				count++
			}
		}
	}
	return count
}

// RunningTasks returns the number of tasks that run.
func (c *Cloud) RunningTasks() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tasks := range c.running.tasksByJob {
		count += tasks
	}
	return count
}

// MachineOf returns the machine with the lowest id that runs a task of a job, empty if none does.
func (c *Cloud) MachineOf(job string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.machineIDs() {
		for _, t := range c.agents[id].tasks {
			if strings.HasPrefix(t.name, job+"/") && t.status == protocol.TaskRunning {
				return id
			}
		}
	}
	return ""
}

// startMachine starts a machine and its agent. The caller holds c.mu.
func (c *Cloud) startMachine(request protocol.ScaleOutRequest) (id string) {
	c.lastMachineNumber++
	id = fmt.Sprintf("i-%06d", c.lastMachineNumber)
	var machineType protocol.MachineType
	for _, t := range c.MachineTypes {
		if t.Name == request.MachineType {
			machineType = t
		}
	}
	boot := c.bootTime(machineType, id)
	ctx, stop := context.WithCancel(c.ctx)
	a := &agent{
		cloud:        c,
		id:           id,
		machineType:  machineType,
		zone:         request.Zone,
		spot:         request.Spot,
		startedAt:    time.Now(),
		readyAt:      time.Now().Add(boot),
		epoch:        1,
		tasks:        map[string]*agentTask{},
		started:      map[attemptKey]bool{},
		images:       map[string]bool{},
		stop:         stop,
		heartbeatNow: make(chan struct{}, 1),
		rng:          rand.New(rand.NewPCG(c.seed, agentStreams+c.lastMachineNumber)),
	}
	c.agents[id] = a
	go a.run(ctx, boot)
	return id
}

// bootTime draws how long a machine boots: 0.6 to 1.5 times the boot time of its type.
func (c *Cloud) bootTime(machineType protocol.MachineType, id string) time.Duration {
	boot := time.Duration(machineType.BootS * (0.6 + 0.9*c.rng.Float64()) * float64(time.Second))
	if c.NeverBoots != nil && c.NeverBoots(id) {
		return time.Hour
	}
	return boot
}

// removeMachine ends a machine and its tasks. The caller holds c.mu.
func (c *Cloud) removeMachine(a *agent) {
	a.terminate()
	delete(c.agents, a.id)
}
