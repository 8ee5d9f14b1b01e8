// Package loadtest runs a fleet on the loopback network: controllers as processes of their
// own, the emulators of the key-value store and the cloud, and thousands of workers. It kills
// controllers, cuts workers off, and judges the rules over the whole run.
package loadtest

import (
	"context"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// Config is what is to be run.
type Config struct {
	Binary        string        // of the controller
	Dir           string        // for settings and logs
	Machines      int           // that the cloud has
	Duration      time.Duration // in which jobs are submitted
	MemMB         float64       // of a controller
	KeepsReturned bool          // a double: the cloud takes no machine back that is returned
	Out           io.Writer     // for what happens
}

// The deployment: the densest one that there is, with limits as they are there.
const (
	controllers    = 3
	slots          = 8 // of a machine
	taskSeconds    = 25.0
	tasksPerJob    = 150
	reportSeconds  = 5.0
	leaseSeconds   = 26.5
	cancelSeconds  = 51.5
	firstPort      = 21080
	valueKB        = 8
	stateRequests  = 300
	stateChanges   = 70
	transactionOps = 32
	sockets        = 3000
	cancelledPart  = 20 // of the jobs one in so many is cancelled
	drainSeconds   = 180
)

var teams = []string{"ocr", "routing", "hub"}

// Result is what a run showed.
type Result struct {
	Jobs, Over int
	Faults     []string
}

// fleet is a run.
type fleet struct {
	Config
	net       *emulator.Loopback
	store     *emulator.Store
	cloud     *emulator.Cloud
	users     *users
	processes []*process
	began     time.Time
}

// Run runs a fleet and judges it. It ends by itself.
func Run(ctx context.Context, cfg Config) (Result, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f, err := newFleet(ctx, cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.end()
	for _, p := range f.processes {
		if err := p.start(); err != nil {
			return Result{}, err
		}
	}
	go f.observe(ctx)
	jobs := f.submitAll(ctx)
	if err := f.troubles(); err != nil {
		return Result{}, err
	}
	return f.judge(jobs), nil
}

func newFleet(ctx context.Context, cfg Config) (*fleet, error) {
	f := &fleet{Config: cfg, net: emulator.NewLoopback(), store: emulator.NewStore(valueKB << 10), began: time.Now()}
	limits := map[string]float64{}
	for _, t := range teams {
		limits[t] = f.teamLimit()
	}
	rules := emulator.Rules{Lease: seconds(leaseSeconds), Report: seconds(reportSeconds), Cancel: seconds(cancelSeconds), Limits: limits}
	types := []protocol.MachineType{{Name: "octa", CPUs: slots, MemGB: 64, CacheGB: 70, PullGBPerS: 0.5, Price: 0.6, SpotPrice: 0.2, BootS: 10, Zones: []string{"a", "b", "c"}}}
	f.cloud = emulator.NewCloud(ctx, f.net, 1, rules, types)
	f.cloud.Room["octa"] = cfg.Machines
	f.cloud.KeepsReturned = cfg.KeepsReturned
	f.cloud.RunFor = runTime
	f.store.Limit(stateRequests, stateChanges)
	if err := f.store.Serve(ctx, f.net, address(0)); err != nil {
		return nil, err
	}
	if err := f.cloud.Serve(ctx, address(1)); err != nil {
		return nil, err
	}
	var nodes []string
	for i := range controllers {
		name := fmt.Sprintf("node-%d", i)
		p, err := newProcess(cfg.Dir, cfg.Binary, name, f.settings(i))
		if err != nil {
			return nil, err
		}
		f.processes = append(f.processes, p)
		f.cloud.Nodes[name] = address(apiPort(i))
		nodes = append(nodes, address(apiPort(i)))
	}
	f.users = newUsers(f.cloud, nodes)
	return f, nil
}

func address(offset int) string         { return fmt.Sprintf("127.0.0.1:%d", firstPort+offset) }
func apiPort(node int) int              { return 10 + 2*node }
func peerPort(node int) int             { return 11 + 2*node }
func seconds(s float64) time.Duration   { return time.Duration(s * float64(time.Second)) }
func (f *fleet) teamLimit() float64     { return float64(f.Machines*slots) / 2 }
func (f *fleet) teamGuarantee() float64 { return float64(f.Machines*slots) / 4 }

// runTime is how long a task runs: a fifth more or less than its owner says, by its name.
func runTime(task string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(task))
	const steps = 1000
	return seconds(taskSeconds * (0.8 + 0.4*float64(h.Sum32()%steps)/steps))
}

// settings are a controller's.
func (f *fleet) settings(node int) string {
	text := fmt.Sprintf("node_name = \"node-%d\"\ndomain = \"a\"\nfront = %q\ninternal_addr = %q\n", node, address(apiPort(node)), address(peerPort(node)))
	for i := range controllers {
		if i != node {
			text += fmt.Sprintf("[[known]]\nnode_name = \"node-%d\"\ndomain = \"a\"\naddr = %q\n", i, address(peerPort(i)))
		}
	}
	text += fmt.Sprintf("[outside]\ncloud = %q\nstate = %q\n", address(1), address(0))
	text += fmt.Sprintf("[facts]\nnodes = %d\nzones = [\"a\", \"b\", \"c\"]\nclock_error_ms = 25.0\n", controllers)
	for _, t := range teams {
		text += fmt.Sprintf("[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t, f.teamGuarantee(), f.teamLimit())
	}
	return text + fmt.Sprintf("[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n[facts.state]\nrps = %d.0\nwrite_rps = %d.0\nvalue_kb = %d.0\ntxn_ops = %d\n"+
		"[facts.cloud]\nrps = 15.0\nlist_lag_s = 6.0\n[facts.resources]\ncpu = 0.5\nmem_mb = %.1f\nmax_sockets = %d\n",
		reportSeconds, leaseSeconds, cancelSeconds, stateRequests, stateChanges, valueKB, transactionOps, f.MemMB, sockets)
}

// submitAll lets users submit enough jobs, evenly over the run, to keep the fleet full, a fifth
// of them at once at the beginning.
func (f *fleet) submitAll(ctx context.Context) (jobs *sync.WaitGroup) {
	jobs = &sync.WaitGroup{}
	perSecond := float64(f.Machines*slots) / taskSeconds / tasksPerJob
	total := int(perSecond * f.Duration.Seconds())
	jobs.Go(func() {
		for i := range total {
			spec := f.users.spec(i, tasksPerJob, teams[i%len(teams)], taskSeconds)
			cancel := time.Duration(0)
			if i%cancelledPart == cancelledPart-1 {
				cancel = seconds(2 + 20*rand.Float64())
			}
			jobs.Go(func() { f.users.run(ctx, spec, cancel) })
			if i > total/5 && !sleep(ctx, seconds(0.8/perSecond)) {
				return
			}
		}
	})
	return jobs
}

// troubles are played one after the other, each at its part of the run.
func (f *fleet) troubles() error {
	step := f.Duration / 6
	time.Sleep(2 * step)
	f.say("a controller is killed")
	if err := f.processes[0].restart(5 * time.Second); err != nil {
		return err
	}
	time.Sleep(step)
	f.say("a third of the workers is cut off")
	f.net.Cut(func(host string) bool { return crc32.ChecksumIEEE([]byte(host))%3 == 0 }) // of each owner's
	time.Sleep(seconds(leaseSeconds * 1.3))
	f.say("the cut heals")
	f.net.Cut(nil)
	time.Sleep(step)
	f.say("all controllers are killed; one returns first")
	var back sync.WaitGroup
	for i, p := range f.processes {
		back.Go(func() {
			if err := p.restart(time.Duration(1+2*i) * time.Second); err != nil {
				f.users.fault("%s does not start: %v", p.name, err)
			}
		})
	}
	back.Wait()
	return nil
}

func (f *fleet) say(format string, a ...any) {
	fmt.Fprintf(f.Out, "%4.0f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, a...))
}

// observeEvery is how often a run says how it stands.
const observeEvery = 10 * time.Second

// observe says how the fleet and the controllers stand.
func (f *fleet) observe(ctx context.Context) {
	before := make([]usage, controllers)
	for sleep(ctx, observeEvery) {
		text := fmt.Sprintf("machines %d, running %d", len(f.cloud.Machines()), f.cloud.Running())
		for i, p := range f.processes {
			u := p.usage()
			text += fmt.Sprintf(" | cpu %.2f rss %.0f peak %.0f threads %d sockets %d",
				(u.CPU-before[i].CPU).Seconds()/observeEvery.Seconds(), u.RSSMB, u.PeakMB, u.Threads, u.Sockets)
			before[i] = u
		}
		f.say("%s", text)
	}
}

// judge waits for the jobs to be over and tells which rules were broken.
func (f *fleet) judge(jobs *sync.WaitGroup) (r Result) {
	over := make(chan struct{})
	go func() { jobs.Wait(); close(over) }()
	select {
	case <-over:
	case <-time.After(drainSeconds * time.Second):
		f.say("jobs are left after %d s", drainSeconds)
	}
	// Cancelled jobs have their time.
	time.Sleep(time.Second)
	f.users.mu.Lock()
	defer f.users.mu.Unlock()
	r.Over, r.Faults = f.users.over, append(r.Faults, f.users.faults...)
	r.Jobs = int(f.users.submit.TotalCount())
	f.cloud.Lock(func() { r.Faults = append(r.Faults, f.cloud.Faults...) })
	if f.store.Oversized > 0 {
		r.Faults = append(r.Faults, fmt.Sprintf("%d values over the limit", f.store.Oversized))
	}
	if r.Over < r.Jobs {
		r.Faults = append(r.Faults, fmt.Sprintf("%d of %d jobs are not over", r.Jobs-r.Over, r.Jobs))
	}
	for name, h := range map[string]*hdrhistogram.Histogram{"submission": f.users.submit, "job": f.users.done} {
		f.say("%s, ms: median %d, 99th percentile %d, largest %d of %d", name, h.ValueAtPercentile(50), h.ValueAtPercentile(99), h.Max(), h.TotalCount())
	}
	f.say("%d calls of users had no answer or 503", f.users.unanswered)
	return r
}

// end ends the controllers.
func (f *fleet) end() {
	for _, p := range f.processes {
		p.kill()
		f.say("%s: %.1f s of processor time, log in %s", p.name, p.usage().CPU.Seconds(), p.logFile())
		if err := p.log.Close(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}
