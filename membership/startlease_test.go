package membership

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// newTestMembership returns the membership of node a in a view that was read at the given time.
func newTestMembership(view View, readAt time.Time) *Membership {
	m := New("a", nil, Config{OwnershipLease: 6 * time.Second}, slog.New(slog.DiscardHandler))
	m.lease.self = Member{"a", 1}
	m.applyView(view, readAt)
	return m
}

// The start lease expires earlier than the ownership lease, and a new view needs cancellations that were
// read after it was seen.
func TestStartLeaseNeedsRecentEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := View{Number: 3, Members: []Member{{"a", 1}, {"b", 2}}, Buckets: 2}
		m := newTestMembership(view, time.Now())
		m.RecordCancellationsKnown(time.Now())
		if !m.HoldsStartLease(3) || m.HoldsStartLease(2) {
			t.Errorf("start lease of view 3 held %v, of view 2 held %v; want the first only", m.HoldsStartLease(3), m.HoldsStartLease(2))
		}
		time.Sleep(StartLease)
		if m.HoldsStartLease(3) || !m.HoldsLease(3) {
			t.Errorf("after its duration: start lease held %v, ownership lease held %v; want the second only", m.HoldsStartLease(3), m.HoldsLease(3))
		}
		m.RecordPeerConfirmation(3, time.Now())
		if !m.HoldsStartLease(3) {
			t.Error("no start lease after a confirmation by all peers")
		}
		m.RecordCancellationsKnown(time.Now())
		time.Sleep(time.Millisecond)
		view.Number = 4
		m.applyView(view, time.Now())
		if m.HoldsStartLease(4) || !m.HoldsLease(4) {
			t.Error("start lease of a new view held on cancellations that were read before it was seen")
		}
		m.RecordCancellationsKnown(time.Now())
		if !m.HoldsStartLease(4) {
			t.Error("no start lease although the cancellations were read in the view")
		}
	})
}

// Another node's start lease has certainly ended only once a view without the node, confirmed after the
// cancellation was logged, is older than a start lease.
func TestStartLeaseOfARemovedNodeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := View{Number: 3, Members: []Member{{"a", 1}, {"b", 2}}, Buckets: 2}
		m := newTestMembership(view, time.Now())
		time.Sleep(time.Hour)
		loggedAt := time.Now()
		m.applyView(view, time.Now())
		if m.StartLeaseEnded("b", loggedAt) {
			t.Error("the start lease of a member has ended")
		}
		view.Number, view.Members = 4, []Member{{"a", 1}}
		m.applyView(view, time.Now())
		if m.StartLeaseEnded("b", loggedAt) {
			t.Error("the start lease of a node has ended as soon as it was removed")
		}
		time.Sleep(StartLeaseExpiry)
		if !m.StartLeaseEnded("b", loggedAt) {
			t.Error("the start lease of a removed node has not ended after StartLeaseExpiry")
		}
		if m.StartLeaseEnded("b", time.Now()) {
			t.Error("the start lease has ended although the view was not confirmed after the cancellation was logged")
		}
	})
}

// In any sequence of views, reads, cancellations and lost messages, a node that sends a start command
// knows each cancellation that another node has been allowed to confirm to a user before.
func TestStartLeaseCoversConfirmedCancellations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawModelStep), 60, 120).Draw(rt, "steps")
		violation := ""
		// The steps are drawn before, since the property library cannot stop a test within the bubble.
		synctest.Test(t, func(*testing.T) { violation = newStartLeaseModel().run(steps) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// modelStep is an action of startLeaseModel and the time after it.
type modelStep struct {
	action modelAction
	wait   time.Duration
}

// modelAction is the name of an action.
type modelAction string

const (
	cancelAtA   modelAction = "cancel at a"
	readByA     modelAction = "a reads the view"
	readByB     modelAction = "b reads the view"
	slowReadByB modelAction = "b gets the reply to an earlier read of the view"
	syncCacheB  modelAction = "b reads the cancellations"
	pingByB     modelAction = "b pings a"
	changeView  modelAction = "b leaves or joins the view"
)

func drawModelStep(t *rapid.T) modelStep {
	actions := []modelAction{cancelAtA, readByA, readByB, slowReadByB, syncCacheB, pingByB, changeView}
	return modelStep{
		action: rapid.SampledFrom(actions).Draw(t, "action"),
		wait:   time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait_ms")) * time.Millisecond,
	}
}

// startLeaseModel models two nodes and the key-value store. Node a logs cancellations and confirms them to
// users. Node b is the owner that may start tasks; its messages to and from the store and a may be lost or
// late. The number of cancellations stands for the cancellations themselves.
type startLeaseModel struct {
	a, b      *Membership
	view      View // in the key-value store
	cancelled int  // cancellations in the key-value store
	logged    []time.Time
	known     int // cancellations that b knows
	readAhead func()
}

func newStartLeaseModel() *startLeaseModel {
	view := View{Number: 1, Members: []Member{{"a", 1}, {"b", 1}}, Buckets: 2}
	m := &startLeaseModel{view: view, a: newTestMembership(view, time.Now()), b: newTestMembership(view, time.Now())}
	m.b.lease.self = Member{"b", 1}
	return m
}

// run executes steps. It returns the first violation of the rule, or an empty text.
func (m *startLeaseModel) run(steps []modelStep) (violation string) {
	actions := map[modelAction]func(){
		cancelAtA:   m.cancel,
		readByA:     func() { m.a.applyView(m.view, time.Now()) },
		readByB:     func() { m.b.applyView(m.view, time.Now()) },
		slowReadByB: m.slowReadByB,
		syncCacheB:  m.syncCacheOfB,
		pingByB:     m.pingByB,
		changeView:  m.changeView,
	}
	for _, step := range steps {
		actions[step.action]()
		if violation = m.violation(); violation != "" {
			return violation
		}
		time.Sleep(step.wait)
	}
	return ""
}

// cancel cancels a job at a.
func (m *startLeaseModel) cancel() {
	m.cancelled++
	m.logged = append(m.logged, time.Now())
}

// slowReadByB delivers the result of an earlier read by b, if there is one, and sends another. A read sees
// the view that is stored when it is sent, or a later one.
func (m *startLeaseModel) slowReadByB() {
	if m.readAhead != nil {
		m.readAhead()
	}
	sentAt, view := time.Now(), m.view
	m.readAhead = func() {
		if view.Number < m.view.Number && view.Number%2 == 0 {
			view = m.view // it was executed only after the view had changed
		}
		m.b.applyView(view, sentAt)
	}
}

// syncCacheOfB updates the job cache of b.
func (m *startLeaseModel) syncCacheOfB() {
	m.known = m.cancelled
	m.b.RecordCancellationsKnown(time.Now())
}

// pingByB exchanges pings: b receives a's log, and a confirms its view if both have the same.
func (m *startLeaseModel) pingByB() {
	m.known = m.cancelled
	if m.a.view.Number == m.b.view.Number {
		m.b.RecordPeerConfirmation(m.b.view.Number, time.Now())
	}
}

// changeView removes b from the view in the key-value store, or adds it again.
func (m *startLeaseModel) changeView() {
	m.view.Number++
	if m.view.ContainsNode("b") {
		m.view.Members = []Member{{"a", 1}}
		return
	}
	m.view.Members = []Member{{"a", 1}, {"b", 1}}
}

// violation returns a text if b may start tasks while a may have confirmed a cancellation that b does not know.
func (m *startLeaseModel) violation() string {
	if !m.b.HoldsStartLease(m.b.view.Number) {
		return ""
	}
	for i, loggedAt := range m.logged[m.known:] {
		if time.Since(loggedAt) >= StartLeaseExpiry || m.a.StartLeaseEnded("b", loggedAt) {
			return fmt.Sprintf("b may start tasks in view %d, but does not know cancellation %d, which a may confirm", m.b.view.Number, m.known+i)
		}
	}
	return ""
}
