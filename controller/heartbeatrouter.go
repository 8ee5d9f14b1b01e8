package controller

import (
	"context"
	"net/http"
	"time"

	"junipershelf/api"
	"junipershelf/internal/limits"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/protocol"
)

// peerReachability reports which peers have answered or called a moment ago.
type peerReachability interface {
	reachable(node string) bool
}

// heartbeatRouter gets each heartbeat to the owner of its machine: it has the heartbeats of this
// node's machines answered here, redirects other workers to their owner, and forwards the
// heartbeats of those that cannot reach their owner. It has no state of its own and takes no
// lock.
type heartbeatRouter struct {
	membership   *membership.Membership
	responder    *heartbeatResponder
	redirects    *redirectTracker
	reachability peerReachability
	peers        map[string]*peer.Client // by node
	failures     *failureLogger
}

func newHeartbeatRouter(shared *sharedComponents, reachability peerReachability) *heartbeatRouter {
	return &heartbeatRouter{
		membership:   shared.membership,
		responder:    newHeartbeatResponder(shared),
		redirects:    newRedirectTracker(shared.nodeLimits.Machines, func() { shared.limitCounts.record(limits.Redirects) }),
		reachability: reachability,
		peers:        shared.peers,
		failures:     shared.failures,
	}
}

// Heartbeat answers a worker's heartbeat.
func (h *heartbeatRouter) Heartbeat(ctx context.Context, body []byte) api.Response {
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	return h.answer(ctx, heartbeat, func(owner string) api.Response {
		return h.redirect(ctx, owner, heartbeat.Machine, body)
	})
}

// Forward answers a heartbeat that another node forwards. It is not forwarded a second time.
func (h *heartbeatRouter) Forward(ctx context.Context, forward peer.Forward) peer.ForwardReply {
	heartbeat, err := protocol.ParseHeartbeat(forward.Body)
	if err != nil {
		return peer.ForwardReply{Code: http.StatusBadRequest}
	}
	response := h.answer(ctx, heartbeat, func(owner string) api.Response {
		h.redirects.record(heartbeat.Machine, time.Now())
		return h.redirectResponse(owner)
	})
	body, err := protocol.Marshal(response.Body)
	if err != nil {
		return peer.ForwardReply{Code: http.StatusInternalServerError}
	}
	return peer.ForwardReply{Code: response.Code, Body: body}
}

// answer answers a heartbeat of a machine that this node owns. One that belongs to another node is
// answered by otherOwner, which is called with the owner's name. While this node is not a member of
// the view it does not know who the owner is.
func (h *heartbeatRouter) answer(ctx context.Context, heartbeat *protocol.Heartbeat, otherOwner func(owner string) api.Response) api.Response {
	view, self, _ := h.membership.Current()
	if view.Number == 0 || !view.Contains(self) {
		return unavailable
	}
	owner := view.Members[view.OwnerOfBucket(view.BucketOf(heartbeat.Machine))]
	if owner != self {
		return otherOwner(owner.Node)
	}
	return h.responder.respond(ctx, view.Number, heartbeat)
}

// redirect answers a worker's heartbeat that belongs to another owner. A worker that comes back
// although it was redirected cannot reach its owner: its heartbeat is forwarded, if the owner
// can be reached from here.
func (h *heartbeatRouter) redirect(ctx context.Context, owner, machine string, body []byte) api.Response {
	cameBack := h.redirects.record(machine, time.Now())
	if cameBack && h.reachability.reachable(owner) {
		return h.forward(ctx, owner, body)
	}
	return h.redirectResponse(owner)
}

// redirectResponse redirects a worker to its owner, without its name if the owner does not
// answer: the name would only send the worker to a node that is away.
func (h *heartbeatRouter) redirectResponse(owner string) api.Response {
	if !h.reachability.reachable(owner) {
		return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{}}
	}
	return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{Owner: owner}}
}

// forward forwards a heartbeat to its owner and returns the owner's reply.
func (h *heartbeatRouter) forward(ctx context.Context, owner string, body []byte) api.Response {
	client := h.peers[owner]
	if client == nil {
		return unavailable
	}
	forwarded, err := client.Forward(ctx, peer.Forward{Body: body})
	if err != nil {
		h.failures.failed("forwarding a heartbeat failed", err)
		return unavailable
	}
	if forwarded.Code != http.StatusOK {
		return unavailable
	}
	var reply protocol.HeartbeatReply
	if err := protocol.Unmarshal(forwarded.Body, &reply); err != nil {
		h.failures.failed("forwarding a heartbeat failed", &protocol.DecodeError{Source: "heartbeat reply", Sender: owner, Err: err})
		return unavailable
	}
	return api.Response{Code: http.StatusOK, Body: reply}
}
