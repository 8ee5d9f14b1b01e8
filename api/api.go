// Package api serves users, workers and health checks over HTTP.
package api

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// Response is a status with a CBOR body. RetryAfterS tells the client when to come back; 0:
// it is not told.
type Response struct {
	Code        int
	Body        any
	RetryAfterS int
}

// Service is what answers the requests.
type Service interface {
	Submit(context.Context, *protocol.JobSpec) Response
	// Refused answers a submission that is malformed: of a job that is known, its state.
	RejectSubmission(ctx context.Context, uid, why string) Response
	Status(context.Context, string) Response
	Cancel(context.Context, string) Response
	Heartbeat(ctx context.Context, body []byte) Response
	Healthy() bool
}

// ErrorResponse makes the answer for a failure.
func ErrorResponse(code int, text string) Response {
	a := Response{Code: code, Body: protocol.ErrorBody{Error: text}}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		a.RetryAfterS = 1
	}
	return a
}

// Handler serves a service over HTTP.
func Handler(s Service) http.Handler {
	r := chi.NewRouter()
	r.Post("/api/jobs", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r)
		if !ok {
			return
		}
		spec, err := protocol.ParseJobSpec(body)
		if err != nil {
			writeResponse(w, s.RejectSubmission(r.Context(), protocol.JobIDOf(body), err.Error()))
			return
		}
		writeResponse(w, s.Submit(r.Context(), spec))
	})
	r.Get("/api/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		if id := chi.URLParam(r, "id"); protocol.ValidJobID(id) {
			writeResponse(w, s.Status(r.Context(), id))
		} else {
			writeResponse(w, ErrorResponse(http.StatusNotFound, "no such job"))
		}
	})
	r.Post("/api/jobs/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		if id := chi.URLParam(r, "id"); protocol.ValidJobID(id) {
			writeResponse(w, s.Cancel(r.Context(), id))
		} else {
			writeResponse(w, ErrorResponse(http.StatusNotFound, "no such job"))
		}
	})
	r.Post("/agent/beat", func(w http.ResponseWriter, r *http.Request) {
		if body, ok := readBody(w, r); ok {
			writeResponse(w, s.Heartbeat(r.Context(), body))
		}
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if s.Healthy() {
			writeResponse(w, Response{Code: http.StatusOK, Body: map[string]string{"status": "ok"}})
		} else {
			writeResponse(w, ErrorResponse(http.StatusServiceUnavailable, "cannot take requests"))
		}
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, ErrorResponse(http.StatusNotFound, "no such path"))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, ErrorResponse(http.StatusMethodNotAllowed, "method not allowed"))
	})
	return r
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes))
	if err != nil {
		writeResponse(w, ErrorResponse(http.StatusBadRequest, "body cannot be read or is too large"))
		return nil, false
	}
	return body, true
}

func writeResponse(w http.ResponseWriter, a Response) {
	body, err := protocol.Marshal(a.Body)
	if err != nil {
		a.Code, body = http.StatusInternalServerError, nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/cbor")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if a.RetryAfterS > 0 {
		h.Set("Retry-After", strconv.Itoa(a.RetryAfterS))
	}
	w.WriteHeader(a.Code)
	w.Write(body)
}
