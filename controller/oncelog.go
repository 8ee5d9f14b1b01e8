package controller

import (
	"errors"
	"sync"

	"junipershelf/protocol"
)

// maxLogged bounds what a onceLog remembers.
const maxLogged = 5000

// onceLog keeps lines from being logged over and over.
type onceLog struct {
	mu     sync.Mutex
	logged map[string]bool
}

func newOnceLog() *onceLog { return &onceLog{logged: map[string]bool{}} }

// first tells whether this is the first time that a line is to be logged.
func (l *onceLog) first(line string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[line] {
		return false
	}
	if len(l.logged) >= maxLogged {
		clear(l.logged)
	}
	l.logged[line] = true
	return true
}

// logFailure logs why a call failed. What cannot be decoded is an error that names the
// record or message and its sender, once for each.
func (c *Controller) logFailure(what string, err error) {
	var undecodable *protocol.DecodeError
	if !errors.As(err, &undecodable) {
		c.log.Debug(what, "err", err)
		return
	}
	if c.once.first("undecodable " + undecodable.Source + " " + undecodable.Sender) {
		c.log.Error("cannot be decoded", "source", undecodable.Source, "sender", undecodable.Sender, "err", err)
	}
}
