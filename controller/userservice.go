package controller

import (
	"net/http"

	"junipershelf/api"
	"junipershelf/internal/limits"
)

var (
	// unavailable tells a client to retry its request later.
	unavailable = api.ErrorResponse(http.StatusServiceUnavailable, "try again")
	// noSuchJob is the response for a job that was never submitted.
	noSuchJob = api.ErrorResponse(http.StatusNotFound, "no such job")
)

// userService implements the methods of api.Service that users and load balancers call.
type userService struct {
	*submissionHandler   // Submit, RejectSubmission
	*statusHandler       // Status
	*cancellationHandler // Cancel
	*healthCheck         // Healthy
}

// userComponents are the components that serve users.
type userComponents struct {
	service     *userService
	rateLimiter *userRateLimiter
	confirmer   *statusConfirmer
}

// newUserComponents creates the components that serve users.
func newUserComponents(shared *sharedComponents, peering *peeringComponents) *userComponents {
	store := userStoreClient{client: shared.store}
	jobs := &jobReader{store: store, state: shared.state, terminalStates: peering.terminalStates, failures: shared.failures}
	rateLimiter := newUserRateLimiter(shared.settings.Facts.Store)
	confirmer := newStatusConfirmer(shared.store, jobs.cachedRevision, shared.nodeLimits.StatusReads, func() { shared.limitCounts.record(limits.StatusReads) })
	confirmedCancellations := newCancellationConfirmer(shared, peering)
	statuses := &statusHandler{jobs: jobs, confirmer: confirmer, rateLimiter: rateLimiter, state: shared.state, cancellations: confirmedCancellations}
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
		confirmer:      confirmedCancellations,
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

// loops returns the components' background loops, each to run in its own goroutine.
func (p *userComponents) loops() []loop {
	return []loop{p.confirmer.run}
}
