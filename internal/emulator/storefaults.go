package emulator

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/protocol"
)

// maxGuardsPerChange is how many guards a transaction may have for each change that the lowered
// limits allow.
const maxGuardsPerChange = 4

// storeFaults are the faults and limits that are set; the zero value has none.
type storeFaults struct {
	outage            func(caller string) bool
	latency           time.Duration
	loseReply         func() bool // the transaction is applied
	repeatTransaction func() bool // it is applied once more, repeatDelay later
	delayTransaction  func() (time.Duration, bool)
	loweredLimits     *transactionLimits // nil: not lowered
	translate         func(caller, key string, data []byte) []byte

	requests, changes *rate.Limiter // nil: no limit
}

// repeatDelay is how much later a transaction is applied once more.
const repeatDelay = time.Second

// transactionLimits are the limits of one transaction.
type transactionLimits struct {
	valueBytes int // in JSON form
	changes    int
}

// SetOutage makes the store refuse the callers for which refused is true; nil ends the outage,
// after which each lease has its full time again. The caller is a host, or empty for the store's
// own question whether leases expire.
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

// SetLatency sets how long the store takes for each reply.
func (s *Store) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = latency
}

// SetReplyFaults sets which transactions are applied without a reply, and which are applied once
// more a second later. Each function is called once for a transaction; nil: none.
func (s *Store) SetReplyFaults(lose, repeat func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseReply, s.faults.repeatTransaction = lose, repeat
}

// DelayTransactions sets which transactions with changes get no reply and are applied later, by
// the returned time, after newer ones; nil: none.
func (s *Store) DelayTransactions(delay func() (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delayTransaction = delay
}

// LimitRates makes the store reply 429 beyond a number of requests and changes a second, with bursts
// of one second's worth.
func (s *Store) LimitRates(requests, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.requests = newBurstLimiter(requests)
	s.faults.changes = newBurstLimiter(changes)
}

// LowerLimits makes the store reply 400 to a transaction with a value of more than valueBytes, in
// JSON form, or with more than maxChanges changes, and 429 beyond changesPerSecond.
func (s *Store) LowerLimits(valueBytes, maxChanges int, changesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loweredLimits = &transactionLimits{valueBytes: valueBytes, changes: maxChanges}
	s.faults.changes = newBurstLimiter(changesPerSecond)
}

// SetTranslation sets what becomes of each value that a caller writes or reads; nil: it stays.
func (s *Store) SetTranslation(translate func(caller, key string, data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.translate = translate
}

// ReplaceValue puts other bytes in place of a key's value, as a fault of the storage would, and
// returns the earlier ones.
func (s *Store) ReplaceValue(key string, data []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.keys[key]
	s.revision++
	s.put(key, data, earlier.leaseID)
	s.wakeWatches()
	return earlier.data
}

// translated returns a value as a caller writes or reads it.
func (f *storeFaults) translated(caller, key string, data []byte) []byte {
	if f.translate == nil {
		return data
	}
	return f.translate(caller, key, data)
}

// refuses reports whether the store is out for a caller.
func (f *storeFaults) refuses(caller string) bool {
	return f.outage != nil && f.outage(caller)
}

// tooLarge reports whether a transaction is beyond the lowered limits.
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

// refusal is the reply to a call that is refused.
type refusal struct {
	code int
	text string
}

// refusalOf returns the refusal of a transaction that is beyond the limits, nil if it is within
// them. One whose guards fail counts against the rate as well. The caller holds s.mu.
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

// delayed applies a transaction later if it is to be, and reports whether so. The caller holds s.mu.
func (s *Store) delayed(t *protocol.Transaction) bool {
	if s.faults.delayTransaction == nil || len(t.Changes) == 0 {
		return false
	}
	delay, ok := s.faults.delayTransaction()
	if ok {
		s.applyAfter(delay, t)
	}
	return ok
}

// applyAfter applies a transaction after a time.
func (s *Store) applyAfter(delay time.Duration, t *protocol.Transaction) {
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(t)
	})
}
