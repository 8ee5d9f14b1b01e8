package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/protocol"
)

// offer is a machine type in a zone, as a spot or an ordinary machine.
type offer struct {
	flavor, zone string
	spot         bool
}

// platform is the stand-in of the cloud. It holds the machines with their workers, and what users
// have uploaded about their jobs.
type platform struct {
	ctx     context.Context
	record  *recorder
	timing  timing
	flavors []protocol.MachineType
	boot    time.Duration
	limiter *rate.Limiter
	nodes   []node // the controllers, in the order in which workers try them

	mu       sync.Mutex
	capacity map[offer]int
	hired    map[string][]string // machines by the name of the request
	workers  map[string]*worker
	last     int
	jobs     map[string]protocol.JobSpec
	ends     map[taskEnd]int
	runFor   func(task string) time.Duration
	onStart  func(w *worker, task string, try uint64) // called for each start that a worker carries out
}

// taskEnd is an end of a task.
type taskEnd struct {
	task  string
	cause protocol.EndCause
}

// node is a controller as its workers know it.
type node struct{ name, addr string }

// newPlatform creates the platform of a site.
func newPlatform(ctx context.Context, record *recorder, s site) *platform {
	return &platform{
		ctx: ctx, record: record, timing: s.timing, flavors: s.flavors, boot: s.boot,
		limiter:  rate.NewLimiter(rate.Limit(s.cloudRPS), int(2*s.cloudRPS)),
		capacity: s.capacity, hired: map[string][]string{}, workers: map[string]*worker{},
		jobs: map[string]protocol.JobSpec{}, ends: map[taskEnd]int{}, runFor: s.runFor,
	}
}

// serve serves the cloud's API on a free port and returns its address.
func (p *platform) serve() (addr string, err error) {
	var config net.ListenConfig
	listener, err := config.Listen(p.ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"flavors": p.flavors})
	})
	mux.HandleFunc("POST /machines", p.hire)
	mux.HandleFunc("POST /machines/return", p.takeBack)
	mux.HandleFunc("GET /machines", p.list)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.limiter.Allow() {
			reply(w, http.StatusTooManyRequests, map[string]any{"error": "busy"})
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	go func() {
		<-p.ctx.Done()
		_ = server.Close() // the run is over
	}()
	return listener.Addr().String(), nil
}

// reply writes a CBOR body.
func reply(w http.ResponseWriter, code int, body any) {
	raw, err := protocol.Marshal(body)
	if err != nil {
		code, raw = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	_, _ = w.Write(raw) // the caller notices a short body
}

// read decodes a request's body, or answers 400.
func read(w http.ResponseWriter, r *http.Request, body any) bool {
	raw, err := io.ReadAll(r.Body)
	if err == nil {
		err = protocol.Unmarshal(raw, body)
	}
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
	}
	return err == nil
}

// hire rents machines up to the capacity. A repeated name gets the same answer.
func (p *platform) hire(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire    string `cbor:"hire"`
		Flavor  string `cbor:"flavor"`
		Yard    string `cbor:"yard"`
		Spot    bool   `cbor:"borrowed"`
		HowMany int    `cbor:"how_many"`
	}
	if !read(w, r, &request) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ids, repeated := p.hired[request.Hire]
	if !repeated {
		wanted := offer{request.Flavor, request.Yard, request.Spot}
		count := min(request.HowMany, p.capacity[wanted])
		if count <= 0 {
			p.record.printf("cloud: %s gets no machine of %+v: no capacity", request.Hire, wanted)
			reply(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
			return
		}
		p.capacity[wanted] -= count
		for range count {
			ids = append(ids, p.addMachine(wanted)) //nolint:contextcheck // the machine outlives the request
		}
		p.hired[request.Hire] = ids
		p.record.printf("cloud: %s rents %v of %+v", request.Hire, ids, wanted)
	}
	reply(w, http.StatusOK, map[string]any{"hosts": ids})
}

// addMachine boots a machine. The caller holds the lock.
func (p *platform) addMachine(kind offer) string {
	p.last++
	id := fmt.Sprintf("i-%06d", p.last)
	flavor := p.flavors[slices.IndexFunc(p.flavors, func(t protocol.MachineType) bool { return t.Name == kind.flavor })]
	w := newWorker(p, id, flavor, kind)
	p.workers[id] = w
	go w.run()
	return id
}

// takeBack ends machines and everything on them.
func (p *platform) takeBack(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hosts []string `cbor:"hosts"`
	}
	if !read(w, r, &request) {
		return
	}
	for _, id := range request.Hosts {
		if machine := p.remove(id); machine != nil {
			machine.end()
			p.record.printf("cloud: %s is returned", id)
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// remove takes a machine out of the platform and returns its worker, nil if there is none.
func (p *platform) remove(id string) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	machine := p.workers[id]
	if machine != nil {
		delete(p.workers, id)
		p.capacity[machine.kind]++
	}
	return machine
}

// list lists the machines in the order of their names.
func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	most, err := strconv.Atoi(r.URL.Query().Get("most"))
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	machines := []map[string]any{}
	hasNext := false
	for _, machine := range p.machines() {
		switch {
		case machine.id <= since:
		case len(machines) == most:
			hasNext = true
		default:
			machines = append(machines, machine.listed())
		}
	}
	reply(w, http.StatusOK, map[string]any{"hosts": machines, "has_next": hasNext})
}

// machines returns the workers of the rented machines in the order of their names.
func (p *platform) machines() []*worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var workers []*worker
	for _, w := range p.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b *worker) int { return cmp.Compare(a.id, b.id) })
	return workers
}

// upload makes a job known to the workers, as its user does.
func (p *platform) upload(spec protocol.JobSpec) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[spec.UID] = spec
}

// job returns what a user has uploaded about a job.
func (p *platform) job(uid string) (spec protocol.JobSpec, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	spec, known = p.jobs[uid]
	return spec, known
}

// recordEnd counts an end of a task.
func (p *platform) recordEnd(end taskEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends[end]++
}

// ended returns how often a task has ended for a cause.
func (p *platform) ended(end taskEnd) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends[end]
}

// running returns how many tasks of a job are on machines.
func (p *platform) running(uid string) (count int) {
	for _, w := range p.machines() {
		count += w.held(uid)
	}
	return count
}
