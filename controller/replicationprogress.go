package controller

import (
	"time"

	"junipershelf/peer"
)

// replicationProgress is how far this node and a peer know each other's logs of cancellations.
type replicationProgress struct {
	received     logPosition // in the peer's log, known here
	acknowledged logPosition // in this node's log, known to the peer
	gap          logGap
}

// logGap is a peer's log whose beginning has not been received. Once the job cache shows what was
// in the key-value store after the gap was seen, all of the log up to its end is known.
type logGap struct {
	id, end uint64 // id 0: there is no gap
	seenAt  time.Time
}

// observe records what a ping says of its sender's log, whose entries in the ping have been
// recorded already. It reports whether all entries of that log are known here now. The job cache
// shows the key-value store as of cacheSyncedAt.
func (r *replicationProgress) observe(ping *peer.Ping, now, cacheSyncedAt time.Time) (complete bool) {
	if ping.LogID == 0 {
		return false // from a version without a log of cancellations
	}
	if ping.PeerLogID != 0 {
		r.acknowledged = logPosition{id: ping.PeerLogID, next: ping.PeerLogKnown}
	}
	r.closeGap(ping.LogID, cacheSyncedAt)
	if ping.LogID != r.received.id || ping.LogFrom > r.received.next {
		r.openGap(ping, now)
		return false
	}
	r.received.next = max(r.received.next, ping.LogFrom+uint64(len(ping.Cancellations)))
	return r.received.next >= ping.LogEnd
}

// closeGap ends a gap in a log that the job cache has closed.
func (r *replicationProgress) closeGap(logID uint64, cacheSyncedAt time.Time) {
	if r.gap.id != logID || !cacheSyncedAt.After(r.gap.seenAt) {
		return
	}
	if r.received.id != logID || r.received.next < r.gap.end {
		r.received = logPosition{id: r.gap.id, next: r.gap.end}
	}
	r.gap = logGap{}
}

// openGap records that a ping's entries do not follow those that are known, unless a gap in its log
// is known already.
func (r *replicationProgress) openGap(ping *peer.Ping, now time.Time) {
	if r.gap.id != ping.LogID {
		r.gap = logGap{id: ping.LogID, end: ping.LogEnd, seenAt: now}
	}
}
