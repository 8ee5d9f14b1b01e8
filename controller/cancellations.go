package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/peer"
	"junipershelf/settings"
	"junipershelf/sizing"
)

// A quorum confirmation by all peers is worth as much as one by the state service only if it
// also brings the cancellations that they have confirmed to users: else a node that the
// service refuses alone lets those jobs run on. So each node logs what it knows to be
// cancelled before it tells anybody, and every ping, question and answer, carries the
// entries that the other side lacks.

const (
	replicationWait = 150 * time.Millisecond
	pingInterval    = time.Second
	// peerTimeout: a peer that was heard of within this is reachable.
	peerTimeout = 2500 * time.Millisecond
)

// cancellationLog is a node's log of cancellations. Entry i, counted from 0 over the
// process's life, is entries[i-first].
type cancellationLog struct {
	id      uint64 // of this process's log, never 0
	first   uint64
	entries []peer.Cancellation

	maxEntries        int // that the log holds
	maxMessageEntries int // of them in one message
	full              func()
}

// newLogID draws an id, never 0.
func newLogID() uint64 { return rand.Uint64() | 1 }

// add appends an entry and drops the oldest ones when there are too many.
func (l *cancellationLog) add(e peer.Cancellation) {
	if len(l.entries) >= l.maxEntries {
		l.full()
		n := max(l.maxEntries/4, 1)
		l.entries = append(l.entries[:0], l.entries[n:]...)
		l.first += uint64(n)
	}
	l.entries = append(l.entries, e)
}

// end is the number of the next entry.
func (l *cancellationLog) end() uint64 { return l.first + uint64(len(l.entries)) }

// after gives the entries that follow the first known ones, a message's worth of them. Of
// what the log has dropped nothing can be told: from is then its end.
func (l *cancellationLog) after(id, known uint64) (from uint64, entries []peer.Cancellation) {
	if id != l.id || known < l.first || known > l.end() {
		return l.end(), nil
	}
	entries = l.entries[known-l.first:]
	return known, slices.Clone(entries[:min(len(entries), l.maxMessageEntries)])
}

// peerLog is how far two nodes know each other's logs.
type peerLog struct {
	id, known uint64 // in the peer's log of this id so many entries are known here
	// gap is a log whose beginning was not received: once the mirror shows what stood in the
	// state service after the gap was seen, all of the log up to its end is known.
	gap struct {
		id, end uint64
		seen    time.Time
	}
	peerID, peerKnown uint64 // the same of our log at the peer
}

// applyPing takes a ping's entries and tells whether all of its sender's are known now. The
// mirror shows the state service as of the time freshAsOf.
func (l *peerLog) applyPing(p *peer.Ping, now, freshAsOf time.Time, apply func(peer.Cancellation)) bool {
	if p.LogID == 0 {
		return false // a version that tells no cancellations
	}
	if p.PeerLogID != 0 {
		l.peerID, l.peerKnown = p.PeerLogID, p.PeerLogKnown
	}
	for _, e := range p.Cancellations {
		apply(e)
	}
	if l.gap.id == p.LogID && freshAsOf.After(l.gap.seen) {
		if l.id != p.LogID || l.known < l.gap.end {
			l.id, l.known = l.gap.id, l.gap.end
		}
		l.gap.id = 0
	}
	if p.LogID == l.id && p.LogFrom <= l.known {
		l.known = max(l.known, p.LogFrom+uint64(len(p.Cancellations)))
		return l.known >= p.LogEnd
	}
	if l.gap.id != p.LogID {
		l.gap.id, l.gap.end, l.gap.seen = p.LogID, p.LogEnd, now
	}
	return false
}

// peerState is what is known of a peer.
type peerState struct {
	log         peerLog
	lastSeen    time.Time     // last answer or question
	storeSilent time.Duration // since the state service last answered it, as it said then
}

// cancellationReplication keeps this node's log and the state of its peers. Its lock is
// taken after the controller's, never before.
type cancellationReplication struct {
	requests chan chan struct{} // rounds that are asked for, see replicateNow
	full     func()             // is called for each round that finds no room

	mu    sync.Mutex
	log   cancellationLog
	peers map[string]*peerState
}

func newCancellationReplication(peers []settings.Peer, nodeLimits sizing.Limits, counter *limitCounter) *cancellationReplication {
	r := &cancellationReplication{
		requests: make(chan chan struct{}, nodeLimits.StatusReads),
		full:     func() { counter.record(limits.StatusReads) },
		log: cancellationLog{id: newLogID(), maxEntries: nodeLimits.LogEntries, maxMessageEntries: nodeLimits.MessageEntries,
			full: func() { counter.record(limits.Cancellations) }},
		peers: map[string]*peerState{},
	}
	for _, p := range peers {
		r.peers[p.NodeName] = &peerState{}
	}
	return r
}

// record logs a cancellation.
func (r *cancellationReplication) record(uid string, done int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.add(peer.Cancellation{UID: uid, Done: done})
}

// fill adds to a ping what its receiver lacks.
func (r *cancellationReplication) fill(p *peer.Ping, receiver string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.peers[receiver]
	if state == nil {
		return
	}
	p.LogID, p.LogEnd, p.PeerLogID, p.PeerLogKnown = r.log.id, r.log.end(), state.log.id, state.log.known
	p.LogFrom, p.Cancellations = r.log.after(state.log.peerID, state.log.peerKnown)
}

// observePing takes what a ping says of its sender and tells whether all its cancellations are
// known here. They have been taken over already.
func (r *cancellationReplication) observePing(p *peer.Ping, now, freshAsOf time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.peers[p.Node]
	if state == nil {
		return false
	}
	state.lastSeen, state.storeSilent = now, time.Duration(p.StoreSilentMS)*time.Millisecond
	return state.log.applyPing(p, now, freshAsOf, func(peer.Cancellation) {})
}

// reachable tells whether a peer was heard of a moment ago.
func (r *cancellationReplication) reachable(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.peers[node]
	return state != nil && time.Since(state.lastSeen) < peerTimeout
}

// anyPeerReachesStore tells whether the state service has just answered a peer that is reachable.
func (r *cancellationReplication) anyPeerReachesStore(within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, state := range r.peers {
		if time.Since(state.lastSeen) < peerTimeout && state.storeSilent < within {
			return true
		}
	}
	return false
}

// ping is what this node says of itself to another.
func (c *Controller) ping(receiver string) peer.Ping {
	view, _, _ := c.membership.Current()
	p := peer.Ping{Node: c.settings.NodeName, View: view.Number, StoreSilentMS: c.store.SinceLastReply().Milliseconds()}
	c.cancellations.fill(&p, receiver)
	return p
}

// receivePing takes another's ping and tells whether all cancellations that its sender knows
// are known here.
func (c *Controller) receivePing(p peer.Ping) bool {
	if c.peers[p.Node] == nil {
		return false
	}
	c.state.mu.Lock()
	for _, e := range p.Cancellations {
		c.cacheTerminalStateLocked(e.UID, job.TerminalState{Status: job.StatusCancelled, Done: e.Done})
	}
	freshAsOf := c.state.jobs.SyncedAt()
	c.state.mu.Unlock()
	known := c.cancellations.observePing(&p, time.Now(), freshAsOf)
	c.membership.ObserveView(p.View)
	return known
}

// Ping serves another node's question.
func (c *Controller) Ping(q peer.Ping) peer.Ping {
	c.receivePing(q)
	return c.ping(q.Node)
}

// pingLoop learns how the others stand.
func (c *Controller) pingLoop(ctx context.Context) {
	for sleep(ctx, pingInterval) {
		go c.pingPeers(ctx, false)
	}
}

// pingPeers asks all others, or those that are reachable. When all of them answer that they
// have seen no later view, and their cancellations are known here, this node keeps its
// authority although the state service may be out: nobody else can have taken its machines
// or ended its jobs.
func (c *Controller) pingPeers(ctx context.Context, reachableOnly bool) {
	view, _, _ := c.membership.Current()
	asked, sent, all := time.Now(), 0, len(c.peers) > 0
	answers := make(chan bool, len(c.peers))
	for name, client := range c.peers {
		if reachableOnly && !c.cancellations.reachable(name) {
			all = false
			continue
		}
		sent++
		go func() { answers <- c.pingPeer(ctx, name, client, view.Number) }()
	}
	for range sent {
		all = <-answers && all
	}
	if all {
		c.membership.ConfirmedByAllPeers(view.Number, asked)
	}
}

// pingPeer asks one peer and tells whether it confirms a view.
func (c *Controller) pingPeer(ctx context.Context, name string, client *peer.Client, view uint64) bool {
	answer, err := client.Ping(ctx, c.ping(name))
	if err != nil {
		c.failures.failed("ping failed", err)
		return false
	}
	return c.receivePing(answer) && confirmsView(answer, name, view)
}

// confirmsView tells whether a node's answer says that nobody can have gone beyond a view.
// One that has not read a view since its start cannot know what it saw before: its answer
// confirms nothing.
func confirmsView(answer peer.Ping, node string, view uint64) bool {
	return answer.Node == node && view > 0 && answer.View == view
}

// replicateNow lets the others know of a cancellation before its user is told, so that none
// of them starts a task of it meanwhile. It waits for a moment at the most: whom it does not
// reach loses its authority in time.
func (c *Controller) replicateNow(ctx context.Context) {
	done := make(chan struct{})
	select {
	case c.cancellations.requests <- done:
	default:
		c.cancellations.full()
		return
	}
	select {
	case <-done:
	case <-time.After(replicationWait):
	case <-ctx.Done():
	}
}

// replicationLoop sends what replicateNow asks for, one round for all that came up
// meanwhile.
func (c *Controller) replicationLoop(ctx context.Context) {
	for {
		var waiting []chan struct{}
		select {
		case <-ctx.Done():
			return
		case w := <-c.cancellations.requests:
			waiting = append(waiting, w)
		}
		waiting = append(waiting, drainRequests(c.cancellations.requests)...)
		round, cancel := context.WithTimeout(ctx, replicationWait)
		c.pingPeers(round, true)
		cancel()
		for _, w := range waiting {
			close(w)
		}
	}
}

// drainRequests takes what is in a channel now.
func drainRequests[T any](ch <-chan T) (out []T) {
	for {
		select {
		case x := <-ch:
			out = append(out, x)
		default:
			return out
		}
	}
}
