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

// stubNode answers each call with what the tests look for.
type stubNode struct{}

func (stubNode) Sync(call peer.Sync) peer.SyncReply {
	return peer.SyncReply{View: call.View, OK: true, UpdateVersion: call.Update.Version}
}

func (stubNode) Ping(call peer.Ping) peer.Ping { return peer.Ping{Node: "b", View: call.View} }

func (stubNode) Forward(_ context.Context, call peer.Forward) peer.ForwardReply {
	return peer.ForwardReply{Code: http.StatusOK, Body: call.Body}
}

func (stubNode) Show() peer.NodeState { return peer.NodeState{Node: "b", View: 4} }

// post calls a handler with a body.
func post(t *testing.T, h http.Handler, path string, body []byte) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(body))
	request.RemoteAddr = "10.0.0.2:999"
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, request)
	return answer
}

// A message that cannot be decoded is refused, and the log names its kind and sender.
func TestUndecodableCallIsRefusedAndLogged(t *testing.T) {
	var log bytes.Buffer
	h := peer.Handler(stubNode{}, slog.New(slog.NewTextHandler(&log, nil)), 1<<20)
	if answer := post(t, h, "/ping", []byte("\x93\x01")); answer.Code != http.StatusBadRequest {
		t.Errorf("status %d", answer.Code)
	}
	for _, want := range []string{"level=ERROR", "source=/ping", "sender=10.0.0.2:999"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s: %s", want, log.String())
		}
	}
}

func TestCallPastTheLimitIsRefused(t *testing.T) {
	h := peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 16)
	body, err := msgpack.Marshal(peer.Ping{Node: strings.Repeat("b", 16)})
	if err != nil {
		t.Fatal(err)
	}
	if answer := post(t, h, "/ping", body); answer.Code != http.StatusBadRequest {
		t.Errorf("status %d", answer.Code)
	}
}

func TestGoodCallIsAnswered(t *testing.T) {
	h := peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 1<<20)
	body, err := msgpack.Marshal(peer.Ping{Node: "a", View: 7})
	if err != nil {
		t.Fatal(err)
	}
	answer := post(t, h, "/ping", body)
	var reply peer.Ping
	if err := msgpack.Unmarshal(answer.Body.Bytes(), &reply); err != nil || answer.Code != http.StatusOK || reply.Node != "b" || reply.View != 7 {
		t.Errorf("status %d, %+v, %v", answer.Code, reply, err)
	}
	if kind := answer.Header().Get("Content-Type"); kind != "application/msgpack" {
		t.Errorf("the answer is of type %q", kind)
	}
}

// An earlier version's `show` sends an empty map.
func TestShowTakesAnEmptyMap(t *testing.T) {
	h := peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 1<<20)
	if answer := post(t, h, "/show", []byte{0x80}); answer.Code != http.StatusOK {
		t.Errorf("status %d", answer.Code)
	}
}
