package emulator

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
)

// maxGuardsPerChange is the number of guards that a transaction may have for each change that the
// lowered limits allow.
const maxGuardsPerChange = 4

// storeFaults are the injected faults and limits; the zero value has none.
type storeFaults struct {
	outage            func(caller string) bool
	latency           time.Duration
	loseReply         func() bool // the transaction is still applied
	repeatTransaction func() bool // the transaction is applied again after repeatDelay
	delayTransaction  func() (time.Duration, bool)
	loweredLimits     *transactionLimits // nil: not lowered
	translate         func(caller, key string, data []byte) []byte

	requests, changes *rate.Limiter // nil: no limit
}

// repeatDelay is the delay after which a transaction is applied again.
const repeatDelay = time.Second

// transactionLimits are the limits of one transaction.
type transactionLimits struct {
	valueBytes int // encoded as JSON
	changes    int
}

// SetOutage makes the store refuse the callers for which refused returns true; nil ends the
// outage, which renews each lease for its full TTL. The caller is a host, or empty when the
// store itself checks whether leases expire.
func (s *Store) SetOutage(refused func(caller string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage != nil && refused == nil {
		for id := range s.leases {
			s.leases[id] = time.Now().Add(s.leaseTTL[id])
		}
	}
	s.faults.outage = refused
}

// SetLatency sets the delay of each reply.
func (s *Store) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = latency
}

// SetReplyFaults sets which transactions are applied without a reply, and which are applied again
// after repeatDelay. Each function is called once per transaction; nil selects none.
func (s *Store) SetReplyFaults(lose, repeat func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseReply, s.faults.repeatTransaction = lose, repeat
}

// DelayTransactions sets which transactions with changes get no reply and are applied after the
// returned delay, possibly after newer ones; nil selects none.
func (s *Store) DelayTransactions(delay func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delayTransaction = delay
}

// LimitRates makes the store reply 429 above a number of requests and of changes per second, with
// bursts of one second's worth.
func (s *Store) LimitRates(requests, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.requests = newBurstLimiter(requests)
	s.faults.changes = newBurstLimiter(changes)
}

// LowerLimits makes the store reply 400 to a transaction with a value of more than valueBytes,
// encoded as JSON, or with more than maxChanges changes, and 429 above changesPerSecond.
func (s *Store) LowerLimits(valueBytes, maxChanges int, changesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loweredLimits = &transactionLimits{valueBytes: valueBytes, changes: maxChanges}
	s.faults.changes = newBurstLimiter(changesPerSecond)
}

// SetTranslation sets a function that converts each value that a caller writes or reads; nil
// leaves values unchanged.
func (s *Store) SetTranslation(translate func(caller, key string, data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.translate = translate
}

// ReplaceValue replaces a key's value, as a storage fault would, and returns the previous value.
func (s *Store) ReplaceValue(key string, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.keys[key]
	s.revision++
	s.put(key, data, earlier.leaseID)
	s.notifyWatches()
	return earlier.data
}

// translated returns a value as converted for a caller that writes or reads it.
func (f *storeFaults) translated(caller, key string, data []byte) []byte {
	if f.translate == nil {
		return data
	}
	return f.translate(caller, key, data)
}

// refuses reports whether the store is in an outage for a caller.
func (f *storeFaults) refuses(caller string) bool {
	return f.outage != nil && f.outage(caller)
}

// tooLarge reports whether a transaction exceeds the lowered limits.
func (f *storeFaults) tooLarge(t *protocol.Transaction) bool {
	if f.loweredLimits == nil {
		return false
	}
	limit := f.loweredLimits.changes
	if len(t.Changes) > limit || len(t.Guards) > maxGuardsPerChange*limit {
		return true
	}
	for _, change := range t.Changes {
		if change.PutKey != "" && JSONBytes(change.Data) > f.loweredLimits.valueBytes {
			return true
		}
	}
	return false
}

// refusal is the reply to a refused call.
type refusal struct {
	code int
	text string
}

// refusalOf returns the refusal of a transaction that exceeds the limits, nil if it is within
// them. Transactions whose guards fail also count towards the rate. The caller holds s.mu.
func (s *Store) refusalOf(t *protocol.Transaction) *refusal {
	if s.faults.tooLarge(t) {
		s.RefusedForSize++
		return &refusal{http.StatusBadRequest, "too large"}
	}
	if len(t.Changes) > 0 && s.faults.changes != nil && !s.faults.changes.AllowN(time.Now(), len(t.Changes)) {
		s.RefusedForRate++
		return &refusal{http.StatusTooManyRequests, "busy"}
	}
	return nil
}

// maybeDelay schedules a transaction for later if a fault is set for it, and reports whether it
// did. The caller holds s.mu.
func (s *Store) maybeDelay(t *protocol.Transaction) bool {
	if s.faults.delayTransaction == nil || len(t.Changes) == 0 {
		return false
	}
	delay, ok := s.faults.delayTransaction()
	if ok {
		s.applyAfter(delay, t)
	}
	return ok
}

// applyAfter applies a transaction after a delay.
func (s *Store) applyAfter(delay time.Duration, t *protocol.Transaction) {
	ctxtime.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(t)
	})
}
