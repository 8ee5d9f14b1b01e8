package controller

import (
	"time"

	"junipershelf/peer"
)

// replicationProgress is the state of cancellation log replication between this node and a peer.
type replicationProgress struct {
	received     logPosition // position in the peer's log up to which this node knows it
	acknowledged logPosition // position in this node's log up to which the peer knows it
	gap          logGap
}

// logGap records that a peer's log has entries which this node did not receive. All of them are older
// than the entry with the number end. Their cancellations were in the key-value store when the peer
// logged them, so this node knows them once its job cache reflects the store as of a time after seenAt.
type logGap struct {
	id, end uint64 // id of the log, 0 if there is no gap; number of the log's next entry at seenAt
	seenAt  time.Time
}

// observe updates the progress from a ping whose log entries have already been recorded. It reports
// whether this node now knows all entries of the sender's log. The job cache reflects the key-value
// store as of cacheSyncedAt.
func (r *replicationProgress) observe(ping *peer.Ping, now, cacheSyncedAt time.Time) (complete bool) {
	if ping.LogID == 0 {
		return false // the sender's version has no cancellation log
	}
	if ping.PeerLogID != 0 {
		r.acknowledged = logPosition{id: ping.PeerLogID, next: ping.PeerLogReceived}
	}
	r.closeGap(ping.LogID, cacheSyncedAt)
	if ping.LogID != r.received.id || ping.LogFrom > r.received.next {
		r.openGap(ping, now)
		return false
	}
	r.received.next = max(r.received.next, ping.LogFrom+uint64(len(ping.Cancellations)))
	return r.received.next >= ping.LogEnd
}

// closeGap removes a log's gap once the job cache reflects the key-value store as of a time after the
// gap was seen.
func (r *replicationProgress) closeGap(logID uint64, cacheSyncedAt time.Time) {
	if r.gap.id != logID || !cacheSyncedAt.After(r.gap.seenAt) {
		return
	}
	if r.received.id != logID || r.received.next < r.gap.end {
		r.received = logPosition{id: r.gap.id, next: r.gap.end}
	}
	r.gap = logGap{}
}

// openGap records a gap between the known entries of a log and those in a ping, unless a gap in that
// log is already recorded.
func (r *replicationProgress) openGap(ping *peer.Ping, now time.Time) {
	if r.gap.id != ping.LogID {
		r.gap = logGap{id: ping.LogID, end: ping.LogEnd, seenAt: now}
	}
}

// acknowledgedUpTo reports whether the peer knows this node's log up to a position.
func (r *replicationProgress) acknowledgedUpTo(position logPosition) bool {
	return r.acknowledged.id == position.id && r.acknowledged.next >= position.next
}
