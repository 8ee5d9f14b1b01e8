// Package httpcall makes HTTP calls to one service over a bounded number of connections and with
// bounded replies. It sorts failures by what is known of the call: an error that wraps ErrUnknown
// says that the call may have been executed or may yet be.
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

// ErrUnknown reports that no usable reply came: the call may have been executed or may yet be.
var ErrUnknown = errors.New("no answer")

// ErrReplyTooLong reports that a reply was longer than Limits.ReplyBytes. It is an ErrUnknown: the
// call may have been executed.
var ErrReplyTooLong = fmt.Errorf("%w: reply too long", ErrUnknown)

// ContentTypeCBOR is the content type of the bodies that Call sends.
const ContentTypeCBOR = "application/cbor"

// Settings of every client's connections.
const (
	dialTimeout           = time.Second
	idleConnectionTimeout = 90 * time.Second
	// connectionBufferBytes is the size of each connection's read and of its write buffer, half of
	// the library's: most messages are short, and a node keeps many connections in little memory.
	connectionBufferBytes = 2048
)

// CallError is a call that failed. Err wraps ErrUnknown unless the request could not be made and was
// never sent.
type CallError struct {
	Method  string
	Address string // host and port of the service
	Path    string // with the query
	Err     error
}

// Error names the call and its failure.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s %s%s: %v", e.Method, e.Address, e.Path, e.Err)
}

// Unwrap returns the failure.
func (e *CallError) Unwrap() error { return e.Err }

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Limits are those of a client: how many connections it keeps, and the longest reply that it takes, in bytes.
type Limits struct{ Connections, ReplyBytes int }

// Client calls one service. It is safe for concurrent use.
type Client struct {
	address    string
	http       *http.Client
	replyBytes int
}

// New makes a client of the service at an address, host and port. A nil dial is TCP's.
func New(dial Dial, address string, limits Limits) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     limits.Connections,
		MaxIdleConnsPerHost: limits.Connections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connectionBufferBytes,
		WriteBufferSize:     connectionBufferBytes,
	}
	return &Client{
		address:    address,
		replyBytes: limits.ReplyBytes,
		http:       &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
}

// returnRedirect keeps redirects from being followed: a redirect is returned as the reply.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Request is a call to make. A nil Body sends none, and ContentType is not sent then.
type Request struct {
	Method      string
	Path        string // begins with a slash, may have a query
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

// Decode decodes the body, a CBOR map, into a message. A malformed body is an ErrUnknown: it proves
// nothing about what was done.
func (r *Response) Decode(message any) error {
	if err := protocol.Unmarshal(r.Body, message); err != nil {
		return r.client.unknown(r.request, fmt.Errorf("malformed reply: %w", err))
	}
	return nil
}

// Do makes a call and returns the reply, whatever its status. The errors are of type *CallError.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	httpRequest, err := c.newHTTPRequest(ctx, request)
	if err != nil {
		return nil, c.failed(request, err)
	}
	reply, err := c.http.Do(httpRequest)
	if err != nil {
		return nil, c.unknown(request, withoutURL(err))
	}
	// The outcome is known by the time the body is closed, so that an error of Close changes nothing.
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, int64(c.replyBytes)+1))
	if len(body) > c.replyBytes {
		return nil, c.failed(request, ErrReplyTooLong)
	}
	if err != nil {
		return nil, c.unknown(request, err)
	}
	return &Response{Status: reply.StatusCode, Body: body, client: c, request: request}, nil
}

// Call makes a call with a CBOR message as its body, or with no body if the message is nil, and returns
// the reply, whatever its status. The errors are of type *CallError.
func (c *Client) Call(ctx context.Context, method, path string, message any) (*Response, error) {
	request := Request{Method: method, Path: path, ContentType: ContentTypeCBOR}
	if message != nil {
		body, err := protocol.Marshal(message)
		if err != nil {
			return nil, c.failed(request, err)
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

// failed names the call that an error belongs to.
func (c *Client) failed(request Request, err error) error {
	return &CallError{Method: request.Method, Address: c.address, Path: request.Path, Err: err}
}

// unknown marks an error as one that leaves open whether the call was executed.
func (c *Client) unknown(request Request, err error) error {
	return c.failed(request, fmt.Errorf("%w: %w", ErrUnknown, err))
}

// withoutURL takes the method and the address off an error of the HTTP library: CallError names them.
func withoutURL(err error) error {
	if named, ok := errors.AsType[*url.Error](err); ok {
		return named.Err
	}
	return err
}
