package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"junipershelf/protocol"
)

// reply is the answer to a user's request.
type reply struct {
	code int
	body []byte
}

// userClient is the HTTP client of all users; each request has a connection of its own, so that the stand-in of
// the load balancer chooses a node for each.
var userClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to an address and waits for the answer.
func (w *world) call(method, address, path string, body any, limit time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, err := protocol.Marshal(body)
		if err != nil {
			return reply{}, err
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Content-Type", "application/cbor")
	response, err := userClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or the call failed
	raw, err := io.ReadAll(response.Body)
	return reply{code: response.StatusCode, body: raw}, err
}

// status is a job's status in an answer.
func (r reply) status() protocol.JobStatus {
	var status protocol.JobStatus
	_ = protocol.Unmarshal(r.body, &status) // other answers have no status
	return status
}

// job is a job with its user's view of it.
type job struct {
	w    *world
	spec *protocol.JobSpec

	mu        sync.Mutex
	accepted  bool
	final     string // done or cancelled, as told
	asked     bool   // its user has asked to cancel it
	lastKnown time.Time
	polls     int
	answered  int
}

// array returns the description of an array with ordinary values.
func array(uid int, team string, pieces int, cpus float64) *protocol.JobSpec {
	return &protocol.JobSpec{
		UID: fmt.Sprintf("wk-%06d", uid), Class: "backfill-reads", Team: team, Shape: protocol.ShapeArray, Priority: "normal",
		Tasks: pieces, CPUs: cpus, MemGB: 1, Image: "img", ImageGB: 0.1, SpotAllowed: true, ExpectedS: 5,
	}
}

// body returns the submission; null fields are null.
func submissionOf(s *protocol.JobSpec) map[string]any {
	body := map[string]any{
		"uid": s.UID, "queue": s.Class, "owner": s.Team, "shape": string(s.Shape), "urgency": string(s.Priority), "pieces": s.Tasks,
		"cpus": s.CPUs, "accelerators": s.Accelerators, "mem_gb": s.MemGB, "bundle": s.Image, "size_gb": s.ImageGB, "flavors": nil, "yard": nil,
		"together": s.SameZone, "scatter": s.SpreadZones, "borrowed": s.SpotAllowed, "expected_s": s.ExpectedS,
		"snapshot_s": s.CheckpointIntervalS, "stash_s": s.CheckpointDurationS, "due_s": nil,
	}
	if len(s.MachineTypes) > 0 {
		body["flavors"] = s.MachineTypes
	}
	if s.Zone != "" {
		body["yard"] = s.Zone
	}
	if s.DeadlineS > 0 {
		body["due_s"] = s.DeadlineS
	}
	return body
}

// balanced sends a request to a node that the load balancer chooses: another one if a node refuses the connection.
func (w *world) balanced(method, path string, body any, limit time.Duration) (reply, string, error) {
	var last error
	for _, i := range rand.Perm(nodeCount) {
		n := w.nodes[i]
		if !n.healthy() || w.isCut("", i) {
			continue
		}
		answer, err := w.call(method, n.front, path, body, limit)
		if err == nil {
			return answer, n.name, nil
		}
		last = err
		break
	}
	if last == nil {
		last = fmt.Errorf("no healthy node")
	}
	return reply{}, "", last
}

// submit submits a job until it is accepted, for up to 60 s, and uploads its description for the workers.
func (w *world) submit(spec *protocol.JobSpec) *job {
	w.mu.Lock()
	w.specs[spec.UID] = spec
	w.mu.Unlock()
	j := w.jobOf(spec)
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		answer, from, err := w.balanced(http.MethodPost, "/api/jobs", submissionOf(spec), 5*time.Second)
		w.record.add("submit %s to %s: %d %s %v", spec.UID, from, answer.code, answer.status().Status, err)
		if err == nil && (answer.code == 200 || answer.code == 201) {
			j.learn(answer.status().Status, from)
			return j
		}
		if err == nil && w.wasAccepted(spec.UID) && (answer.code == 400 || answer.code == 422) {
			w.rules.breaks("forgotten", "a repeat of %s is answered %d by %s", spec.UID, answer.code, from)
		}
		if err == nil && (answer.code == 400 || answer.code == 422) {
			return j
		}
	}
	return j
}

// jobOf returns the job of a description; a repeated submission gets that of the first.
func (w *world) jobOf(spec *protocol.JobSpec) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[spec.UID]
	if j == nil {
		j = &job{w: w, spec: spec}
		w.jobs[spec.UID] = j
	}
	return j
}

// wasAccepted reports whether a job was accepted before.
func (w *world) wasAccepted(uid string) bool {
	w.mu.Lock()
	j := w.jobs[uid]
	w.mu.Unlock()
	return j.wasAccepted()
}

// wasAccepted reports whether the job was accepted.
func (j *job) wasAccepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accepted
}

// learn checks an answer about an accepted job against what was told before.
func (j *job) learn(status, from string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted, j.lastKnown = true, time.Now()
	if j.final != "" && status != j.final {
		j.w.rules.breaks("went_back", "%s was called %s and is now called %s by %s", j.spec.UID, j.final, status, from)
	}
	switch status {
	case "done":
		j.checkDone()
		j.final = status
	case "cancelled":
		if !j.asked {
			j.w.rules.breaks("went_back", "%s is called cancelled by %s, and its user has not asked for that", j.spec.UID, from)
		}
		j.w.rules.tellCancelled(j.spec.UID)
		j.final = status
	}
}

// checkDone checks that all tasks are done. The caller holds the lock.
func (j *job) checkDone() {
	for i := range j.spec.Tasks {
		if !j.w.isFinished(fmt.Sprintf("%s/%d", j.spec.UID, i)) {
			j.w.rules.breaks("not_done", "%s is called done and task %d is not", j.spec.UID, i)
			return
		}
	}
}

// poll asks for the job's status once.
func (j *job) poll() string {
	answer, from, err := j.w.balanced(http.MethodGet, "/api/jobs/"+j.spec.UID, nil, 2*time.Second)
	status := answer.status()
	j.w.record.add("poll %s at %s: %d %s %v", j.spec.UID, from, answer.code, status.Status, err)
	j.mu.Lock()
	j.polls++
	accepted := j.accepted
	j.mu.Unlock()
	if err != nil {
		return ""
	}
	if answer.code == http.StatusNotFound && accepted {
		j.w.rules.breaks("forgotten", "%s is answered 404 by %s", j.spec.UID, from)
	}
	if answer.code != http.StatusOK {
		return ""
	}
	j.mu.Lock()
	j.answered++
	j.mu.Unlock()
	j.learn(status.Status, from)
	return status.Status
}

// awaitEnd polls until the job is done or cancelled, and reports whether it is by the deadline.
func (j *job) awaitEnd(deadline time.Time, every time.Duration) bool {
	for time.Now().Before(deadline) {
		if status := j.poll(); status == "done" || status == "cancelled" {
			return true
		}
		time.Sleep(every)
	}
	return false
}
