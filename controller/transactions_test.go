package controller

import (
	"errors"
	"testing"

	"junipershelf/statestore"
)

// A transaction is given up only if it was surely not carried out: one attempt without a reply
// is enough to send it until its outcome is known.
func TestOnlyRefusedTransactionsAreAbandoned(t *testing.T) {
	noReply := errors.New("no reply")
	for _, c := range []struct {
		name   string
		errs   []error
		giveUp bool
	}{
		{"refused, but not often enough", []error{statestore.ErrRefused, statestore.ErrRefused}, false},
		{"refused each time", []error{statestore.ErrRefused, statestore.ErrRefused, statestore.ErrRefused}, true},
		{"rate limited each time", []error{statestore.ErrRateLimited, statestore.ErrRateLimited, statestore.ErrRateLimited}, true},
		{"one attempt without a reply", []error{noReply, statestore.ErrRefused, statestore.ErrRefused, statestore.ErrRefused}, false},
		{"the last attempt without a reply", []error{statestore.ErrRefused, statestore.ErrRefused, noReply}, false},
	} {
		var retries commitRetries
		giveUp := false
		for _, err := range c.errs {
			giveUp = retries.recordFailure(err)
		}
		if giveUp != c.giveUp {
			t.Errorf("%s: given up %v", c.name, giveUp)
		}
	}
}

// Only the first attempt, and those that found no room in the rate limits, are charged as a
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
