package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"junipershelf/protocol"
)

// Times of the users' protocol.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	submitWindow  = 60 * time.Second // how long a call is repeated
	userRetry     = time.Second
	pollInterval  = 5 * time.Second
)

// users is the stand-in of the users.
type users struct {
	record *recorder
	client *http.Client
}

func newUsers(record *recorder) *users {
	return &users{record: record, client: &http.Client{Transport: &http.Transport{}}}
}

// call sends a request and returns the status code, 0 without an answer, and the body's status.
func (u *users) call(ctx context.Context, method, addr, path string, body any, timeout time.Duration) (code int, status string) {
	raw := []byte(nil)
	if body != nil {
		var err error
		if raw, err = protocol.Marshal(body); err != nil {
			return 0, ""
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, ""
	}
	httpResponse, err := u.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = httpResponse.Body.Close() }() // it was read
	text, err := io.ReadAll(httpResponse.Body)
	var answer struct {
		Status string `cbor:"status"`
	}
	if err != nil || protocol.Unmarshal(text, &answer) != nil {
		return 0, ""
	}
	return httpResponse.StatusCode, answer.Status
}

// submit submits a job at a node until it is accepted. It reports false if it is not.
func (u *users) submit(ctx context.Context, at node, spec protocol.JobSpec) bool {
	body := map[string]any{
		"uid": spec.UID, "queue": spec.Class, "owner": spec.Team, "shape": string(spec.Shape), "urgency": string(spec.Priority),
		"pieces": spec.Tasks, "cpus": spec.CPUs, "accelerators": 0.0, "mem_gb": spec.MemGB, "bundle": spec.Image, "size_gb": spec.ImageGB,
		"flavors": nil, "yard": nil, "together": false, "scatter": false, "borrowed": spec.SpotAllowed,
		"expected_s": spec.ExpectedS, "snapshot_s": spec.CheckpointIntervalS, "stash_s": spec.CheckpointDurationS, "due_s": nil,
	}
	for end := time.Now().Add(submitWindow); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, userRetry) {
		code, status := u.call(ctx, http.MethodPost, at.addr, "/api/jobs", body, submitTimeout)
		u.record.printf("user: submits %s (%d tasks, team %s) at %s: %d %s", spec.UID, spec.Tasks, spec.Team, at.name, code, status)
		if code == http.StatusCreated || code == http.StatusOK {
			return true
		}
	}
	return false
}

// cancel cancels a job at a node until that is answered, and returns the answer and when it came.
func (u *users) cancel(ctx context.Context, at node, uid string) (status string, told time.Time) {
	for end := time.Now().Add(submitWindow); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, userRetry) {
		code, status := u.call(ctx, http.MethodPost, at.addr, "/api/jobs/"+uid+"/cancel", nil, submitTimeout)
		told := time.Now()
		u.record.printf("user: cancels %s at %s: %d %s", uid, at.name, code, status)
		if code == http.StatusOK {
			return status, told
		}
	}
	return "", time.Time{}
}

// poll asks once for a job's status at a node.
func (u *users) poll(ctx context.Context, at node, uid string) (code int, status string) {
	code, status = u.call(ctx, http.MethodGet, at.addr, "/api/jobs/"+uid, nil, pollTimeout)
	u.record.printf("user: asks %s for %s: %d %s", at.name, uid, code, status)
	return code, status
}

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
