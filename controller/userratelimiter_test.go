package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/settings"
)

// Requests of one kind use up no room of the others, and room comes back with time.
func TestUserRequestKindsHaveSeparateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newUserRateLimiter(settings.StoreLimits{RPS: 100})
		for range 30 { // a second's share of submissions
			if !limiter.allow(callSubmit) {
				t.Fatal("refused within the share")
			}
		}
		if limiter.allow(callSubmit) {
			t.Error("allowed beyond the share")
		}
		if !limiter.allow(callRead) || !limiter.allow(callCancel) {
			t.Error("submissions have used up the room of other requests")
		}
		time.Sleep(time.Second)
		if !limiter.allow(callSubmit) {
			t.Error("refused a second later")
		}
		if refused := limiter.snapshotAndResetRefused(); refused != 1 {
			t.Errorf("%d requests were counted as refused", refused)
		}
		if refused := limiter.snapshotAndResetRefused(); refused != 0 {
			t.Errorf("%d requests were counted as refused since", refused)
		}
	})
}

func TestMinimumBurst(t *testing.T) {
	limiter := newUserRateLimiter(settings.StoreLimits{RPS: 1})
	for range minUserCallBurst {
		if !limiter.allow(callRead) {
			t.Fatal("refused within the burst")
		}
	}
	if limiter.allow(callRead) {
		t.Error("allowed beyond the burst")
	}
}
