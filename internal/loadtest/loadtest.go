// Package loadtest runs a cluster on the loopback network: controllers as processes of their
// own, the emulators of the key-value store and the cloud, thousands of emulated worker
// agents, and users that submit jobs all the time. It kills controllers and cuts agents off,
// and checks what must hold over the whole run.
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

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// Config is what a run is made of.
type Config struct {
	Binary   string        // path of the controller's program
	Dir      string        // where settings and logs are written
	Machines int           // the most that the cloud has
	Duration time.Duration // in which users submit jobs
	MemMB    float64       // memory of each controller, in MiB
	// CloudKeepsTerminated is a fault of the emulated cloud that breaks a rule: machines run on
	// after their termination. It shows that the checks see it.
	CloudKeepsTerminated bool
	Out                  io.Writer // for the report
}

// Result is what a run showed.
type Result struct {
	Jobs       int      // that were accepted
	Ended      int      // of them
	Violations []string // what did not hold
}

// The load: enough jobs to keep the whole fleet at work.
const (
	taskSeconds        = 25.0
	taskSecondsSpread  = 0.2 // a task takes up to this part more or less
	tasksPerJob        = 150
	cancelEvery        = 20  // one job of this many is cancelled
	burstShare         = 0.2 // of the jobs, submitted at once at the beginning
	minCancelDelayS    = 2.0
	cancelDelaySpreadS = 20.0
	// drainTimeout is how long jobs may take to end after the last one was submitted.
	drainTimeout = 180 * time.Second
	// cancelGrace is the time that the last cancelled jobs have to disappear.
	cancelGrace = time.Second
)

// cluster is what runs during a test.
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

// Run runs a cluster for the configured time and until its jobs have ended, and returns what
// it showed. It ends earlier, with an error, if something cannot be started.
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

// newCluster starts the emulators and prepares the controllers, which are not started yet.
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
	rules := emulator.Invariants{
		LeaseDuration:        settings.Seconds(leaseS),
		HeartbeatInterval:    settings.Seconds(heartbeatIntervalS),
		CancellationDeadline: settings.Seconds(cancelWithinS),
		TeamCPULimits:        map[string]float64{},
	}
	for _, team := range teams {
		rules.TeamCPULimits[team] = c.teamLimit()
	}
	c.cloud = emulator.NewCloud(ctx, c.network, cloudSeed, rules, []protocol.MachineType{machineType})
	c.cloud.Capacity[machineType.Name] = c.Machines
	c.cloud.IgnoreTermination = c.CloudKeepsTerminated
	c.cloud.RunFor = runTime
	for i, addr := range apiAddrs() {
		c.cloud.Nodes[nodeName(i)] = addr
	}
	return c.cloud.Serve(ctx, cloudAddr)
}

// runTime returns how long a task runs, which is not quite what its user expects. The same
// task always runs as long.
func runTime(task string) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(task)) // never returns an error
	const steps = 1000
	position := float64(hash.Sum32()%steps) / steps // from 0 to 1
	return settings.Seconds(taskSeconds * (1 - taskSecondsSpread + 2*taskSecondsSpread*position))
}

// submitJobs starts to submit jobs, a burst at first and the others evenly over the run.
// The returned group ends when all jobs have.
func (c *cluster) submitJobs(ctx context.Context) *sync.WaitGroup {
	var jobs sync.WaitGroup
	jobsPerS := float64(c.Machines*slotsPerMachine) / taskSeconds / tasksPerJob
	total := int(jobsPerS * c.Duration.Seconds())
	interval := settings.Seconds((1 - burstShare) / jobsPerS)
	jobs.Go(func() {
		for i := range total {
			cancelAfter := cancelDelay(i)
			jobs.Go(func() { c.users.runJob(ctx, newSubmission(i), cancelAfter) })
			if i > int(float64(total)*burstShare) && !sleep(ctx, interval) {
				return
			}
		}
	})
	return &jobs
}

// cancelDelay returns how long after its acceptance a job is cancelled; 0: it is not.
func cancelDelay(job int) time.Duration {
	if job%cancelEvery != cancelEvery-1 {
		return 0
	}
	return settings.Seconds(minCancelDelayS + cancelDelaySpreadS*rand.Float64())
}

// awaitJobs waits until all jobs have ended, but no longer than they may take.
func (c *cluster) awaitJobs(jobs *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		jobs.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(drainTimeout):
		c.printf("jobs are left after %v", drainTimeout)
	}
	time.Sleep(cancelGrace)
}

// result returns what the run showed.
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
		result.Violations = append(result.Violations, fmt.Sprintf("%d values over the limit", c.store.OversizedValues))
	}
	if left := result.Jobs - result.Ended; left > 0 {
		result.Violations = append(result.Violations, fmt.Sprintf("%d of %d jobs are not over", left, result.Jobs))
	}
	return result
}

// reportLatencies prints what users observed.
func (c *cluster) reportLatencies() {
	c.users.mu.Lock()
	defer c.users.mu.Unlock()
	c.printLatency("submission", c.users.submitMS)
	c.printLatency("job", c.users.jobMS)
	c.printf("%d calls of users had no answer or 503", c.users.unanswered)
}

func (c *cluster) printLatency(name string, h *hdrhistogram.Histogram) {
	c.printf("%s, ms: median %d, 99th percentile %d, largest %d of %d",
		name, h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max(), h.TotalCount())
}

// printf prints a line of the report, with the time since the start.
func (c *cluster) printf(format string, arguments ...any) {
	c.report.Printf("%4.0f s  %s", time.Since(c.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// stopControllers kills the controllers and prints what they used.
func (c *cluster) stopControllers() error {
	var failed error
	for _, p := range c.controllers {
		failed = errors.Join(failed, p.kill())
		c.printf("%s: %.1f s of processor time, log in %s", p.name, p.usage().CPU.Seconds(), p.logFile())
		failed = errors.Join(failed, p.log.Close())
	}
	return failed
}
