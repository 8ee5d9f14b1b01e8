package api_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"junipershelf/api"
	"junipershelf/protocol"
)

// stubService returns a 200 that names the call, and records the calls.
type stubService struct {
	unhealthy bool
	calls     []string
	response  *api.Response // in place of the 200
}

func (s *stubService) respond(call string) api.Response {
	s.calls = append(s.calls, call)
	if s.response != nil {
		return *s.response
	}
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: call}}
}

func (s *stubService) Submit(_ context.Context, spec *protocol.JobSpec) api.Response {
	return s.respond("submit " + spec.UID)
}

func (s *stubService) RejectSubmission(_ context.Context, id, reason string) api.Response {
	s.respond("reject " + id)
	return api.ErrorResponse(http.StatusBadRequest, reason)
}

func (s *stubService) Status(_ context.Context, id string) api.Response {
	return s.respond("status " + id)
}

func (s *stubService) Cancel(_ context.Context, id string) api.Response {
	return s.respond("cancel " + id)
}

func (s *stubService) Heartbeat(_ context.Context, body []byte) api.Response {
	return s.respond("heartbeat " + string(body))
}

func (s *stubService) Healthy() bool { return !s.unhealthy }

// request sends a request to a service's handler.
func request(t *testing.T, s api.Service, method, path string, body []byte) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, bytes.NewReader(body))
	w := httptest.NewRecorder()
	api.Handler(s).ServeHTTP(w, r)
	return w
}

// submission returns the body of a valid submission.
func submission(t *testing.T) []byte {
	t.Helper()
	body, err := protocol.Marshal(map[string]any{
		"uid": "wk-000412", "queue": "train", "owner": "vision", "shape": "array", "urgency": "urgent", "bundle": "img-07",
		"pieces": 16, "cpus": 8.0, "accelerators": 0.0, "mem_gb": 64.0, "size_gb": 6.2,
		"together": false, "scatter": false, "borrowed": true, "expected_s": 240.0, "snapshot_s": 30.0, "stash_s": 4.0,
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestRoutes(t *testing.T) {
	for _, test := range []struct {
		method, path string
		body         []byte
		want         string // call of the service; empty: none
		code         int
	}{
		{http.MethodPost, "/api/jobs", submission(t), "submit wk-000412", http.StatusOK},
		{http.MethodGet, "/api/jobs/wk-000412", nil, "status wk-000412", http.StatusOK},
		{http.MethodPost, "/api/jobs/wk-000412/cancel", nil, "cancel wk-000412", http.StatusOK},
		{http.MethodPost, "/agent/beat", []byte("beat"), "heartbeat beat", http.StatusOK},
		{http.MethodGet, "/healthz", nil, "", http.StatusOK},

		{http.MethodGet, "/api/jobs/no%20id", nil, "", http.StatusNotFound},
		{http.MethodPost, "/api/jobs/no%20id/cancel", nil, "", http.StatusNotFound},
		{http.MethodGet, "/no/such/path", nil, "", http.StatusNotFound},
		{http.MethodGet, "/agent/beat", nil, "", http.StatusMethodNotAllowed},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			s := &stubService{}
			w := request(t, s, test.method, test.path, test.body)
			if got := strings.Join(s.calls, ", "); got != test.want || w.Code != test.code {
				t.Errorf("call %q, status %d (%x); want %q, %d", got, w.Code, w.Body, test.want, test.code)
			}
			if kind := w.Header().Get("Content-Type"); kind != "application/cbor" {
				t.Errorf("Content-Type %q, want application/cbor", kind)
			}
		})
	}
}

func TestMalformedSubmissionIsRejectedWithItsJobID(t *testing.T) {
	withID, err := protocol.Marshal(map[string]any{"uid": "wk-000412"})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		body []byte
		want string
	}{
		{"with a job id", withID, "reject wk-000412"},
		{"not a CBOR map", []byte{0x01}, "reject "},
		{"empty", nil, "reject "},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &stubService{}
			w := request(t, s, http.MethodPost, "/api/jobs", test.body)
			var errorBody protocol.ErrorBody
			if err := protocol.Unmarshal(w.Body.Bytes(), &errorBody); err != nil || errorBody.Error == "" {
				t.Errorf("response without a reason: error %v", err)
			}
			if got := strings.Join(s.calls, ", "); got != test.want || w.Code != http.StatusBadRequest {
				t.Errorf("call %q, status %d; want %q", got, w.Code, test.want)
			}
		})
	}
}

func TestOversizedBodyIsRejected(t *testing.T) {
	tooLarge := bytes.Repeat([]byte{0}, protocol.MaxBodyBytes+1)
	for _, path := range []string{"/api/jobs", "/agent/beat"} {
		s := &stubService{}
		if w := request(t, s, http.MethodPost, path, tooLarge); w.Code != http.StatusBadRequest || len(s.calls) > 0 {
			t.Errorf("%s: status %d, calls %v; want 400 and none", path, w.Code, s.calls)
		}
		if w := request(t, s, http.MethodPost, path, tooLarge[1:]); len(s.calls) != 1 {
			t.Errorf("%s: body of the maximum size: status %d, calls %v", path, w.Code, s.calls)
		}
	}
}

func TestRetryAfterOfTemporaryErrors(t *testing.T) {
	for _, test := range []struct {
		code int
		want string
	}{
		{http.StatusServiceUnavailable, "1"},
		{http.StatusTooManyRequests, "1"},
		{http.StatusNotFound, ""},
		{http.StatusBadRequest, ""},
	} {
		response := api.ErrorResponse(test.code, "failed")
		w := request(t, &stubService{response: &response}, http.MethodGet, "/api/jobs/wk-000412", nil)
		if got := w.Header().Get("Retry-After"); got != test.want || w.Code != test.code {
			t.Errorf("status %d: Retry-After %q, want %q", w.Code, got, test.want)
		}
	}
}

// The bodies are compared byte for byte: a CBOR map with one string.
func TestHealthBodies(t *testing.T) {
	for _, test := range []struct {
		name       string
		unhealthy  bool
		code       int
		body       string
		retryAfter string
	}{
		{"healthy", false, http.StatusOK, "\xa1\x66status\x62ok", ""},
		{"unhealthy", true, http.StatusServiceUnavailable, "\xa1\x65error\x74cannot take requests", "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := request(t, &stubService{unhealthy: test.unhealthy}, http.MethodGet, "/healthz", nil)
			if w.Code != test.code || w.Body.String() != test.body || w.Header().Get("Retry-After") != test.retryAfter {
				t.Errorf("status %d, body %q, Retry-After %q; want %d, %q, %q", w.Code, w.Body, w.Header().Get("Retry-After"), test.code, test.body, test.retryAfter)
			}
		})
	}
}

func TestUnencodableResponseIsA500(t *testing.T) {
	s := &stubService{response: &api.Response{Code: http.StatusOK, Body: func() {}}}
	if w := request(t, s, http.MethodGet, "/api/jobs/wk-000412", nil); w.Code != http.StatusInternalServerError || w.Body.Len() != 0 {
		t.Errorf("status %d, %d bytes; want 500 without a body", w.Code, w.Body.Len())
	}
}
