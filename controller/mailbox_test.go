package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/internal/httpcall"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// echoCall and echoReply are the bodies of calls and replies in these tests.
type (
	echoCall  struct{ Text string }
	echoReply struct{ Text string }
)

// mailboxTest is an emulated key-value store with a view of two members.
type mailboxTest struct {
	network *emulator.MemoryNetwork
	store   *emulator.Store
	view    membership.View
}

// runMailboxTest runs a test with view 7 on a simulated clock.
func runMailboxTest(t *testing.T, test func(ctx context.Context, m *mailboxTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		ctx, stop := context.WithCancel(context.Background())
		m := &mailboxTest{network: emulator.NewMemoryNetwork(), store: emulator.NewStore(8192)}
		if err := m.store.Serve(ctx, m.network, "state:2379"); err != nil {
			t.Fatal(err)
		}
		m.changeView(ctx, t, 7)
		test(ctx, m)
		stop()
		m.network.CloseConnections("caller")
		m.network.CloseConnections("leader")
		time.Sleep(time.Minute)
	})
}

// changeView writes a view with the given number to the key-value store.
func (m *mailboxTest) changeView(ctx context.Context, t *testing.T, number uint64) {
	t.Helper()
	m.view = membership.View{Number: number, Members: []membership.Member{{Node: "leader", Incarnation: 1}, {Node: "caller", Incarnation: 2}}}
	raw, err := protocol.Marshal(m.view)
	if err != nil {
		t.Fatal(err)
	}
	m.store.ReplaceValue(membership.ViewKey, raw)
	entry, err := m.transport("leader").store.Get(ctx, statestore.PriorityMembership, membership.ViewKey)
	if err != nil {
		t.Fatal(err)
	}
	m.view.Revision = entry.Revision
}

func (m *mailboxTest) transport(node string) *mailboxTransport {
	limits := settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16}
	store := statestore.New(m.network.Dialer(node), "state:2379", limits, 1<<20)
	log := slog.New(slog.DiscardHandler)
	counter := newLimitCounter(log)
	return &mailboxTransport{
		store:       store,
		membership:  membership.New(node, store, membership.Config{}, log),
		failures:    &failureLogger{log: log, dedup: newLogDeduplicator(100, func() {})},
		limitCounts: counter,
		callers:     1,
		writeRate:   limits.WriteRPS,
	}
}

// serveEcho runs a mailbox server on the leader that replies to each call with its text.
func (m *mailboxTest) serveEcho(ctx context.Context) {
	state := newNodeState(nil, newLimitCounter(slog.New(slog.DiscardHandler)))
	state.current.view, state.leader.scheduler = m.view, &scheduler.Scheduler{}
	server := &mailboxServer[echoCall, echoReply]{
		transport: m.transport("leader"),
		state:     state,
		log:       slog.New(slog.DiscardHandler),
		handle:    func(call echoCall) echoReply { return echoReply(call) },
	}
	go server.run(ctx)
}

func (m *mailboxTest) call(number uint64, text string) mailboxCall {
	return mailboxCall{view: m.view, caller: 1, number: number, body: echoCall{Text: text}, replyWanted: func() bool { return true }}
}

// incompressibleText returns random text, which compression hardly shortens.
func incompressibleText(length int) string {
	rng := rand.New(rand.NewPCG(1, 2))
	text := make([]byte, length)
	for i := range text {
		text[i] = byte(rng.UintN(256))
	}
	return string(text)
}

func TestMailboxCallReturnsReply(t *testing.T) {
	runMailboxTest(t, func(ctx context.Context, m *mailboxTest) {
		m.serveEcho(ctx)
		transport := m.transport("caller")
		// The second call has more parts than fit into one transaction.
		for number, length := range []int{10, 200 << 10, 10} {
			text := incompressibleText(length)
			var reply echoReply
			if err := transport.call(ctx, m.call(uint64(number+1), text), &reply); err != nil || reply.Text != text {
				t.Errorf("call %d of %d bytes: reply of %d bytes or other text, error %v", number+1, length, len(reply.Text), err)
			}
		}
	})
}

func TestMailboxCallEndsWithoutReply(t *testing.T) {
	runMailboxTest(t, func(ctx context.Context, m *mailboxTest) {
		transport := m.transport("caller")
		began := time.Now()
		var reply echoReply
		if err := transport.call(ctx, m.call(1, "x"), &reply); !errors.Is(err, httpcall.ErrUnknown) {
			t.Errorf("call without a server: got error %v, want ErrUnknown", err)
		}
		if took := time.Since(began); took < minMailboxTimeout || took > minMailboxTimeout+time.Second {
			t.Errorf("call ended after %v, want %v or at most 1s more", took, minMailboxTimeout)
		}
		unwanted := m.call(2, "x")
		unwanted.replyWanted = func() bool { return false }
		began = time.Now()
		if err := transport.call(ctx, unwanted, &reply); !errors.Is(err, httpcall.ErrUnknown) {
			t.Errorf("call whose reply is not wanted: got error %v, want ErrUnknown", err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("call whose reply is not wanted ended after %v, want at most 1s", took)
		}
	})
}

func TestMailboxCallOfEndedViewIsNotPosted(t *testing.T) {
	runMailboxTest(t, func(ctx context.Context, m *mailboxTest) {
		call := m.call(1, "x")
		m.changeView(ctx, t, 8)
		var reply echoReply
		err := m.transport("caller").call(ctx, call, &reply)
		if _, conflict := errors.AsType[*statestore.ConflictError](err); !conflict {
			t.Errorf("got error %v, want a ConflictError", err)
		}
		if keys := m.store.Keys(peer.CallPrefix); len(keys) > 0 {
			t.Errorf("call of an ended view was posted as %v", keys)
		}
	})
}

func TestMailboxCallInterval(t *testing.T) {
	for _, c := range []struct {
		callers   int
		writeRate float64
		want      time.Duration
	}{
		{0, 100, 200 * time.Millisecond},
		{1, 100, 200 * time.Millisecond},
		{2, 100, 400 * time.Millisecond},
		{2, 20, 2 * time.Second},
	} {
		transport := mailboxTransport{callers: c.callers, writeRate: c.writeRate}
		if got := transport.callInterval(); got != c.want {
			t.Errorf("%d callers at %v changes per second: call interval %v, want %v", c.callers, c.writeRate, got, c.want)
		}
	}
}

func TestPartsPerTransaction(t *testing.T) {
	runMailboxTest(t, func(_ context.Context, m *mailboxTest) {
		transport := m.transport("caller")
		for _, c := range []struct{ count, bytes, want int }{
			{1, 10, 1},
			{30, 10, 16},                            // limited by the changes per transaction
			{30, maxPartBytesPerTransaction / 4, 3}, // limited by the bytes per request
			{2, 2 * maxPartBytesPerTransaction, 1},  // at least one
		} {
			parts := make([]peer.MessagePart, c.count)
			for i := range parts {
				parts[i].Text = fmt.Sprintf("%*d", c.bytes, i)
			}
			if got := transport.partsPerTransaction(parts); got != c.want {
				t.Errorf("%d parts of %d bytes: %d per transaction, want %d", c.count, c.bytes, got, c.want)
			}
		}
	})
}
