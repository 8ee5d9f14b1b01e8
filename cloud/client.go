// Package cloud is the client of the cloud's rental API: the catalogue of machine types, scale-out,
// termination, and the list of machines. It keeps a node within its share of the cloud's limit on the
// request rate.
package cloud

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// Timeout is the timeout of a request from when it is sent.
const Timeout = 4 * time.Second

// The maximum numbers of machines in one request.
const (
	MaxScaleOut  = 50
	MaxTerminate = 100
)

const (
	// maxConnections is the maximum number of connections to the cloud.
	maxConnections = 12
	// maxReplyBytes limits the length of a reply; the longest is a page of the list.
	maxReplyBytes = 1 << 20
	// listPageSize is the maximum number of machines on a page of the list.
	listPageSize = 500
	// listRequestsShare is the fraction of a node's request rate that lists may use.
	listRequestsShare = 0.3
)

// The paths of the cloud's API.
const (
	cataloguePath = "/flavors"
	machinesPath  = "/machines"
	terminatePath = "/machines/return"
)

// noCapacityReply is the error text in the reply to a scale-out for which the cloud has no capacity.
const noCapacityReply = "no capacity"

// Client calls the cloud within a node's share of its limit. It is safe for concurrent use.
type Client struct {
	httpClient        *httpcall.Client
	requestsPerSecond float64 // the cloud's limit for all nodes together
	limiter           *rate.Limiter
	maxListed         int // machines
}

// New creates a client of the cloud at an address, host and port. A nil dial uses TCP. Lists are truncated
// after maxListed machines.
func New(dial httpcall.Dial, address string, limits settings.CloudLimits, maxListed int) *Client {
	client := &Client{
		httpClient:        httpcall.New(dial, address, httpcall.Limits{MaxConnections: maxConnections, MaxReplyBytes: maxReplyBytes}),
		requestsPerSecond: limits.RPS,
		limiter:           rate.NewLimiter(1, 1),
		maxListed:         maxListed,
	}
	client.SetShare(Share{Nodes: 1})
	return client
}

// MachineTypes returns the catalogue of machine types.
func (c *Client) MachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	var catalogue protocol.Catalogue
	if err := c.get(ctx, cataloguePath, &catalogue); err != nil {
		return nil, &RequestError{Operation: OperationCatalogue, Err: err}
	}
	return catalogue.MachineTypes, nil
}

// ScaleOut requests machines and returns the IDs of those that the cloud granted. If it is repeated with the same
// idempotency key, it returns the same machines and starts no more. It fails with ErrNoCapacity if the cloud has
// no capacity.
func (c *Client) ScaleOut(ctx context.Context, request protocol.ScaleOutRequest) ([]string, error) {
	ids, err := c.scaleOut(ctx, request)
	if err != nil {
		return nil, &RequestError{Operation: OperationScaleOut, Subject: request.IdempotencyKey, Err: err}
	}
	return ids, nil
}

func (c *Client) scaleOut(ctx context.Context, request protocol.ScaleOutRequest) ([]string, error) {
	response, err := c.send(ctx, http.MethodPost, machinesPath, request)
	if err != nil {
		return nil, err
	}
	if lacksCapacity(response) {
		return nil, ErrNoCapacity
	}
	if err := checkStatus(response); err != nil {
		return nil, err
	}
	var machines protocol.MachineIDs
	if err := response.Decode(&machines); err != nil {
		return nil, err
	}
	return machines.IDs, nil
}

// lacksCapacity reports whether a scale-out failed for lack of capacity, and not because of an outage.
func lacksCapacity(response *httpcall.Response) bool {
	var reply protocol.ErrorBody
	return response.Status == http.StatusServiceUnavailable &&
		response.Decode(&reply) == nil && reply.Error == noCapacityReply
}

// Terminate terminates machines. When it returns nil, the machines and all tasks on them are gone.
func (c *Client) Terminate(ctx context.Context, ids []string) error {
	response, err := c.send(ctx, http.MethodPost, terminatePath, protocol.MachineIDs{IDs: ids})
	if err == nil {
		err = checkStatus(response)
	}
	if err != nil {
		return &RequestError{Operation: OperationTerminate, Subject: fmt.Sprintf("%d machines", len(ids)), Err: err}
	}
	return nil
}

// List reads all machines, the oldest first, page by page. The list is truncated, and reported
// as such, after maxListed machines.
func (c *Client) List(ctx context.Context) (machines []protocol.CloudMachine, truncated bool, err error) {
	after := "" // ID of the last machine of the previous page
	for {
		page, err := c.listPage(ctx, after)
		if err != nil {
			return nil, false, &RequestError{Operation: OperationList, Subject: after, Err: err}
		}
		machines = append(machines, page.Machines...)
		if len(machines) > c.maxListed {
			return machines[:c.maxListed], true, nil
		}
		if !page.HasNext || len(page.Machines) == 0 {
			return machines, false, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}

func (c *Client) listPage(ctx context.Context, after string) (protocol.MachineList, error) {
	path := fmt.Sprintf("%s?most=%d", machinesPath, listPageSize)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	var page protocol.MachineList
	err := c.get(ctx, path, &page)
	return page, err
}

// ListInterval returns the interval between lists that leaves most of this node's request rate for scaling:
// the pages of a large cluster's list could otherwise use all of it.
func (c *Client) ListInterval(machines int) time.Duration {
	pages := float64(machines/listPageSize + 1)
	pagesPerSecond := listRequestsShare * float64(c.limiter.Limit())
	return time.Duration(pages / pagesPerSecond * float64(time.Second))
}

// get sends a GET request for a path and decodes the reply.
func (c *Client) get(ctx context.Context, path string, reply any) error {
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := checkStatus(response); err != nil {
		return err
	}
	return response.Decode(reply)
}

// send sends a request once this node's share allows it. It fails with ErrRefused if that would be after
// the end of the context.
func (c *Client) send(ctx context.Context, method, path string, message any) (*httpcall.Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	return c.httpClient.Call(ctx, method, path, message)
}

// checkStatus returns the error for the status of a reply, or nil if the request was executed.
func checkStatus(response *httpcall.Response) error {
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return fmt.Errorf("%w: status %d", ErrRefused, response.Status)
	default:
		return fmt.Errorf("%w: status %d", ErrUnknown, response.Status)
	}
}
