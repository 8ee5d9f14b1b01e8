// Package cloud is the paced client of the machine rental.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/internal/httpcall"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// ErrNoCapacity says that nothing of the kind is to be had; ErrRefused that the
// call was not carried out; ErrUnknown that nobody knows.
var (
	ErrNoCapacity = errors.New("no capacity")
	ErrRefused    = errors.New("cloud refused")
	ErrUnknown    = httpcall.ErrUnknown
)

// Client calls the cloud within a node's share of its limit.
type Client struct {
	call        *httpcall.Client
	rps         float64
	limiter     *rate.Limiter
	maxMachines int // machines that a list may name
}

// maxReply bounds an answer: a list's page names 500 machines.
const maxReply = 1 << 20

// Timeout is how long a call may take.
const Timeout = 4 * time.Second

// MaxScaleOut and MaxTerminate limit one request.
const (
	MaxScaleOut  = 50
	MaxTerminate = 100
)

// New makes a client that lists at most so many machines.
func New(dial httpcall.Dial, addr string, lim settings.CloudLimits, most int) *Client {
	c := &Client{call: httpcall.New(dial, addr, 12, maxReply), maxMachines: most, rps: lim.RPS, limiter: rate.NewLimiter(1, 1)}
	c.SetShare(1, false)
	return c
}

// SetShare says how many nodes use the cloud and whether this one rents: it then has
// most of the limit. The cloud allows bursts of two seconds' worth, and a fleet
// that is asked for in the first one is there seconds sooner.
func (c *Client) SetShare(nodes int, rents bool) {
	part := 0.2 / float64(max(nodes-1, 1)) // what the others return takes few calls
	if rents {
		part = 0.7
		if nodes <= 1 {
			part = 0.9
		}
	}
	c.limiter.SetLimit(rate.Limit(c.rps * part))
	c.limiter.SetBurst(max(1, int(c.rps*part*1.5)))
}

func (c *Client) do(ctx context.Context, method, path string, body, out any) (int, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	code, err := c.call.Call(ctx, method, path, body, out)
	switch {
	case err != nil:
		return 0, err
	case code == 200 || code == 503 && path == "/machines":
		return code, nil
	case code == 429 || code == 503 || code == 400:
		return code, fmt.Errorf("%w: %d", ErrRefused, code)
	}
	return code, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// ListInterval is the shortest pause between two lists that leaves most of the calls to
// rentals: the pages of a large fleet would take them all.
func (c *Client) ListInterval(machines int) time.Duration {
	pages := float64(machines/listPage + 1)
	return time.Duration(pages / (listCallsShare * float64(c.limiter.Limit())) * float64(time.Second))
}

// listCallsShare is the part of a node's calls that lists may take.
const listCallsShare = 0.3

// MachineTypes reads the catalogue.
func (c *Client) MachineTypes(ctx context.Context) ([]protocol.MachineType, error) {
	var f protocol.Catalogue
	_, err := c.do(ctx, "GET", "/flavors", nil, &f)
	return f.MachineTypes, err
}

// ScaleOut rents machines. A name that was given a 200 once rents nothing more.
func (c *Client) ScaleOut(ctx context.Context, h protocol.ScaleOutRequest) ([]string, error) {
	raw, err := protocol.Marshal(h)
	if err != nil {
		return nil, err
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrRefused, err)
	}
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	code, reply, err := c.call.Raw(ctx, "POST", "/machines", "application/cbor", raw)
	if err != nil {
		return nil, err
	}
	switch code {
	case 200:
		var hosts protocol.MachineIDs
		if err := protocol.Unmarshal(reply, &hosts); err != nil {
			return nil, fmt.Errorf("%w: malformed answer", ErrUnknown)
		}
		return hosts.IDs, nil
	case 503:
		var p protocol.ErrorBody
		if protocol.Unmarshal(reply, &p) == nil && p.Error == "no capacity" {
			return nil, ErrNoCapacity
		}
		return nil, ErrRefused
	case 429, 400:
		return nil, fmt.Errorf("%w: %d", ErrRefused, code)
	}
	return nil, fmt.Errorf("%w: status %d", ErrUnknown, code)
}

// Terminate gives machines back. After nil they and all on them are gone.
func (c *Client) Terminate(ctx context.Context, hosts []string) error {
	_, err := c.do(ctx, "POST", "/machines/return", protocol.MachineIDs{IDs: hosts}, nil)
	return err
}

// listPage is the most machines on a page of the list.
const listPage = 500

// List reads the machine list. Cut tells that it names more machines than the memory can
// hold, of which the oldest are given.
func (c *Client) List(ctx context.Context) (all []protocol.CloudMachine, cut bool, err error) {
	since := ""
	for {
		path := fmt.Sprintf("/machines?most=%d", listPage)
		if since != "" {
			path += "&since=" + url.QueryEscape(since)
		}
		var page protocol.MachineList
		if _, err := c.do(ctx, "GET", path, nil, &page); err != nil {
			return nil, false, err
		}
		all = append(all, page.Machines...)
		if len(all) > c.maxMachines {
			return all[:c.maxMachines], true, nil
		}
		if !page.HasNext || len(page.Machines) == 0 {
			return all, false, nil
		}
		since = page.Machines[len(page.Machines)-1].ID
	}
}
