package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// A limit is logged once, and each time it is reached is counted.
func TestBoundsAreLoggedOnceAndCounted(t *testing.T) {
	var log strings.Builder
	b := newLimitCounter(slog.New(slog.NewTextHandler(&log, nil)))
	for range 3 {
		b.record(limits.StatusReads)
	}
	b.recordAll(limits.Counts{limits.StatusReads: 2, limits.Machines: 1})
	if got := b.snapshotAndReset(); got != "machines=1 status_reads=5" {
		t.Errorf("counted %q", got)
	}
	b.record(limits.StatusReads)
	if got := b.snapshotAndReset(); got != "status_reads=1" {
		t.Errorf("counted %q after the last look", got)
	}
	if n := strings.Count(log.String(), "limit=status_reads"); n != 1 {
		t.Errorf("logged %d times", n)
	}
}

// One poll more than is held is refused at once; the others wait for their answer.
func TestOnePollMoreThanIsHeld(t *testing.T) {
	const most = 3
	met := 0
	p := newStatusConfirmer(nil, nil, most, func() { met++ })
	ctx, stop := context.WithCancel(context.Background())
	answers := make(chan confirmation, most)
	for i := range most {
		go func() { answers <- p.confirm(ctx, fmt.Sprintf("wk-%d", i)) }()
	}
	for len(p.waiting) < most {
		time.Sleep(time.Millisecond)
	}
	if v := p.confirm(context.Background(), "wk-9"); v != confirmationUnavailable || met != 1 {
		t.Errorf("verdict %v, limit reached %d times", v, met)
	}
	stop()
	for range most {
		<-answers
	}
}

// A log that drops what a peer lacks says so, and the peer sees the gap.
func TestOneLogEntryMoreThanFits(t *testing.T) {
	met := 0
	l := cancellationLog{id: 7, maxEntries: 8, maxMessageEntries: 3, full: func() { met++ }}
	for i := range 8 {
		l.add(cancellationOf(i))
	}
	if from, entries := l.after(7, 0); met != 0 || from != 0 || len(entries) != 3 {
		t.Errorf("with a full log: from %d, %d entries, limit reached %d times", from, len(entries), met)
	}
	l.add(cancellationOf(8))
	if from, entries := l.after(7, 0); met != 1 || from != l.end() || entries != nil {
		t.Errorf("with one more: from %d, %d entries, limit reached %d times", from, len(entries), met)
	}
	if from, entries := l.after(7, 6); from != 6 || len(entries) != 3 || entries[2].UID != "wk-8" {
		t.Errorf("a peer that knows six gets %v from %d", entries, from)
	}
}

// Final states are forgotten by halves, the older first, and what is forgotten can be kept anew.
func TestFinalStatesAreForgottenByHalves(t *testing.T) {
	f := newTerminalStateCache(8, func(limits.Name) {})
	for i := range 9 {
		f.put(fmt.Sprint(i), job.TerminalState{Done: i})
	}
	for i := range 9 {
		if final, known := f.get(fmt.Sprint(i)); known != (i >= 4) || known && final.Done != i {
			t.Errorf("%d: %v, known %v", i, final, known)
		}
	}
}

// Workers that were sent on long ago make room for others; beyond the limit none is taken
// for one that came back.
func TestRedirectsAreBounded(t *testing.T) {
	met, now := 0, time.Unix(1000, 0)
	r := newRedirectTracker(2, func() { met++ })
	for _, c := range []struct {
		machine string
		after   time.Duration
		back    bool
		met     int
	}{{"a", 0, false, 0}, {"b", 0, false, 0}, {"c", time.Second, false, 1}, {"c", time.Second, false, 2}, {"a", time.Second, true, 2}, {"c", 9 * time.Second, false, 2}, {"c", time.Second, true, 2}} {
		now = now.Add(c.after)
		if back := r.record(c.machine, now); back != c.back || met != c.met {
			t.Errorf("%+v: came back %v, limit reached %d times", c, back, met)
		}
	}
}

// With all slots taken a connection that is not in use makes room for a new one; before that
// answers close theirs, so that nobody waits for a slot for long.
func TestConnectionsShareSlots(t *testing.T) {
	for _, shared := range []bool{false, true} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		const slots, clients = 4, 12
		met := make(chan struct{}, 2*clients)
		limited := newLimitedListener(l, slots, func() { met <- struct{}{} })
		var handler http.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
		if shared {
			handler = limited.shareSlots(handler)
		}
		srv := &http.Server{ConnState: limited.track, Handler: handler}
		go srv.Serve(limited)
		closed := 0
		for range clients { // each keeps its connection for as long as it may
			client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.Close {
				closed++
			}
		}
		if (closed > 0) != shared || !shared && len(met) < clients-slots {
			t.Errorf("shared %v: %d answers closed their connection, the limit was reached %d times", shared, closed, len(met))
		}
		srv.Close()
	}
}

// A watch with more than is taken of an answer is too old, so that the mirror reads its jobs
// anew by pages; it was once repeated for ever.
func TestWatchThatIsTooLongIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		nw, store := emulator.NewNet(), emulator.NewStore(8192)
		if err := store.Serve(ctx, nw, "state:2379"); err != nil {
			t.Fatal(err)
		}
		for i := range 200 {
			store.Swap(job.Key(fmt.Sprintf("wk-%d", i)), []byte("\x78\x64"+strings.Repeat("x", 100)))
		}
		client := func(most int) *statestore.Client {
			return statestore.New(nw.Dialer("a"), "state:2379", settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16}, most)
		}
		if seen, err := client(1<<20).Watch(ctx, "jobs/", 0, time.Second); err != nil || len(seen.Events) != 200 {
			t.Errorf("%d changes, %v", len(seen.Events), err)
		}
		if _, err := client(10000).Watch(ctx, "jobs/", 0, time.Second); !errors.Is(err, statestore.ErrRevisionCompacted) {
			t.Errorf("an answer that is too long: %v", err)
		}
		stop()
		nw.Crash("a")
		time.Sleep(5 * time.Second)
	})
}

// A list of more than a page is whole, of machines as of keys.
func TestListsOfMoreThanAPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		nw, store := emulator.NewNet(), emulator.NewStore(8192)
		if err := store.Serve(ctx, nw, "state:2379"); err != nil {
			t.Fatal(err)
		}
		for i := range 1001 {
			store.Swap(fmt.Sprintf("jobs/wk-%d", i), []byte{0x01})
		}
		client := statestore.New(nw.Dialer("a"), "state:2379", settings.StoreLimits{RPS: 100, WriteRPS: 100, ValueKB: 8, TransactionChanges: 16}, 1<<20)
		if all, _, err := client.List(ctx, statestore.PriorityMembership, "jobs/"); err != nil || len(all) != 1001 {
			t.Errorf("%d keys, %v", len(all), err)
		}
		stop()
		nw.Crash("a")
		time.Sleep(5 * time.Second)
	})
}
