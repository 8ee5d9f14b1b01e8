package controller

import (
	"context"
	"time"
)

// replicationTimeout is how long a cancellation waits for the peers to know of it.
const replicationTimeout = 150 * time.Millisecond

// cancellationReplicator makes cancellations known to the peers before the users are answered, so
// that no peer starts a task of a cancelled job meanwhile. Pings carry the cancellations; those
// that come while a round of pings is under way share the next one.
type cancellationReplicator struct {
	pingPeers func(context.Context) // pings the reachable peers and waits for their replies
	requests  chan replicationRequest
	onFull    func()
}

// replicationRequest is closed once a round of pings that began after the request is over.
type replicationRequest chan struct{}

// newCancellationReplicator makes a replicator of at most limit waiting requests, which pings the
// reachable peers by pingPeers. It calls onFull for each request that finds no room.
func newCancellationReplicator(pingPeers func(context.Context), limit int, onFull func()) *cancellationReplicator {
	return &cancellationReplicator{pingPeers: pingPeers, requests: make(chan replicationRequest, limit), onFull: onFull}
}

// replicate waits until the reachable peers have been sent what this node has logged, for
// replicationTimeout at most: a peer that is not reached then loses its lease in time.
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

// run serves the requests until the context ends, all that have come in with one round of pings.
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

// pending takes the requests that wait now.
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

// runRound pings the reachable peers and ends the requests.
func (r *cancellationReplicator) runRound(ctx context.Context, requests []replicationRequest) {
	round, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	r.pingPeers(round)
	for _, request := range requests {
		close(request)
	}
}
