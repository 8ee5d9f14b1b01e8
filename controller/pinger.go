package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/statestore"
)

// pingInterval is how often a node pings all its peers.
const pingInterval = time.Second

// pinger exchanges pings with the peers. A ping and its reply have the same form and do three
// things: they show that their sender is reachable and whether it reaches the key-value store, they
// report the latest view that it has seen, and they carry the cancellations that the receiver lacks.
//
// With replies from all peers a node keeps its lease while the key-value store is out: if none of
// them has seen a later view, nobody can have taken over its machines. That is worth as much as a
// confirmation by the store only if the pings also bring the cancellations that the peers have
// confirmed to users: otherwise a node that the store refuses alone would let those jobs run on.
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

// run pings all peers every pingInterval until the context ends. A round does not wait for the one
// before it, whose replies may be late.
func (p *pinger) run(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	for sleep(ctx, pingInterval) {
		rounds.Go(func() { p.pingAll(ctx) })
	}
}

// pingAll pings all peers.
func (p *pinger) pingAll(ctx context.Context) {
	p.ping(ctx, slices.Collect(maps.Keys(p.clients)))
}

// pingReachable pings the peers that are reachable.
func (p *pinger) pingReachable(ctx context.Context) {
	var reachable []string
	for name := range p.clients {
		if p.tracker.reachable(name) {
			reachable = append(reachable, name)
		}
	}
	p.ping(ctx, reachable)
}

// ping pings some peers at once and waits for their replies. If these are all peers and all of them
// confirm the view that this node has seen last, the view is confirmed as of before the pings.
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
		p.membership.ConfirmedByAllPeers(view.Number, sentAt)
	}
}

// pingPeer pings a peer and reports whether its reply confirms a view: the peer has seen no later
// one, and all cancellations that it knows are known here.
func (p *pinger) pingPeer(ctx context.Context, name string, view uint64) bool {
	reply, err := p.clients[name].Ping(ctx, p.newPing(name))
	if err != nil {
		p.failures.failed("ping failed", err)
		return false
	}
	return p.receive(reply) && confirmsView(reply, name, view)
}

// confirmsView reports whether a peer's reply says that it has seen a view and none after it. A peer
// that has read no view since it started does not know what it saw before: it confirms nothing.
func confirmsView(reply peer.Ping, name string, view uint64) bool {
	return reply.Node == name && view > 0 && reply.View == view
}

// Ping answers a peer's ping.
func (p *pinger) Ping(ping peer.Ping) peer.Ping {
	p.receive(ping)
	return p.newPing(ping.Node)
}

// newPing makes a ping, or the reply to one, for a receiver.
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
	ping.PeerLogID, ping.PeerLogKnown = progress.received.id, progress.received.next
	return ping
}

// receive records what a peer's ping says: its cancellations, its state and its view. It reports
// whether all cancellations that the peer knows are known here. The ping of a node that is no peer
// is dropped.
func (p *pinger) receive(ping peer.Ping) (complete bool) {
	if p.clients[ping.Node] == nil {
		return false
	}
	cacheSyncedAt := p.recordCancellations(ping.Cancellations)
	complete = p.tracker.observePing(&ping, time.Now(), cacheSyncedAt)
	p.membership.ObserveView(ping.View)
	return complete
}

// recordCancellations records cancellations, and returns the time as of which the job cache shows
// the key-value store.
func (p *pinger) recordCancellations(cancellations []peer.Cancellation) (cacheSyncedAt time.Time) {
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	for _, c := range cancellations {
		p.terminalStates.recordLocked(c.UID, job.TerminalState{Status: job.StatusCancelled, Done: c.Done})
	}
	return p.state.jobs.SyncedAt()
}
