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

// Timeouts of the calls. Those of Ping and Sync are short: a ping decides on ownership leases,
// and a sync is retried soon.
const (
	syncTimeout    = 1500 * time.Millisecond
	pingTimeout    = time.Second
	forwardTimeout = 2500 * time.Millisecond
	showTimeout    = 3 * time.Second
)

// StatusError reports that a controller replied to a call with a status other than 200.
type StatusError struct {
	Peer   string // address of the controller
	Path   string // of the call
	Status int    // an HTTP status code
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("POST %s to %s: status %d %s", e.Path, e.Peer, e.Status, http.StatusText(e.Status))
}

// ClientLimits limit a client's connections and the size of a reply.
type ClientLimits struct{ MaxConnections, MaxReplyBytes int }

// Client calls another controller. Its methods are safe for concurrent use. Each returns an
// error that wraps httpcall.ErrUnknown if no reply was received, a *StatusError if the call was
// rejected, and a *protocol.DecodeError if the reply cannot be decoded.
type Client struct {
	httpClient *httpcall.Client
	addr       string
	bodyBytes  atomic.Int64 // of bodies sent and received
}

// NewClient returns a client of the controller at an address.
func NewClient(dial httpcall.Dial, addr string, limits ClientLimits) *Client {
	return &Client{httpClient: httpcall.New(dial, addr, httpcall.Limits(limits)), addr: addr}
}

// Sync sends an owner's update to the leader.
func (c *Client) Sync(ctx context.Context, request Sync) (SyncReply, error) {
	return call[SyncReply](ctx, c, syncPath, syncTimeout, request)
}

// Ping exchanges the view and the cancellations that each of the two controllers knows.
func (c *Client) Ping(ctx context.Context, request Ping) (Ping, error) {
	return call[Ping](ctx, c, pingPath, pingTimeout, request)
}

// Forward forwards an agent's heartbeat to the owner of its machine.
func (c *Client) Forward(ctx context.Context, request Forward) (ForwardReply, error) {
	return call[ForwardReply](ctx, c, forwardPath, forwardTimeout, request)
}

// Show returns the controller's NodeState as a map, which includes fields that only the
// controller's version knows.
func (c *Client) Show(ctx context.Context) (map[string]any, error) {
	return call[map[string]any](ctx, c, showPath, showTimeout, showRequest{})
}

// SnapshotAndResetBytes returns the number of body bytes sent and received since it was last
// called.
func (c *Client) SnapshotAndResetBytes() int64 { return c.bodyBytes.Swap(0) }

// call sends a request and decodes the reply.
func call[Reply any](ctx context.Context, c *Client, path string, timeout time.Duration, request any) (reply Reply, err error) {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.httpClient.Do(ctx, httpcall.Request{Method: http.MethodPost, Path: path, ContentType: contentType, Body: body})
	c.bodyBytes.Add(int64(len(body)))
	if err != nil {
		return reply, err
	}
	c.bodyBytes.Add(int64(len(response.Body)))
	if response.Status != http.StatusOK {
		return reply, &StatusError{Peer: c.addr, Path: path, Status: response.Status}
	}
	if err := msgpack.Unmarshal(response.Body, &reply); err != nil {
		return reply, &protocol.DecodeError{Source: "reply to " + path, Sender: c.addr, Err: err}
	}
	return reply, nil
}
