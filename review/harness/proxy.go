package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// firstPort and lastPort bound the ports of a run. They lie below the usual range of outgoing connections.
const (
	firstPort = 20000
	lastPort  = 31000
)

// host is the loopback address of this run, so that runs beside each other do not meet.
var host = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250))

// ports are the ports of this run that are taken.
var ports = struct {
	sync.Mutex
	taken map[int]bool
}{taken: map[int]bool{}}

// newPort returns a port that this run does not use yet.
func newPort() int {
	ports.Lock()
	defer ports.Unlock()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !ports.taken[port] {
			ports.taken[port] = true
			return port
		}
	}
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	for {
		address := fmt.Sprintf("%s:%d", host, newPort())
		listener, err := listen(address)
		if err == nil {
			_ = listener.Close() // only its port is needed
			return address
		}
	}
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp4", address)
}

// linkMode is what a link does with packets.
type linkMode int

const (
	linkPass   linkMode = iota
	linkHold            // packets wait until the mode changes
	linkRefuse          // connections are reset
)

// link is a TCP proxy between two processes. It can be cut.
type link struct {
	address, target string

	mu      sync.Mutex
	mode    linkMode
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]struct{}
}

// newLink starts a proxy to a target.
func newLink(target string) *link {
	l := &link{target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	listener := mustListen()
	l.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l
}

// mustListen listens on a free address.
func mustListen() net.Listener {
	for {
		listener, err := listen(freeAddress())
		if err == nil {
			return listener
		}
	}
}

// await waits while the link holds packets. It reports false if the link refuses connections.
func (l *link) await() bool {
	for {
		l.mu.Lock()
		mode, changed := l.mode, l.changed
		l.mu.Unlock()
		switch mode {
		case linkRefuse:
			return false
		case linkPass:
			return true
		case linkHold:
			<-changed
		}
	}
}

func (l *link) track(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
}

func (l *link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *link) serve(client net.Conn) {
	l.track(client)
	defer l.untrack(client)
	defer func() { _ = client.Close() }() // its peer sees the end
	if !l.await() {
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(context.Background(), "tcp4", l.target)
	if err != nil {
		return
	}
	l.track(server)
	defer l.untrack(server)
	defer func() { _ = server.Close() }() // its peer sees the end
	done := make(chan struct{}, 2)
	go l.pump(server, client, done)
	go l.pump(client, server, done)
	<-done
}

// pump copies data from one connection to the other while the link passes packets.
func (l *link) pump(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !l.await() {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
