package cloud

import "golang.org/x/time/rate"

// Share describes how the nodes of a cluster share the cloud's limit on the request rate.
type Share struct {
	Nodes     int  // number of nodes that use the cloud
	ScalesOut bool // this node scales out, on behalf of all
}

// Fractions of the cloud's limit. The rest is left free, since differences between the nodes' clocks and
// their bursts add to the rate.
const (
	onlyNodeShare   = 0.9 // of a node that uses the cloud alone and scales out
	scaleOutShare   = 0.7 // of the node that scales out, if there are others
	otherNodesShare = 0.2 // of all other nodes together: terminating machines takes few requests
)

// burstSeconds is the size of a node's burst, in seconds of its rate. The cloud allows bursts of two seconds,
// and machines that are requested in the first burst are available seconds earlier.
const burstSeconds = 1.5

// fraction returns the fraction of the cloud's limit that this node may use.
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

// SetShare sets how the nodes share the cloud's limit. Until the first call, a client has the share
// of a node that does not scale out, in a cluster of two nodes.
func (c *Client) SetShare(share Share) {
	perSecond := c.requestsPerSecond * share.fraction()
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.limiter.SetBurst(max(1, int(perSecond*burstSeconds)))
}
