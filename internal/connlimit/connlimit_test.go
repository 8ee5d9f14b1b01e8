package connlimit_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"junipershelf/internal/connlimit"
)

const (
	slots   = 4
	clients = 12
)

// When all slots are occupied, an idle connection is closed for a new one, which does not wait long.
func TestIdleConnectionIsClosedForNewOne(t *testing.T) {
	closed, reachedLimit := serveClients(t, func(_ *connlimit.Listener, handler http.Handler) http.Handler { return handler })
	if closed > 0 {
		t.Errorf("%d responses closed their connections, want none", closed)
	}
	if reachedLimit < clients-slots {
		t.Errorf("the limit was reached %d times, want at least %d", reachedLimit, clients-slots)
	}
}

// When most slots are occupied, responses close their connections before the limit is reached.
func TestResponsesCloseConnectionsNearLimit(t *testing.T) {
	closed, _ := serveClients(t, (*connlimit.Listener).CloseConnectionsNearLimit)
	if closed == 0 {
		t.Error("no response closed its connection")
	}
}

// serveClients lets each client in turn make a request, on a connection that it keeps open unless the
// server closes it. It returns how many responses closed their connections, and how often the limit was
// reached.
func serveClients(t *testing.T, wrap func(*connlimit.Listener, http.Handler) http.Handler) (closed, reachedLimit int) {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	full := make(chan struct{}, 2*clients)
	listener := connlimit.NewListener(inner, slots, func() { full <- struct{}{} })
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") })
	server := &http.Server{ConnState: listener.ObserveState, Handler: wrap(listener, handler), ReadHeaderTimeout: 5 * time.Second}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener) // returns once the server is closed
	}()
	defer func() {
		_ = server.Close()
		<-served
	}()
	for range clients {
		client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
		defer client.CloseIdleConnections()
		if closesConnection(t, client, "http://"+inner.Addr().String()) {
			closed++
		}
	}
	return closed, len(full)
}

// closesConnection makes a request and reports whether its response closes the connection.
func closesConnection(t *testing.T, client *http.Client, url string) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.Close
}
