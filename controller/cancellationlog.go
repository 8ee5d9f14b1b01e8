package controller

import (
	"math/rand/v2"
	"slices"
	"sync"

	"junipershelf/peer"
)

// droppedShare is the part of a full log, as a divisor, that is dropped at a time.
const droppedShare = 4

// cancellationLog is a node's log of the jobs that it knows to be cancelled, for its peers. A node
// logs a cancellation before it reports it to anybody. The entries are numbered from 0 over the life
// of the process; the oldest ones are dropped when the log is full.
//
// Its lock is taken after nodeState.mu, never before; the limit counter's is taken after it.
type cancellationLog struct {
	id     uint64 // of this process's log, never 0
	limits cancellationLogLimits
	onDrop func()

	mu      sync.Mutex
	first   uint64 // number of entries[0]
	entries []peer.Cancellation
}

// cancellationLogLimits are the limits of a log.
type cancellationLogLimits struct {
	entries        int // that the log holds
	messageEntries int // in one message
}

// logPosition says how much of a log is known: all entries before number next of the log id.
type logPosition struct {
	id   uint64 // 0: of no log
	next uint64
}

// logExcerpt is a part of a log, for a message.
type logExcerpt struct {
	id      uint64
	end     uint64 // number of the log's next entry
	from    uint64 // number of entries[0]
	entries []peer.Cancellation
}

// newCancellationLog makes an empty log with a random id. It calls onDrop each time that the log
// drops entries.
func newCancellationLog(limits cancellationLogLimits, onDrop func()) *cancellationLog {
	return &cancellationLog{id: rand.Uint64() | 1, limits: limits, onDrop: onDrop}
}

// append adds a cancelled job, of which a number of tasks had finished, and drops the oldest
// entries if there are too many.
func (l *cancellationLog) append(uid string, finishedTasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limits.entries {
		l.dropOldest()
	}
	l.entries = append(l.entries, peer.Cancellation{UID: uid, Done: finishedTasks})
}

// dropOldest drops a part of the log. The caller holds the lock.
func (l *cancellationLog) dropOldest() {
	l.onDrop()
	dropped := max(l.limits.entries/droppedShare, 1)
	l.entries = append(l.entries[:0], l.entries[dropped:]...)
	l.first += uint64(dropped)
}

// after returns the entries that follow a position, up to a message's worth of them. If the log
// does not reach back to the position, it returns none, from the log's end.
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
