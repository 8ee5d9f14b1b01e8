// Package connlimit bounds the connections of an HTTP server, so that the process keeps sockets
// and memory for its own calls.
package connlimit

import (
	"net"
	"net/http"
	"sync"
)

// closeAboveShare is the part of the slots above which responses close their connections. Clients
// that call seldom then share the slots instead of keeping one each.
const closeAboveShare = 0.8

// Listener accepts at most a fixed number of connections at a time: each takes a slot until it is
// closed. A new connection does not wait for clients that keep a connection without using it: one
// idle connection is closed for each Accept that finds no free slot. For that the server has to
// report its connections to ObserveState.
type Listener struct {
	net.Listener
	slots  chan struct{} // has a value for each slot that is taken
	onFull func()

	mu         sync.Mutex
	idle       map[net.Conn]struct{}
	slotWanted bool // Accept waits for a slot and has closed no idle connection for it yet
}

// NewListener limits a listener to maxConns connections. It calls onFull for each Accept that
// finds no free slot.
func NewListener(inner net.Listener, maxConns int, onFull func()) *Listener {
	return &Listener{
		Listener: inner,
		slots:    make(chan struct{}, maxConns),
		onFull:   onFull,
		idle:     map[net.Conn]struct{}{},
	}
}

// Accept waits for a free slot, and then for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	l.takeSlot()
	conn, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(l.releaseSlot)}, nil
}

// takeSlot takes a slot, waiting while there is none.
func (l *Listener) takeSlot() {
	select {
	case l.slots <- struct{}{}:
		return
	default:
	}
	l.onFull()
	l.closeIdle()
	l.slots <- struct{}{}
	l.stopClosingIdle()
}

func (l *Listener) releaseSlot() { <-l.slots }

// closeIdle closes an idle connection; if there is none, the next one that becomes idle is closed.
func (l *Listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.idle {
		delete(l.idle, conn)
		closeForSlot(conn)
		return
	}
	l.slotWanted = true
}

// stopClosingIdle ends the search for a connection to close.
func (l *Listener) stopClosingIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slotWanted = false
}

// ObserveState records which connections are idle. It is the ConnState hook of the http.Server
// that serves the listener.
func (l *Listener) ObserveState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state != http.StateIdle:
		delete(l.idle, conn)
	case l.slotWanted:
		l.slotWanted = false
		closeForSlot(conn)
	default:
		l.idle[conn] = struct{}{}
	}
}

// ShareSlots wraps a server's handler so that responses close their connections while few slots
// are free.
func (l *Listener) ShareSlots(next http.Handler) http.Handler {
	limit := int(float64(cap(l.slots)) * closeAboveShare)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(l.slots) > limit {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// closeForSlot closes an idle connection. Its slot is free whether or not closing it reports an
// error, and nothing is lost with it.
func closeForSlot(conn net.Conn) { _ = conn.Close() }

// limitedConn is a connection that holds a slot.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
