package controller

import (
	"context"
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

// userParts are the parts of a node that serve users.
type userParts struct {
	service     *userService
	rateLimiter *userRateLimiter
	confirmer   *statusConfirmer
}

// newUserParts makes the parts that serve the users of a node whose other parts have been made.
func newUserParts(c *Controller) *userParts {
	store := userStoreClient{client: c.store}
	jobs := &jobReader{store: store, state: c.state, terminalStates: c.peering.terminalStates, failures: c.failures}
	rateLimiter := newUserRateLimiter(c.settings.Facts.State)
	confirmer := newStatusConfirmer(c.store, jobs.cachedRevision, c.nodeLimits.StatusReads, func() { c.limitCounts.record(limits.StatusReads) })
	statuses := &statusHandler{jobs: jobs, confirmer: confirmer, rateLimiter: rateLimiter, state: c.state}
	submissions := &submissionHandler{
		feasibility: feasibilityCheck{teams: c.teams, quotas: c.settings.Facts.Teams, catalogue: c.catalogue},
		rateLimiter: rateLimiter,
		jobs:        jobs,
		statuses:    statuses,
		store:       store,
		state:       c.state,
		limitCounts: c.limitCounts,
		log:         c.log,
	}
	cancellations := &cancellationHandler{
		rateLimiter:    rateLimiter,
		jobs:           jobs,
		store:          store,
		terminalStates: c.peering.terminalStates,
		replicator:     c.peering.replicator,
	}
	return &userParts{
		service: &userService{
			submissionHandler:   submissions,
			statusHandler:       statuses,
			cancellationHandler: cancellations,
			healthCheck:         &healthCheck{store: c.store, peers: c.peering.tracker},
		},
		rateLimiter: rateLimiter,
		confirmer:   confirmer,
	}
}

// loops returns what the parts run for as long as the node serves.
func (p *userParts) loops() []func(context.Context) {
	return []func(context.Context){p.confirmer.run}
}
