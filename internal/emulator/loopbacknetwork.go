package emulator

import (
	"context"
	"net"
	"sync"
)

// LoopbackNetwork is the machine's loopback network, on which hosts can be blocked. Data sent by
// or to a blocked host is delayed until the host is unblocked.
type LoopbackNetwork struct {
	mu        sync.Mutex
	blocked   func(host string) bool // nil: none
	unblocked chan struct{}          // closed when blocked changes
}

// NewLoopbackNetwork returns a network on which no host is blocked.
func NewLoopbackNetwork() *LoopbackNetwork {
	return &LoopbackNetwork{unblocked: make(chan struct{})}
}

// SetBlocked blocks exactly the hosts for which blocked returns true; nil unblocks all.
func (n *LoopbackNetwork) SetBlocked(blocked func(host string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
	close(n.unblocked)
	n.unblocked = make(chan struct{})
}

// awaitUnblocked waits while a host is blocked. It returns errBlocked if done is closed first.
func (n *LoopbackNetwork) awaitUnblocked(host string, done <-chan struct{}) error {
	for {
		n.mu.Lock()
		blocked, unblocked := n.blocked != nil && n.blocked(host), n.unblocked
		n.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-unblocked:
		case <-done:
			return errBlocked
		}
	}
}

// Listen listens on a loopback address.
func (n *LoopbackNetwork) Listen(network, addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), network, addr)
}

// Dialer returns the dial function of a host.
func (n *LoopbackNetwork) Dialer(host string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := n.awaitUnblocked(host, ctx.Done()); err != nil {
			return nil, err
		}
		conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &loopbackConn{Conn: conn, net: n, host: host, done: make(chan struct{})}, nil
	}
}

// loopbackConn is a connection of a host, which can be blocked.
type loopbackConn struct {
	net.Conn
	net  *LoopbackNetwork
	host string
	done chan struct{}
	once sync.Once
}

// Read reads data, which it does not return while the host is blocked.
func (c *loopbackConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if blocked := c.net.awaitUnblocked(c.host, c.done); blocked != nil {
		return 0, blocked
	}
	return n, err
}

// Write waits while the host is blocked, then writes.
func (c *loopbackConn) Write(b []byte) (int, error) {
	if err := c.net.awaitUnblocked(c.host, c.done); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and unblocks waiting reads and writes.
func (c *loopbackConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
