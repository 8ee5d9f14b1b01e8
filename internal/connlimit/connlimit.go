// Package connlimit limits the number of connections of an HTTP server, so that enough sockets and
// memory remain for the process's own calls.
package connlimit

import (
	"net"
	"net/http"
	"sync"
)

// closeAboveShare is the fraction of slots in use above which responses close their connections. Clients
// that rarely send requests then share the slots instead of occupying one each.
const closeAboveShare = 0.8

// Listener limits the number of concurrent connections: each occupies a slot until it is closed. Idle
// connections do not block new ones: each Accept that finds no free slot closes one idle connection. This
// requires that the server reports the states of its connections to ObserveState.
type Listener struct {
	net.Listener
	slots  chan struct{} // holds a value for each occupied slot
	onFull func()

	mu         sync.Mutex
	idle       map[net.Conn]struct{}
	slotWanted bool // Accept waits for a slot and has not closed an idle connection for it yet
}

// NewListener returns a listener that limits inner to maxConns connections. It calls onFull for each
// Accept that finds no free slot.
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
	l.acquireSlot()
	conn, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(l.releaseSlot)}, nil
}

// acquireSlot waits until a slot is free, and occupies it.
func (l *Listener) acquireSlot() {
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

// closeIdle closes an idle connection. If there is none, the next connection that becomes idle is closed.
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

// stopClosingIdle cancels a pending request to close the next idle connection.
func (l *Listener) stopClosingIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slotWanted = false
}

// ObserveState tracks which connections are idle. It must be set as the ConnState hook of the
// http.Server that serves the listener.
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

// CloseConnectionsNearLimit wraps a server's handler so that responses close their connections while the share of
// occupied slots exceeds closeAboveShare.
func (l *Listener) CloseConnectionsNearLimit(next http.Handler) http.Handler {
	limit := int(float64(cap(l.slots)) * closeAboveShare)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(l.slots) > limit {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// closeForSlot closes an idle connection to free its slot. The slot is released even if Close returns an
// error, and an idle connection has no data to lose.
func closeForSlot(conn net.Conn) { _ = conn.Close() }

// limitedConn is a connection that occupies a slot.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
