package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/statestore"
)

// pingInterval is the interval at which a node pings all its peers.
const pingInterval = time.Second

// pinger exchanges pings with the peers. A ping and its reply have the same format and serve three
// purposes: they show that the sender is reachable and whether it reaches the key-value store, they
// report the latest view that it has seen, and they carry the cancellations that the receiver lacks.
//
// While the key-value store is down, replies from all peers renew a node's lease: if none of them
// has seen a later view, no other node can have taken over its machines. This replaces a
// confirmation by the store only because the pings also carry the cancellations that the peers have
// confirmed to users. Otherwise a node that alone cannot reach the store would keep running those
// jobs.
type pinger struct {
	nodeName       string
	clients        map[string]*peer.Client // by node name
	store          *statestore.Client
	membership     *membership.Membership
	state          *nodeState
	tracker        *peerTracker
	cancellations  *cancellationLog
	terminalStates *terminalStateRecorder
	failures       *failureLogger
}

// run pings all peers every pingInterval until the context is cancelled. A round does not wait for the
// previous one, whose replies may be late.
func (p *pinger) run(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for ctxtime.Sleep(ctx, pingInterval) {
		rounds.Go(func() { p.pingAll(ctx) })
	}
}

// pingAll pings all peers.
func (p *pinger) pingAll(ctx context.Context) {
	p.ping(ctx, slices.Collect(maps.Keys(p.clients)))
}

// pingReachable pings the reachable peers.
func (p *pinger) pingReachable(ctx context.Context) {
	var reachable []string
	for name := range p.clients {
		if p.tracker.reachable(name) {
			reachable = append(reachable, name)
		}
	}
	p.ping(ctx, reachable)
}

// ping pings peers concurrently and waits for their replies. If names are all the peers and each of
// them confirms the latest view that this node has seen, the view is confirmed as of the time before
// the pings were sent.
func (p *pinger) ping(ctx context.Context, names []string) {
	view, _, _ := p.membership.Current()
	sentAt := time.Now()
	replies := make(chan bool, len(names))
	for _, name := range names {
		go func() { replies <- p.pingPeer(ctx, name, view.Number) }()
	}
	confirmed := len(names) > 0 && len(names) == len(p.clients)
	for range names {
		confirmed = <-replies && confirmed
	}
	if confirmed {
		p.membership.RecordPeerConfirmation(view.Number, sentAt)
	}
}

// pingPeer pings a peer and reports whether its reply confirms a view: the peer has seen no later
// view, and this node knows all cancellations that the peer has logged.
func (p *pinger) pingPeer(ctx context.Context, name string, view uint64) bool {
	reply, err := p.clients[name].Ping(ctx, p.newPing(name))
	if err != nil {
		p.failures.logFailure("ping failed", err)
		return false
	}
	return p.receive(reply) && confirmsView(reply, name, view)
}

// confirmsView reports whether a peer's reply shows that view is the latest that it has seen. A peer
// that has not read a view since it started does not know what it saw before the restart, so it
// confirms nothing.
func confirmsView(reply peer.Ping, name string, view uint64) bool {
	return reply.Node == name && view > 0 && reply.View == view
}

// Ping answers a peer's ping.
func (p *pinger) Ping(ping peer.Ping) peer.Ping {
	p.receive(ping)
	return p.newPing(ping.Node)
}

// newPing creates a ping, or the reply to one, for a receiver.
func (p *pinger) newPing(receiver string) peer.Ping {
	view, _, _ := p.membership.Current()
	ping := peer.Ping{Node: p.nodeName, View: view.Number, StoreSilentMS: p.store.SinceLastReply().Milliseconds()}
	progress, ok := p.tracker.progressOf(receiver)
	if !ok {
		return ping
	}
	excerpt := p.cancellations.after(progress.acknowledged)
	ping.LogID, ping.LogEnd = excerpt.id, excerpt.end
	ping.LogFrom, ping.Cancellations = excerpt.from, excerpt.entries
	ping.PeerLogID, ping.PeerLogReceived = progress.received.id, progress.received.next
	return ping
}

// receive records the cancellations, state and view in a peer's ping. It reports whether this node
// knows all cancellations that the peer has logged. A ping from a node that is not a peer is ignored.
func (p *pinger) receive(ping peer.Ping) (complete bool) {
	if p.clients[ping.Node] == nil {
		return false
	}
	cacheSyncedAt := p.recordCancellations(ping.Cancellations)
	complete = p.tracker.observePing(&ping, time.Now(), cacheSyncedAt)
	p.membership.ObserveView(ping.View)
	return complete
}

// recordCancellations records cancellations, and returns the time up to which the job cache
// contains all changes in the key-value store.
func (p *pinger) recordCancellations(cancellations []peer.Cancellation) (cacheSyncedAt time.Time) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	for _, c := range cancellations {
		p.terminalStates.recordLocked(c.UID, job.TerminalState{Status: job.StatusCancelled, Done: c.Done})
	}
	return p.state.jobs.SyncedAt()
}
