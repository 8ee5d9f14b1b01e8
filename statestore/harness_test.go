package statestore_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// nominalLimits are the limits in the settings of these tests.
var nominalLimits = settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16}

// maxReplyBytes is the length of the longest reply that the clients accept.
const maxReplyBytes = 1 << 20

// withStore runs a test on a simulated clock with a client of a store.
func withStore(t *testing.T, store http.Handler, test func(ctx context.Context, client *statestore.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewMemoryNetwork()
		listener, err := network.Listen("mem", "state:1")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: store}
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				t.Errorf("the store's server stopped: %v", err)
			}
		}()
		test(ctx, statestore.New(network.Dialer("a"), "state:1", nominalLimits, maxReplyBytes))
		stop()
		if err := server.Close(); err != nil {
			t.Errorf("the store's server cannot be closed: %v", err)
		}
		network.CloseConnections("a")
		time.Sleep(10 * time.Second)
	})
}

// encode returns a message in CBOR.
func encode(t *testing.T, message any) string {
	t.Helper()
	raw, err := protocol.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// reply is what a stub store replies, after a delay.
type reply struct {
	status int
	body   string
	delay  time.Duration
}

// stubStore gives the same reply to every call.
type stubStore struct {
	t *testing.T

	mu       sync.Mutex
	reply    reply
	requests []string // methods and URIs, since the reply was set
}

func (s *stubStore) set(reply reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply, s.requests = reply, nil
}

// received returns the requests since the reply was set.
func (s *stubStore) received() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *stubStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	reply := s.reply
	s.requests = append(s.requests, r.Method+" "+r.RequestURI)
	s.mu.Unlock()
	time.Sleep(reply.delay)
	w.WriteHeader(reply.status)
	if _, err := w.Write([]byte(reply.body)); err != nil && reply.delay == 0 {
		s.t.Errorf("a reply cannot be written: %v", err)
	}
}

// withStubStore runs a test with a client of a stubStore.
func withStubStore(t *testing.T, test func(ctx context.Context, client *statestore.Client, store *stubStore)) {
	t.Helper()
	store := &stubStore{t: t}
	withStore(t, store, func(ctx context.Context, client *statestore.Client) { test(ctx, client, store) })
}

// limitedStore limits the rate of transactions, and counts the calls that it executes and refuses.
type limitedStore struct {
	t *testing.T

	mu     sync.Mutex
	limit  *rate.Limiter
	counts callCounts
}

// callCounts counts the calls that a store has executed and refused.
type callCounts struct{ executed, refused int }

func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/multi" && !s.limit.Allow() {
		s.counts.refused++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.counts.executed++
	if _, err := w.Write([]byte(encode(s.t, protocol.TransactionReply{StoreRevision: 7}))); err != nil {
		s.t.Errorf("a reply cannot be written: %v", err)
	}
}

// snapshotAndReset returns the counts since the last call.
func (s *limitedStore) snapshotAndReset() callCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	s.counts = callCounts{}
	return counts
}

func (s *limitedStore) setLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// withLimitedStore runs a test with a client of a store whose limit can be set below that in the settings.
func withLimitedStore(t *testing.T, test func(ctx context.Context, client *statestore.Client, store *limitedStore)) {
	t.Helper()
	store := &limitedStore{t: t}
	store.setLimit(nominalLimits.WriteRPS)
	withStore(t, store, func(ctx context.Context, client *statestore.Client) { test(ctx, client, store) })
}

func oneChange() protocol.Transaction {
	return protocol.Transaction{Changes: []protocol.Change{{PutKey: "k", Data: []byte{0xa0}}}}
}

// commitRepeatedly commits transactions with a priority, one after the other, until the context ends.
func commitRepeatedly(ctx context.Context, client *statestore.Client, priority statestore.Priority) {
	for ctx.Err() == nil {
		if _, err := client.Commit(ctx, priority, oneChange()); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}
