package api

import (
	"io"
	"net/http"
	"strconv"

	"junipershelf/protocol"
)

// Response is an HTTP status with a CBOR body.
type Response struct {
	Code int
	Body any
	// RetryAfterS is after how many seconds the client should come back; 0: it is not said.
	RetryAfterS int
}

// errorRetryAfterS is when a client should come back that was refused for the time being.
const errorRetryAfterS = 1

// ErrorResponse returns the answer to a request that failed. Where it may succeed later (429
// and 503) it says when to come back.
func ErrorResponse(code int, text string) Response {
	response := Response{Code: code, Body: protocol.ErrorBody{Error: text}}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		response.RetryAfterS = errorRetryAfterS
	}
	return response
}

// readBody reads a request's body of at most protocol.MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxBodyBytes))
}

// unreadableBody is the answer to a request whose body readBody could not read.
func unreadableBody() Response {
	return ErrorResponse(http.StatusBadRequest, "body cannot be read or is too large")
}

// writeResponse writes an answer; one that cannot be encoded becomes a 500 without a body.
func writeResponse(w http.ResponseWriter, response Response) {
	body, err := protocol.Marshal(response.Body)
	if err != nil {
		response.Code, body = http.StatusInternalServerError, nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/cbor")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if response.RetryAfterS > 0 {
		h.Set("Retry-After", strconv.Itoa(response.RetryAfterS))
	}
	w.WriteHeader(response.Code)
	// An error means that the client is gone. It asks again: submissions and cancellations are
	// idempotent.
	_, _ = w.Write(body)
}
