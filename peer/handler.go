package peer

import (
	"context"
	"io"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	syncPath    = "/sync"
	pingPath    = "/ping"
	forwardPath = "/forward"
	showPath    = "/show"

	contentType = "application/msgpack"
)

// showRequest asks for nothing in particular; it is an empty map.
type showRequest struct{}

// Node serves the calls of other controllers, and of an operator.
type Node interface {
	// Sync serves an owner's call to the leader.
	Sync(Sync) SyncReply
	// Ping serves a peer's ping and returns this node's.
	Ping(Ping) Ping
	// Forward serves a heartbeat that a peer hands on.
	Forward(context.Context, Forward) ForwardReply
	// Show describes the node to an operator.
	Show() NodeState
}

// Handler returns the HTTP handler of a node, which takes calls of at most maxBody bytes.
func Handler(n Node, log *slog.Logger, maxBody int) http.Handler {
	r := chi.NewRouter()
	r.Post(syncPath, handle(log, maxBody, func(_ context.Context, request Sync) SyncReply { return n.Sync(request) }))
	r.Post(pingPath, handle(log, maxBody, func(_ context.Context, request Ping) Ping { return n.Ping(request) }))
	r.Post(forwardPath, handle(log, maxBody, n.Forward))
	r.Post(showPath, handle(log, maxBody, func(context.Context, showRequest) NodeState { return n.Show() }))
	return r
}

// handle returns the handler of one kind of call: it decodes the request, serves it and
// encodes the reply.
func handle[Request, Reply any](log *slog.Logger, maxBody int, serve func(context.Context, Request) Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := readRequest[Request](w, r, maxBody)
		if err != nil {
			log.Error("cannot be decoded", "source", r.URL.Path, "sender", r.RemoteAddr, "err", err)
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
		reply, err := msgpack.Marshal(serve(r.Context(), request))
		if err != nil {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", contentType)
		if _, err := w.Write(reply); err != nil {
			// The caller is gone; it repeats a call without an answer.
			log.Debug("reply not delivered", "source", r.URL.Path, "sender", r.RemoteAddr, "err", err)
		}
	}
}

// readRequest reads and decodes a request's body.
func readRequest[Request any](w http.ResponseWriter, r *http.Request, maxBody int) (request Request, err error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBody)))
	if err != nil {
		return request, err
	}
	err = msgpack.Unmarshal(body, &request)
	return request, err
}
