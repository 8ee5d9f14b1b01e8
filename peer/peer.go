// Package peer is what the controllers say to each other, in msgpack.
package peer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/internal/httpcall"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// Sync is an owner's call to the leader. FleetVersion is that of the fleet as
// the owner has it.
type Sync struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	View         uint64
	Index        int
	FleetVersion uint64
	Update       partition.Update
}

// SyncReply is the leader's answer. View is the leader's own; if it differs
// from the caller's, nothing else holds. UpdateVersion is what the leader has
// of the owner's updates; what is said of the fleet leads from FleetBase up to FleetVersion.
type SyncReply struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack      struct{} `msgpack:",as_array"`
	View          uint64
	OK            bool
	UpdateVersion uint64
	Assignments   []scheduler.Assignment
	Evict         []string
	Terminate     []string
	Stop          []job.Task
	FleetBase     uint64
	FleetVersion  uint64
	Fleet         []partition.Buddy
	FleetRemoved  []string
	Running       map[string]int
	PlaceableWork bool // work waits that could be placed
}

// Ping tells how a node stands; both sides give theirs. A version that knows nothing of
// cancellations leaves the fields from LogID on out, and LogID is 0 then.
type Ping struct {
	Node          string `msgpack:"n"`
	View          uint64 `msgpack:"v"`
	StoreSilentMS int64  `msgpack:"s"` // since the state service last answered it

	// LogID names the sender's log of cancellations, which has entries up to LogEnd;
	// Cancellations are those after the first LogFrom, as many as fit.
	LogID         uint64         `msgpack:"r,omitempty"`
	LogEnd        uint64         `msgpack:"h,omitempty"`
	LogFrom       uint64         `msgpack:"f,omitempty"`
	Cancellations []Cancellation `msgpack:"e,omitempty"`

	// Of the receiver's log PeerLogID the sender has PeerLogKnown entries.
	PeerLogID    uint64 `msgpack:"kr,omitempty"`
	PeerLogKnown uint64 `msgpack:"k,omitempty"`
}

// Cancellation is a job that a node may have told a user to be cancelled.
type Cancellation struct {
	UID  string `msgpack:"u"`
	Done int    `msgpack:"d,omitempty"`
}

// Forward passes on a worker's report for a node that the worker cannot reach.
type Forward struct {
	Body []byte `msgpack:"b"`
}

// ForwardReply is the answer to pass back.
type ForwardReply struct {
	Code int    `msgpack:"c"`
	Body []byte `msgpack:"b"`
}

// Node is what serves the calls of others.
type Node interface {
	Sync(Sync) SyncReply
	Ping(Ping) Ping
	Forward(context.Context, Forward) ForwardReply
	Show() NodeState
}

func handle[Q, A any](log *slog.Logger, maxBody int, f func(context.Context, Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(maxBody)))
		var q Q
		if err == nil {
			err = msgpack.Unmarshal(body, &q)
		}
		if err != nil {
			log.Error("cannot be decoded", "source", r.URL.Path, "sender", r.RemoteAddr, "err", err)
			http.Error(w, "malformed", http.StatusBadRequest)
			return
		}
		out, err := msgpack.Marshal(f(r.Context(), q))
		if err != nil {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/msgpack")
		w.Write(out)
	}
}

// Handler serves a node's calls of at most so many bytes.
func Handler(n Node, log *slog.Logger, maxBody int) http.Handler {
	r := chi.NewRouter()
	r.Post("/sync", handle(log, maxBody, func(_ context.Context, q Sync) SyncReply { return n.Sync(q) }))
	r.Post("/ping", handle(log, maxBody, func(_ context.Context, q Ping) Ping { return n.Ping(q) }))
	r.Post("/forward", handle(log, maxBody, n.Forward))
	r.Post("/show", handle(log, maxBody, func(context.Context, struct{}) NodeState { return n.Show() }))
	return r
}

// Client calls another controller.
type Client struct {
	calls *httpcall.Client
	addr  string
	bytes atomic.Int64 // sent and received
}

// ClientLimits bound a client: its connections, and the bytes of an answer.
type ClientLimits struct{ Connections, ReplyBytes int }

// NewClient makes a client.
func NewClient(dial httpcall.Dial, addr string, limits ClientLimits) *Client {
	return &Client{calls: httpcall.New(dial, addr, httpcall.Limits(limits)), addr: addr}
}

func (c *Client) do(ctx context.Context, path string, timeout time.Duration, q, a any) error {
	body, err := msgpack.Marshal(q)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := httpcall.Request{Method: http.MethodPost, Path: path, ContentType: "application/msgpack", Body: body}
	response, err := c.calls.Do(ctx, request)
	if err != nil {
		c.bytes.Add(int64(len(body)))
		return err
	}
	c.bytes.Add(int64(len(body) + len(response.Body)))
	if response.Status != http.StatusOK {
		return fmt.Errorf("status %d", response.Status)
	}
	if err := msgpack.Unmarshal(response.Body, a); err != nil {
		return &protocol.DecodeError{Source: "answer to " + path, Sender: c.addr, Err: err}
	}
	return nil
}

// SnapshotAndResetBytes gives the bytes of bodies sent and received since the last look.
func (c *Client) SnapshotAndResetBytes() int64 { return c.bytes.Swap(0) }

// Sync calls the leader.
func (c *Client) Sync(ctx context.Context, q Sync) (a SyncReply, err error) {
	err = c.do(ctx, "/sync", 1500*time.Millisecond, q, &a)
	return
}

// Ping asks how a node stands.
func (c *Client) Ping(ctx context.Context, q Ping) (a Ping, err error) {
	err = c.do(ctx, "/ping", time.Second, q, &a)
	return
}

// Forward passes a report on.
func (c *Client) Forward(ctx context.Context, q Forward) (a ForwardReply, err error) {
	err = c.do(ctx, "/forward", 2500*time.Millisecond, q, &a)
	return
}

// Show reads a node's view, parts, queues and counters.
func (c *Client) Show(ctx context.Context) (a map[string]any, err error) {
	err = c.do(ctx, "/show", 3*time.Second, map[string]any{}, &a)
	return
}
