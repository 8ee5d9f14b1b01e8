package emulator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"time"
)

// Process is a running controller that thousands of workers call without a connection each.
type Process struct{ Handler http.Handler }

// DirectTransport calls processes in memory from one host, with the network's delays and cuts. What is
// held up by a cut is lost, not delivered late.
type DirectTransport struct {
	Network *MemoryNetwork
	From    string
	// FindProcess finds the process that listens on a host, nil if there is none.
	FindProcess func(host string) *Process
}

// RoundTrip carries a call out. Of a process that ends meanwhile no answer comes.
func (d DirectTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	host := Host(r.URL.Host)
	process := d.FindProcess(host)
	if err := d.cross(r, d.From, host); err != nil {
		return nil, err
	}
	if process == nil {
		return nil, errors.New("connection refused")
	}
	answer := httptest.NewRecorder()
	process.Handler.ServeHTTP(answer, r)
	if d.FindProcess(host) != process {
		return nil, errors.New("connection reset")
	}
	if err := d.cross(r, host, d.From); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// cross lets a message pass, or be lost in a cut.
func (d DirectTransport) cross(r *http.Request, from, to string) error {
	if d.Network.isBlocked(from, to) {
		<-r.Context().Done()
		return r.Context().Err()
	}
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(d.Network.messageDelay()):
		return nil
	}
}
