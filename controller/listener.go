package controller

import (
	"net"
	"sync"
)

// limitedListener accepts no more connections than it has slots for, so that the process
// keeps sockets for its own calls.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func newLimitedListener(l net.Listener, maxConns int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, maxConns)}
}

// Accept waits for a slot and then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
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
