package emulator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"junipershelf/protocol"

	"github.com/go-chi/chi/v5"
)

// Serve serves the cloud's interface.
func (c *Cloud) Serve(ctx context.Context, a string) error {
	r := chi.NewRouter()
	r.Use(c.refuseWhenUnavailable)
	r.Get("/flavors", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, protocol.Catalogue{MachineTypes: c.MachineTypes})
	})
	r.Post("/machines", c.serveScaleOut)
	r.Post("/machines/return", c.serveTerminate)
	r.Get("/machines", c.serveList)
	return serve(ctx, c.net, a, r)
}

// maxListPage is the most machines on a page of the list.
const maxListPage = 500

// refuseWhenUnavailable refuses all calls while the cloud is down.
func (c *Cloud) refuseWhenUnavailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		down := c.Unavailable
		c.mu.Unlock()
		if down {
			reply(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveScaleOut rents machines; the same key again gives what it gave before.
func (c *Cloud) serveScaleOut(w http.ResponseWriter, r *http.Request) {
	var h protocol.ScaleOutRequest
	if !body(r, &h) {
		reply(w, http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, again := c.machinesByIdempotencyKey[h.IdempotencyKey]
	if !again {
		for range min(h.Count, c.Capacity[h.MachineType]) {
			ids = append(ids, c.startMachine(h))
		}
		if ids == nil {
			reply(w, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "no capacity"})
			return
		}
		c.Capacity[h.MachineType] -= len(ids)
		c.machinesByIdempotencyKey[h.IdempotencyKey] = ids
	}
	reply(w, http.StatusOK, protocol.MachineIDs{IDs: ids})
}

// serveTerminate takes machines back, with all that is on them.
func (c *Cloud) serveTerminate(w http.ResponseWriter, r *http.Request) {
	var h protocol.MachineIDs
	body(r, &h)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range h.IDs {
		if x := c.workers[id]; x != nil && !c.IgnoreTermination {
			x.terminate()
			delete(c.workers, id)
			c.Capacity[x.machineType.Name]++
		}
	}
	reply(w, http.StatusOK, protocol.ErrorBody{})
}

// serveList serves a page of the rented machines.
func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > maxListPage {
		reply(w, http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var l protocol.MachineList
	for _, id := range c.machineIDs() {
		if id <= since {
			continue
		}
		if len(l.Machines) == most {
			l.HasNext = true
			break
		}
		x := c.workers[id]
		status := "running"
		if time.Now().Before(x.readyAt) {
			status = "booting"
		}
		l.Machines = append(l.Machines, protocol.CloudMachine{
			ID: id, Endpoint: id + ":9000", MachineType: x.machineType.Name, Zone: x.zone,
			Spot: x.spot, Status: status, AgeS: time.Since(x.startedAt).Seconds(),
		})
	}
	reply(w, http.StatusOK, l)
}

func (c *Cloud) startMachine(h protocol.ScaleOutRequest) string {
	c.lastMachineNumber++
	id := fmt.Sprintf("i-%06d", c.lastMachineNumber)
	var f protocol.MachineType
	for _, x := range c.MachineTypes {
		if x.Name == h.MachineType {
			f = x
		}
	}
	ctx, stop := context.WithCancel(c.ctx)
	boot := time.Duration(f.BootS * (0.6 + 0.9*c.rng.Float64()) * float64(time.Second))
	if c.NeverBoots != nil && c.NeverBoots(id) {
		boot = time.Hour
	}
	w := &agent{
		cloud: c, id: id, machineType: f, zone: h.Zone, spot: h.Spot, startedAt: time.Now(), readyAt: time.Now().Add(boot),
		epoch: 1, tasks: map[string]*runningTask{}, images: map[string]bool{}, stop: stop, heartbeatNow: make(chan struct{}, 1),
	}
	c.workers[id] = w
	go w.run(ctx, boot)
	return id
}
