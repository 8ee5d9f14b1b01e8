package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Loopback is the machine's own loopback network, with cuts. What is sent into a cut is held
// up until the cut heals.
type Loopback struct {
	mu        sync.Mutex
	blocked   func(host string) bool
	unblocked chan struct{}
}

// NewLoopback makes a network without cuts.
func NewLoopback() *Loopback {
	return &Loopback{unblocked: make(chan struct{})}
}

// SetBlocked says which hosts are cut off from now on; nil heals the network.
func (n *Loopback) SetBlocked(f func(host string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = f
	close(n.unblocked)
	n.unblocked = make(chan struct{})
}

// awaitUnblocked waits while a host is cut off, or until the caller gives up.
func (n *Loopback) awaitUnblocked(host string, done <-chan struct{}) error {
	for {
		n.mu.Lock()
		cut, healed := n.blocked != nil && n.blocked(host), n.unblocked
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-healed:
		case <-done:
			return errors.New("cut off")
		}
	}
}

// Listen opens an address.
func (n *Loopback) Listen(network, addr string) (net.Listener, error) {
	return net.Listen(network, addr)
}

// Dialer gives a host's dial function.
func (n *Loopback) Dialer(host string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := n.awaitUnblocked(host, ctx.Done()); err != nil {
			return nil, err
		}
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &loopbackConn{Conn: conn, net: n, host: host, done: make(chan struct{})}, nil
	}
}

// loopbackConn is a connection of a host that may be cut off.
type loopbackConn struct {
	net.Conn
	net  *Loopback
	host string
	done chan struct{}
	once sync.Once
}

// Read reads, and holds up what comes during a cut.
func (c *loopbackConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if cut := c.net.awaitUnblocked(c.host, c.done); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write writes once the host is not cut off.
func (c *loopbackConn) Write(b []byte) (int, error) {
	if err := c.net.awaitUnblocked(c.host, c.done); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *loopbackConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
