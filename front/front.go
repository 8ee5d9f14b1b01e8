// Package front serves users, workers and health checks.
package front

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// Answer is a status with a CBOR body. Retry tells the client, in seconds, when
// to come back.
type Answer struct {
	Code  int
	Body  any
	Retry int
}

// Service is what stands behind the door.
type Service interface {
	Submit(context.Context, *protocol.Spec) Answer
	// Refused answers a submission that is malformed: of a job that is known, its state.
	Refused(ctx context.Context, uid, why string) Answer
	Status(context.Context, string) Answer
	Cancel(context.Context, string) Answer
	Beat(ctx context.Context, body []byte) Answer
	Healthy() bool
}

// Problem makes the answer for a failure.
func Problem(code int, text string) Answer {
	a := Answer{Code: code, Body: protocol.Problem{Error: text}}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		a.Retry = 1
	}
	return a
}

// Handler serves the door.
func Handler(s Service) http.Handler {
	r := chi.NewRouter()
	r.Post("/api/jobs", func(w http.ResponseWriter, r *http.Request) {
		body, ok := read(w, r)
		if !ok {
			return
		}
		spec, err := protocol.ParseSpec(body)
		if err != nil {
			write(w, s.Refused(r.Context(), protocol.UIDOf(body), err.Error()))
			return
		}
		write(w, s.Submit(r.Context(), spec))
	})
	r.Get("/api/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		if id := chi.URLParam(r, "id"); protocol.ValidUID(id) {
			write(w, s.Status(r.Context(), id))
		} else {
			write(w, Problem(http.StatusNotFound, "no such job"))
		}
	})
	r.Post("/api/jobs/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		if id := chi.URLParam(r, "id"); protocol.ValidUID(id) {
			write(w, s.Cancel(r.Context(), id))
		} else {
			write(w, Problem(http.StatusNotFound, "no such job"))
		}
	})
	r.Post("/agent/beat", func(w http.ResponseWriter, r *http.Request) {
		if body, ok := read(w, r); ok {
			write(w, s.Beat(r.Context(), body))
		}
	})
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		if s.Healthy() {
			write(w, Answer{Code: http.StatusOK, Body: map[string]string{"status": "ok"}})
		} else {
			write(w, Problem(http.StatusServiceUnavailable, "cannot take requests"))
		}
	})
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) { write(w, Problem(http.StatusNotFound, "no such path")) })
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		write(w, Problem(http.StatusMethodNotAllowed, "method not allowed"))
	})
	return r
}

func read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBody))
	if err != nil {
		write(w, Problem(http.StatusBadRequest, "body cannot be read or is too large"))
		return nil, false
	}
	return body, true
}

func write(w http.ResponseWriter, a Answer) {
	body, err := protocol.Marshal(a.Body)
	if err != nil {
		a.Code, body = http.StatusInternalServerError, nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/cbor")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if a.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(a.Retry))
	}
	w.WriteHeader(a.Code)
	w.Write(body)
}
