package controller

import (
	"log/slog"
	"slices"

	"junipershelf/cloud"
	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/policy"
	"junipershelf/settings"
	"junipershelf/sizing"
	"junipershelf/statestore"
)

// sharedComponents are the components that the components of all other groups depend on. The fields
// are immutable; each component with mutable state has its own lock.
type sharedComponents struct {
	settings   *settings.Settings
	policy     *policy.Policy
	nodeLimits sizing.Limits
	configs    *configurations
	teams      map[string]int // index of each team in the settings

	// Logging and metrics.
	log         *slog.Logger
	logDedup    *logDeduplicator
	failures    *failureLogger
	metrics     *nodeMetrics
	limitCounts *limitCounter

	// Clients.
	store *statestore.Client
	cloud *cloud.Client
	peers map[string]*peer.Client // by node

	// State and membership.
	state        *nodeState
	catalogue    *catalogue
	membership   *membership.Membership
	jobWatcher   *jobWatcher
	refresher    *catalogueRefresher
	mailbox      *mailboxTransport // between owners and leader
	commitWanted chan struct{}     // of capacity one; signalled when there may be changes to commit
}

// newSharedComponents creates the shared components of a node in the order of their dependencies.
func newSharedComponents(cfg *settings.Settings, pol *policy.Policy, log *slog.Logger, dial httpcall.Dial) *sharedComponents {
	s := &sharedComponents{
		settings:     cfg,
		policy:       pol,
		nodeLimits:   sizing.LimitsFor(cfg.Facts),
		teams:        teamIndexes(cfg.Facts.Teams),
		log:          log,
		commitWanted: make(chan struct{}, 1),
	}
	s.wireLogging()
	s.wireClients(dial)
	s.wireState()
	s.wireMembership()
	s.wireCaches()
	s.mailbox = newMailboxTransport(s)
	return s
}

// sharedLoops returns the components' background loops, each to run in its own goroutine.
func (s *sharedComponents) sharedLoops() []loop {
	return []loop{s.membership.Run, s.jobWatcher.run, s.refresher.run}
}

// teamIndexes returns the index of each team in the settings.
func teamIndexes(teams []settings.Team) map[string]int {
	indexes := make(map[string]int, len(teams))
	for i, t := range teams {
		indexes[t.Name] = i
	}
	return indexes
}

// wireLogging creates the loggers and counters.
func (s *sharedComponents) wireLogging() {
	s.limitCounts = newLimitCounter(s.log)
	s.metrics = &nodeMetrics{}
	s.logDedup = newLogDeduplicator(s.nodeLimits.Machines*loggedLinesPerMachine, func() { s.limitCounts.record(limits.LoggedLines) })
	s.failures = &failureLogger{log: s.log, dedup: s.logDedup}
}

// wireClients creates the clients of the key-value store, the cloud and the other nodes.
func (s *sharedComponents) wireClients(dial httpcall.Dial) {
	facts := s.settings.Facts
	s.store = statestore.New(dial, s.settings.Services.StoreAddr, facts.Store, s.nodeLimits.ReplyBytes)
	s.cloud = cloud.New(dial, s.settings.Services.CloudAddr, facts.Cloud, s.nodeLimits.Machines)
	s.peers = map[string]*peer.Client{}
	peerLimits := peer.ClientLimits{MaxConnections: s.nodeLimits.ConnectionsPerPeer, MaxReplyBytes: s.nodeLimits.ReplyBytes}
	for _, p := range s.settings.Peers {
		s.peers[p.NodeName] = peer.NewClient(dial, p.Addr, peerLimits)
	}
	// Before the first view, any node of the deployment may be sending requests.
	s.store.SetShare(statestore.Share{Nodes: len(s.nodeNames())})
	s.cloud.SetShare(cloud.Share{Nodes: len(s.nodeNames())})
}

// nodeNames returns the names of all nodes of the deployment, sorted.
func (s *sharedComponents) nodeNames() []string {
	names := []string{s.settings.NodeName}
	for _, p := range s.settings.Peers {
		names = append(names, p.NodeName)
	}
	slices.Sort(names)
	return names
}

// wireState creates the node state, the catalogue of machine types, and the configurations of the
// scheduling packages.
func (s *sharedComponents) wireState() {
	s.catalogue = newCatalogue()
	s.configs = &configurations{settings: s.settings, policy: s.policy, nodeLimits: s.nodeLimits, catalogue: s.catalogue, store: s.store}
	s.state = newNodeState(s.teams, s.limitCounts)
	s.state.leader.autoscaler = s.configs.newAutoscaler()
}

// wireMembership creates the node's membership and its leases.
func (s *sharedComponents) wireMembership() {
	if _, fits := s.configs.ownershipLease(); !fits {
		agentTimes := s.settings.Facts.Workers
		s.log.Warn("cancel_s is too short for lease_s: a cancelled job may keep running while controllers are isolated",
			"cancel_s", agentTimes.CancelWithinS, "lease_s", agentTimes.LeaseS)
	}
	s.membership = membership.New(s.settings.NodeName, s.store, s.configs.membershipConfig(s.nodeNames()), s.log)
}

// wireCaches creates the components that keep the job cache and the catalogue up to date.
func (s *sharedComponents) wireCaches() {
	s.jobWatcher = &jobWatcher{
		state:       s.state,
		store:       s.store,
		membership:  s.membership,
		failures:    s.failures,
		limitCounts: s.limitCounts,
	}
	s.refresher = newCatalogueRefresher(s)
}
