package controller

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/peer"
)

// Limits of the log in replicationModel.
const (
	maxLogEntries     = 4096
	maxMessageEntries = 256
)

// If a node regards a peer's cancellations as completely known, it knows each one that the peer logged
// before the peer sent the ping, in the peer's current run or an earlier one. This holds whatever pings are
// lost or late, whatever entries a full log drops, and whenever the peer restarts and loses its log.
func TestCompleteProgressImpliesAllCancellationsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReplicationModel()
		actions := map[string]func(*rapid.T){
			"cancelOne":   func(*rapid.T) { m.cancel(1) },
			"cancelMany":  func(t *rapid.T) { m.cancel(rapid.IntRange(1, maxLogEntries).Draw(t, "jobs")) },
			"ping":        m.exchangePing,
			"delayPing":   func(*rapid.T) { m.delayed = append(m.delayed, m.newPing()) },
			"deliverLate": func(*rapid.T) { m.deliverDelayed() },
			"syncCache":   func(*rapid.T) { m.syncCache() },
			"restart":     func(*rapid.T) { m.restart() },
		}
		names := []string{"cancelOne", "cancelMany", "ping", "delayPing", "deliverLate", "syncCache", "restart"}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
		}
		m.settle(t)
	})
}

// replicationModel models a peer that logs cancellations and a node that receives them by pings. Its
// sets of jobs are the expected contents of the log and of what the node knows.
type replicationModel struct {
	clock         time.Duration
	jobs          int
	stored        map[string]bool // cancelled in the key-value store
	logged        map[string]bool // by the peer in any of its runs
	log           *cancellationLog
	known         map[string]bool // by the node
	progress      replicationProgress
	cacheSyncedAt time.Time
	delayed       []peer.Ping
}

func newReplicationModel() *replicationModel {
	m := &replicationModel{stored: map[string]bool{}, logged: map[string]bool{}, known: map[string]bool{}}
	m.log = newTestLog(1)
	return m
}

// newTestLog returns a log with a given id instead of a random one.
func newTestLog(id uint64) *cancellationLog {
	log := newCancellationLog(cancellationLogLimits{entries: maxLogEntries, messageEntries: maxMessageEntries}, func() {})
	log.id = id
	return log
}

func (m *replicationModel) now() time.Time {
	m.clock += time.Millisecond
	return time.Unix(0, int64(m.clock))
}

// cancel cancels jobs at the peer.
func (m *replicationModel) cancel(jobs int) {
	for range jobs {
		m.jobs++
		uid := fmt.Sprint("wk-", m.jobs)
		m.stored[uid], m.logged[uid] = true, true
		m.log.append(uid, 0)
	}
}

// syncCache updates the node's job cache by a read that is sent now.
func (m *replicationModel) syncCache() {
	m.cacheSyncedAt = m.now()
	maps.Copy(m.known, m.stored)
}

// restart replaces the log of the peer by an empty one.
func (m *replicationModel) restart() { m.log = newTestLog(m.log.id + 1) }

// newPing returns the peer's next ping, with the log entries after those that the node has received.
func (m *replicationModel) newPing() peer.Ping {
	excerpt := m.log.after(m.progress.received)
	return peer.Ping{LogID: excerpt.id, LogEnd: excerpt.end, LogFrom: excerpt.from, Cancellations: excerpt.entries}
}

// receive delivers a ping to the node and reports whether the node regards the sender's log as completely known.
func (m *replicationModel) receive(ping *peer.Ping) bool {
	for _, c := range ping.Cancellations {
		m.known[c.UID] = true
	}
	return m.progress.observe(ping, m.now(), m.cacheSyncedAt)
}

// exchangePing delivers a ping immediately. If the node regards the log as complete, it must know all entries.
func (m *replicationModel) exchangePing(t *rapid.T) {
	ping := m.newPing()
	if !m.receive(&ping) {
		return
	}
	for uid := range m.logged {
		if !m.known[uid] {
			t.Fatalf("the node regards the log as completely known, but does not know the cancellation of %s", uid)
		}
	}
}

// deliverDelayed delivers the oldest delayed ping.
func (m *replicationModel) deliverDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	m.receive(&m.delayed[0])
	m.delayed = m.delayed[1:]
}

// settle checks that, after the last change, the node catches up with a synced cache and as many pings as
// a full log needs.
func (m *replicationModel) settle(t *rapid.T) {
	for range 2 + maxLogEntries/maxMessageEntries {
		ping := m.newPing()
		if m.receive(&ping) {
			return
		}
		m.syncCache()
	}
	t.Fatal("the node did not catch up")
}

// A ping from a version without a cancellation log is never regarded as complete.
func TestPingWithoutLogIsNotComplete(t *testing.T) {
	var progress replicationProgress
	if progress.observe(&peer.Ping{Node: "b", View: 7}, time.Unix(1, 0), time.Unix(2, 0)) {
		t.Error("a ping without a log is regarded as complete")
	}
	if progress != (replicationProgress{}) {
		t.Errorf("a ping without a log changed the progress to %+v", progress)
	}
}
