package controller

// ownerComponents are the parts that make a node the owner of a partition of the machines, and a client
// of the leader.
type ownerComponents struct {
	failover   *failover
	ticker     *partitionTicker
	committer  *committer
	heartbeats *heartbeatRouter
	syncClient *syncClient
	terminator *machineTerminator
}

// newOwnerComponents makes the owner's parts of a node. Reachability is that of the node's peers;
// syncServer serves the calls to the leader while this node leads.
func newOwnerComponents(shared *sharedComponents, reachability peerReachability, syncServer *syncServer) *ownerComponents {
	return &ownerComponents{
		failover:   newFailover(shared),
		ticker:     &partitionTicker{state: shared.state, commitWanted: shared.commitWanted},
		committer:  newCommitter(shared),
		heartbeats: newHeartbeatRouter(shared, reachability),
		syncClient: newSyncClient(shared, syncServer),
		terminator: newMachineTerminator(shared),
	}
}

// loops returns the parts' work until the context ends, each for a goroutine of its own.
func (p *ownerComponents) loops() []loop {
	return []loop{p.failover.run, p.ticker.run, p.committer.run, p.syncClient.run, p.terminator.run}
}
