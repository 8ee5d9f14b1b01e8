package controller

import (
	"context"
	"net/http"
	"time"

	"junipershelf/api"
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

// Heartbeat answers a worker's heartbeat.
func (h *heartbeatRouter) Heartbeat(ctx context.Context, body []byte) api.Response {
	heartbeat, err := protocol.ParseHeartbeat(body)
	if err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	owner, known := h.ownerOf(heartbeat.Machine)
	switch {
	case !known:
		return unavailable
	case owner.isSelf:
		return h.responder.respond(ctx, owner.view, heartbeat)
	}
	return h.redirect(ctx, owner.node, heartbeat.Machine, body)
}

// Forward answers a heartbeat that another node forwards. It is not forwarded a second time.
func (h *heartbeatRouter) Forward(ctx context.Context, forward peer.Forward) peer.ForwardReply {
	heartbeat, err := protocol.ParseHeartbeat(forward.Body)
	if err != nil {
		return peer.ForwardReply{Code: http.StatusBadRequest}
	}
	response := h.answerForwarded(ctx, heartbeat)
	body, err := protocol.Marshal(response.Body)
	if err != nil {
		return peer.ForwardReply{Code: http.StatusInternalServerError}
	}
	return peer.ForwardReply{Code: response.Code, Body: body}
}

// answerForwarded answers a heartbeat that another node forwards.
func (h *heartbeatRouter) answerForwarded(ctx context.Context, heartbeat *protocol.Heartbeat) api.Response {
	owner, known := h.ownerOf(heartbeat.Machine)
	switch {
	case !known:
		return unavailable
	case owner.isSelf:
		return h.responder.respond(ctx, owner.view, heartbeat)
	}
	h.redirects.record(heartbeat.Machine, time.Now())
	return h.redirectResponse(owner.node)
}

// machineOwner is the node that owns a machine in a view.
type machineOwner struct {
	view   uint64
	node   string
	isSelf bool
}

// ownerOf returns the owner of a machine, as far as this node knows. It is not known while this
// node is not a member of the view.
func (h *heartbeatRouter) ownerOf(machine string) (owner machineOwner, known bool) {
	view, self, _ := h.membership.Current()
	if view.Number == 0 || view.IndexOf(self) < 0 {
		return machineOwner{}, false
	}
	member := view.Members[view.OwnerOfBucket(view.BucketOf(machine))]
	return machineOwner{view: view.Number, node: member.Node, isSelf: member == self}, true
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
