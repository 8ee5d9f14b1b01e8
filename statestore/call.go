package statestore

import (
	"context"
	"net/http"

	"junipershelf/internal/httpcall"
)

// call is a call to the store.
type call struct {
	operation Operation
	key       string // as CallError.Key
	priority  Priority
	changes   int // of a transaction, counted against the limit of changes
	method    string
	path      string
	message   any // the body, nil for none
}

// failed names the call in an error.
func (c call) failed(err error) error {
	return &CallError{Operation: c.operation, Key: c.key, Err: err}
}

// do sends a call when its turn has come, within CallTimeout, and records its outcome. The status is one
// of those that checkStatus accepts; the reply is decoded as by exchange. Its errors name the call.
func (c *Client) do(ctx context.Context, call call, reply any) (status int, err error) {
	if err := c.admission.admit(ctx, call.priority, call.changes); err != nil {
		return 0, call.failed(err)
	}
	c.admission.recordSent(call.changes)
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	status, err = c.send(ctx, c.calls, call, reply)
	c.usage.record(call.changes, err)
	c.admission.recordOutcome(call.priority, call.changes, err)
	if err != nil {
		return 0, call.failed(err)
	}
	return status, nil
}

// send sends a call over a client's connections and checks the status of the reply.
func (c *Client) send(ctx context.Context, connections *httpcall.Client, call call, reply any) (status int, err error) {
	status, err = exchange(ctx, connections, call, reply)
	if err != nil {
		return 0, err
	}
	return status, c.checkStatus(status)
}

// exchange sends a call and decodes the body of a reply that has one, that of a success or of a failed
// compare-and-swap. A nil reply is not decoded.
func exchange(ctx context.Context, connections *httpcall.Client, call call, reply any) (status int, err error) {
	response, err := connections.Call(ctx, call.method, call.path, call.message)
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

// checkStatus returns what a status says of its call: nil for a call that the store has handled. It follows
// outages: when one is over, all that calls had paid during it is refunded.
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
