package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"junipershelf/protocol"
)

// storeDoor is the address at which one controller reaches the state service. It can refuse that controller
// alone, as the protocols page describes: requests get 503, open watches wait.
type storeDoor struct {
	address string
	link    *link

	mu      sync.Mutex
	refuses bool
	changed chan struct{} // closed when refuses changes
	delay   time.Duration // of each answer
	// filter may answer a request itself; it then returns true.
	filter func(w http.ResponseWriter, r *http.Request) bool
}

func newStoreDoor(handler http.Handler) *storeDoor {
	door := &storeDoor{changed: make(chan struct{})}
	listener := mustListen()
	server := &http.Server{Handler: door.wrap(handler), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // it ends with the process
	door.link = newLink(listener.Addr().String())
	door.address = door.link.address
	return door
}

func (d *storeDoor) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		refuses, changed, delay, filter := d.refuses, d.changed, d.delay, d.filter
		d.mu.Unlock()
		if refuses && strings.HasPrefix(r.URL.Path, "/watch") {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		} else if refuses {
			answer(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
			return
		}
		time.Sleep(delay)
		if filter != nil && filter(w, r) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// answer writes a message as the answer to a request.
func answer(w http.ResponseWriter, code int, message any) {
	raw, err := protocol.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.WriteHeader(code)
	_, _ = w.Write(raw) // the client sees a short answer
}
