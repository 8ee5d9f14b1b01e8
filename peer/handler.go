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

// showRequest has no fields; it is encoded as an empty map.
type showRequest struct{}

// Node handles the calls of other controllers and of operators.
type Node interface {
	// Sync handles an owner's call to the leader.
	Sync(Sync) SyncReply
	// Ping handles a peer's ping and returns this node's.
	Ping(Ping) Ping
	// Forward handles a heartbeat that a peer forwards.
	Forward(context.Context, Forward) ForwardReply
	// Show returns the node's state, for an operator.
	Show() NodeState
}

// Handler returns the HTTP handler of a node, which accepts request bodies of at most
// maxBodyBytes.
func Handler(n Node, log *slog.Logger, maxBodyBytes int) http.Handler {
	r := chi.NewRouter()
	r.Post(syncPath, handle(log, maxBodyBytes, func(_ context.Context, request Sync) SyncReply { return n.Sync(request) }))
	r.Post(pingPath, handle(log, maxBodyBytes, func(_ context.Context, request Ping) Ping { return n.Ping(request) }))
	r.Post(forwardPath, handle(log, maxBodyBytes, n.Forward))
	r.Post(showPath, handle(log, maxBodyBytes, func(context.Context, showRequest) NodeState { return n.Show() }))
	return r
}

// handle returns the handler of one kind of call, which decodes the request, serves it and
// encodes the reply.
func handle[Request, Reply any](log *slog.Logger, maxBodyBytes int, serve func(context.Context, Request) Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := readRequest[Request](w, r, maxBodyBytes)
		if err != nil {
			log.Error("request cannot be decoded", "source", r.URL.Path, "sender", r.RemoteAddr, "err", err)
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
			// The caller has disconnected. It retries a call that got no reply.
			log.Debug("reply could not be sent", "source", r.URL.Path, "sender", r.RemoteAddr, "err", err)
		}
	}
}

// readRequest reads and decodes a request's body.
func readRequest[Request any](w http.ResponseWriter, r *http.Request, maxBodyBytes int) (request Request, err error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBodyBytes)))
	if err != nil {
		return request, err
	}
	err = msgpack.Unmarshal(body, &request)
	return request, err
}
