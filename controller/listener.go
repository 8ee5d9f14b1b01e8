package controller

import (
	"net"
	"net/http"
	"sync"
)

// closeAboveShare: once more than this part of the slots is taken, answers close their
// connections. Workers that report seldom then share the slots instead of keeping one each.
const closeAboveShare = 0.8

// limitedListener accepts no more connections than it has slots for, so that the process
// keeps sockets and memory for its own calls. Nobody is kept waiting by connections that are
// open and not in use: one of those is closed for each that finds no slot.
type limitedListener struct {
	net.Listener
	slots chan struct{}
	full  func() // is called for each connection that finds no slot

	mu      sync.Mutex
	idle    map[net.Conn]bool
	awaited bool // a connection waits for a slot
}

func newLimitedListener(l net.Listener, maxConns int, full func()) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, maxConns), full: full, idle: map[net.Conn]bool{}}
}

// Accept waits for a slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	default:
		l.full()
		l.await(true)
		l.slots <- struct{}{}
		l.await(false)
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// track notes which connections are not in use.
func (l *limitedListener) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case state != http.StateIdle:
		delete(l.idle, conn)
	case l.awaited:
		l.awaited = false
		conn.Close()
	default:
		l.idle[conn] = true
	}
}

// await closes a connection that is not in use, or the next one that is not, while one waits
// for a slot.
func (l *limitedListener) await(waits bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.awaited = waits
	if !waits {
		return
	}
	for conn := range l.idle {
		delete(l.idle, conn)
		conn.Close()
		l.awaited = false
		return
	}
}

// shareSlots closes connections with their answers while slots are scarce.
func (l *limitedListener) shareSlots(next http.Handler) http.Handler {
	limit := int(float64(cap(l.slots)) * closeAboveShare)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(l.slots) > limit {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitedConn gives its slot back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
