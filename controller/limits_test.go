package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/job"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// A watch whose reply is longer than is taken counts as compacted, so that the job cache lists its
// jobs anew by pages; it was once repeated for ever.
func TestWatchBeyondReplyLimitIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		nw, store := emulator.NewNet(), emulator.NewStore(8192)
		if err := store.Serve(ctx, nw, "state:2379"); err != nil {
			t.Fatal(err)
		}
		for i := range 200 {
			store.Swap(job.Key(fmt.Sprintf("wk-%d", i)), []byte("\x78\x64"+strings.Repeat("x", 100)))
		}
		client := func(maxReply int) *statestore.Client {
			return statestore.New(nw.Dialer("a"), "state:2379", settings.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 16}, maxReply)
		}
		if seen, err := client(1<<20).Watch(ctx, "jobs/", 0, time.Second); err != nil || len(seen.Events) != 200 {
			t.Errorf("%d events, %v", len(seen.Events), err)
		}
		if _, err := client(10000).Watch(ctx, "jobs/", 0, time.Second); !errors.Is(err, statestore.ErrRevisionCompacted) {
			t.Errorf("a reply that is too long: %v", err)
		}
		stop()
		nw.Crash("a")
		time.Sleep(5 * time.Second)
	})
}

// A list of more than a page is whole.
func TestListReadsAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		nw, store := emulator.NewNet(), emulator.NewStore(8192)
		if err := store.Serve(ctx, nw, "state:2379"); err != nil {
			t.Fatal(err)
		}
		for i := range 1001 {
			store.Swap(fmt.Sprintf("jobs/wk-%d", i), []byte{0x01})
		}
		client := statestore.New(nw.Dialer("a"), "state:2379", settings.StateLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 16}, 1<<20)
		if all, _, err := client.List(ctx, statestore.PriorityMembership, "jobs/"); err != nil || len(all) != 1001 {
			t.Errorf("%d keys, %v", len(all), err)
		}
		stop()
		nw.Crash("a")
		time.Sleep(5 * time.Second)
	})
}
