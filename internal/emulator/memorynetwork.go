package emulator

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// defaultMessageDelay is the latency of a network for which SetLatency was not called.
	defaultMessageDelay = time.Millisecond
	// blockedPollInterval is how often a connection checks whether the direction of a held
	// message is still blocked.
	blockedPollInterval = 50 * time.Millisecond
	// connBacklog is how many written messages a connection buffers before Write blocks.
	connBacklog = 256
)

// MemoryNetwork is a network in memory. Hosts are identified by name. No message is delivered in
// a blocked direction.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
	conns     map[*memoryConn]bool
	blocked   func(from, to string) bool // nil: none
	delay     time.Duration
}

// NewMemoryNetwork returns a network without hosts and with a latency of 1 ms.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		listeners: map[string]*memoryListener{},
		conns:     map[*memoryConn]bool{},
		delay:     defaultMessageDelay,
	}
}

// SetBlocked blocks exactly the directions between hosts for which blocked returns true; nil
// unblocks all. Messages on open connections are held until their direction is unblocked.
func (n *MemoryNetwork) SetBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// SetLatency sets the delay of each message.
func (n *MemoryNetwork) SetLatency(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *MemoryNetwork) messageDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

func (n *MemoryNetwork) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked != nil && n.blocked(from, to)
}

// CloseConnections closes all connections of a host, as when its process ends.
func (n *MemoryNetwork) CloseConnections(host string) {
	n.mu.Lock()
	var open []*memoryConn
	for c := range n.conns {
		if c.from == host || c.to == host {
			open = append(open, c)
		}
	}
	n.mu.Unlock()
	for _, c := range open {
		_ = c.Close() // never fails
	}
}

// Listen listens on an address. It fails if the address is in use.
func (n *MemoryNetwork) Listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errAddressInUse
	}
	l := &memoryListener{net: n, addr: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function of a host. A dial times out if either direction is blocked.
func (n *MemoryNetwork) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to := Host(address)
		if n.isBlocked(from, to) || n.isBlocked(to, from) {
			timeout := time.NewTimer(dialTimeout)
			defer timeout.Stop()
			select {
			case <-ctx.Done():
			case <-timeout.C:
			}
			return nil, errConnectionTimedOut
		}
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil {
			return nil, errConnectionRefused
		}
		clientEnd, serverEnd := net.Pipe()
		client, server := n.connect(clientEnd, from, to), n.connect(serverEnd, to, from)
		select {
		case l.accept <- server:
			return client, nil
		case <-l.done:
			return nil, errConnectionRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect wraps one end of a connection and starts its delivery, which runs until it is closed.
func (n *MemoryNetwork) connect(conn net.Conn, from, to string) *memoryConn {
	c := &memoryConn{Conn: conn, net: n, from: from, to: to, out: make(chan []byte, connBacklog), done: make(chan struct{})}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	go c.deliver()
	return c
}

// memoryAddr is an address of a MemoryNetwork: a host name with or without a port.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "mem" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// memoryListener listens on an address of a MemoryNetwork.
type memoryListener struct {
	net    *MemoryNetwork
	addr   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

// Accept waits for a connection, until the listener is closed.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address. It never fails.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.net.mu.Lock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
		l.net.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

// memoryConn is one end of a connection. Messages written in a blocked direction are held until
// it is unblocked: according to the operators, the network that it emulates delays messages of
// open connections instead of losing them.
type memoryConn struct {
	net.Conn
	net      *MemoryNetwork
	from, to string // hosts
	out      chan []byte
	done     chan struct{}
	once     sync.Once
}

// RemoteAddr returns the host at the other end, without a port.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.to) }

// deliver passes written messages to the other end, in order, until the connection is closed.
func (c *memoryConn) deliver() {
	for {
		select {
		case <-c.done:
			return
		case message := <-c.out:
			if !c.awaitUnblocked() {
				return
			}
			time.Sleep(c.net.messageDelay())
			if _, err := c.Conn.Write(message); err != nil {
				_ = c.Close() // never fails
				return
			}
		}
	}
}

// awaitUnblocked waits while the direction is blocked. It returns false if the connection is
// closed first.
func (c *memoryConn) awaitUnblocked() bool {
	for c.net.isBlocked(c.from, c.to) {
		select {
		case <-time.After(blockedPollInterval):
		case <-c.done:
			return false
		}
	}
	return true
}

// Write queues a message for delivery.
func (c *memoryConn) Write(message []byte) (int, error) {
	select {
	case c.out <- bytes.Clone(message):
		return len(message), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close closes the connection and drops undelivered messages. It never fails.
func (c *memoryConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		_ = c.Conn.Close() // never fails for a net.Pipe
	})
	return nil
}
