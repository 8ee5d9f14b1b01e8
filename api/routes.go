package api

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// Service decides on the answers. Its methods are called concurrently; contexts end when the
// caller hangs up.
type Service interface {
	// Submit accepts or refuses a job.
	Submit(ctx context.Context, spec *protocol.JobSpec) Response
	// RejectSubmission answers a malformed submission: with its state for a job that is known
	// already, so that a repetition gets the same answer, else with the reason. The id is empty
	// if the submission names no valid one.
	RejectSubmission(ctx context.Context, id, reason string) Response
	// Status answers a user's question for a job's state.
	Status(ctx context.Context, id string) Response
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) Response
	// Heartbeat answers a worker agent's heartbeat, which is not yet decoded: it may be handed
	// on to another controller as it is.
	Heartbeat(ctx context.Context, body []byte) Response
	// Healthy reports whether the controller can serve.
	Healthy() bool
}

// server holds what the handlers need.
type server struct {
	service Service
}

// Handler returns the HTTP handler of a service.
func Handler(service Service) http.Handler {
	s := &server{service: service}
	r := chi.NewRouter()
	r.Post("/api/jobs", s.submit)
	r.Get("/api/jobs/{"+jobIDParam+"}", withJobID(service.Status))
	r.Post("/api/jobs/{"+jobIDParam+"}/cancel", withJobID(service.Cancel))
	r.Post("/agent/beat", s.heartbeat)
	r.Get("/healthz", s.health)
	r.NotFound(notFound)
	r.MethodNotAllowed(methodNotAllowed)
	return r
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, ErrorResponse(http.StatusNotFound, "no such path"))
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, ErrorResponse(http.StatusMethodNotAllowed, "method not allowed"))
}
