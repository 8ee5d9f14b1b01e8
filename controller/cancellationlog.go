package controller

import (
	"math/rand/v2"
	"slices"
	"sync"

	"junipershelf/peer"
)

// dropDivisor sets how many entries a full log drops at once: its capacity divided by dropDivisor.
const dropDivisor = 4

// cancellationLog is the log of cancelled jobs that a node replicates to its peers. A node appends a
// cancellation before it reports it to any client or peer. Entries are numbered from 0 for the
// lifetime of the process; the oldest entries are dropped when the log is full.
//
// Its lock is acquired after nodeState.mu, never before it, and before the limit counter's lock.
type cancellationLog struct {
	id     uint64 // identifies this process's log; never 0
	limits cancellationLogLimits
	onDrop func()

	mu      sync.Mutex
	first   uint64 // number of entries[0]
	entries []peer.Cancellation
}

// cancellationLogLimits are the limits of a log.
type cancellationLogLimits struct {
	entries        int // maximum number of entries in the log
	messageEntries int // maximum number of entries in one message
}

// logPosition is a position in a log, up to which the log is known.
type logPosition struct {
	id   uint64 // of the log; 0 if no log is known
	next uint64 // number of the first entry that is not known
}

// logExcerpt is the range of a log that one message carries.
type logExcerpt struct {
	id      uint64
	end     uint64 // number that the log's next entry will get
	from    uint64 // number of entries[0]
	entries []peer.Cancellation
}

// newCancellationLog creates an empty log with a random id. The log calls onDrop each time it drops
// entries.
func newCancellationLog(limits cancellationLogLimits, onDrop func()) *cancellationLog {
	return &cancellationLog{id: rand.Uint64() | 1, limits: limits, onDrop: onDrop}
}

// append adds a cancelled job with its number of completed tasks, and returns the position after its
// entry. If the log is full, the oldest entries are dropped first.
func (l *cancellationLog) append(uid string, completedTasks int) logPosition {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limits.entries {
		l.dropOldest()
	}
	l.entries = append(l.entries, peer.Cancellation{UID: uid, Done: completedTasks})
	return logPosition{id: l.id, next: l.first + uint64(len(l.entries))}
}

// dropOldest drops the oldest 1/dropDivisor of the log. The caller holds the lock.
func (l *cancellationLog) dropOldest() {
	l.onDrop()
	dropped := max(l.limits.entries/dropDivisor, 1)
	l.entries = append(l.entries[:0], l.entries[dropped:]...)
	l.first += uint64(dropped)
}

// after returns the entries that follow a position, limited to what fits in one message. If the log
// does not contain the position, the excerpt is empty and starts at the end of the log.
func (l *cancellationLog) after(position logPosition) logExcerpt {
	l.mu.Lock()
	defer l.mu.Unlock()
	excerpt := logExcerpt{id: l.id, end: l.first + uint64(len(l.entries))}
	if position.id != l.id || position.next < l.first || position.next > excerpt.end {
		excerpt.from = excerpt.end
		return excerpt
	}
	excerpt.from = position.next
	entries := l.entries[position.next-l.first:]
	excerpt.entries = slices.Clone(entries[:min(len(entries), l.limits.messageEntries)])
	return excerpt
}
