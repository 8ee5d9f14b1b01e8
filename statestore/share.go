package statestore

import "junipershelf/settings"

// Share describes how the nodes of a cluster share the store's limits.
type Share struct {
	Nodes  int  // number of nodes that use the store
	Leader bool // this node is the leader, which also writes the jobs' records
}

const (
	// usedShare is the fraction of the limits that all nodes use together. The rest is left free, since
	// differences between the nodes' clocks and their bursts add to the rate.
	usedShare = 0.9
	// leaderChangesShare is the fraction of the changes that is reserved for the leader, which writes the
	// jobs' records. All nodes have equal shares of the rest.
	leaderChangesShare = 0.15
	// minRequestBurst is the smallest burst of requests, in calls.
	minRequestBurst = 4
)

// nominalRate is a node's share of one of the store's limits.
type nominalRate struct {
	perSecond float64
	burst     int // how many requests or changes may be sent at once
}

// requests returns this node's share of the requests, with a burst of a second's worth.
func (s Share) requests(limits settings.StoreLimits) nominalRate {
	perSecond := limits.RPS * usedShare / float64(s.Nodes)
	return nominalRate{perSecond: perSecond, burst: max(minRequestBurst, int(perSecond))}
}

// changes returns this node's share of the changes. Its burst is a second's worth of an equal share or the
// largest transaction, whichever is larger.
func (s Share) changes(limits settings.StoreLimits) nominalRate {
	perSecond := limits.WriteRPS * usedShare * (1 - leaderChangesShare) / float64(s.Nodes)
	burst := max(limits.TransactionChanges, int(perSecond))
	if s.Leader {
		perSecond += limits.WriteRPS * usedShare * leaderChangesShare
	}
	return nominalRate{perSecond: perSecond, burst: burst}
}
