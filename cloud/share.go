package cloud

import "golang.org/x/time/rate"

// Share says how the nodes of a cluster share the cloud's limit of requests.
type Share struct {
	Nodes     int  // that use the cloud
	ScalesOut bool // this node does, on behalf of all
}

// Parts of the cloud's limit. What remains is left free, since the nodes' clocks and bursts add to the
// rate.
const (
	onlyNodeShare   = 0.9 // of a node that uses the cloud alone and scales out
	scaleOutShare   = 0.7 // of the node that scales out beside others
	otherNodesShare = 0.2 // of all others together: terminating machines takes few requests
)

// burstSeconds is how many seconds' worth of a node's rate it may send at once. The cloud allows bursts
// of two seconds, and machines that are asked for in the first burst are there seconds sooner.
const burstSeconds = 1.5

// fraction is the part of the cloud's limit that this node may use.
func (s Share) fraction() float64 {
	switch {
	case s.ScalesOut && s.Nodes <= 1:
		return onlyNodeShare
	case s.ScalesOut:
		return scaleOutShare
	default:
		return otherNodesShare / float64(max(s.Nodes-1, 1))
	}
}

// SetShare sets how the cloud's limit is shared. Until the first call a client has the share of a node
// that does not scale out, beside one that does.
func (c *Client) SetShare(share Share) {
	perSecond := c.requestsPerSecond * share.fraction()
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.limiter.SetBurst(max(1, int(perSecond*burstSeconds)))
}
