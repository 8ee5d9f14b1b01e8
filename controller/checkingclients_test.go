package controller_test

import (
	"net/http"
	"sync"
	"time"
)

// checkingClients are clients of all nodes that check each reply against earlier ones: an accepted job
// stays known, and a terminal state never changes.
type checkingClients struct {
	cluster      *simulatedCluster
	mu           sync.Mutex
	lastStatuses map[string]string // by job: statusAccepted or a terminal status
}

func newCheckingClients(cluster *simulatedCluster) *checkingClients {
	return &checkingClients{cluster: cluster, lastStatuses: map[string]string{}}
}

// lastStatus returns the last status of a job that any client received: statusAccepted, a terminal
// status, or empty.
func (c *checkingClients) lastStatus(uid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStatuses[uid]
}

// statusAccepted stands for all statuses of a job that has been accepted and has not ended.
const statusAccepted = "accepted"

// isTerminal reports whether a status is final.
func isTerminal(status string) bool { return status == "done" || status == "cancelled" }

// isTemporaryRefusal reports whether a request got no reply, or one without information on the job.
func isTemporaryRefusal(code int) bool {
	return code == 0 || code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
}

// contradictsAcceptance reports whether a reply is wrong for a job that has been accepted.
func contradictsAcceptance(code int) bool {
	switch code {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusCreated:
		return true
	}
	return false
}

// checkReply checks the reply to a request and records its status. before is the last status at the
// time when the request was sent, empty if there was none.
func (c *checkingClients) checkReply(node, request, uid, before string, code int, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isTemporaryRefusal(code):
		return
	case before != "" && contradictsAcceptance(code):
		c.cluster.t.Errorf("%s: %s of %s: code %d, but its status was %s", node, request, uid, code, before)
		return
	case isTerminal(before) && status != before:
		c.cluster.t.Errorf("%s: %s of %s: status %s, but it was %s", node, request, uid, status, before)
	case code != http.StatusOK && code != http.StatusCreated:
		return
	}
	last := c.lastStatuses[uid]
	if !isTerminal(status) {
		if last == "" {
			c.lastStatuses[uid] = statusAccepted
		}
		return
	}
	if isTerminal(last) && last != status {
		c.cluster.t.Errorf("%s: %s of %s: status %s, but another client received %s", node, request, uid, status, last)
	}
	c.lastStatuses[uid] = status
	if status == "cancelled" {
		c.cluster.cloud.RecordCancellation(uid)
	}
}

// submit repeats a submission until it is accepted.
func (c *checkingClients) submit(body map[string]any) {
	c.cluster.submit(body)
	c.checkReply("-", "submission", uidOf(body), "", 200, "pending")
}

// pollAllNodes polls a job at all nodes concurrently, several times within milliseconds at each, and
// then repeats its submission there unless that is nil.
func (c *checkingClients) pollAllNodes(uid string, submission map[string]any) {
	var all sync.WaitGroup
	for _, n := range c.cluster.nodes {
		all.Go(func() {
			for range 4 {
				before := c.lastStatus(uid)
				code, s := c.cluster.callNode(n, "GET", "/api/jobs/"+uid, map[string]any{})
				c.checkReply(n, "poll", uid, before, code, s.Status)
				time.Sleep(5 * time.Millisecond)
			}
			if submission != nil {
				before := c.lastStatus(uid)
				code, s := c.cluster.callNode(n, "POST", "/api/jobs", submission)
				c.checkReply(n, "repeat", uid, before, code, s.Status)
			}
		})
	}
	all.Wait()
}

// cancel cancels a job at one node after the other, for a minute, until one confirms it. It returns
// the job's status, empty if no node confirmed.
func (c *checkingClients) cancel(uid string, first int) string {
	for try := range 60 {
		n := c.cluster.nodes[(first+try)%len(c.cluster.nodes)]
		before := c.lastStatus(uid)
		code, s := c.cluster.callNode(n, "POST", "/api/jobs/"+uid+"/cancel", map[string]any{})
		c.checkReply(n, "cancellation", uid, before, code, s.Status)
		if code == 200 {
			return s.Status
		}
		time.Sleep(time.Second)
	}
	return ""
}

// awaitAllDone waits until all jobs that are not cancelled are done. After the faults have ended each
// job's status must be available within 75 s, and no job may be lost.
func (c *checkingClients) awaitAllDone(jobs map[string]int, timeout time.Duration) {
	c.cluster.t.Helper()
	uncancelled := map[string]int{}
	for uid, n := range jobs {
		c.cluster.awaitStatusReply(c.cluster.nodes[0], uid, 75*time.Second)
		c.pollAllNodes(uid, nil)
		if c.lastStatus(uid) != "cancelled" {
			uncancelled[uid] = n
		}
	}
	c.cluster.awaitAllDone(uncancelled, timeout)
	for uid := range jobs {
		c.pollAllNodes(uid, nil)
	}
}
