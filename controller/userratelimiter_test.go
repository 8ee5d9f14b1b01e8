package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/settings"
)

// Requests of one kind do not consume the rate of other kinds, and a used-up rate recovers with time.
func TestUserRequestKindsHaveSeparateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newUserRateLimiter(settings.StoreLimits{RPS: 100})
		for range 30 { // the share of submissions per second
			if !limiter.allow(callSubmit) {
				t.Fatal("submission within the share was refused")
			}
		}
		if limiter.allow(callSubmit) {
			t.Error("submission beyond the share was allowed")
		}
		if !limiter.allow(callRead) || !limiter.allow(callCancel) {
			t.Error("submissions consumed the rate of other requests")
		}
		time.Sleep(time.Second)
		if !limiter.allow(callSubmit) {
			t.Error("submission was refused a second later")
		}
		if refused := limiter.snapshotAndResetRefused(); refused != 1 {
			t.Errorf("%d requests were counted as refused, want 1", refused)
		}
		if refused := limiter.snapshotAndResetRefused(); refused != 0 {
			t.Errorf("%d requests were counted as refused after the reset, want none", refused)
		}
	})
}

func TestMinimumBurst(t *testing.T) {
	limiter := newUserRateLimiter(settings.StoreLimits{RPS: 1})
	for range minUserCallBurst {
		if !limiter.allow(callRead) {
			t.Fatal("read within the burst was refused")
		}
	}
	if limiter.allow(callRead) {
		t.Error("read beyond the burst was allowed")
	}
}
