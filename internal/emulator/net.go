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

// Net is a network in memory.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*pipe]bool
	cut       func(from, to string) bool
	delay     time.Duration
}

// NewNet makes an empty network.
func NewNet() *Net {
	return &Net{listeners: map[string]*listener{}, conns: map[*pipe]bool{}, delay: time.Millisecond}
}

// Cut says which directions are silent from now on; nil heals the network.
func (n *Net) Cut(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// Slow sets how long each message takes.
func (n *Net) Slow(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *Net) wait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

func (n *Net) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut != nil && n.cut(from, to)
}

// Crash closes all that a host has open.
func (n *Net) Crash(host string) {
	n.mu.Lock()
	var open []*pipe
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

type listener struct {
	net    *Net
	addr   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
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

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }

// Listen opens an address.
func (n *Net) Listen(_, a string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{net: n, addr: a, accept: make(chan net.Conn), done: make(chan struct{})}
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
func (n *Net) Dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, a string) (net.Conn, error) {
		to := Host(a)
		if n.isCut(from, to) || n.isCut(to, from) {
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

// pipe is one end of a connection. What is written into a cut is held until the
// cut heals, as the protocols page says of delayed messages.
type pipe struct {
	net.Conn
	net      *Net
	from, to string
	out      chan []byte
	done     chan struct{}
	once     sync.Once
}

func (n *Net) wrap(c net.Conn, from, to string) *pipe {
	p := &pipe{Conn: c, net: n, from: from, to: to, out: make(chan []byte, 256), done: make(chan struct{})}
	n.mu.Lock()
	n.conns[p] = true
	n.mu.Unlock()
	go p.pump()
	return p
}

// RemoteAddr names the host at the other end.
func (p *pipe) RemoteAddr() net.Addr { return addr(p.to) }

func (p *pipe) pump() {
	for {
		select {
		case <-p.done:
			return
		case b := <-p.out:
			for p.net.isCut(p.from, p.to) {
				select {
				case <-time.After(50 * time.Millisecond):
				case <-p.done:
					return
				}
			}
			time.Sleep(p.net.wait())
			if _, err := p.Conn.Write(b); err != nil {
				p.Close()
				return
			}
		}
	}
}

func (p *pipe) Write(b []byte) (int, error) {
	select {
	case p.out <- append([]byte(nil), b...):
		return len(b), nil
	case <-p.done:
		return 0, net.ErrClosed
	}
}

func (p *pipe) Close() error {
	p.once.Do(func() {
		close(p.done)
		p.net.mu.Lock()
		delete(p.net.conns, p)
		p.net.mu.Unlock()
		p.Conn.Close()
	})
	return nil
}
