package controller

import (
	"errors"
	"testing"

	"junipershelf/statestore"
)

// A transaction is abandoned only if it was certainly not applied. After an attempt without a reply it
// is retried until its outcome is known.
func TestOnlyRefusedTransactionsAreAbandoned(t *testing.T) {
	noReply := errors.New("no reply")
	for _, c := range []struct {
		name    string
		errs    []error
		abandon bool
	}{
		{"refused less than maxRefusals times", []error{statestore.ErrRefused, statestore.ErrRefused}, false},
		{"refused each time", []error{statestore.ErrRefused, statestore.ErrRefused, statestore.ErrRefused}, true},
		{"rate limited each time", []error{statestore.ErrRateLimited, statestore.ErrRateLimited, statestore.ErrRateLimited}, true},
		{"one attempt without a reply", []error{noReply, statestore.ErrRefused, statestore.ErrRefused, statestore.ErrRefused}, false},
		{"the last attempt without a reply", []error{statestore.ErrRefused, statestore.ErrRefused, noReply}, false},
	} {
		var retries commitRetries
		abandon := false
		for _, err := range c.errs {
			abandon = retries.recordFailure(err)
		}
		if abandon != c.abandon {
			t.Errorf("%s: abandoned %v, want %v", c.name, abandon, c.abandon)
		}
	}
}

// Only the first attempt, and attempts after the rate limit was exceeded, have the priority of a
// placement.
func TestRetriesUseUserPriority(t *testing.T) {
	var retries commitRetries
	for i, attempt := range []struct {
		priority statestore.Priority
		err      error
	}{
		{statestore.PriorityPlacement, statestore.ErrRateLimited},
		{statestore.PriorityPlacement, errors.New("no reply")},
		{statestore.PriorityUser, statestore.ErrRateLimited},
		{statestore.PriorityPlacement, nil},
	} {
		if got := retries.priority(); got != attempt.priority {
			t.Errorf("attempt %d: priority %v, want %v", i, got, attempt.priority)
		}
		retries.recordFailure(attempt.err)
	}
}
