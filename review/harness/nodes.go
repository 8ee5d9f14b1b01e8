package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const nodeCount = 3

// node is a controller process with the links that it uses.
type node struct {
	name            string
	front, internal string
	config, log     string
	store           *storeDoor
	cloud           *link
	agents          *link         // from the agents to this node
	peers           map[int]*link // from this node to the internal address of another one

	probe   healthProbe
	command *exec.Cmd
	ended   chan struct{}
}

// startNodes writes the settings of all controllers and starts them.
func (w *world) startNodes() error {
	for i := range nodeCount {
		w.nodes = append(w.nodes, &node{
			name: fmt.Sprintf("shelfhost-%d", i), front: freeAddress(), internal: freeAddress(),
			store: newStoreDoor(w.store.Handler()), cloud: newLink(w.cloudAddress), peers: map[int]*link{},
		})
	}
	for i, n := range w.nodes {
		n.agents = newLink(n.front)
		for j, other := range w.nodes {
			if i != j {
				n.peers[j] = newLink(other.internal)
			}
		}
		n.config = filepath.Join(w.dir, n.name+".toml")
		n.log = filepath.Join(w.dir, n.name+".log")
		if err := os.WriteFile(n.config, []byte(w.settingsOf(i)), 0o600); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return err
		}
	}
	if err := w.awaitHealthy(20 * time.Second); err != nil {
		return err
	}
	for _, n := range w.nodes {
		n.probe.up = true
		go w.probeNode(n)
	}
	return nil
}

// start starts a controller with the command of the deploy file.
func (w *world) start(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), "target/junipershelf", "--config", n.config)
	command.Env = append(os.Environ(), "LOG_LEVEL="+w.logLevel)
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = command, ended
	go func() {
		err := command.Wait()
		_ = log.Close() // the process has ended
		w.record.add("process %s (pid %d) has ended: %v", n.name, command.Process.Pid, err)
		close(ended)
	}()
	w.record.add("process %s started, pid %d", n.name, command.Process.Pid)
	return nil
}

// signal sends a signal to a controller.
func (w *world) signal(n *node, signal syscall.Signal) {
	w.record.add("signal %v to %s", signal, n.name)
	_ = n.command.Process.Signal(signal) // it may have ended
}

// kill ends a controller without notice.
func (w *world) kill(n *node) {
	w.signal(n, syscall.SIGKILL)
	<-n.ended
}

// stopAll ends all controllers.
func (w *world) stopAll() {
	for _, n := range w.nodes {
		if n.command != nil {
			w.kill(n)
		}
	}
}

// awaitHealthy waits until all controllers answer health checks with 200.
func (w *world) awaitHealthy(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range w.nodes {
		for {
			answer, err := w.call("GET", n.front, "/healthz", nil, time.Second)
			if err == nil && answer.code == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become healthy", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// settingsOf returns the settings file of a controller.
func (w *world) settingsOf(i int) string {
	var b strings.Builder
	n := w.nodes[i]
	p := w.params
	fmt.Fprintf(&b, "node_name = %q\ndomain = %q\nfront = %q\ninternal_addr = %q\n", n.name, w.zoneOf(i), n.front, n.internal)
	for j, other := range w.nodes {
		if i != j {
			fmt.Fprintf(&b, "\n[[known]]\nnode_name = %q\ndomain = %q\naddr = %q\n", other.name, w.zoneOf(j), n.peers[j].address)
		}
	}
	fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n", n.cloud.address, n.store.address)
	fmt.Fprintf(&b, "\n[facts]\nnodes = %d\nzones = [%s]\nclock_error_ms = 25.0\n", nodeCount, quoted(p.zones))
	for _, t := range p.teams {
		fmt.Fprintf(&b, "\n[[facts.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.guarantee, t.limit)
	}
	fmt.Fprintf(&b, "\n[facts.workers]\nreport_s = %.2f\nlease_s = %.2f\ngang_wait_s = 50.0\ngang_peer_s = 4.0\ncancel_s = %.2f\n",
		p.report.Seconds(), p.lease.Seconds(), p.cancel.Seconds())
	fmt.Fprintf(&b, "\n[facts.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", p.rps, p.writeRPS, p.valueKB, p.txnOps)
	fmt.Fprintf(&b, "\n[facts.cloud]\nrps = 6.0\nlist_lag_s = %.1f\n", p.listLag.Seconds())
	fmt.Fprintf(&b, "\n[facts.resources]\ncpu = 0.3\nmem_mb = %.1f\nmax_sockets = 1800\n", p.memoryMB)
	return b.String()
}

func quoted(names []string) string {
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprintf("%q", name))
	}
	return strings.Join(out, ", ")
}
