package emulator

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// defaultMessageDelay is how long a message takes on a network that nobody has slowed.
	defaultMessageDelay = time.Millisecond
	// blockedPollInterval is how often a message that is held looks whether its direction is
	// still blocked.
	blockedPollInterval = 50 * time.Millisecond
	// connBacklog is how many written messages a connection holds before Write waits.
	connBacklog = 256
)

// MemoryNetwork is a network in memory. Its hosts are names; nothing crosses a blocked direction.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
	conns     map[*memoryConn]bool
	blocked   func(from, to string) bool // nil: none
	delay     time.Duration
}

// NewMemoryNetwork returns a network without hosts, on which a message takes a millisecond.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{
		listeners: map[string]*memoryListener{},
		conns:     map[*memoryConn]bool{},
		delay:     defaultMessageDelay,
	}
}

// SetBlocked blocks the directions between hosts for which blocked is true, in place of those
// blocked before; nil unblocks all. What open connections carry is held until then.
func (n *MemoryNetwork) SetBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// SetLatency sets how long each message takes.
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

// CloseConnections closes all connections of a host, as the end of its process does.
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

// Listen opens an address, which must not be open.
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

// Dialer returns the dial function of a host. A dial in a blocked direction times out.
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
		ours, theirs := net.Pipe()
		client, server := n.connect(ours, from, to), n.connect(theirs, to, from)
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

// connect makes one end of a connection, which delivers until it is closed.
func (n *MemoryNetwork) connect(conn net.Conn, from, to string) *memoryConn {
	c := &memoryConn{Conn: conn, net: n, from: from, to: to, out: make(chan []byte, connBacklog), done: make(chan struct{})}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	go c.deliver()
	return c
}

// memoryAddr is an address of a MemoryNetwork: a host name, with a port or without.
type memoryAddr string

// Network implements net.Addr.
func (memoryAddr) Network() string { return "mem" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }

// memoryListener is an open address of a MemoryNetwork.
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

// Addr returns the open address.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

// memoryConn is one end of a connection. What is written in a blocked direction is held until
// it is unblocked, as the operators' description of the network says of delayed messages.
type memoryConn struct {
	net.Conn
	net      *MemoryNetwork
	from, to string // hosts
	out      chan []byte
	done     chan struct{}
	once     sync.Once
}

// RemoteAddr returns the host at the other end.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.to) }

// deliver passes on what was written, in order, until the connection is closed.
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

// awaitUnblocked waits while the direction is blocked. It reports false once the connection is
// closed.
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

// Write accepts a message, which is delivered later.
func (c *memoryConn) Write(message []byte) (int, error) {
	select {
	case c.out <- bytes.Clone(message):
		return len(message), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close closes the connection; messages that were not delivered are dropped. It never fails.
func (c *memoryConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
		_ = c.Conn.Close() // a net.Pipe's never fails
	})
	return nil
}
