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

// stubService answers each call with a 200 that names it, and records what it got.
type stubService struct {
	unhealthy bool
	calls     []string
	response  *api.Response // in place of the 200
}

func (s *stubService) answer(call string) api.Response {
	s.calls = append(s.calls, call)
	if s.response != nil {
		return *s.response
	}
	return api.Response{Code: http.StatusOK, Body: protocol.JobStatus{UID: call}}
}

func (s *stubService) Submit(_ context.Context, spec *protocol.JobSpec) api.Response {
	return s.answer("submit " + spec.UID)
}

func (s *stubService) RejectSubmission(_ context.Context, id, reason string) api.Response {
	s.answer("reject " + id)
	return api.ErrorResponse(http.StatusBadRequest, reason)
}

func (s *stubService) Status(_ context.Context, id string) api.Response {
	return s.answer("status " + id)
}

func (s *stubService) Cancel(_ context.Context, id string) api.Response {
	return s.answer("cancel " + id)
}

func (s *stubService) Heartbeat(_ context.Context, body []byte) api.Response {
	return s.answer("heartbeat " + string(body))
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

// submission returns the body of a valid submission, in the words of the wire.
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
		want         string // the call that the service gets; empty: none
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
				t.Errorf("the answer is of type %q", kind)
			}
		})
	}
}

func TestMalformedSubmissionIsRejectedByItsJob(t *testing.T) {
	named, err := protocol.Marshal(map[string]any{"uid": "wk-000412"})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		body []byte
		want string
	}{
		{"that names its job", named, "reject wk-000412"},
		{"that is no CBOR map", []byte{0x01}, "reject "},
		{"that is empty", nil, "reject "},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := &stubService{}
			w := request(t, s, http.MethodPost, "/api/jobs", test.body)
			var refusal protocol.ErrorBody
			if err := protocol.Unmarshal(w.Body.Bytes(), &refusal); err != nil || refusal.Error == "" {
				t.Errorf("the response has no reason: %v", err)
			}
			if got := strings.Join(s.calls, ", "); got != test.want || w.Code != http.StatusBadRequest {
				t.Errorf("call %q, status %d; want %q", got, w.Code, test.want)
			}
		})
	}
}

func TestBodyPastTheLimitIsRefused(t *testing.T) {
	tooLarge := bytes.Repeat([]byte{0}, protocol.MaxBodyBytes+1)
	for _, path := range []string{"/api/jobs", "/agent/beat"} {
		s := &stubService{}
		if w := request(t, s, http.MethodPost, path, tooLarge); w.Code != http.StatusBadRequest || len(s.calls) > 0 {
			t.Errorf("%s: status %d, calls %v", path, w.Code, s.calls)
		}
		if w := request(t, s, http.MethodPost, path, tooLarge[1:]); len(s.calls) != 1 {
			t.Errorf("%s: a body of the limit: status %d, calls %v", path, w.Code, s.calls)
		}
	}
}

func TestRetryAfterWhereARequestMaySucceedLater(t *testing.T) {
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

// The bodies are pinned byte for byte: a CBOR map of one text.
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
				t.Errorf("status %d, body %q, Retry-After %q", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
		})
	}
}

func TestAnswerThatCannotBeEncodedIsA500(t *testing.T) {
	s := &stubService{response: &api.Response{Code: http.StatusOK, Body: func() {}}}
	if w := request(t, s, http.MethodGet, "/api/jobs/wk-000412", nil); w.Code != http.StatusInternalServerError || w.Body.Len() != 0 {
		t.Errorf("status %d, %d bytes", w.Code, w.Body.Len())
	}
}
