package controller

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/peer"
)

// The limits of the drawn logs.
const (
	maxLogEntries     = 4096
	maxMessageEntries = 256
)

// Whatever is lost, late, dropped from a full log or forgotten by a restart: a node that takes a
// peer's cancellations for completely known knows each one that the peer has logged, in this run or
// an earlier one, before it sent its ping.
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

// replicationModel is a peer that logs cancellations, and a node that receives them by pings. Sets
// of jobs are what the log and the progress are compared with.
type replicationModel struct {
	clock         time.Duration
	jobs          int
	stored        map[string]bool // cancelled in the key-value store
	logged        map[string]bool // by the peer, in any of its runs
	log           *cancellationLog
	known         map[string]bool // at the node
	progress      replicationProgress
	cacheSyncedAt time.Time
	delayed       []peer.Ping
}

func newReplicationModel() *replicationModel {
	m := &replicationModel{stored: map[string]bool{}, logged: map[string]bool{}, known: map[string]bool{}}
	m.log = newTestLog(1)
	return m
}

// newTestLog makes a log with an id that does not depend on chance.
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

// syncCache lets the node's job cache catch up by a read that is sent now.
func (m *replicationModel) syncCache() {
	m.cacheSyncedAt = m.now()
	maps.Copy(m.known, m.stored)
}

// restart lets the peer lose its log.
func (m *replicationModel) restart() { m.log = newTestLog(m.log.id + 1) }

// newPing makes the peer's ping for what the node has acknowledged.
func (m *replicationModel) newPing() peer.Ping {
	excerpt := m.log.after(m.progress.received)
	return peer.Ping{LogID: excerpt.id, LogEnd: excerpt.end, LogFrom: excerpt.from, Cancellations: excerpt.entries}
}

// receive delivers a ping to the node and returns whether it takes the sender's log for completely known.
func (m *replicationModel) receive(ping *peer.Ping) bool {
	for _, c := range ping.Cancellations {
		m.known[c.UID] = true
	}
	return m.progress.observe(ping, m.now(), m.cacheSyncedAt)
}

// exchangePing delivers a ping at once and checks what the node then takes for known.
func (m *replicationModel) exchangePing(t *rapid.T) {
	ping := m.newPing()
	if !m.receive(&ping) {
		return
	}
	for uid := range m.logged {
		if !m.known[uid] {
			t.Fatalf("the cancellation of %s is logged, and not known", uid)
		}
	}
}

// deliverDelayed delivers the ping that has been delayed for longest.
func (m *replicationModel) deliverDelayed() {
	if len(m.delayed) == 0 {
		return
	}
	m.receive(&m.delayed[0])
	m.delayed = m.delayed[1:]
}

// settle checks that the node catches up once nothing changes any more: by a synced cache, and as
// many pings as a full log takes.
func (m *replicationModel) settle(t *rapid.T) {
	for range 2 + maxLogEntries/maxMessageEntries {
		ping := m.newPing()
		if m.receive(&ping) {
			return
		}
		m.syncCache()
	}
	t.Fatal("the node never caught up")
}

// A ping from a version without a log of cancellations confirms nothing that concerns them.
func TestPingWithoutLogIsNotComplete(t *testing.T) {
	var progress replicationProgress
	if progress.observe(&peer.Ping{Node: "b", View: 7}, time.Unix(1, 0), time.Unix(2, 0)) {
		t.Error("its cancellations are taken for known")
	}
	if progress != (replicationProgress{}) {
		t.Errorf("it changed the progress to %+v", progress)
	}
}
