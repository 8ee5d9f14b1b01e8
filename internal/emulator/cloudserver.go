package emulator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"junipershelf/protocol"
)

// maxListPage is the largest number of machines on a page of the list.
const maxListPage = 500

// The states of a machine in the list.
const (
	machineBooting = "booting"
	machineRunning = "running"
)

// Serve serves the cloud's API on an address until the context ends.
func (c *Cloud) Serve(ctx context.Context, address string) error {
	r := chi.NewRouter()
	r.Use(c.refuseWhenUnavailable)
	r.Get("/flavors", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, protocol.Catalogue{MachineTypes: c.MachineTypes})
	})
	r.Post("/machines", c.serveScaleOut)
	r.Post("/machines/return", c.serveTerminate)
	r.Get("/machines", c.serveList)
	return serve(ctx, c.net, address, r)
}

// refuseWhenUnavailable replies 503 to all calls while the cloud is unavailable.
func (c *Cloud) refuseWhenUnavailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		unavailable := c.Unavailable
		c.mu.Unlock()
		if unavailable {
			replyError(w, http.StatusServiceUnavailable, "trouble")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveScaleOut starts the requested machines, up to the capacity. A repeated idempotency key gets
// the machines of the first request.
func (c *Cloud) serveScaleOut(w http.ResponseWriter, r *http.Request) {
	var request protocol.ScaleOutRequest
	if !decode(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, repeated := c.machinesByIdempotencyKey[request.IdempotencyKey]
	if !repeated {
		for range min(request.Count, c.Capacity[request.MachineType]) {
			ids = append(ids, c.startMachine(request)) //nolint:contextcheck // the machine outlives the request
		}
		if ids == nil {
			replyError(w, http.StatusServiceUnavailable, "no capacity")
			return
		}
		c.Capacity[request.MachineType] -= len(ids)
		c.machinesByIdempotencyKey[request.IdempotencyKey] = ids
	}
	reply(w, http.StatusOK, protocol.MachineIDs{IDs: ids})
}

// serveTerminate ends machines and their tasks.
func (c *Cloud) serveTerminate(w http.ResponseWriter, r *http.Request) {
	var request protocol.MachineIDs
	if !decode(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range request.IDs {
		if a := c.agents[id]; a != nil && !c.IgnoreTermination {
			c.removeMachine(a)
			c.Capacity[a.machineType.Name]++
		}
	}
	reply(w, http.StatusOK, protocol.ErrorBody{})
}

// serveList serves a page of the list of machines, sorted by id.
func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	limit, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || limit > maxListPage {
		replyError(w, http.StatusBadRequest, "malformed")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var page protocol.MachineList
	for _, id := range c.machineIDs() {
		if id <= since {
			continue
		}
		if len(page.Machines) == limit {
			page.HasNext = true
			break
		}
		page.Machines = append(page.Machines, c.agents[id].listed())
	}
	reply(w, http.StatusOK, page)
}

// listed returns the list entry of the agent's machine.
func (a *agent) listed() protocol.CloudMachine {
	status := machineRunning
	if time.Now().Before(a.readyAt) {
		status = machineBooting
	}
	return protocol.CloudMachine{
		ID: a.id, Endpoint: a.endpoint(), MachineType: a.machineType.Name, Zone: a.zone,
		Spot: a.spot, Status: status, AgeS: time.Since(a.startedAt).Seconds(),
	}
}
