package statestore

import "junipershelf/settings"

// Share says how the nodes of a cluster share the store's limits.
type Share struct {
	Nodes  int  // that use the store
	Leader bool // this node is the leader, which writes the jobs' records as well
}

const (
	// usedShare is the part of the limits that all nodes use together. The rest is left free, since the
	// nodes' clocks and bursts add to the rate.
	usedShare = 0.9
	// leaderChangesShare is the part of the changes that the leader has beside its equal share of the
	// others: it writes the jobs' records.
	leaderChangesShare = 0.15
	// minRequestBurst is the smallest burst of requests, in calls.
	minRequestBurst = 4
)

// nominalRate is a node's share of one of the store's limits: its rate, and how much may be sent at once.
type nominalRate struct {
	perSecond float64
	burst     int
}

// requests is this node's share of the requests, with bursts of a second's worth.
func (s Share) requests(limits settings.StateLimits) nominalRate {
	perSecond := limits.RPS * usedShare / float64(s.Nodes)
	return nominalRate{perSecond: perSecond, burst: max(minRequestBurst, int(perSecond))}
}

// changes is this node's share of the changes, with bursts of a second's worth of an equal share or of
// the largest transaction.
func (s Share) changes(limits settings.StateLimits) nominalRate {
	perSecond := limits.WriteRPS * usedShare * (1 - leaderChangesShare) / float64(s.Nodes)
	burst := max(limits.TxnOps, int(perSecond))
	if s.Leader {
		perSecond += limits.WriteRPS * usedShare * leaderChangesShare
	}
	return nominalRate{perSecond: perSecond, burst: burst}
}
