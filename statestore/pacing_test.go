package statestore

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/protocol"
)

// limitedService counts the changes that it takes and those that it answers 429.
type limitedService struct {
	mu          sync.Mutex
	limit       *rate.Limiter
	taken, busy int
}

func (s *limitedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/multi" && !s.limit.Allow() {
		s.busy++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.taken++
	raw, err := protocol.Marshal(protocol.TransactionReply{StoreRevision: 7})
	if err != nil {
		panic(err)
	}
	w.Write(raw)
}

// count gives the counters since the last look.
func (s *limitedService) count() (taken, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken, busy = s.taken, s.busy
	s.taken, s.busy = 0, 0
	return taken, busy
}

func (s *limitedService) fallTo(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// withLimitedService runs f beside a service of which the limit is not the settings' one.
func withLimitedService(t *testing.T, f func(ctx context.Context, c *Client, s *limitedService)) {
	t.Helper()
	s := &limitedService{}
	s.fallTo(limitsOfTests.WriteRPS)
	withService(t, s, func(ctx context.Context, c *Client) { f(ctx, c, s) })
}

func oneChange() protocol.Transaction {
	return protocol.Transaction{Changes: []protocol.Change{{PutKey: "k", Data: []byte{0xa0}}}}
}

// write sends transactions of a class one after the other until the context ends.
func write(ctx context.Context, c *Client, class Priority) {
	for ctx.Err() == nil {
		if _, err := c.Commit(ctx, class, oneChange()); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
}

// The service leases a quarter of what the settings name, and later all of it again: the
// pace follows within seconds both ways, and few calls are refused once it has.
func TestRateIsLearnedFromRefusals(t *testing.T) {
	withLimitedService(t, func(ctx context.Context, c *Client, s *limitedService) {
		for range 2 {
			go write(ctx, c, PriorityPlacement)
		}
		time.Sleep(10 * time.Second)
		s.count()
		time.Sleep(20 * time.Second)
		if taken, busy := s.count(); busy > 0 || taken < 20*14 {
			t.Fatalf("within the settings' limit: %d taken, %d refused in 20 s", taken, busy)
		}
		s.fallTo(5)
		time.Sleep(10 * time.Second)
		s.count()
		time.Sleep(60 * time.Second)
		taken, busy := s.count()
		if busy > taken/4 {
			t.Errorf("%d of %d calls are refused once the lower limit is known", busy, taken+busy)
		}
		if taken < 60*5*2/3 {
			t.Errorf("%d changes in 60 s of a limit of 5 a second", taken)
		}
		if _, changes := c.GrantedShare(); changes > 0.5 {
			t.Errorf("%.2f of the share is thought to be granted", changes)
		}
		s.fallTo(20)
		time.Sleep(35 * time.Second)
		s.count()
		time.Sleep(20 * time.Second)
		if taken, _ := s.count(); taken < 20*14 {
			t.Errorf("%d changes in 20 s after the limit has risen again", taken)
		}
		if requests, changes := c.GrantedShare(); requests < 1 || changes < 1 {
			t.Errorf("granted %.2f and %.2f after the limit has risen again", requests, changes)
		}
	})
}

// A burst of the other nodes is no limit: a single 429 now and then changes nothing.
func TestSingleRefusalsDoNotSlowDown(t *testing.T) {
	l := newLearnedRate()
	now := time.Unix(1_000_000, 0)
	for range 20 {
		if l.recordRefusal(now) {
			t.Fatal("cut by a refusal each four seconds")
		}
		now = now.Add(refusalWindow + time.Second)
	}
}

// At the start of a day users' calls alone exceed this node's share for seconds, and some are
// refused: that is no lower limit, and the commits that follow are not slowed down.
func TestOwnBurstsAreNoLowerLimit(t *testing.T) {
	withLimitedService(t, func(ctx context.Context, c *Client, s *limitedService) {
		for range 5 * 60 { // sixty a second for five seconds
			go func() { _, _ = c.Commit(ctx, PriorityUser, oneChange()) }()
			time.Sleep(time.Second / 60)
		}
		if _, busy := s.count(); busy < 50 {
			t.Fatalf("%d calls were refused: there was no burst", busy)
		}
		if requests, changes := c.GrantedShare(); requests < 1 || changes < 1 {
			t.Errorf("granted %.2f and %.2f after a burst of this node's own", requests, changes)
		}
	})
}

// While less is granted than is asked for, the classes come in their order: the lease goes
// out at once, the users' calls next, commits have what they leave, and the rest comes
// last. Users' calls beyond what is granted are refused here and never sent.
func TestOrderOfImportanceWhileScarce(t *testing.T) {
	withLimitedService(t, func(ctx context.Context, c *Client, s *limitedService) {
		s.fallTo(5)
		loops, stop := context.WithCancel(ctx)
		for range 3 {
			go write(loops, c, PriorityPlacement)
		}
		time.Sleep(30 * time.Second)
		users, refused := 0, 0
		for range 40 { // two a second, within the limit
			start := time.Now()
			switch _, err := c.Commit(ctx, PriorityUser, oneChange()); {
			case err == nil:
				users++
			case errors.Is(err, ErrRateLimited):
				refused++
			default:
				t.Fatal(err)
			}
			if took := time.Since(start); took > 100*time.Millisecond {
				t.Fatalf("a user's call was held up for %v", took)
			}
			time.Sleep(500 * time.Millisecond)
		}
		if users < 30 {
			t.Errorf("%d of 40 users' calls passed, %d were refused, while commits take the rest", users, refused)
		}
		start := time.Now()
		if err := c.RenewLease(ctx, 1); err != nil || time.Since(start) > 100*time.Millisecond {
			t.Errorf("the lease is renewed after %v: %v", time.Since(start), err)
		}
		start = time.Now()
		if _, err := c.Get(ctx, PriorityBackground, "k"); err != nil || time.Since(start) < yieldFor {
			t.Errorf("the rest did not let the commits go first: %v, %v", time.Since(start), err)
		}
		stop()
		time.Sleep(time.Second)
		s.count()
		sent := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			_, _ = c.Commit(ctx, PriorityUser, oneChange())
			sent++
		}
		if taken, busy := s.count(); busy > taken || taken+busy > sent/5 {
			t.Errorf("of %d calls by users %d were sent, %d of them to be refused", sent, taken+busy, busy)
		}
	})
}
