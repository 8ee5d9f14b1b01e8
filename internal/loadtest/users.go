package loadtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"junipershelf/internal/ctxtime"
	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// The histograms' upper bound and precision.
const (
	maxLatencyMS      = 600_000
	significantDigits = 3
)

// The timing of users' calls.
const (
	callTimeout  = 5 * time.Second
	retryPause   = time.Second
	pollInterval = 5 * time.Second
)

// users submits jobs, polls them until they have ended, and checks the replies.
type users struct {
	cloud *emulator.Cloud
	addrs []string // of the controllers
	http  *http.Client

	// mu guards the following fields.
	mu         sync.Mutex
	submitMS   *hdrhistogram.Histogram // from the first attempt to submit until accepted
	jobMS      *hdrhistogram.Histogram // from acceptance until a poll returns the status done
	unanswered int                     // calls without a reply or with a 503
	violations []string
	ended      int // jobs that are done or whose cancellation was confirmed
}

func newUsers(cloud *emulator.Cloud, addrs []string) *users {
	return &users{
		cloud:    cloud,
		addrs:    addrs,
		http:     &http.Client{Timeout: callTimeout},
		submitMS: hdrhistogram.New(1, maxLatencyMS, significantDigits),
		jobMS:    hdrhistogram.New(1, maxLatencyMS, significantDigits),
	}
}

// submission is the body that submits a job without a deadline.
type submission struct {
	protocol.JobSpec
	// DeadlineS overrides JobSpec's field, in which 0 means no deadline; a submission has null
	// instead.
	DeadlineS *float64 `cbor:"due_s"`
}

const imageCount = 24

// newSubmission returns the submission of a job, by the job's number.
func newSubmission(number int) submission {
	team := teams[number%len(teams)]
	return submission{JobSpec: protocol.JobSpec{
		UID:         fmt.Sprintf("wk-%06d", number),
		Class:       "q-" + team,
		Team:        team,
		Shape:       protocol.ShapeArray,
		Priority:    protocol.PriorityNormal,
		Tasks:       tasksPerJob,
		CPUs:        1,
		MemGB:       4,
		Image:       fmt.Sprintf("img-%d", number%imageCount),
		ImageGB:     1,
		SpotAllowed: true,
		ExpectedS:   taskSeconds,
	}}
}

// parsed returns the job as the service parses it.
func (s submission) parsed() (*protocol.JobSpec, error) {
	raw, err := protocol.Marshal(s)
	if err != nil {
		return nil, err
	}
	return protocol.ParseJobSpec(raw)
}

// runJob submits a job and polls it until it has ended or the context ends. If cancelAfter is not
// 0, the job is cancelled after that time.
func (u *users) runJob(ctx context.Context, s submission, cancelAfter time.Duration) {
	spec, err := s.parsed()
	if err != nil {
		u.recordViolation("submission of job %s cannot be parsed: %v", s.UID, err)
		return
	}
	u.cloud.RegisterJob(spec)
	started := time.Now()
	if !u.submit(ctx, s) {
		return
	}
	u.recordLatency(u.submitMS, time.Since(started))
	accepted := time.Now()
	if cancelAfter > 0 && ctxtime.Sleep(ctx, cancelAfter) {
		u.cancel(ctx, spec.UID)
		return
	}
	if u.awaitDone(ctx, spec.UID) {
		u.recordLatency(u.jobMS, time.Since(accepted))
		u.checkDone(spec)
		u.recordEnd()
	}
}

// submit submits a job, with retries, and reports whether it was accepted.
func (u *users) submit(ctx context.Context, s submission) bool {
	const path = "/api/jobs"
	for ctx.Err() == nil {
		code, _ := u.call(ctx, http.MethodPost, path, s)
		switch code {
		case http.StatusCreated, http.StatusOK:
			return true
		case 0:
			ctxtime.Sleep(ctx, retryPause)
		default:
			u.recordViolation("POST %s: status %d, expected 200 or 201", path, code)
			return false
		}
	}
	return false
}

// awaitDone polls a job until it is done, and reports whether it completed.
func (u *users) awaitDone(ctx context.Context, uid string) bool {
	for ctxtime.Sleep(ctx, pollInterval) {
		code, status := u.call(ctx, http.MethodGet, "/api/jobs/"+uid, nil)
		switch {
		case code == http.StatusNotFound:
			u.recordViolation("forgotten: accepted job %s is reported as not found", uid)
			return false
		case code == http.StatusOK && status.Status == "cancelled":
			u.recordViolation("went_back: job %s is reported as cancelled, but was not cancelled", uid)
			return false
		case code == http.StatusOK && status.Status == "done":
			return true
		}
	}
	return false
}

// cancel cancels a job, with retries until the service confirms it.
func (u *users) cancel(ctx context.Context, uid string) {
	for ctx.Err() == nil {
		code, status := u.call(ctx, http.MethodPost, "/api/jobs/"+uid+"/cancel", map[string]any{})
		if code != http.StatusOK {
			ctxtime.Sleep(ctx, retryPause)
			continue
		}
		if status.Status == "cancelled" {
			u.cloud.RecordCancellation(uid)
		}
		u.recordEnd()
		return
	}
}

// checkDone checks that all tasks of a job reported as done have completed.
func (u *users) checkDone(spec *protocol.JobSpec) {
	missing := 0
	u.cloud.WithLock(func() {
		for i := range spec.Tasks {
			if u.cloud.Results[protocol.TaskName(spec.UID, i)] == 0 {
				missing++
			}
		}
	})
	if missing > 0 {
		u.recordViolation("not_done: job %s is reported as done, but %d of %d tasks have not completed", spec.UID, missing, spec.Tasks)
	}
}

// call makes a call to a random controller. It returns code 0 if there was no reply or a 503, after
// which the caller should retry, and the job's status with a 200 or 201.
func (u *users) call(ctx context.Context, method, path string, body any) (code int, status protocol.JobStatus) {
	raw, err := protocol.Marshal(body)
	if err != nil {
		u.recordViolation("%s %s: body cannot be encoded: %v", method, path, err)
		return 0, status
	}
	url := "http://" + u.addrs[rand.IntN(len(u.addrs))] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		u.recordViolation("%s %s: request cannot be created: %v", method, path, err)
		return 0, status
	}
	code, reply, err := u.roundTrip(request)
	if err != nil || code == http.StatusServiceUnavailable {
		u.recordUnanswered(ctx)
		return 0, status
	}
	if code == http.StatusOK || code == http.StatusCreated {
		if err := protocol.Unmarshal(reply, &status); err != nil {
			u.recordViolation("%s %s: reply cannot be decoded: %v", method, path, err)
		}
	}
	return code, status
}

// roundTrip makes a call and returns the status code and the body of the reply.
func (u *users) roundTrip(request *http.Request) (code int, reply []byte, err error) {
	response, err := u.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	reply, err = io.ReadAll(response.Body)
	return response.StatusCode, reply, errors.Join(err, response.Body.Close())
}

// recordViolation records a violated invariant.
func (u *users) recordViolation(format string, arguments ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.violations = append(u.violations, fmt.Sprintf(format, arguments...))
}

// recordUnanswered counts a call without a reply or with a 503, unless the load test's own context has
// ended.
func (u *users) recordUnanswered(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unanswered++
}

func (u *users) recordEnd() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended++
}

// recordLatency records a latency, clamped to the histogram's range.
func (u *users) recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := h.RecordValue(min(max(latency.Milliseconds(), 1), maxLatencyMS)); err != nil {
		panic(err) // only for values outside the range
	}
}
