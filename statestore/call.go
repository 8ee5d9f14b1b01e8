package statestore

import (
	"context"
	"net/http"

	"junipershelf/internal/httpcall"
)

// call is a call to the store.
type call struct {
	operation Operation
	key       string // see CallError.Key
	priority  Priority
	changes   int // number of changes in a transaction, which count against the write limit
	method    string
	path      string
	message   any // encoded as the body; nil for no body
}

// wrapError wraps the cause of a failure in a CallError for the call.
func (c call) wrapError(err error) error {
	return &CallError{Operation: c.operation, Key: c.key, Err: err}
}

// do sends a call once it is admitted, with a timeout of CallTimeout, and records its outcome. The status
// is one that checkStatus accepts; exchange decodes the reply. Errors are of type *CallError.
func (c *Client) do(ctx context.Context, call call, reply any) (status int, err error) {
	if err := c.admission.admit(ctx, call.priority, call.changes); err != nil {
		return 0, call.wrapError(err)
	}
	c.admission.recordSent(call.changes)
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	status, err = c.send(ctx, c.callClient, call, reply)
	c.usage.record(call.changes, err)
	c.admission.recordOutcome(call.priority, call.changes, err)
	if err != nil {
		return 0, call.wrapError(err)
	}
	return status, nil
}

// send sends a call and checks the status of the reply.
func (c *Client) send(ctx context.Context, httpClient *httpcall.Client, call call, reply any) (status int, err error) {
	status, err = exchange(ctx, httpClient, call, reply)
	if err != nil {
		return 0, err
	}
	return status, c.checkStatus(status)
}

// exchange sends a call and decodes the body of the reply into reply, unless that is nil. Only replies to
// successful calls and to failed compare-and-swap transactions have a body to decode.
func exchange(ctx context.Context, httpClient *httpcall.Client, call call, reply any) (status int, err error) {
	response, err := httpClient.Call(ctx, call.method, call.path, call.message)
	if err != nil {
		return 0, err
	}
	hasReply := response.Status == http.StatusOK || response.Status == http.StatusConflict
	if reply != nil && hasReply {
		if err := response.Decode(reply); err != nil {
			return 0, err
		}
	}
	return response.Status, nil
}

// checkStatus returns the error for a status of a reply, or nil if the store has handled the call. It also
// tracks outages: when one ends, the tokens that calls consumed during it are restored.
func (c *Client) checkStatus(status int) error {
	switch status {
	case http.StatusTooManyRequests:
		return ErrRateLimited
	case http.StatusServiceUnavailable:
		c.availability.recordOutage()
		return ErrRefused
	case http.StatusOK, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusBadRequest:
		if outageEnded := c.availability.recordReply(); outageEnded {
			c.admission.refill()
		}
		return nil
	default:
		return unexpectedStatus(status)
	}
}
