package controller

import (
	"time"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/policy"
	"junipershelf/scheduler"
	"junipershelf/settings"
	"junipershelf/sizing"
	"junipershelf/statestore"
)

const (
	// maxClockDrift and timerSlack extend an agent's lease as measured by this node: monotonic clocks
	// drift by up to 0.05 % in each direction, and timers may fire late.
	maxClockDrift = 0.002
	timerSlack    = 500 * time.Millisecond
	// minMemberLease is the minimum lease of a member, however short the agents' lease is.
	minMemberLease = time.Second
	// confirmInterval is the interval at which the view is confirmed.
	confirmInterval = 500 * time.Millisecond
)

// configurations derives the configurations of the other packages from the settings, the policy and
// the node's limits. Only the values from the catalogue and the key-value store client change over
// time.
type configurations struct {
	settings   *settings.Settings
	policy     *policy.Policy
	nodeLimits sizing.Limits
	catalogue  *catalogue
	store      *statestore.Client
}

// agentLease returns the maximum time for which an agent may keep its tasks running without a reply,
// as measured by this node.
func (c *configurations) agentLease() time.Duration {
	return settings.Seconds(c.settings.Facts.Workers.LeaseS*(1+maxClockDrift)) + timerSlack
}

// ownershipLease returns how long a node may act as an owner after the last confirmation of its view.
// It reports false if cancel_s, the time limit of a cancellation, is too short for the agents' lease
// followed by the shortest usable ownership lease (see membership.OwnershipLeaseFor).
func (c *configurations) ownershipLease() (lease time.Duration, fits bool) {
	agentTimes := c.settings.Facts.Workers
	wanted := settings.Seconds(agentTimes.LeaseS * c.policy.OwnershipLeaseShare)
	return membership.OwnershipLeaseFor(wanted, c.agentLease(), settings.Seconds(agentTimes.CancelWithinS))
}

// membershipConfig returns the membership configuration for a deployment of the given nodes.
func (c *configurations) membershipConfig(nodes []string) membership.Config {
	lease, _ := c.ownershipLease()
	return membership.Config{
		Nodes:          nodes,
		Buckets:        membership.BucketsFor(c.settings.Facts.Store.WriteRPS, len(nodes)),
		MemberLease:    max(settings.Seconds(c.settings.Facts.Workers.LeaseS*c.policy.MemberLeaseShare), minMemberLease),
		OwnershipLease: lease,
		Interval:       confirmInterval,
	}
}

// partitionConfig returns the configuration of an owner's partition in a view.
func (c *configurations) partitionConfig(view membership.View) partition.Config {
	agentTimes := c.settings.Facts.Workers
	ownershipLease, _ := c.ownershipLease()
	return partition.Config{
		Lease:              c.agentLease(),
		OwnershipLease:     ownershipLease,
		HeartbeatInterval:  settings.Seconds(agentTimes.HeartbeatIntervalS),
		MaxCacheStaleness:  settings.Seconds(c.policy.MaxCacheStalenessS),
		Buddies:            c.policy.Buddies,
		Threshold:          c.policy.Threshold,
		LocalWait:          settings.Seconds(c.policy.LocalWaitS),
		MaxPreCommitted:    c.policy.MaxQueuedPerMachine,
		SilentLimit:        settings.Seconds(agentTimes.LeaseS * c.policy.SilentShare),
		TransactionChanges: c.settings.Facts.Store.TransactionChanges,
		ValueBytes:         c.store.ValueByteLimit(),
		BucketOf:           view.BucketOf,
		CacheGB:            c.catalogue.cacheGB,
		MaxMachines:        c.nodeLimits.Machines,
	}
}

// schedulerConfig returns the configuration of the leader's scheduler.
func (c *configurations) schedulerConfig() scheduler.Config {
	objectives := c.settings.Facts.Objectives
	return scheduler.Config{
		MaxQueuedPerMachine: c.policy.MaxQueuedPerMachine,
		PreCommitWindow:     settings.Seconds(c.policy.PreCommitWindowS),
		Aging:               settings.Seconds(c.policy.AgingS),
		StarvationAfter:     settings.Seconds(c.policy.StarvationAfterS),
		FailurePause:        settings.Seconds(c.policy.FailurePauseS),
		MaxFailurePause:     settings.Seconds(c.policy.MaxFailurePauseS),
		QuarantineAfter:     c.policy.QuarantineAfter,
		ValueBytes:          c.store.ValueByteLimit(),
		MaxCompletedTasks:   c.nodeLimits.CompletedTasks,
		Targets:             targetsByClass(objectives),
		GuaranteeWithin:     guaranteeWithin(objectives),
		PreemptAfter:        settings.Seconds(c.policy.PreemptAfterS),
		MinRunBeforeStop:    settings.Seconds(c.policy.MinRunBeforeStopS),
		MaxPreemptionLoss:   settings.Seconds(c.policy.MaxPreemptionLossS),
		ImageWaitFactor:     c.policy.ImageWaitFactor,
		PullGBPerS:          c.catalogue.pullRate,
	}
}

// teams returns the teams among which the scheduler divides the fleet, in the order of the settings.
func (c *configurations) teams() []scheduler.Team {
	teams := make([]scheduler.Team, len(c.settings.Facts.Teams))
	for i, t := range c.settings.Facts.Teams {
		teams[i] = scheduler.Team{
			Name:      t.Name,
			Guarantee: job.Resources{CPUs: t.CPUGuarantee, Accelerators: t.GPUGuarantee},
			Limit:     job.Resources{CPUs: t.CPULimit, Accelerators: t.GPULimit},
			Weight:    c.policy.TeamWeights[t.Name],
		}
	}
	return teams
}

// newAutoscaler returns an autoscaler with the machine types of the catalogue and no knowledge of the
// fleet.
func (c *configurations) newAutoscaler() *autoscaler.Autoscaler {
	a := autoscaler.New(autoscaler.Config{
		IdleFactor:       c.policy.IdleFactor,
		BootFactor:       c.policy.BootFactor,
		BootSlack:        settings.Seconds(c.policy.BootSlackS),
		NoCapacityPause:  settings.Seconds(c.policy.NoCapacityPauseS),
		OnDemandRank:     c.policy.OnDemandRank,
		OnDemandWait:     settings.Seconds(c.policy.OnDemandWaitS),
		ListLag:          settings.Seconds(c.settings.Facts.Cloud.ListLagS),
		UnreportedLimit:  2 * c.agentLease(),
		MinRunBeforeStop: settings.Seconds(c.policy.MinRunBeforeStopS),
		EvictionHeadroom: c.policy.EvictionHeadroom,
		MaxMachines:      c.nodeLimits.Machines,
	})
	a.Catalogue = c.catalogue.list()
	return a
}
