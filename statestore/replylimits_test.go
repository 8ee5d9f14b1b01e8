package statestore_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// withEmulatedStore runs a test with an emulated key-value store, on a simulated clock. newClient creates
// a client that accepts replies of at most maxReplyBytes.
func withEmulatedStore(t *testing.T, test func(t *testing.T, store *emulator.Store, newClient func(maxReplyBytes int) *statestore.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		ctx, stop := context.WithCancel(context.Background())
		network, store := emulator.NewMemoryNetwork(), emulator.NewStore(8192)
		if err := store.Serve(ctx, network, "state:2379"); err != nil {
			t.Fatal(err)
		}
		test(t, store, func(maxReplyBytes int) *statestore.Client {
			limits := settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16}
			return statestore.New(network.Dialer("a"), "state:2379", limits, maxReplyBytes)
		})
		stop()
		network.CloseConnections("a")
		time.Sleep(5 * time.Second) // until all goroutines of the connections have ended
	})
}

// A watch whose reply exceeds the limit fails like one whose revision is compacted, so that its
// keys are listed again in pages. Otherwise the watch would be repeated forever, as has happened.
func TestWatchBeyondReplyLimitIsCompacted(t *testing.T) {
	withEmulatedStore(t, func(t *testing.T, store *emulator.Store, newClient func(maxReplyBytes int) *statestore.Client) {
		t.Helper()
		for i := range 200 {
			store.ReplaceValue(fmt.Sprintf("jobs/wk-%d", i), []byte("\x78\x64"+strings.Repeat("x", 100)))
		}
		if reply, err := newClient(1<<20).Watch(t.Context(), "jobs/", 0, time.Second); err != nil || len(reply.Events) != 200 {
			t.Errorf("a reply within the limit has %d events, want 200: %v", len(reply.Events), err)
		}
		if _, err := newClient(10000).Watch(t.Context(), "jobs/", 0, time.Second); !errors.Is(err, statestore.ErrRevisionCompacted) {
			t.Errorf("a reply that is too long: error %v, want ErrRevisionCompacted", err)
		}
	})
}

// A list of more than one page is complete.
func TestListReadsAllPages(t *testing.T) {
	withEmulatedStore(t, func(t *testing.T, store *emulator.Store, newClient func(maxReplyBytes int) *statestore.Client) {
		t.Helper()
		for i := range 1001 {
			store.ReplaceValue(fmt.Sprintf("jobs/wk-%d", i), []byte{0x01})
		}
		entries, _, err := newClient(1<<20).List(t.Context(), statestore.PriorityMembership, "jobs/")
		if err != nil || len(entries) != 1001 {
			t.Errorf("the list has %d keys, want 1001: %v", len(entries), err)
		}
	})
}
