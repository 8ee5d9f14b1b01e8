// Package httpcall makes HTTP calls to one service, with limits on the number of connections and the
// length of replies. Its errors tell whether a call may have been executed: one that wraps ErrUnknown
// reports that the call may have been executed, or may still be.
package httpcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"junipershelf/protocol"
)

// ErrUnknown reports that no usable reply was received: the call may have been executed, or may still be.
var ErrUnknown = errors.New("no usable reply")

// ErrReplyTooLong reports that a reply was longer than Limits.MaxReplyBytes. It is an ErrUnknown: the
// call may have been executed.
var ErrReplyTooLong = fmt.Errorf("%w: reply too long", ErrUnknown)

// ContentTypeCBOR is the content type of the bodies that Call sends.
const ContentTypeCBOR = "application/cbor"

// Settings of every client's connections.
const (
	dialTimeout           = time.Second
	idleConnectionTimeout = 90 * time.Second
	// connectionBufferBytes is the size of each connection's read buffer and of its write buffer. It is
	// half of net/http's default: most messages are short, and a node keeps many connections in little
	// memory.
	connectionBufferBytes = 2048
)

// CallError is a failed call. Err wraps ErrUnknown, unless the request could not be created and was never
// sent.
type CallError struct {
	Method  string
	Address string // host and port of the service
	Path    string // including the query
	Err     error
}

// Error returns the call and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s %s%s: %v", e.Method, e.Address, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Limits are the maximum number of a client's connections, and the maximum length of a reply in bytes.
type Limits struct{ MaxConnections, MaxReplyBytes int }

// Client calls one service. It is safe for concurrent use.
type Client struct {
	address       string
	http          *http.Client
	maxReplyBytes int
}

// New creates a client of the service at an address, host and port. A nil dial uses TCP.
func New(dial Dial, address string, limits Limits) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     limits.MaxConnections,
		MaxIdleConnsPerHost: limits.MaxConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
	return &Client{
		address:       address,
		maxReplyBytes: limits.MaxReplyBytes,
		http:          &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes the HTTP client return a redirect as the reply instead of following it.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Request is a call to make. With a nil Body, neither a body nor the ContentType is sent.
type Request struct {
	Method      string
	Path        string // begins with a slash and may include a query
	ContentType string
	Body        []byte
}

// Response is the reply to a call, whatever its status.
type Response struct {
	Status int // an HTTP status code
	Body   []byte

	client  *Client
	request Request
}

// Decode decodes the body, a CBOR map, into message. A malformed body is an ErrUnknown: it does not show
// whether the call was executed.
func (r *Response) Decode(message any) error {
	if err := protocol.Unmarshal(r.Body, message); err != nil {
		return r.client.unknownOutcome(r.request, fmt.Errorf("malformed reply: %w", err))
	}
	return nil
}

// Do makes a call and returns the reply, whatever its status. The errors are of type *CallError.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	httpRequest, err := c.newHTTPRequest(ctx, request)
	if err != nil {
		return nil, c.wrapError(request, err)
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, c.unknownOutcome(request, withoutURL(err))
	}
	// The outcome is known when the body is closed, so an error of Close does not matter.
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, int64(c.maxReplyBytes)+1))
	if len(body) > c.maxReplyBytes {
		return nil, c.wrapError(request, fmt.Errorf("%w: more than %d bytes", ErrReplyTooLong, c.maxReplyBytes))
	}
	if err != nil {
		return nil, c.unknownOutcome(request, err)
	}
	return &Response{Status: httpResponse.StatusCode, Body: body, client: c, request: request}, nil
}

// Call makes a call with message encoded in CBOR as its body, or with no body if message is nil, and returns
// the reply, whatever its status. The errors are of type *CallError.
func (c *Client) Call(ctx context.Context, method, path string, message any) (*Response, error) {
	request := Request{Method: method, Path: path, ContentType: ContentTypeCBOR}
	if message != nil {
		body, err := protocol.Marshal(message)
		if err != nil {
			return nil, c.wrapError(request, err)
		}
		request.Body = body
	}
	return c.Do(ctx, request)
}

func (c *Client) newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	var body io.Reader
	if request.Body != nil {
		body = bytes.NewReader(request.Body)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+c.address+request.Path, body)
	if err != nil {
		return nil, err
	}
	if request.Body != nil {
		httpRequest.Header.Set("Content-Type", request.ContentType)
	}
	return httpRequest, nil
}

// wrapError wraps the cause of a failure in a CallError for the request.
func (c *Client) wrapError(request Request, err error) error {
	return &CallError{Method: request.Method, Address: c.address, Path: request.Path, Err: err}
}

// unknownOutcome returns a CallError that wraps ErrUnknown and the cause.
func (c *Client) unknownOutcome(request Request, err error) error {
	return c.wrapError(request, fmt.Errorf("%w: %w", ErrUnknown, err))
}

// withoutURL removes the method and the URL from an error of net/http, since CallError has them.
func withoutURL(err error) error {
	if urlError, ok := errors.AsType[*url.Error](err); ok {
		return urlError.Err
	}
	return err
}
