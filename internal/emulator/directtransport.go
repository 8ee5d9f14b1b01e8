package emulator

import (
	"net/http"
	"net/http/httptest"

	"junipershelf/internal/ctxtime"
)

// Process is a running controller that is called through its handler, without a connection.
type Process struct{ Handler http.Handler }

// DirectTransport calls processes in memory from one host, with the network's latency and
// blocked directions, so that thousands of agents do not need a connection each. Unlike on a
// connection, a message in a blocked direction is lost instead of delayed.
type DirectTransport struct {
	Network *MemoryNetwork
	From    string // the calling host
	// FindProcess returns the process that runs on a host, or nil.
	FindProcess func(host string) *Process
}

// RoundTrip implements http.RoundTripper. If the process ends during the call, its reply is lost
// and the call fails.
func (d DirectTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	host := Host(r.URL.Host)
	process := d.FindProcess(host)
	if err := d.deliver(r, d.From, host); err != nil {
		return nil, err
	}
	if process == nil {
		return nil, errConnectionRefused
	}
	reply := httptest.NewRecorder()
	process.Handler.ServeHTTP(reply, r)
	if d.FindProcess(host) != process {
		return nil, errConnectionReset
	}
	if err := d.deliver(r, host, d.From); err != nil {
		return nil, err
	}
	return reply.Result(), nil
}

// deliver waits for the message delay or, in a blocked direction, until the request's context
// ends.
func (d DirectTransport) deliver(r *http.Request, from, to string) error {
	if d.Network.isBlocked(from, to) {
		<-r.Context().Done()
		return r.Context().Err()
	}
	if !ctxtime.Sleep(r.Context(), d.Network.messageDelay()) {
		return r.Context().Err()
	}
	return nil
}
