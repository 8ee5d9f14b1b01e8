package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// site is a deployment: the settings of its controllers and what its cloud offers.
type site struct {
	timing   timing
	zones    []string
	teams    []settings.Team
	store    settings.StoreLimits
	cloudRPS float64
	listLagS float64
	limits   settings.Resources
	flavors  []protocol.MachineType
	capacity map[offer]int
	boot     time.Duration
	runFor   func(task string) time.Duration
}

// controllerCount is the number of controllers of a site.
const controllerCount = 3

// program is the program that the build line of the deploy file makes, and its run line starts.
const program = "target/junipershelf"

// deployment is a running site.
type deployment struct {
	ctx      context.Context
	record   *recorder
	dir      string
	nodes    []node
	files    []string
	logs     []string
	commands []*exec.Cmd
	store    *emulator.Store
	links    map[string][]*proxy // to the store and between controllers, by the controllers at their ends
	platform *platform
	users    *users
	trouble  bool // the case brings about its trouble
}

// The ports for the controllers and the store are below those that outgoing connections usually get, so
// that none is taken before its listener starts.
const (
	firstPort    = 20000
	portCount    = 10000
	portAttempts = 100
)

// freeAddr returns a loopback address that is free now.
func freeAddr(ctx context.Context) (addr string, err error) {
	for range portAttempts {
		var config net.ListenConfig
		var listener net.Listener
		listener, err = config.Listen(ctx, "tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

// deploy starts the stand-ins and the controllers of a site.
func deploy(ctx context.Context, record *recorder, s site) (*deployment, error) {
	dir, err := os.MkdirTemp("", "junipershelf-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{ctx: ctx, record: record, dir: dir, links: map[string][]*proxy{}, users: newUsers(record)}
	storeAddr, err := freeAddr(ctx)
	if err != nil {
		return d, err
	}
	d.store = emulator.NewStore(int(s.store.ValueKB * 1024))
	d.store.LimitRates(s.store.RPS, s.store.WriteRPS)
	if err := d.store.Serve(ctx, emulator.NewLoopbackNetwork(), storeAddr); err != nil {
		return d, err
	}
	d.platform = newPlatform(ctx, record, s)
	cloudAddr, err := d.platform.serve()
	if err != nil {
		return d, err
	}
	if err := d.writeSettings(&s, storeAddr, cloudAddr); err != nil {
		return d, err
	}
	d.platform.nodes = d.nodes
	for i := range d.nodes {
		if err := d.start(i); err != nil {
			return d, err
		}
	}
	return d, d.awaitHealthy()
}

// link returns a proxy to a target for the given controllers at its ends.
func (d *deployment) link(target string, ends ...string) (string, error) {
	p, err := newProxy(d.ctx, target)
	if err != nil {
		return "", err
	}
	for _, end := range ends {
		d.links[end] = append(d.links[end], p)
	}
	return p.addr(), nil
}

// writeSettings writes the controllers' settings files.
func (d *deployment) writeSettings(s *site, storeAddr, cloudAddr string) error {
	var internal []string
	for i := range controllerCount {
		front, err := freeAddr(d.ctx)
		if err != nil {
			return err
		}
		own, err := freeAddr(d.ctx)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, node{name: fmt.Sprintf("shelfhost-%d", i), addr: front})
		internal = append(internal, own)
	}
	for i := range d.nodes {
		text, err := d.settingsOf(i, s, internal, storeAddr, cloudAddr)
		if err != nil {
			return err
		}
		file := filepath.Join(d.dir, d.nodes[i].name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		d.files = append(d.files, file)
		d.logs = append(d.logs, filepath.Join(d.dir, d.nodes[i].name+".log"))
	}
	return nil
}

// settingsOf returns the text of a controller's settings file.
func (d *deployment) settingsOf(i int, s *site, internal []string, storeAddr, cloudAddr string) (string, error) {
	name := d.nodes[i].name
	var b strings.Builder
	zone := func(i int) string { return s.zones[i%len(s.zones)] }
	fmt.Fprintf(&b, "node_name = %q\ndomain = %q\nfront = %q\ninternal_addr = %q\n", name, zone(i), d.nodes[i].addr, internal[i])
	for j := range d.nodes {
		if j == i {
			continue
		}
		addr, err := d.link(internal[j], name, d.nodes[j].name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "[[known]]\nnode_name = %q\ndomain = %q\naddr = %q\n", d.nodes[j].name, zone(j), addr)
	}
	state, err := d.link(storeAddr, name)
	if err != nil {
		return "", err
	}
	fmt.Fprintf(&b, "[outside]\ncloud = %q\nstate = %q\n", cloudAddr, state)
	fmt.Fprintf(&b, "[facts]\nnodes = %d\nzones = [\"%s\"]\nclock_error_ms = 25.0\n", controllerCount, strings.Join(s.zones, `", "`))
	for _, t := range s.teams {
		fmt.Fprintf(&b, "[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.Name, t.CPUGuarantee, t.CPULimit)
	}
	fmt.Fprintf(&b, "[facts.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n",
		s.timing.report.Seconds(), s.timing.lease.Seconds(), s.timing.cancel.Seconds())
	fmt.Fprintf(&b, "[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		s.store.RPS, s.store.WriteRPS, s.store.ValueKB, s.store.TransactionChanges)
	fmt.Fprintf(&b, "[facts.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
	fmt.Fprintf(&b, "[facts.resources]\ncpu = %.2f\nmem_mb = %.1f\nmax_sockets = %d\n", s.limits.CPU, s.limits.MemMB, s.limits.MaxSockets)
	return b.String(), nil
}

// start starts a controller with the run line of the deploy file.
func (d *deployment) start(i int) error {
	log, err := os.Create(d.logs[i])
	if err != nil {
		return err
	}
	command := exec.CommandContext(d.ctx, program, "--config", d.files[i])
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	d.record.printf("%s is started", d.nodes[i].name)
	d.commands = append(d.commands, command)
	return log.Close() // the child has its own copy
}

// stop ends the controllers and removes the folder.
func (d *deployment) stop() {
	for _, command := range d.commands {
		_ = command.Process.Kill() // it may have ended
		_ = command.Wait()         // killed
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir) // a temporary folder
	}
}

const (
	startTimeout = 15 * time.Second
	stepInterval = 50 * time.Millisecond
)

var (
	errNotHealthy = errors.New("the controllers are not healthy in time")
	errTooLate    = errors.New("the state that the case needs was not reached in time")
)

// await waits until a condition holds.
func (d *deployment) await(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && d.ctx.Err() == nil; sleep(d.ctx, stepInterval) {
		if holds() {
			return true
		}
	}
	return false
}

// awaitHealthy waits until all controllers are healthy and share the work.
func (d *deployment) awaitHealthy() error {
	healthy := func() bool {
		for i, n := range d.nodes {
			code, _ := d.users.call(d.ctx, http.MethodGet, n.addr, "/healthz", nil, time.Second)
			if code != http.StatusOK || !strings.Contains(d.lastView(i), fmt.Sprintf("members=%q", d.allNames())) {
				return false
			}
		}
		return true
	}
	if !d.await(startTimeout, healthy) {
		return errNotHealthy
	}
	d.record.printf("all controllers are healthy; the leader is %s", d.nodes[d.leader()].name)
	return nil
}

// allNames returns the names of all controllers, the leader's first, as the log of the first one lists
// them, or an empty text before it has a view of all.
func (d *deployment) allNames() string {
	_, members, _ := strings.Cut(d.lastView(0), `members="`)
	members, _, _ = strings.Cut(members, `"`)
	if len(strings.Fields(members)) != controllerCount {
		return ""
	}
	return members
}

// lastView returns the last line of a controller's log that names a view. It only chooses the
// controller that meets the trouble; no verdict rests on it.
func (d *deployment) lastView(i int) string {
	text, err := os.ReadFile(d.logs[i])
	if err != nil {
		return ""
	}
	last := ""
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `msg="view changed"`) {
			last = line
		}
	}
	return last
}

// leader returns the index of the controller that leads.
func (d *deployment) leader() int {
	first, _, _ := strings.Cut(d.allNames(), " ")
	for i, n := range d.nodes {
		if n.name == first {
			return i
		}
	}
	return 0
}
