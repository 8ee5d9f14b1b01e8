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

// request sends a request to a node. It checks that each 503 has a Retry-After.
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
		c.t.Errorf("%s %s at %s: 503 without Retry-After", method, path, node)
	}
	var s protocol.JobStatus
	_ = protocol.Unmarshal(out, &s)
	return resp.StatusCode, s, nil
}

// callAnyNode calls the nodes in turn until one replies with another code than 503.
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
	c.t.Fatalf("%s %s: never answered", method, path)
	return 0, protocol.JobStatus{}
}

// callNode calls one node once; the code is 0 without a reply.
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

// leader returns the leader by the view in the key-value store, and the other nodes.
func (c *simulatedCluster) leader() (leader string, others []string) {
	c.t.Helper()
	var v membership.View
	if !c.store.Read(membership.ViewKey, &v) || len(v.Members) == 0 {
		c.t.Fatal("there is no view")
	}
	leader = v.Members[0].Node
	for _, n := range c.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	return leader, others
}

// cancelAt cancels a job at a node and records when its user was answered.
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
	c.t.Fatalf("%s does not take the cancellation of %s", node, uid)
}

// jobBody returns the body of the submission of an array job with one-CPU tasks, in the wire's words.
func jobBody(uid, team string, pieces int) map[string]any {
	return map[string]any{
		"uid": uid, "queue": "q-" + team, "owner": team, "shape": "array", "urgency": "normal", "pieces": pieces,
		"cpus": 1.0, "accelerators": 0.0, "mem_gb": 2.0, "bundle": "img-" + team, "size_gb": 1.0, "flavors": nil, "yard": nil,
		"together": false, "scatter": false, "borrowed": true, "expected_s": 5.0, "snapshot_s": 0.0, "stash_s": 0.0, "due_s": nil,
	}
}

// submit submits a job until it is accepted, and uploads it for the agents.
func (c *simulatedCluster) submit(m map[string]any) {
	c.t.Helper()
	raw, _ := protocol.Marshal(m)
	s, err := protocol.ParseJobSpec(raw)
	if err != nil {
		c.t.Fatal(err)
	}
	c.cloud.RegisterJob(s)
	if code, _ := c.callAnyNode("POST", "/api/jobs", m); code != 201 && code != 200 {
		c.t.Fatalf("submission of %s: %d", s.UID, code)
	}
}

// awaitTerminal polls until a job is done or cancelled and returns its status, or "late" beyond the limit.
func (c *simulatedCluster) awaitTerminal(uid string, limit time.Duration) string {
	c.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Second) {
		code, s := c.callAnyNode("GET", "/api/jobs/"+uid, map[string]any{})
		if code != 200 {
			c.t.Fatalf("poll of %s: %d", uid, code)
		}
		if s.Status == "done" || s.Status == "cancelled" {
			return s.Status
		}
	}
	return "late"
}

// awaitAnswer polls one node until it replies with a job's status.
func (c *simulatedCluster) awaitAnswer(node, uid string, limit time.Duration) {
	c.t.Helper()
	client := c.httpClient(2 * time.Second)
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		code, _, err := c.request(client, node, http.MethodGet, "/api/jobs/"+uid, nil)
		switch {
		case err != nil || code == http.StatusServiceUnavailable:
		case code == http.StatusOK:
			return
		default:
			c.t.Errorf("%s says %d of %s", node, code, uid)
		}
	}
	c.t.Errorf("%s does not answer for %s within %v", node, uid, limit)
}

// submitJobs submits n jobs of as many tasks each, alternating between the teams, and returns the tasks by job.
func (c *simulatedCluster) submitJobs(n, pieces int) map[string]int {
	jobs := map[string]int{}
	for i := range n {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = pieces
		c.submit(jobBody(uid, []string{"red", "blue"}[i%2], pieces))
	}
	return jobs
}

// longJobBody returns the body of a job whose tasks run for long, as its owner expects. When they ran
// sixty times as long as expected, tasks queued on full machines and the fleet was not scaled out.
func longJobBody(uid, team string, pieces int, runs time.Duration) map[string]any {
	m := jobBody(uid, team, pieces)
	m["expected_s"] = runs.Seconds()
	return m
}

// submitJobsConcurrently submits n jobs at once, as many users would.
func (c *simulatedCluster) submitJobsConcurrently(n, pieces int, runs time.Duration) {
	var users sync.WaitGroup
	for i := range n {
		uid := fmt.Sprintf("wk-%d", i+1)
		users.Go(func() { c.submit(longJobBody(uid, []string{"red", "blue"}[i%2], pieces, runs)) })
	}
	users.Wait()
}

// uidOf is the uid of a submission.
func uidOf(m map[string]any) string { return fmt.Sprint(m["uid"]) }

// serviceBody returns the body of the submission of a service.
func serviceBody(uid, team string, pieces int) map[string]any {
	m := jobBody(uid, team, pieces)
	m["shape"], m["urgency"], m["expected_s"], m["borrowed"] = "daemon", "critical", 0.0, false
	return m
}
