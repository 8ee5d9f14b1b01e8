package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
)

// How long a caller waits for an answer. A Ping decides on ownership leases and a Sync is
// repeated soon, so both are given up early.
const (
	syncTimeout    = 1500 * time.Millisecond
	pingTimeout    = time.Second
	forwardTimeout = 2500 * time.Millisecond
	showTimeout    = 3 * time.Second
)

// StatusError says that a controller answered a call with a status other than 200.
type StatusError struct {
	Peer   string // its address
	Path   string // of the call
	Status int    // an HTTP status code
}

// Error names the controller, the call and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s of %s: status %d %s", e.Path, e.Peer, e.Status, http.StatusText(e.Status))
}

// ClientLimits are those of a client: its connections, and the bytes of an answer.
type ClientLimits struct{ Connections, ReplyBytes int }

// Client calls another controller. Its methods may be called from any goroutine. Each returns
// an error that wraps httpcall.ErrUnknown if no answer came, a *StatusError if the call was
// refused, and a *protocol.DecodeError if the answer cannot be decoded.
type Client struct {
	calls *httpcall.Client
	addr  string
	bytes atomic.Int64 // of bodies sent and received
}

// NewClient returns a client of the controller at an address.
func NewClient(dial httpcall.Dial, addr string, limits ClientLimits) *Client {
	return &Client{calls: httpcall.New(dial, addr, httpcall.Limits(limits)), addr: addr}
}

// Sync calls the leader as an owner.
func (c *Client) Sync(ctx context.Context, request Sync) (SyncReply, error) {
	return call[SyncReply](ctx, c, syncPath, syncTimeout, request)
}

// Ping exchanges what the two controllers know of the view and of cancellations.
func (c *Client) Ping(ctx context.Context, request Ping) (Ping, error) {
	return call[Ping](ctx, c, pingPath, pingTimeout, request)
}

// Forward hands on a worker's heartbeat.
func (c *Client) Forward(ctx context.Context, request Forward) (ForwardReply, error) {
	return call[ForwardReply](ctx, c, forwardPath, forwardTimeout, request)
}

// Show returns the controller's NodeState as a map, so that fields which only the other
// version knows are shown as well.
func (c *Client) Show(ctx context.Context) (map[string]any, error) {
	return call[map[string]any](ctx, c, showPath, showTimeout, showRequest{})
}

// SnapshotAndResetBytes returns the bytes of bodies sent and received since it was last called.
func (c *Client) SnapshotAndResetBytes() int64 { return c.bytes.Swap(0) }

// call sends a request and decodes the answer.
func call[Reply any](ctx context.Context, c *Client, path string, timeout time.Duration, request any) (reply Reply, err error) {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.calls.Do(ctx, httpcall.Request{Method: http.MethodPost, Path: path, ContentType: contentType, Body: body})
	c.bytes.Add(int64(len(body)))
	if err != nil {
		return reply, err
	}
	c.bytes.Add(int64(len(response.Body)))
	if response.Status != http.StatusOK {
		return reply, &StatusError{Peer: c.addr, Path: path, Status: response.Status}
	}
	if err := msgpack.Unmarshal(response.Body, &reply); err != nil {
		return reply, &protocol.DecodeError{Source: "answer to " + path, Sender: c.addr, Err: err}
	}
	return reply, nil
}
