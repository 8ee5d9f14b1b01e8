// Package ctxtime has waits that end early when a context is cancelled, and timers that are never due when
// they are set.
//
// The second matters in bubbles of package testing/synctest: there the race detector of Go 1.26 crashes if two
// goroutines at a time set a timer that is due at once, or select on one that is already due.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d. It reports false if the context is cancelled before or meanwhile. For a duration of
// 0 or less it returns at once without setting a timer.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// minDelay is the shortest delay of AfterFunc.
const minDelay = time.Microsecond

// AfterFunc is time.AfterFunc with a delay of at least a microsecond.
func AfterFunc(d time.Duration, f func()) *time.Timer { return time.AfterFunc(max(d, minDelay), f) }
