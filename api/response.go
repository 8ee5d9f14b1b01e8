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
	// RetryAfterS is the time after which the client should retry, in seconds; 0: unspecified.
	RetryAfterS int
}

// errorRetryAfterS is the RetryAfterS of temporary errors, in seconds.
const errorRetryAfterS = 1

// ErrorResponse returns the response to a request that failed. If a retry may succeed (429 and
// 503), it has a RetryAfterS.
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

// unreadableBody returns the response to a request whose body readBody could not read.
func unreadableBody() Response {
	return ErrorResponse(http.StatusBadRequest, "body cannot be read or is too large")
}

// writeResponse writes a response; one that cannot be encoded becomes a 500 without a body.
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
	// An error means that the client has disconnected. It can retry: submissions and
	// cancellations are idempotent.
	_, _ = w.Write(body)
}
