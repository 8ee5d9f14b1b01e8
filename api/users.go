package api

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// jobIDParam is the path parameter that holds a job id.
const jobIDParam = "id"

// submit handles the submission of a job.
func (s *server) submit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeResponse(w, unreadableBody())
		return
	}
	spec, err := protocol.ParseJobSpec(body)
	if err != nil {
		writeResponse(w, s.service.RejectSubmission(r.Context(), protocol.JobIDOf(body), err.Error()))
		return
	}
	writeResponse(w, s.service.Submit(r.Context(), spec))
}

// withJobID returns the handler of requests whose path holds a job id. Requests with an invalid
// id get a 404 without a call of the Service.
func withJobID(serve func(ctx context.Context, id string) Response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := chi.URLParam(r, jobIDParam)
		if !protocol.ValidJobID(id) {
			writeResponse(w, ErrorResponse(http.StatusNotFound, "no such job"))
			return
		}
		writeResponse(w, serve(r.Context(), id))
	}
}
