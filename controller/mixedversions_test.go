package controller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"junipershelf/partition"
)

// mixedVersions records which nodes run the production version, and passes everything that these nodes
// send, receive, write and read through that version's formats.
type mixedVersions struct {
	t          *testing.T
	mu         sync.Mutex
	production map[string]bool
	translated map[string]int // number of translated records by key prefix and messages by path
}

func (m *mixedVersions) countTranslated(what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.translated[what]++
}

// additionalShards is the key in translated for shard records after a bucket's first.
const additionalShards = "additional shards"

// checkTranslated checks that messages and records of the usual kinds, and of the additional ones, were translated.
func (m *mixedVersions) checkTranslated(t *testing.T, additional ...string) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, what := range append([]string{"/sync", "/ping", "jobs", "shards", "roster"}, additional...) {
		if m.translated[what] == 0 {
			t.Errorf("no %s was exchanged between the versions", what)
		}
	}
}

func (m *mixedVersions) runsProduction(node string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.production[node]
}

func (m *mixedVersions) setProduction(node string, production bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.production[node] = production
}

// translateStored translates what a node of the production version writes to or reads from the key-value store.
func (m *mixedVersions) translateStored(node, key string, data []byte) []byte {
	if !m.runsProduction(node) || len(data) == 0 {
		return data
	}
	prefix, _, _ := strings.Cut(key, "/")
	m.countTranslated(prefix)
	if _, chunk, err := partition.ParseShardKey(key); err == nil && chunk > 0 {
		m.countTranslated(additionalShards)
	}
	return roundTripRecord(m.t, key, data)
}

// connListener accepts the connections that the translating proxy opens to its node.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	close func() error
	addr  net.Addr
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *connListener) Close() error {
	var err error
	l.once.Do(func() {
		close(l.done)
		err = l.close()
	})
	return err
}

func (l *connListener) Addr() net.Addr { return l.addr }

// listen wraps a node's listen function. On the node's internal address it serves a proxy that
// translates messages from or to nodes of the production version.
func (m *mixedVersions) listen(node string, listen func(network, addr string) (net.Listener, error)) func(network, addr string) (net.Listener, error) {
	return func(network, addr string) (net.Listener, error) {
		outer, err := listen(network, addr)
		if err != nil || !strings.HasSuffix(addr, ":8081") {
			return outer, err
		}
		inner := &connListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: outer.Addr()}
		transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			select {
			case inner.conns <- serverEnd:
				return clientEnd, nil
			case <-inner.done:
				return nil, net.ErrClosed
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, DisableKeepAlives: true}
		server := &http.Server{Handler: m.translatingHandler(node, transport)}
		inner.close = server.Close
		go func() { _ = server.Serve(outer) }() // until the listener is closed
		return inner, nil
	}
}

// translatingHandler forwards calls to a node.
func (m *mixedVersions) translatingHandler(node string, transport *http.Transport) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		formats, known := prodMessageFormats[r.URL.Path]
		mixed := known && (m.runsProduction(node) || m.runsProduction(r.RemoteAddr))
		if mixed {
			m.countTranslated(r.URL.Path)
			body = roundTripMessage(m.t, r.URL.Path, formats[0], body)
		}
		call, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+node+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		call.Header = r.Header.Clone()
		resp, err := transport.RoundTrip(call)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		reply, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if mixed && resp.StatusCode == http.StatusOK {
			reply = roundTripMessage(m.t, "reply to "+r.URL.Path, formats[1], reply)
		}
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(reply) // the caller detects a truncated body
	}
}
