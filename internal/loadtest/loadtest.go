// Package loadtest runs a cluster on the loopback network: controllers as child processes, the
// emulators of the key-value store and the cloud, thousands of emulated worker agents, and users
// that keep submitting jobs. It kills controllers, disconnects agents, and checks the service's
// invariants during the whole run.
package loadtest

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junipershelf/internal/ctxtime"
	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// Config configures a run.
type Config struct {
	Binary   string        // path of the controller's executable
	Dir      string        // directory for settings and logs
	Machines int           // capacity of the cloud
	Duration time.Duration // how long users submit jobs
	MemMB    float64       // memory of each controller, in MiB
	// CloudKeepsTerminated keeps terminated machines running, a fault of the emulated cloud that
	// breaks an invariant. It shows that the checks detect the violation.
	CloudKeepsTerminated bool
	Out                  io.Writer // receives the report
}

// Result is the outcome of a run.
type Result struct {
	Jobs       int      // accepted jobs
	Ended      int      // accepted jobs that have ended
	Violations []string // of the invariants
}

// The load, which suffices to keep the whole fleet busy.
const (
	taskSeconds        = 25.0
	taskSecondsSpread  = 0.2 // a task's run time differs from taskSeconds by up to this fraction
	tasksPerJob        = 150
	cancelEvery        = 20  // one of this many jobs is cancelled
	burstShare         = 0.2 // fraction of the jobs that are submitted at once at the start
	minCancelDelayS    = 2.0
	cancelDelaySpreadS = 20.0
	// drainTimeout is how long jobs may take to end after the last fault.
	drainTimeout = 180 * time.Second
	// cancelGrace is the time that the tasks of the last cancelled jobs have to end.
	cancelGrace = time.Second
)

// cluster holds the components of a run.
type cluster struct {
	Config
	network     *emulator.LoopbackNetwork
	store       *emulator.Store
	cloud       *emulator.Cloud
	users       *users
	controllers []*process
	started     time.Time
	report      *log.Logger
}

// Run runs a cluster for the configured duration and until its jobs have ended, and returns the
// outcome. It ends early with an error if a component cannot be started.
func Run(ctx context.Context, config Config) (result Result, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c, err := newCluster(ctx, config)
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, c.stopControllers()) }()
	for _, p := range c.controllers {
		if err := p.start(ctx); err != nil {
			return Result{}, err
		}
	}
	go c.reportUsage(ctx)
	jobs := c.submitJobs(ctx)
	if err := c.injectFaults(ctx); err != nil {
		return Result{}, err
	}
	c.awaitJobs(jobs)
	c.reportLatencies()
	return c.result(), nil
}

// newCluster starts the emulators and prepares the controllers without starting them.
func newCluster(ctx context.Context, config Config) (*cluster, error) {
	c := &cluster{
		Config:  config,
		network: emulator.NewLoopbackNetwork(),
		store:   emulator.NewStore(valueKB << 10),
		started: time.Now(),
		report:  log.New(config.Out, "", 0),
	}
	if err := c.startStore(ctx); err != nil {
		return nil, err
	}
	if err := c.startCloud(ctx); err != nil {
		return nil, err
	}
	for i := range controllerCount {
		p, err := newProcess(config.Dir, config.Binary, nodeName(i), c.settings(i))
		if err != nil {
			return nil, err
		}
		c.controllers = append(c.controllers, p)
	}
	c.users = newUsers(c.cloud, apiAddrs())
	return c, nil
}

func (c *cluster) startStore(ctx context.Context) error {
	c.store.LimitRates(storeRequestsPerS, storeChangesPerS)
	return c.store.Serve(ctx, c.network, storeAddr)
}

func (c *cluster) startCloud(ctx context.Context) error {
	invariants := emulator.Invariants{
		LeaseDuration:        settings.Seconds(leaseS),
		HeartbeatInterval:    settings.Seconds(heartbeatIntervalS),
		CancellationDeadline: settings.Seconds(cancelWithinS),
		TeamCPULimits:        map[string]float64{},
	}
	for _, team := range teams {
		invariants.TeamCPULimits[team] = c.teamLimit()
	}
	c.cloud = emulator.NewCloud(ctx, c.network, cloudSeed, invariants, []protocol.MachineType{machineType})
	c.cloud.Capacity[machineType.Name] = c.Machines
	c.cloud.IgnoreTermination = c.CloudKeepsTerminated
	c.cloud.RunFor = runTime
	for i, addr := range apiAddrs() {
		c.cloud.Nodes[nodeName(i)] = addr
	}
	return c.cloud.Serve(ctx, cloudAddr)
}

// runTime returns how long a task runs, which differs from the expected time that its user
// stated. It is the same whenever a task is run again.
func runTime(task string) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(task)) // never fails
	const steps = 1000
	position := float64(hash.Sum32()%steps) / steps // in [0, 1)
	return settings.Seconds(taskSeconds * (1 - taskSecondsSpread + 2*taskSecondsSpread*position))
}

// submitJobs starts to submit jobs, first a burst, then the others evenly over the run. The
// returned group is done when all jobs have ended.
func (c *cluster) submitJobs(ctx context.Context) *sync.WaitGroup {
	var jobs sync.WaitGroup
	jobsPerS := float64(c.Machines*slotsPerMachine) / taskSeconds / tasksPerJob
	total := int(jobsPerS * c.Duration.Seconds())
	interval := settings.Seconds((1 - burstShare) / jobsPerS)
	jobs.Go(func() {
		for i := range total {
			cancelAfter := cancelDelay(i)
			jobs.Go(func() { c.users.runJob(ctx, newSubmission(i), cancelAfter) })
			if i > int(float64(total)*burstShare) && !ctxtime.Sleep(ctx, interval) {
				return
			}
		}
	})
	return &jobs
}

// cancelDelay returns how long after its acceptance a job is cancelled, 0 if it is not.
func cancelDelay(job int) time.Duration {
	if job%cancelEvery != cancelEvery-1 {
		return 0
	}
	return settings.Seconds(minCancelDelayS + cancelDelaySpreadS*rand.Float64())
}

// awaitJobs waits until all jobs have ended, for up to drainTimeout.
func (c *cluster) awaitJobs(jobs *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		jobs.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(drainTimeout):
		c.printf("some jobs have not ended within %v", drainTimeout)
	}
	time.Sleep(cancelGrace)
}

// result returns the outcome of the run.
func (c *cluster) result() Result {
	c.users.mu.Lock()
	defer c.users.mu.Unlock()
	result := Result{
		Jobs:       int(c.users.submitMS.TotalCount()),
		Ended:      c.users.ended,
		Violations: append([]string(nil), c.users.violations...),
	}
	c.cloud.WithLock(func() {
		for _, violation := range c.cloud.Violations {
			result.Violations = append(result.Violations, violation.String())
		}
	})
	if c.store.OversizedValues > 0 {
		result.Violations = append(result.Violations, fmt.Sprintf("%d values in the store exceeded %d KB", c.store.OversizedValues, valueKB))
	}
	if left := result.Jobs - result.Ended; left > 0 {
		result.Violations = append(result.Violations, fmt.Sprintf("%d of %d jobs have not ended", left, result.Jobs))
	}
	return result
}

// reportLatencies prints the latencies and failures that users observed.
func (c *cluster) reportLatencies() {
	c.users.mu.Lock()
	defer c.users.mu.Unlock()
	c.printLatency("submission", c.users.submitMS)
	c.printLatency("job", c.users.jobMS)
	c.printf("%d user calls had no reply or a 503", c.users.unanswered)
}

func (c *cluster) printLatency(name string, h *hdrhistogram.Histogram) {
	c.printf("%s latency, ms: median %d, 99th percentile %d, maximum %d of %d samples",
		name, h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max(), h.TotalCount())
}

// printf prints a line of the report, prefixed with the time since the start.
func (c *cluster) printf(format string, arguments ...any) {
	c.report.Printf("%4.0f s  %s", time.Since(c.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// stopControllers kills the controllers and prints the processor time that they used.
func (c *cluster) stopControllers() error {
	var errs error
	for _, p := range c.controllers {
		errs = errors.Join(errs, p.kill())
		c.printf("%s: %.1f s of processor time, log in %s", p.name, p.usage().CPU.Seconds(), p.logFile())
		errs = errors.Join(errs, p.log.Close())
	}
	return errs
}
