package api

import (
	"net/http"

	"junipershelf/protocol"
)

// healthyStatus is the status in the response of a healthy controller.
const healthyStatus = "ok"

// health handles a health check: 200, or 503 while the controller cannot take requests.
func (s *server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.service.Healthy() {
		writeResponse(w, ErrorResponse(http.StatusServiceUnavailable, "cannot take requests"))
		return
	}
	writeResponse(w, Response{Code: http.StatusOK, Body: protocol.HealthBody{Status: healthyStatus}})
}
