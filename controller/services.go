package controller

import (
	"net/http"

	"junipershelf/api"
	"junipershelf/peer"
)

// apiService implements api.Service with the components that serve users and agents.
type apiService struct {
	*userService
	*heartbeatRouter // Heartbeat
}

// peerNode implements peer.Node with the components that serve the other nodes.
type peerNode struct {
	*pinger          // Ping
	*heartbeatRouter // Forward
	*syncServer      // Sync
	*stateReporter   // Show
}

var (
	_ api.Service = apiService{}
	_ peer.Node   = peerNode{}
)

// APIHandler serves users, agents and load balancers over HTTP. Run serves it at the address in the
// settings.
func (c *Controller) APIHandler() http.Handler {
	return api.Handler(apiService{userService: c.users.service, heartbeatRouter: c.owner.heartbeats})
}

// peerHandler serves the other nodes over HTTP.
func (c *Controller) peerHandler() http.Handler {
	node := peerNode{
		pinger:          c.peering.pinger,
		heartbeatRouter: c.owner.heartbeats,
		syncServer:      c.leader.syncServer,
		stateReporter:   c.reporter,
	}
	return peer.Handler(node, c.log, c.nodeLimits.ReplyBytes)
}
