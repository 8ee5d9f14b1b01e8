package api

import (
	"net/http"

	"junipershelf/protocol"
)

// statusOK is what a healthy controller says of itself.
const statusOK = "ok"

// health serves a health check: 200, or 503 while the controller cannot serve.
func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.service.Healthy() {
		writeResponse(w, ErrorResponse(http.StatusServiceUnavailable, "cannot take requests"))
		return
	}
	writeResponse(w, Response{Code: http.StatusOK, Body: protocol.HealthBody{Status: statusOK}})
}
