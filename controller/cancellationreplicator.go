package controller

import (
	"context"
	"time"
)

// replicationTimeout is the maximum time that a cancellation waits for its replication to the peers. A
// peer that takes longer to reply acknowledges the cancellation by a later ping.
const replicationTimeout = 500 * time.Millisecond

// cancellationReplicator replicates cancellations to the reachable peers at once, since users wait
// until all nodes have acknowledged them (see cancellationConfirmer). Pings carry the cancellations.
// Requests that arrive during a round of pings share the next round.
type cancellationReplicator struct {
	pingPeers func(context.Context) // pings the reachable peers and waits for their replies
	requests  chan replicationRequest
	onFull    func()
}

// replicationRequest is closed at the end of the first round of pings that began after the request was
// queued.
type replicationRequest chan struct{}

// newCancellationReplicator creates a replicator that queues at most limit requests and pings the
// reachable peers by calling pingPeers. It calls onFull for each request while the queue is full.
func newCancellationReplicator(pingPeers func(context.Context), limit int, onFull func()) *cancellationReplicator {
	return &cancellationReplicator{pingPeers: pingPeers, requests: make(chan replicationRequest, limit), onFull: onFull}
}

// replicate waits until the reachable peers have been sent all cancellations that this node has
// logged, for at most replicationTimeout.
func (r *cancellationReplicator) replicate(ctx context.Context) {
	request := make(replicationRequest)
	select {
	case r.requests <- request:
	default:
		r.onFull()
		return
	}
	select {
	case <-request:
	case <-time.After(replicationTimeout):
	case <-ctx.Done():
	}
}

// run serves requests until the context is cancelled. Each round of pings serves all requests that
// are queued when it begins.
func (r *cancellationReplicator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.requests:
			r.runRound(ctx, append([]replicationRequest{first}, r.pending()...))
		}
	}
}

// pending dequeues all waiting requests.
func (r *cancellationReplicator) pending() []replicationRequest {
	var requests []replicationRequest
	for {
		select {
		case request := <-r.requests:
			requests = append(requests, request)
		default:
			return requests
		}
	}
}

// runRound pings the reachable peers and completes the requests.
func (r *cancellationReplicator) runRound(ctx context.Context, requests []replicationRequest) {
	round, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	r.pingPeers(round)
	for _, request := range requests {
		close(request)
	}
}
