// Package httpcall makes the HTTP calls that the paced clients share.
package httpcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"junipershelf/protocol"
)

// ErrUnknown says that nobody can tell whether the call was carried out.
var ErrUnknown = errors.New("no answer")

// ErrReplyTooLong says that an answer was longer than is taken; the call may have been carried
// out.
var ErrReplyTooLong = fmt.Errorf("%w: too long", ErrUnknown)

// Client calls one service.
type Client struct {
	base     string
	http     *http.Client
	maxReply int
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a client that keeps at most conns connections and takes answers of at most
// maxReply bytes; a nil dial is TCP's.
func New(dial Dial, addr string, conns, maxReply int) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Second, KeepAlive: -1}).DialContext
	}
	return &Client{base: "http://" + addr, maxReply: maxReply, http: &http.Client{
		Transport: &http.Transport{
			DialContext: dial, MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns,
			IdleConnTimeout: 90 * time.Second, DisableCompression: true,
			ReadBufferSize: 2048, WriteBufferSize: 2048,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Raw sends a body as it is and returns the answer's status and body.
func (c *Client) Raw(ctx context.Context, method, path, kind string, body []byte) (int, []byte, error) {
	var r io.Reader
	if body != nil {
		r = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, r)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", kind)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.maxReply)+1))
	if len(out) > c.maxReply {
		return 0, nil, ErrReplyTooLong
	}
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	return resp.StatusCode, out, nil
}

// Call sends a CBOR body and decodes the answer of a 200 or, for 404 and 409,
// of that into out.
func (c *Client) Call(ctx context.Context, method, path string, body, out any) (int, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = protocol.Marshal(body); err != nil {
			return 0, err
		}
	}
	code, reply, err := c.Raw(ctx, method, path, "application/cbor", raw)
	if err != nil {
		return 0, err
	}
	if out != nil && (code == 200 || code == 409) {
		if err := protocol.Unmarshal(reply, out); err != nil {
			// A malformed answer tells nothing of what was done.
			return 0, fmt.Errorf("%w: malformed answer: %v", ErrUnknown, err)
		}
	}
	return code, nil
}
