package main

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// team is a team of the settings.
type team struct {
	name             string
	guarantee, limit float64
}

// params describe the deployment of a run.
type params struct {
	zones                            []string
	teams                            []team
	report, lease, cancel            time.Duration
	rps, writeRPS, valueKB, memoryMB float64
	txnOps                           int
	listLag, boot                    time.Duration
	flavors                          []protocol.MachineType
}

// muscat is the deployment of the brief's first operator.
func muscat() params {
	return params{
		zones:  []string{"ruwi-rack"},
		teams:  []team{{"ocr-crew", 40, 88}, {"routing", 80, 152}, {"hub-ops", 88, 264}},
		report: 2500 * time.Millisecond, lease: 16 * time.Second, cancel: 41 * time.Second,
		rps: 150, writeRPS: 40, valueKB: 8, txnOps: 32, memoryMB: 125,
		listLag: 6 * time.Second, boot: 2 * time.Second,
		flavors: []protocol.MachineType{{
			Name: "octa-box", CPUs: 8, MemGB: 64, CacheGB: 70, PullGBPerS: 0.5, Price: 0.63, SpotPrice: 0.2, BootS: 50, Zones: []string{"ruwi-rack"},
		}},
	}
}

// kosa is the deployment of the brief's second operator.
func kosa() params {
	zones := []string{"msasani", "kariakoo", "mbezi"}
	return params{
		zones: zones, teams: []team{{"triage-0", 24, 64}, {"triage-1", 24, 64}, {"triage-2", 24, 64}},
		report: 1500 * time.Millisecond, lease: 10 * time.Second, cancel: 30 * time.Second,
		rps: 250, writeRPS: 20, valueKB: 16, txnOps: 16, memoryMB: 125,
		listLag: 8 * time.Second, boot: 2 * time.Second,
		flavors: []protocol.MachineType{
			{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 40, PullGBPerS: 0.5, Price: 0.3, SpotPrice: 0.11, BootS: 15, Zones: zones},
			{Name: "octa", CPUs: 8, MemGB: 32, CacheGB: 40, PullGBPerS: 0.5, Price: 0.52, SpotPrice: 0.21, BootS: 25, Zones: zones},
		},
	}
}

// world is a deployment: controllers as processes, and stand-ins of all around them.
type world struct {
	params       params
	dir          string
	trouble      bool // false with TROUBLE=0
	logLevel     string
	record       *record
	rules        *rules
	store        *emulator.Store
	cloud        *cloud
	cloudAddress string
	nodes        []*node

	mu       sync.Mutex
	specs    map[string]*protocol.JobSpec
	jobs     map[string]*job
	cutZone  string
	large    int             // answers to workers that were too large
	largest  int             // answer to a worker, in bytes of JSON
	done     map[string]bool // finished tasks
	runTimes func(task string) time.Duration
}

func newWorld(p params, recordPath string) (*world, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "junipershelf-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		params: p, dir: dir, trouble: os.Getenv("TROUBLE") != "0", logLevel: "info", record: rec, store: emulator.NewStore(int(p.valueKB) << 10),
		specs: map[string]*protocol.JobSpec{}, jobs: map[string]*job{}, done: map[string]bool{},
		runTimes: func(string) time.Duration { return 5 * time.Second },
	}
	if level := os.Getenv("LOG_LEVEL"); level != "" {
		w.logLevel = level
	}
	w.store.LimitRates(p.rps, p.writeRPS)
	w.store.LowerLimits(int(p.valueKB)<<10, p.txnOps, p.writeRPS)
	w.rules = newRules(w)
	w.cloud, w.cloudAddress = newCloud(w)
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir) // a leftover does no harm
	}
}

func jobOf(task string) string {
	uid, _, _ := strings.Cut(task, "/")
	return uid
}

func (w *world) spec(uid string) *protocol.JobSpec {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.specs[uid]
}

func (w *world) flavor(name string) protocol.MachineType {
	for _, f := range w.params.flavors {
		if f.Name == name {
			return f
		}
	}
	return protocol.MachineType{}
}

func (w *world) finished(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[task] = true
}

func (w *world) isFinished(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[task]
}

func (w *world) runTime(task string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runTimes(task)
}

// finishedCount returns the number of tasks that have completed.
func (w *world) finishedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.done)
}

// setRunTimes makes each task run for a time between two bounds.
func (w *world) setRunTimes(least, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runTimes = func(string) time.Duration { return least + time.Duration(rand.Int64N(int64(most-least)+1)) }
}

// countAnswer counts an answer to a worker of a size in bytes of JSON.
func (w *world) countAnswer(size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.largest = max(w.largest, size)
	if size > bodyLimit {
		w.large++
	}
}

// largeAnswers returns the number of answers to workers that were larger than the limit, and the size of the largest.
func (w *world) largeAnswers() (count, largest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.large, w.largest
}

// isCut reports whether a machine in a zone cannot reach a controller.
func (w *world) isCut(zone string, node int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutZone != "" && (zone == w.cutZone) != (w.zoneOf(node) == w.cutZone)
}

// zoneOf returns the zone of a controller.
func (w *world) zoneOf(node int) string { return w.params.zones[node%len(w.params.zones)] }
