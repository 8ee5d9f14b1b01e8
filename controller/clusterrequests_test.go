package controller_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"junipershelf/membership"
	"junipershelf/protocol"
)

// httpClient returns an HTTP client on the user's host.
func (c *simulatedCluster) httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: c.net.Dialer("user")}, Timeout: timeout}
}

// request sends a request to a node. It checks that a 503 response has a Retry-After header.
func (c *simulatedCluster) request(client *http.Client, node, method, path string, body []byte) (int, protocol.JobStatus, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+node+":8080"+path, bytes.NewReader(body))
	if err != nil {
		return 0, protocol.JobStatus{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, protocol.JobStatus{}, err
	}
	out, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		c.t.Errorf("%s %s at %s: 503 response without Retry-After header", method, path, node)
	}
	var s protocol.JobStatus
	_ = protocol.Unmarshal(out, &s)
	return resp.StatusCode, s, nil
}

// callAnyNode calls the nodes in turn until one replies with a code other than 503.
func (c *simulatedCluster) callAnyNode(method, path string, body any) (int, protocol.JobStatus) {
	client := c.httpClient(5 * time.Second)
	defer client.CloseIdleConnections()
	raw, err := protocol.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	for try := range 60 {
		code, s, err := c.request(client, c.nodes[try%len(c.nodes)], method, path, raw)
		if err == nil && code != http.StatusServiceUnavailable {
			return code, s
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%s %s: no node replied with a code other than 503", method, path)
	return 0, protocol.JobStatus{}
}

// callNode calls a node once; the returned code is 0 if there is no reply.
func (c *simulatedCluster) callNode(node, method, path string, body any) (int, protocol.JobStatus) {
	client := c.httpClient(5 * time.Second)
	defer client.CloseIdleConnections()
	raw, err := protocol.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	code, s, err := c.request(client, node, method, path, raw)
	if err != nil {
		return 0, protocol.JobStatus{}
	}
	return code, s
}

// leader returns the leader according to the view in the key-value store, and the other nodes.
func (c *simulatedCluster) leader() (leader string, others []string) {
	c.t.Helper()
	var v membership.View
	if !c.store.Read(membership.ViewKey, &v) || len(v.Members) == 0 {
		c.t.Fatal("the key-value store has no view")
	}
	leader = v.Members[0].Node
	for _, n := range c.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	return leader, others
}

// cancelAt cancels a job at a node and records when the cancellation was confirmed.
func (c *simulatedCluster) cancelAt(node, uid string) {
	c.t.Helper()
	for range 30 {
		if code, s := c.callNode(node, "POST", "/api/jobs/"+uid+"/cancel", map[string]any{}); code == 200 {
			if s.Status == "cancelled" {
				c.cloud.RecordCancellation(uid)
			}
			return
		}
		time.Sleep(time.Second)
	}
	c.t.Fatalf("%s does not confirm the cancellation of %s", node, uid)
}

// jobBody returns a submission of an array job with one-CPU tasks in its wire format.
func jobBody(uid, team string, tasks int) map[string]any {
	return map[string]any{
		"uid": uid, "queue": "q-" + team, "owner": team, "shape": "array", "urgency": "normal", "pieces": tasks,
		"cpus": 1.0, "accelerators": 0.0, "mem_gb": 2.0, "bundle": "img-" + team, "size_gb": 1.0, "flavors": nil, "yard": nil,
		"together": false, "scatter": false, "borrowed": true, "expected_s": 5.0, "snapshot_s": 0.0, "stash_s": 0.0, "due_s": nil,
	}
}

// submit submits a job, with retries until it is accepted, and registers it with the cloud's agents.
func (c *simulatedCluster) submit(body map[string]any) {
	c.t.Helper()
	raw, _ := protocol.Marshal(body)
	spec, err := protocol.ParseJobSpec(raw)
	if err != nil {
		c.t.Fatal(err)
	}
	c.cloud.RegisterJob(spec)
	if code, _ := c.callAnyNode("POST", "/api/jobs", body); code != 201 && code != 200 {
		c.t.Fatalf("submission of %s: code %d, want 200 or 201", spec.UID, code)
	}
}

// awaitTerminal polls until a job is done or cancelled and returns its status, or "timed out" after timeout.
func (c *simulatedCluster) awaitTerminal(uid string, timeout time.Duration) string {
	c.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Second) {
		code, s := c.callAnyNode("GET", "/api/jobs/"+uid, map[string]any{})
		if code != 200 {
			c.t.Fatalf("poll of %s: code %d, want 200", uid, code)
		}
		if s.Status == "done" || s.Status == "cancelled" {
			return s.Status
		}
	}
	return "timed out"
}

// awaitStatusReply polls one node until it replies with a job's status.
func (c *simulatedCluster) awaitStatusReply(node, uid string, timeout time.Duration) {
	c.t.Helper()
	client := c.httpClient(2 * time.Second)
	defer client.CloseIdleConnections()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Second) {
		code, _, err := c.request(client, node, http.MethodGet, "/api/jobs/"+uid, nil)
		switch {
		case err != nil || code == http.StatusServiceUnavailable:
		case code == http.StatusOK:
			return
		default:
			c.t.Errorf("%s: poll of %s: code %d, want 200", node, uid, code)
		}
	}
	c.t.Errorf("%s: no status of %s within %v", node, uid, timeout)
}

// submitJobs submits n jobs, alternating between the teams, and returns the number of tasks by job.
func (c *simulatedCluster) submitJobs(n, tasks int) map[string]int {
	jobs := map[string]int{}
	for i := range n {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = tasks
		c.submit(jobBody(uid, []string{"red", "blue"}[i%2], tasks))
	}
	return jobs
}

// longJobBody returns a submission that states the tasks' real run time as the expected one. With the 5 s of
// jobBody, tasks of five minutes would run sixty times as long as expected, and the fleet would be scaled
// out for those that queue behind them only once they are overdue.
func longJobBody(uid, team string, tasks int, runTime time.Duration) map[string]any {
	body := jobBody(uid, team, tasks)
	body["expected_s"] = runTime.Seconds()
	return body
}

// submitJobsConcurrently submits n jobs at the same time.
func (c *simulatedCluster) submitJobsConcurrently(n, tasks int, runTime time.Duration) {
	var users sync.WaitGroup
	for i := range n {
		uid := fmt.Sprintf("wk-%d", i+1)
		users.Go(func() { c.submit(longJobBody(uid, []string{"red", "blue"}[i%2], tasks, runTime)) })
	}
	users.Wait()
}

// uidOf returns the job id in a submission.
func uidOf(body map[string]any) string { return fmt.Sprint(body["uid"]) }

// serviceBody returns a submission of a service job.
func serviceBody(uid, team string, tasks int) map[string]any {
	body := jobBody(uid, team, tasks)
	body["shape"], body["urgency"], body["expected_s"], body["borrowed"] = "daemon", "critical", 0.0, false
	return body
}
