package api

import "net/http"

// heartbeat handles an agent's heartbeat.
func (s *server) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeResponse(w, unreadableBody())
		return
	}
	writeResponse(w, s.service.Heartbeat(r.Context(), body))
}
