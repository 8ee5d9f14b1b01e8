package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"junipershelf/protocol"
)

// offerKey is a kind of machine that the cloud rents.
type offerKey struct {
	flavor, zone string
	spot         bool
}

// machine is a rented machine.
type machine struct {
	id       string
	offer    offerKey
	rentedAt time.Time
	upAt     time.Time // zero: never comes up
	goneAt   time.Time // zero: not gone
	agent    *agent
}

// cloud is a stand-in of the cloud. Its list lags by listLag.
type cloud struct {
	w       *world
	flavors []protocol.MachineType

	mu       sync.Mutex
	capacity map[offerKey]int
	machines []*machine
	hires    map[string][]string
	down     bool
	// bootTime returns how long a machine takes to come up; below 0: never.
	bootTime func(m *machine) time.Duration
}

func newCloud(w *world) (*cloud, string) {
	c := &cloud{w: w, flavors: w.params.flavors, capacity: map[offerKey]int{}, hires: map[string][]string{}}
	c.bootTime = func(*machine) time.Duration { return w.params.boot }
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(rw http.ResponseWriter, _ *http.Request) {
		answer(rw, http.StatusOK, protocol.Catalogue{MachineTypes: c.flavors})
	})
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/return", c.giveBack)
	mux.HandleFunc("GET /machines", c.list)
	listener := mustListen()
	server := &http.Server{Handler: c.unlessDown(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // it ends with the process
	return c, listener.Addr().String()
}

func (c *cloud) unlessDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		down := c.down
		c.mu.Unlock()
		if down {
			answer(rw, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "trouble"})
			return
		}
		next.ServeHTTP(rw, r)
	})
}

func readMessage(rw http.ResponseWriter, r *http.Request, message any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = protocol.Unmarshal(raw, message)
	}
	if err != nil {
		answer(rw, http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"})
	}
	return err == nil
}

func (c *cloud) rent(rw http.ResponseWriter, r *http.Request) {
	var request protocol.ScaleOutRequest
	if !readMessage(rw, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, repeated := c.hires[request.IdempotencyKey]
	if !repeated {
		offer := offerKey{request.MachineType, request.Zone, request.Spot}
		for range min(request.Count, c.capacity[offer]) {
			ids = append(ids, c.add(offer).id)
		}
		if len(ids) == 0 {
			c.w.record.add("cloud refuses %+v: no capacity", request)
			answer(rw, http.StatusServiceUnavailable, protocol.ErrorBody{Error: "no capacity"})
			return
		}
		c.hires[request.IdempotencyKey] = ids
		c.w.record.add("cloud rents %v for %+v", ids, request)
	}
	answer(rw, http.StatusOK, protocol.MachineIDs{IDs: ids})
}

// add rents a machine. The caller holds the lock.
func (c *cloud) add(offer offerKey) *machine {
	c.capacity[offer]--
	m := &machine{id: fmt.Sprintf("i-%06d", len(c.machines)+1), offer: offer, rentedAt: time.Now()}
	c.machines = append(c.machines, m)
	m.agent = newAgent(c.w, m)
	boot := c.bootTime(m)
	if boot < 0 {
		return m
	}
	m.upAt = m.rentedAt.Add(boot)
	time.AfterFunc(boot, m.agent.run)
	return m
}

// addRunning adds a machine that is up at the start.
func (c *cloud) addRunning(offer offerKey) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.add(offer)
	m.rentedAt = m.rentedAt.Add(-time.Minute)
	return m
}

func (c *cloud) giveBack(rw http.ResponseWriter, r *http.Request) {
	var request protocol.MachineIDs
	if !readMessage(rw, r, &request) {
		return
	}
	c.w.record.add("cloud takes back %v", request.IDs)
	for _, id := range request.IDs {
		c.remove(id)
	}
	answer(rw, http.StatusOK, protocol.ErrorBody{})
}

// remove ends a machine and all that is on it.
func (c *cloud) remove(id string) {
	c.mu.Lock()
	m := c.find(id)
	if m == nil || !m.goneAt.IsZero() {
		c.mu.Unlock()
		return
	}
	m.goneAt = time.Now()
	c.capacity[m.offer]++
	c.mu.Unlock()
	m.agent.end()
}

// find returns a machine, or nil. The caller holds the lock.
func (c *cloud) find(id string) *machine {
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return c.machines[i]
}

// up returns the machines that are up now.
func (c *cloud) up() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*machine
	for _, m := range c.machines {
		if m.goneAt.IsZero() && !m.upAt.IsZero() && time.Now().After(m.upAt) {
			up = append(up, m)
		}
	}
	return up
}

func (c *cloud) list(rw http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil || most > 500 {
		answer(rw, http.StatusBadRequest, protocol.ErrorBody{Error: "malformed"})
		return
	}
	asOf := time.Now().Add(-c.w.params.listLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	var page protocol.MachineList
	for _, m := range c.machines {
		if m.id <= since || m.rentedAt.After(asOf) || !m.goneAt.IsZero() && !m.goneAt.After(asOf) {
			continue
		}
		if len(page.Machines) == most {
			page.HasNext = true
			break
		}
		status := "booting"
		if !m.upAt.IsZero() && !m.upAt.After(asOf) {
			status = "running"
		}
		page.Machines = append(page.Machines, protocol.CloudMachine{
			ID: m.id, Endpoint: m.agent.endpoint(), MachineType: m.offer.flavor, Zone: m.offer.zone, Spot: m.offer.spot,
			Status: status, AgeS: asOf.Sub(m.rentedAt).Seconds(),
		})
	}
	answer(rw, http.StatusOK, page)
}

// setBoot sets how long the machines that are rented from now on take to come up.
func (c *cloud) setBoot(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTime = func(*machine) time.Duration { return d }
}
