package loadtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// The histograms' range in milliseconds, and their precision.
const (
	longestMS         = 600_000
	significantDigits = 3
)

const (
	callTimeout  = 5 * time.Second
	retryPause   = time.Second
	pollInterval = 5 * time.Second
)

// users submit jobs, poll them until they are over, and judge the answers.
type users struct {
	cloud *emulator.Cloud
	nodes []string // addresses
	http  *http.Client

	mu         sync.Mutex
	submit     *hdrhistogram.Histogram // from the first try until accepted
	done       *hdrhistogram.Histogram // from acceptance until a poll says that it is over
	unanswered int                     // calls without an answer, or with 503
	faults     []string
	over       int
}

func newUsers(cloud *emulator.Cloud, nodes []string) *users {
	return &users{cloud: cloud, nodes: nodes, http: &http.Client{Timeout: callTimeout},
		submit: hdrhistogram.New(1, longestMS, significantDigits), done: hdrhistogram.New(1, longestMS, significantDigits)}
}

// job is what a user submits.
func (u *users) spec(i, tasks int, team string, expectedS float64) map[string]any {
	return map[string]any{"uid": fmt.Sprintf("wk-%06d", i), "queue": "q-" + team, "owner": team, "shape": "array", "urgency": "normal", "pieces": tasks,
		"cpus": 1.0, "accelerators": 0.0, "mem_gb": 4.0, "bundle": fmt.Sprintf("img-%d", i%24), "size_gb": 1.0, "flavors": nil, "yard": nil,
		"together": false, "scatter": false, "borrowed": true, "expected_s": expectedS, "snapshot_s": 0.0, "stash_s": 0.0, "due_s": nil}
}

// call makes one call to any node.
func (u *users) call(ctx context.Context, method, path string, body any) (code int, status protocol.JobStatus) {
	raw, err := protocol.Marshal(body)
	if err != nil {
		u.fault("a call cannot be encoded: %v", err)
		return 0, status
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.nodes[rand.IntN(len(u.nodes))]+path, bytes.NewReader(raw))
	if err != nil {
		u.fault("a call cannot be made: %v", err)
		return 0, status
	}
	resp, err := u.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		if raw, err = io.ReadAll(resp.Body); err == nil && resp.StatusCode != http.StatusServiceUnavailable {
			if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated {
				if err := protocol.Unmarshal(raw, &status); err != nil {
					u.fault("%s %s: an answer cannot be decoded", method, path)
				}
			}
			return resp.StatusCode, status
		}
	}
	if ctx.Err() == nil {
		u.mu.Lock()
		u.unanswered++
		u.mu.Unlock()
	}
	return 0, status
}

func (u *users) fault(format string, a ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = append(u.faults, fmt.Sprintf(format, a...))
}

// run takes one job through its life. Cancel says when its user calls it off; 0: never.
func (u *users) run(ctx context.Context, spec map[string]any, cancel time.Duration) {
	raw, err := protocol.Marshal(spec)
	if err != nil {
		u.fault("a job cannot be encoded: %v", err)
		return
	}
	parsed, err := protocol.ParseJobSpec(raw)
	if err != nil {
		u.fault("a job is malformed: %v", err)
		return
	}
	u.cloud.Know(parsed)
	began := time.Now()
	if !u.repeat(ctx, "POST", "/api/jobs", spec, http.StatusCreated, http.StatusOK) {
		return
	}
	u.record(u.submit, time.Since(began))
	accepted := time.Now()
	if cancel > 0 && sleep(ctx, cancel) {
		u.cancel(ctx, parsed.UID)
		return
	}
	for sleep(ctx, pollInterval) {
		code, status := u.call(ctx, "GET", "/api/jobs/"+parsed.UID, nil)
		if code == http.StatusNotFound {
			u.fault("forgotten: %s", parsed.UID)
			return
		}
		if code == http.StatusOK && status.Status == "cancelled" {
			u.fault("went_back: %s is called cancelled, and nobody has", parsed.UID)
			return
		}
		if code == http.StatusOK && status.Status == "done" {
			u.record(u.done, time.Since(accepted))
			u.checkDone(parsed)
			u.mu.Lock()
			u.over++
			u.mu.Unlock()
			return
		}
	}
}

// repeat makes a call again until it is answered by one of some codes.
func (u *users) repeat(ctx context.Context, method, path string, body any, codes ...int) bool {
	for ctx.Err() == nil {
		code, _ := u.call(ctx, method, path, body)
		for _, want := range codes {
			if code == want {
				return true
			}
		}
		if code != 0 {
			u.fault("%s %s is answered %d", method, path, code)
			return false
		}
		sleep(ctx, retryPause)
	}
	return false
}

// cancel calls a job off.
func (u *users) cancel(ctx context.Context, uid string) {
	for ctx.Err() == nil {
		code, status := u.call(ctx, "POST", "/api/jobs/"+uid+"/cancel", map[string]any{})
		if code == http.StatusOK {
			if status.Status == "cancelled" {
				u.cloud.Cancelled(uid)
			}
			u.mu.Lock()
			u.over++
			u.mu.Unlock()
			return
		}
		sleep(ctx, retryPause)
	}
}

// checkDone checks that all tasks of a job that is called done have completed.
func (u *users) checkDone(spec *protocol.JobSpec) {
	missing := 0
	u.cloud.Lock(func() {
		for i := range spec.Tasks {
			if u.cloud.Results[protocol.TaskName(spec.UID, i)] == 0 {
				missing++
			}
		}
	})
	if missing > 0 {
		u.fault("not_done: %s is called done, %d tasks never completed", spec.UID, missing)
	}
}

func (u *users) record(h *hdrhistogram.Histogram, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	// The longest that is counted stands for all longer ones.
	_ = h.RecordValue(min(max(took.Milliseconds(), 1), longestMS))
}

// sleep waits and tells whether the context still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
