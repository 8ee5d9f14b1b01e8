package peer_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/peer"
)

// stubNode replies to each call with values of the request, which the tests check.
type stubNode struct{}

func (stubNode) Sync(call peer.Sync) peer.SyncReply {
	return peer.SyncReply{View: call.View, OK: true, UpdateVersion: call.Update.Version}
}

func (stubNode) Ping(call peer.Ping) peer.Ping { return peer.Ping{Node: "b", View: call.View} }

func (stubNode) Forward(_ context.Context, call peer.Forward) peer.ForwardReply {
	return peer.ForwardReply{Code: http.StatusOK, Body: call.Body}
}

func (stubNode) Show() peer.NodeState { return peer.NodeState{Node: "b", View: 4} }

// post sends a body to a handler.
func post(t *testing.T, h http.Handler, path string, body []byte) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(body))
	request.RemoteAddr = "10.0.0.2:999"
	response := httptest.NewRecorder()
	h.ServeHTTP(response, request)
	return response
}

// The log line for a request that cannot be decoded names the call and the sender.
func TestUndecodableRequestIsRejectedAndLogged(t *testing.T) {
	var log bytes.Buffer
	h := peer.Handler(stubNode{}, slog.New(slog.NewTextHandler(&log, nil)), 1<<20)
	if response := post(t, h, "/ping", []byte("\x93\x01")); response.Code != http.StatusBadRequest {
		t.Errorf("status %d, want 400", response.Code)
	}
	for _, want := range []string{"level=ERROR", "source=/ping", "sender=10.0.0.2:999"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s: %s", want, log.String())
		}
	}
}

func TestOversizedRequestIsRejected(t *testing.T) {
	h := peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 16)
	body, err := msgpack.Marshal(peer.Ping{Node: strings.Repeat("b", 16)})
	if err != nil {
		t.Fatal(err)
	}
	if response := post(t, h, "/ping", body); response.Code != http.StatusBadRequest {
		t.Errorf("status %d, want 400", response.Code)
	}
}

func TestValidRequestGetsAReply(t *testing.T) {
	h := peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 1<<20)
	body, err := msgpack.Marshal(peer.Ping{Node: "a", View: 7})
	if err != nil {
		t.Fatal(err)
	}
	response := post(t, h, "/ping", body)
	var reply peer.Ping
	if err := msgpack.Unmarshal(response.Body.Bytes(), &reply); err != nil || response.Code != http.StatusOK || reply.Node != "b" || reply.View != 7 {
		t.Errorf("status %d, %+v, %v", response.Code, reply, err)
	}
	if kind := response.Header().Get("Content-Type"); kind != "application/msgpack" {
		t.Errorf("Content-Type %q, want application/msgpack", kind)
	}
}

// Earlier versions of `junipershelf show` send an empty map.
func TestShowAcceptsAnEmptyMap(t *testing.T) {
	h := peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 1<<20)
	if response := post(t, h, "/show", []byte{0x80}); response.Code != http.StatusOK {
		t.Errorf("status %d, want 200", response.Code)
	}
}
