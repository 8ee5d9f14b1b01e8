package main

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	proxyDialTimeout = time.Second
	proxyBufferBytes = 32 << 10
)

// proxy carries one link between two processes. While it is held, its connections stay open and
// carry nothing, and new ones get no answer: a cut of the mode "hold". What was held back is
// delivered in order when the cut ends.
type proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	released chan struct{} // closed while the link is not held
}

// newProxy starts a proxy to a target on a free port; it ends with the context.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, released: make(chan struct{})}
	close(p.released)
	go p.accept(ctx)
	go func() {
		<-ctx.Done()
		_ = listener.Close() // the run is over
	}()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// hold begins a cut.
func (p *proxy) hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = make(chan struct{})
}

// awaitRelease waits until the link is not held. It reports false if the run is over first.
func (p *proxy) awaitRelease(ctx context.Context) bool {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	select {
	case <-released:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *proxy) accept(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn)
	}
}

// serve connects a connection to the target and copies both ways.
func (p *proxy) serve(ctx context.Context, client net.Conn) {
	if !p.awaitRelease(ctx) {
		_ = client.Close()
		return
	}
	dialer := net.Dialer{Timeout: proxyDialTimeout}
	server, err := dialer.DialContext(ctx, "tcp4", p.target)
	if err != nil {
		_ = client.Close() // the target is down
		return
	}
	go p.pass(ctx, client, server)
	p.pass(ctx, server, client)
}

// pass copies data until a side closes its connection. Then it closes both.
func (p *proxy) pass(ctx context.Context, from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !p.awaitRelease(ctx) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
