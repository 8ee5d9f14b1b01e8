package api

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// Service returns the responses to requests. Its methods are called concurrently. Contexts are
// cancelled when the client disconnects.
type Service interface {
	// Submit accepts or rejects a job.
	Submit(ctx context.Context, spec *protocol.JobSpec) Response
	// RejectSubmission handles a malformed submission. If the job is known, it returns the job's
	// state, so that a repeated submission gets the same response, and otherwise the reason. The
	// id is empty if the submission has no valid one.
	RejectSubmission(ctx context.Context, id, reason string) Response
	// Status returns a job's state.
	Status(ctx context.Context, id string) Response
	// Cancel cancels a job.
	Cancel(ctx context.Context, id string) Response
	// Heartbeat handles an agent's heartbeat. The body is still encoded, since it may be
	// forwarded to another controller unchanged.
	Heartbeat(ctx context.Context, body []byte) Response
	// Healthy reports whether the controller can take requests.
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
