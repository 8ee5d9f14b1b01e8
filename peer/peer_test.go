package peer

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/protocol"
)

// silentNode answers every call with nothing.
type silentNode struct{ Node }

func (silentNode) Ping(Ping) Ping { return Ping{} }

// A message that cannot be decoded is refused, and the log names its kind and sender; an
// answer that cannot be decoded is an error that tells both.
func TestUndecodableMessages(t *testing.T) {
	var log bytes.Buffer
	h := Handler(silentNode{}, slog.New(slog.NewTextHandler(&log, nil)), 1<<20)
	call := httptest.NewRequest(http.MethodPost, "/ping", strings.NewReader("\x93\x01"))
	call.RemoteAddr = "10.0.0.2:999"
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, call)
	if answer.Code != http.StatusBadRequest {
		t.Errorf("status %d", answer.Code)
	}
	for _, want := range []string{"level=ERROR", "source=/ping", "sender=10.0.0.2:999"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log lacks %s: %s", want, log.String())
		}
	}
	good, err := msgpack.Marshal(Ping{Node: "b"})
	if err != nil {
		t.Fatal(err)
	}
	answer = httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/ping", bytes.NewReader(good)))
	if answer.Code != http.StatusOK {
		t.Errorf("a good message: %d", answer.Code)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte{0x93, 1}) }))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	_, err = NewClient(nil, addr, ClientLimits{Connections: 1, ReplyBytes: 1 << 20}).Ping(context.Background(), Ping{Node: "a"})
	var undecodable *protocol.DecodeError
	if !errors.As(err, &undecodable) || undecodable.Sender != addr || undecodable.Source != "answer to /ping" {
		t.Errorf("a malformed answer: %v", err)
	}
}
