package controller_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/controller"
	"junipershelf/internal/emulator"
	"junipershelf/policy"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// smallFacts is the facts section in the settings of smallDeployment.
const smallFacts = `
[facts]
nodes = 3
zones = ["east", "west"]
clock_error_ms = 20.0
[[facts.teams]]
name = "red"
cpus = 8.0
cpus_max = 12.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "blue"
cpus = 8.0
cpus_max = 20.0
gpus = 0.0
gpus_max = 0.0
[facts.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
[facts.state]
rps = 500.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 20.0
list_lag_s = 2.0
[facts.resources]
cpu = 0.5
mem_mb = 125.0
max_sockets = 400
`

const (
	defaultControllers = 3
	// maxValueBytes is the maximum size of an encoded value; it equals value_kb in smallFacts.
	maxValueBytes = 8192
	// scenarioSeed is the seed of the cloud and its agents in each scenario.
	scenarioSeed = 1
)

// nodeNames returns the names of n controllers.
func nodeNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

// deployment is the settings of a simulated cluster and the configuration of its emulators.
type deployment struct {
	facts        string // the settings in TOML that are the same on all nodes, see smallFacts
	invariants   emulator.Invariants
	machineTypes []protocol.MachineType
	capacity     map[string]int
	controllers  int  // number of controllers; 0: defaultControllers
	limitStore   bool // the key-value store enforces the rates in the facts
	directAgents bool // agents call handlers directly; opening connections for thousands of them is slow

	// productionNodes are the nodes that run the production version when the scenario starts. Nodes of
	// that version use facts, and those of the new version newFacts, which may have settings that the
	// production version ignores. If newFacts is empty, all nodes run the new version and use facts.
	productionNodes []string
	newFacts        string
}

// smallDeployment has at most eight machines; most tests use it.
var smallDeployment = deployment{
	facts: smallFacts,
	invariants: emulator.Invariants{
		LeaseDuration: 10 * time.Second, HeartbeatInterval: 1500 * time.Millisecond, CancellationDeadline: 30 * time.Second,
		TeamCPULimits: map[string]float64{"red": 12, "blue": 20},
	},
	machineTypes: []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 70, PullGBPerS: 0.5, Price: 0.3, SpotPrice: 0.1, BootS: 5, Zones: []string{"east", "west"}}},
	capacity:     map[string]int{"quad": 8},
}

// simulatedCluster is a cluster of real controllers on emulators of the key-value store, the cloud,
// the agents and the network; see TESTING.md. runScenario creates it in a synctest bubble, where all
// time is simulated.
type simulatedCluster struct {
	t          *testing.T
	ctx        context.Context
	net        *emulator.MemoryNetwork
	store      *emulator.Store
	cloud      *emulator.Cloud
	log        *lockedBuffer
	deployment deployment
	nodes      []string

	mu        sync.Mutex
	stopNode  map[string]context.CancelFunc // by node
	nodeEnded map[string]chan struct{}      // by node; closed when its controller has stopped
	running   map[string]*emulator.Process  // by node; missing while the node is down

	mixed *mixedVersions // nil: no node ever runs the production version
}

// lockedBuffer is a buffer for the logs of concurrent controllers.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newSimulatedCluster starts the emulators and the controllers of a deployment.
func newSimulatedCluster(ctx context.Context, t *testing.T, seed uint64, setup deployment) *simulatedCluster {
	t.Helper()
	c := &simulatedCluster{
		t:          t,
		ctx:        ctx,
		net:        emulator.NewMemoryNetwork(),
		store:      emulator.NewStore(maxValueBytes),
		log:        &lockedBuffer{},
		deployment: setup,
		nodes:      nodeNames(cmp.Or(setup.controllers, defaultControllers)),
		stopNode:   map[string]context.CancelFunc{},
		nodeEnded:  map[string]chan struct{}{},
		running:    map[string]*emulator.Process{},
	}
	c.cloud = emulator.NewCloud(ctx, c.net, seed, setup.invariants, setup.machineTypes)
	maps.Copy(c.cloud.Capacity, setup.capacity)
	for _, n := range c.nodes {
		c.cloud.Nodes[n] = n + ":8080"
	}
	c.applySetup()
	if err := c.store.Serve(ctx, c.net, "state:2379"); err != nil {
		t.Fatal(err)
	}
	if err := c.cloud.Serve(ctx, "cloud:8443"); err != nil {
		t.Fatal(err)
	}
	for _, n := range c.nodes {
		c.startNode(ctx, n)
	}
	return c
}

// applySetup configures the emulators for the deployment.
func (c *simulatedCluster) applySetup() {
	c.t.Helper()
	if c.deployment.directAgents {
		c.cloud.Transport = func(host string) http.RoundTripper {
			return emulator.DirectTransport{Network: c.net, From: host, FindProcess: c.findProcess}
		}
	}
	if c.deployment.limitStore {
		limits := parseSettings(c.t, "n0", c.deployment.facts, c.nodes).Facts.Store
		c.store.LimitRates(limits.RPS, limits.WriteRPS)
	}
	if c.deployment.newFacts != "" {
		c.mixed = &mixedVersions{t: c.t, production: map[string]bool{}, translated: map[string]int{}}
		for _, n := range c.deployment.productionNodes {
			c.mixed.setProduction(n, true)
		}
		c.store.SetTranslation(c.mixed.translateStored)
	}
}

// parseSettings returns a node's settings. Addresses in the memory network contain host names, which
// are invalid in a settings file, so they are set after parsing.
func parseSettings(t *testing.T, node, facts string, nodes []string) *settings.Settings {
	t.Helper()
	text := fmt.Sprintf("node_name = %q\ndomain = \"east\"\nfront = \"10.0.0.1:8080\"\ninternal_addr = \"10.0.0.1:8081\"\n", node)
	for _, n := range nodes {
		if n != node {
			text += fmt.Sprintf("[[known]]\nnode_name = %q\ndomain = \"east\"\naddr = \"10.0.0.2:8081\"\n", n)
		}
	}
	s, err := settings.Parse([]byte(text + "[outside]\ncloud = \"10.0.0.9:8443\"\nstate = \"10.0.0.9:2379\"\n" + facts))
	if err != nil {
		t.Fatal(err)
	}
	s.APIAddr, s.InternalAddr, s.Services.CloudAddr, s.Services.StoreAddr = node+":8080", node+":8081", "cloud:8443", "state:2379"
	for i := range s.Peers {
		s.Peers[i].Addr = s.Peers[i].NodeName + ":8081"
	}
	return s
}

// startNode starts a node's controller, which runs until the node is stopped.
func (c *simulatedCluster) startNode(ctx context.Context, node string) {
	pol, err := policy.Load("")
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(ctx)
	log := slog.New(slog.NewTextHandler(c.log, &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", node)
	network := controller.Network{Listen: c.net.Listen, Dial: c.net.Dialer(node)}
	facts := c.deployment.facts
	if c.mixed != nil {
		network.Listen = c.mixed.listen(node, c.net.Listen)
		if !c.mixed.runsProduction(node) {
			facts = c.deployment.newFacts
		}
	}
	nodeController := controller.New(parseSettings(c.t, node, facts, c.nodes), pol, log, network)
	done := make(chan struct{})
	c.mu.Lock()
	c.stopNode[node], c.nodeEnded[node], c.running[node] = stop, done, &emulator.Process{Handler: nodeController.APIHandler()}
	c.mu.Unlock()
	go func() {
		defer close(done)
		if err := nodeController.Run(ctx); ctx.Err() == nil {
			c.t.Errorf("%s: controller stopped unexpectedly: %v", node, err)
		}
	}()
}

// findProcess returns a node's process, nil while it is down.
func (c *simulatedCluster) findProcess(node string) *emulator.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[node]
}

// crash stops a node's controller, closes its connections and starts it again after a downtime.
func (c *simulatedCluster) crash(node string, downtime time.Duration) {
	c.mu.Lock()
	stop, done := c.stopNode[node], c.nodeEnded[node]
	delete(c.running, node)
	c.mu.Unlock()
	stop()
	c.net.CloseConnections(node)
	<-done
	time.Sleep(downtime)
	c.startNode(c.ctx, node)
}

// runScenario runs a scenario on smallDeployment.
func runScenario(t *testing.T, scenario func(t *testing.T, cluster *simulatedCluster)) {
	t.Helper()
	runScenarioIn(t, smallDeployment, scenario)
}

// runScenarioIn runs a scenario on a deployment, in parallel with others and on its own simulated
// clock. At the end it unblocks the network and stops all controllers.
func runScenarioIn(t *testing.T, setup deployment, scenario func(t *testing.T, cluster *simulatedCluster)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		cluster := newSimulatedCluster(ctx, t, scenarioSeed, setup)
		scenario(t, cluster)
		stop()
		cluster.net.SetBlocked(nil)
		for _, n := range cluster.nodes {
			cluster.net.CloseConnections(n)
			<-cluster.nodeEnded[n]
		}
		time.Sleep(20 * time.Second)
	})
}
