// Package emulator holds our own emulators of the key-value store, the cloud and
// the workers, on a network in memory, with faults. Tests run whole days on it
// under a simulated clock.
package emulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network is what the emulators listen on and call by.
type Network interface {
	Listen(network, addr string) (net.Listener, error)
	Dialer(host string) func(ctx context.Context, network, addr string) (net.Conn, error)
}

// MemoryNetwork is a network in memory.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]bool
	blocked   func(from, to string) bool
	delay     time.Duration
}

// NewMemoryNetwork makes an empty network.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]*memoryListener{}, conns: map[*memoryConn]bool{}, delay: time.Millisecond}
}

// SetBlocked says which directions are silent from now on; nil heals the network.
func (n *MemoryNetwork) SetBlocked(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = f
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

// CloseConnections closes all that a host has open.
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
		c.Close()
	}
}

type memoryListener struct {
	net    *MemoryNetwork
	addr   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

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

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

type memoryAddr string

func (memoryAddr) Network() string  { return "mem" }
func (a memoryAddr) String() string { return string(a) }

// Listen opens an address.
func (n *MemoryNetwork) Listen(_, a string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a] != nil {
		return nil, errors.New("address in use")
	}
	l := &memoryListener{net: n, addr: a, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// Host names the host of an address.
func Host(a string) string {
	h, _, err := net.SplitHostPort(a)
	if err != nil {
		return a
	}
	return h
}

// Dialer gives a host's dial function.
func (n *MemoryNetwork) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, a string) (net.Conn, error) {
		to := Host(a)
		if n.isBlocked(from, to) || n.isBlocked(to, from) {
			t := time.NewTimer(time.Second)
			defer t.Stop()
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			return nil, errors.New("connection timed out")
		}
		n.mu.Lock()
		l := n.listeners[a]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		ours, theirs := net.Pipe()
		c, s := n.wrap(ours, from, to), n.wrap(theirs, to, from)
		select {
		case l.accept <- s:
			return c, nil
		case <-l.done:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// memoryConn is one end of a connection. What is written into a cut is held until the
// cut heals, as the protocols page says of delayed messages.
type memoryConn struct {
	net.Conn
	net      *MemoryNetwork
	from, to string
	out      chan []byte
	done     chan struct{}
	once     sync.Once
}

func (n *MemoryNetwork) wrap(c net.Conn, from, to string) *memoryConn {
	p := &memoryConn{Conn: c, net: n, from: from, to: to, out: make(chan []byte, 256), done: make(chan struct{})}
	n.mu.Lock()
	n.conns[p] = true
	n.mu.Unlock()
	go p.deliver()
	return p
}

// RemoteAddr names the host at the other end.
func (p *memoryConn) RemoteAddr() net.Addr { return memoryAddr(p.to) }

func (p *memoryConn) deliver() {
	for {
		select {
		case <-p.done:
			return
		case b := <-p.out:
			for p.net.isBlocked(p.from, p.to) {
				select {
				case <-time.After(50 * time.Millisecond):
				case <-p.done:
					return
				}
			}
			time.Sleep(p.net.messageDelay())
			if _, err := p.Conn.Write(b); err != nil {
				p.Close()
				return
			}
		}
	}
}

func (p *memoryConn) Write(b []byte) (int, error) {
	select {
	case p.out <- append([]byte(nil), b...):
		return len(b), nil
	case <-p.done:
		return 0, net.ErrClosed
	}
}

func (p *memoryConn) Close() error {
	p.once.Do(func() {
		close(p.done)
		p.net.mu.Lock()
		delete(p.net.conns, p)
		p.net.mu.Unlock()
		p.Conn.Close()
	})
	return nil
}
