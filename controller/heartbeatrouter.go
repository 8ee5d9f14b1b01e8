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

// peerReachability reports which peers have recently replied or called.
type peerReachability interface {
	reachable(node string) bool
}

// heartbeatRouter routes each heartbeat to the owner of its machine. It answers heartbeats of this
// node's machines locally, redirects the agents of other machines to the owners, and forwards
// heartbeats of agents that cannot reach the owner. It is stateless and acquires no lock.
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

// Heartbeat answers an agent's heartbeat.
func (h *heartbeatRouter) Heartbeat(ctx context.Context, body []byte) api.Response {
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	return h.answer(ctx, heartbeat, func(owner string) api.Response {
		return h.redirect(ctx, owner, heartbeat.Machine, body)
	})
}

// Forward answers a heartbeat that another node has forwarded. It is never forwarded again.
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

// answer answers a heartbeat of a machine that this node owns. For a machine of another owner it
// returns the result of answerForeign, which is called with the owner's name. A node that is not a
// member of the view answers that it is unavailable, since it does not know the current owner.
func (h *heartbeatRouter) answer(ctx context.Context, heartbeat *protocol.Heartbeat, answerForeign func(owner string) api.Response) api.Response {
	view, self, _ := h.membership.Current()
	if view.Number == 0 || !view.Contains(self) {
		return unavailable
	}
	owner := view.Members[view.OwnerOfBucket(view.BucketOf(heartbeat.Machine))]
	if owner != self {
		return answerForeign(owner.Node)
	}
	return h.responder.respond(ctx, view.Number, heartbeat)
}

// redirect answers a heartbeat of a machine that another node owns. An agent that returns shortly
// after a redirect cannot reach the owner, so its heartbeat is forwarded if this node can reach it.
func (h *heartbeatRouter) redirect(ctx context.Context, owner, machine string, body []byte) api.Response {
	returned := h.redirects.record(machine, time.Now())
	if returned && h.reachability.reachable(owner) {
		return h.forward(ctx, owner, body)
	}
	return h.redirectResponse(owner)
}

// redirectResponse redirects an agent to the owner of its machine. The response omits the owner's name
// while this node cannot reach the owner, so that the agent is not sent to a node that is down.
func (h *heartbeatRouter) redirectResponse(owner string) api.Response {
	if !h.reachability.reachable(owner) {
		return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{}}
	}
	return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{Owner: owner}}
}

// forward forwards a heartbeat to the machine's owner and returns the owner's reply.
func (h *heartbeatRouter) forward(ctx context.Context, owner string, body []byte) api.Response {
	client := h.peers[owner]
	if client == nil {
		return unavailable
	}
	forwarded, err := client.Forward(ctx, peer.Forward{Body: body})
	if err != nil {
		h.failures.logFailure("forwarding a heartbeat failed", err)
		return unavailable
	}
	if forwarded.Code != http.StatusOK {
		return unavailable
	}
	var reply protocol.HeartbeatReply
	if err := protocol.Unmarshal(forwarded.Body, &reply); err != nil {
		h.failures.logFailure("forwarding a heartbeat failed", &protocol.DecodeError{Source: "heartbeat reply", Sender: owner, Err: err})
		return unavailable
	}
	return api.Response{Code: http.StatusOK, Body: reply}
}
