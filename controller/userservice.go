package controller

import (
	"net/http"

	"junipershelf/api"
	"junipershelf/internal/limits"
)

var (
	// unavailable asks a client to repeat its request later.
	unavailable = api.ErrorResponse(http.StatusServiceUnavailable, "try again")
	// noSuchJob says that a job has never been submitted.
	noSuchJob = api.ErrorResponse(http.StatusNotFound, "no such job")
)

// userService implements the part of api.Service that users and load balancers call.
type userService struct {
	*submissionHandler   // Submit, RejectSubmission
	*statusHandler       // Status
	*cancellationHandler // Cancel
	*healthCheck         // Healthy
}

// userComponents are the parts of a node that serve users.
type userComponents struct {
	service     *userService
	rateLimiter *userRateLimiter
	confirmer   *statusConfirmer
}

// newUserComponents makes the parts that serve the users of a node.
func newUserComponents(shared *sharedComponents, peering *peeringComponents) *userComponents {
	store := userStoreClient{client: shared.store}
	jobs := &jobReader{store: store, state: shared.state, terminalStates: peering.terminalStates, failures: shared.failures}
	rateLimiter := newUserRateLimiter(shared.settings.Facts.Store)
	confirmer := newStatusConfirmer(shared.store, jobs.cachedRevision, shared.nodeLimits.StatusReads, func() { shared.limitCounts.record(limits.StatusReads) })
	statuses := &statusHandler{jobs: jobs, confirmer: confirmer, rateLimiter: rateLimiter, state: shared.state}
	submissions := &submissionHandler{
		feasibility: feasibilityCheck{teams: shared.teams, quotas: shared.settings.Facts.Teams, catalogue: shared.catalogue},
		rateLimiter: rateLimiter,
		jobs:        jobs,
		statuses:    statuses,
		store:       store,
		state:       shared.state,
		limitCounts: shared.limitCounts,
		log:         shared.log,
	}
	cancellations := &cancellationHandler{
		rateLimiter:    rateLimiter,
		jobs:           jobs,
		store:          store,
		terminalStates: peering.terminalStates,
		replicator:     peering.replicator,
	}
	return &userComponents{
		service: &userService{
			submissionHandler:   submissions,
			statusHandler:       statuses,
			cancellationHandler: cancellations,
			healthCheck:         &healthCheck{store: shared.store, peers: peering.tracker},
		},
		rateLimiter: rateLimiter,
		confirmer:   confirmer,
	}
}

// loops returns the parts' work until the context ends, each for a goroutine of its own.
func (p *userComponents) loops() []loop {
	return []loop{p.confirmer.run}
}
