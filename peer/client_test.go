package peer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"junipershelf/internal/httpcall"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
)

// serve serves a handler, and returns a client of it and its address.
func serve(t *testing.T, h http.Handler) (client *peer.Client, addr string) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	addr = strings.TrimPrefix(server.URL, "http://")
	return peer.NewClient(nil, addr, peer.ClientLimits{MaxConnections: 1, MaxReplyBytes: 1 << 20}), addr
}

func TestClientReachesEachHandler(t *testing.T) {
	client, _ := serve(t, peer.Handler(stubNode{}, slog.New(slog.DiscardHandler), 1<<20))
	ctx := context.Background()
	if reply, err := client.Sync(ctx, peer.Sync{View: 4, Update: partition.Update{Version: 9}}); err != nil || reply.View != 4 || !reply.OK || reply.UpdateVersion != 9 {
		t.Errorf("sync: %+v, %v", reply, err)
	}
	if reply, err := client.Ping(ctx, peer.Ping{Node: "a", View: 7}); err != nil || reply.Node != "b" || reply.View != 7 {
		t.Errorf("ping: %+v, %v", reply, err)
	}
	if reply, err := client.Forward(ctx, peer.Forward{Body: []byte{1, 2}}); err != nil || reply.Code != http.StatusOK || !bytes.Equal(reply.Body, []byte{1, 2}) {
		t.Errorf("forward: %+v, %v", reply, err)
	}
	if reply, err := client.Show(ctx); err != nil || reply["node"] != "b" {
		t.Errorf("show: %+v, %v", reply, err)
	}
	if client.SnapshotAndResetBytes() == 0 || client.SnapshotAndResetBytes() != 0 {
		t.Error("body bytes are not counted, or the count is not reset")
	}
}

// The error for a reply that cannot be decoded names the call and the sender.
func TestUndecodableReply(t *testing.T) {
	client, addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := w.Write([]byte{0x93, 1}); err != nil {
			t.Error(err)
		}
	}))
	_, err := client.Ping(context.Background(), peer.Ping{Node: "a"})
	var undecodable *protocol.DecodeError
	if !errors.As(err, &undecodable) || undecodable.Sender != addr || undecodable.Source != "reply to /ping" {
		t.Errorf("malformed reply: error %v", err)
	}
}

func TestRejectedCall(t *testing.T) {
	client, addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "failed", http.StatusInternalServerError)
	}))
	_, err := client.Sync(context.Background(), peer.Sync{View: 4})
	var status *peer.StatusError
	if !errors.As(err, &status) || *status != (peer.StatusError{Peer: addr, Path: "/sync", Status: http.StatusInternalServerError}) {
		t.Errorf("rejected call: error %v", err)
	}
}

func TestCallWithoutAReply(t *testing.T) {
	client, _ := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	if _, err := client.Ping(context.Background(), peer.Ping{Node: "a"}); !errors.Is(err, httpcall.ErrUnknown) {
		t.Errorf("call without a reply: error %v", err)
	}
}

// Earlier versions expect an empty map.
func TestShowSendsAnEmptyMap(t *testing.T) {
	client, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !bytes.Equal(body, []byte{0x80}) {
			t.Errorf("show sent %x, want 80; error %v", body, err)
		}
		if _, err := w.Write([]byte{0x80}); err != nil {
			t.Error(err)
		}
	}))
	if _, err := client.Show(context.Background()); err != nil {
		t.Error(err)
	}
}
