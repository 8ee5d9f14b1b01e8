package statestore

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// limitsOfTests are what the settings name in these tests.
var limitsOfTests = settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16}

// withService runs f on the simulated clock with a client of a service.
func withService(t *testing.T, handler http.Handler, f func(ctx context.Context, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		n := emulator.NewNet()
		l, err := n.Listen("mem", "state:1")
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: handler}
		go srv.Serve(l)
		f(ctx, New(n.Dialer("a"), "state:1", limitsOfTests, 1<<20))
		stop()
		srv.Close()
		l.Close()
		n.Crash("a")
		time.Sleep(10 * time.Second)
	})
}

// fixedAnswer answers every call with one status and body, as late as is set.
type fixedAnswer struct {
	mu   sync.Mutex
	code int
	body string
	late time.Duration
}

func (a *fixedAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	code, body, late := a.code, a.body, a.late
	a.mu.Unlock()
	time.Sleep(late)
	w.WriteHeader(code)
	w.Write([]byte(body))
}

func (a *fixedAnswer) set(code int, body string, late time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.code, a.body, a.late = code, body, late
}

// withStubService runs f with a client of a service whose answers it sets.
func withStubService(t *testing.T, f func(ctx context.Context, c *Client, answer func(code int, body string, late time.Duration))) {
	t.Helper()
	answer := &fixedAnswer{}
	withService(t, answer, func(ctx context.Context, c *Client) { f(ctx, c, answer.set) })
}

// What was surely not executed, what failed its guards, and what nobody knows are
// told apart: all else rests on that.
func TestOutcomes(t *testing.T) {
	good, err := protocol.Marshal(protocol.TransactionReply{StoreRevision: 7})
	if err != nil {
		t.Fatal(err)
	}
	failed, err := protocol.Marshal(protocol.TransactionReply{FailedGuards: []string{"k"}, StoreRevision: 7})
	if err != nil {
		t.Fatal(err)
	}
	withStubService(t, func(ctx context.Context, c *Client, answer func(int, string, time.Duration)) {
		for _, x := range []struct {
			name string
			code int
			body string
			late time.Duration
			want error
		}{
			{"passed", 200, string(good), 0, nil},
			{"busy", 429, "", 0, ErrRateLimited},
			{"busy is refused", 429, "", 0, ErrRefused},
			{"outage", 503, "", 0, ErrRefused},
			{"no grant", 400, "", 0, ErrLeaseExpired},
			{"too large", 400, "", 0, ErrTooLarge},
			{"malformed", 200, "nonsense", 0, ErrUnknown},
			{"not a map", 200, "\x80", 0, ErrUnknown},
			{"empty", 200, "", 0, ErrUnknown},
			{"strange status", 500, "", 0, ErrUnknown},
			{"late", 200, string(good), 3 * time.Second, ErrUnknown},
		} {
			answer(x.code, x.body, x.late)
			// Only a change that is attached to a lease can lack it; any other 400 is
			// for the size, and is not sent again.
			var m protocol.Transaction
			if x.want == ErrLeaseExpired {
				m.Changes = []protocol.Change{{PutKey: "k", Data: good, LeaseID: 7}}
			}
			if _, err := c.Commit(ctx, PriorityUser, m); !errors.Is(err, x.want) {
				t.Errorf("%s: %v, want %v", x.name, err, x.want)
			}
			time.Sleep(4 * time.Second)
		}
		answer(409, string(failed), 0)
		var conflict *ConflictError
		if _, err := c.Commit(ctx, PriorityUser, protocol.Transaction{}); !errors.As(err, &conflict) || strings.Join(conflict.FailedGuards, " ") != "k" {
			t.Errorf("conflict: %v", err)
		}
	})
}

// Refused calls cost nothing: after an outage the next commits go out at once.
func TestRefusedCallsCostNothing(t *testing.T) {
	good, err := protocol.Marshal(protocol.TransactionReply{StoreRevision: 7})
	if err != nil {
		t.Fatal(err)
	}
	m := protocol.Transaction{Changes: make([]protocol.Change, 16)}
	withStubService(t, func(ctx context.Context, c *Client, answer func(int, string, time.Duration)) {
		answer(503, "", 0)
		for range 40 {
			if _, err := c.Commit(ctx, PriorityUser, m); !errors.Is(err, ErrRefused) {
				t.Fatal(err)
			}
		}
		answer(200, string(good), 0)
		start := time.Now()
		for range 2 {
			if _, err := c.Commit(ctx, PriorityPlacement, m); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("two commits took %v", took)
		}
	})
}
