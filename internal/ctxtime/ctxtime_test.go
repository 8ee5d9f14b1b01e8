package ctxtime_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/internal/ctxtime"
)

// A wait lasts exactly its duration, and ends when the context is cancelled.
func TestSleepEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		for _, test := range []struct {
			wait, want time.Duration
			slept      bool
		}{
			{2 * time.Second, 2 * time.Second, true},
			{0, 0, true},
			{-time.Second, 0, true},
			{2 * time.Second, time.Second, false},
			{0, 0, false},
		} {
			began := time.Now()
			slept := ctxtime.Sleep(ctx, test.wait)
			if waited := time.Since(began); slept != test.slept || waited != test.want {
				t.Errorf("wait of %v: %v after %v, want %v after %v", test.wait, slept, waited, test.slept, test.want)
			}
		}
	})
}

// Concurrent waits and timers of no duration in one bubble do not crash the race detector, as timers that are
// due at once do.
func TestConcurrentTimersOfNoDuration(t *testing.T) {
	const goroutines, rounds = 8, 20_000
	synctest.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range goroutines {
			all.Go(func() {
				for range rounds {
					if !ctxtime.Sleep(t.Context(), 0) {
						t.Error("a wait of no duration was cut short")
						return
					}
				}
			})
		}
		all.Wait()
		var called atomic.Int64
		for range goroutines {
			all.Go(func() {
				for range rounds {
					ctxtime.AfterFunc(0, func() { called.Add(1) })
				}
			})
		}
		all.Wait()
		time.Sleep(time.Second)
		if n := called.Load(); n != goroutines*rounds {
			t.Errorf("%d of %d functions were called", n, goroutines*rounds)
		}
	})
}
