package main

import (
	"net/http"
	"sync"
	"time"
)

// healthProbe is the load balancer's view of a node.
type healthProbe struct {
	mu        sync.Mutex
	up        bool
	successes int
	failures  int
}

// healthy reports whether the load balancer sends connections to a node.
func (n *node) healthy() bool {
	n.probe.mu.Lock()
	defer n.probe.mu.Unlock()
	return n.probe.up
}

// observe records the status of a probe: two failures in a row remove a node, two successes bring it back.
func (p *healthProbe) observe(code int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if code == http.StatusOK {
		p.successes, p.failures = p.successes+1, 0
	} else {
		p.successes, p.failures = 0, p.failures+1
	}
	if p.successes >= 2 {
		p.up = true
	}
	if p.failures >= 2 {
		p.up = false
	}
}

// probeNode probes a node once a second.
func (w *world) probeNode(n *node) {
	for {
		answer, _ := w.call(http.MethodGet, n.front, "/healthz", nil, time.Second) // no answer has the status 0
		n.probe.observe(answer.code)
		time.Sleep(time.Second)
	}
}
