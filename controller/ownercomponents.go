package controller

// ownerComponents are the components with which a node owns a partition of the machines and calls
// the leader.
type ownerComponents struct {
	failover   *failover
	ticker     *partitionTicker
	committer  *committer
	heartbeats *heartbeatRouter
	syncClient *syncClient
	terminator *machineTerminator
}

// newOwnerComponents creates the owner's components of a node. reachability reports which peers are
// reachable; syncServer serves the sync calls while this node itself is the leader.
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

// loops returns the components' background loops, each to run in its own goroutine.
func (p *ownerComponents) loops() []loop {
	return []loop{p.failover.run, p.ticker.run, p.committer.run, p.syncClient.run, p.terminator.run}
}
