package statestore

import (
	"errors"
	"sync"
)

// Metrics counts the use of the store's limits, and the calls that were refused. Watches are not counted.
type Metrics struct {
	Requests int // all calls that were sent
	Changes  int // in transactions that were not refused
	Refused  int // calls that the store refused
}

// usage accumulates the metrics.
type usage struct {
	mu      sync.Mutex
	metrics Metrics
}

// record counts a call that was sent, with its changes and its outcome.
func (u *usage) record(changes int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.metrics.Requests++
	if errors.Is(err, ErrRefused) {
		u.metrics.Refused++
		return
	}
	u.metrics.Changes += changes
}

// snapshotAndReset returns the counts since the last call.
func (u *usage) snapshotAndReset() Metrics {
	u.mu.Lock()
	defer u.mu.Unlock()
	snapshot := u.metrics
	u.metrics = Metrics{}
	return snapshot
}
