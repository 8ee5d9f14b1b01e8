package controller_test

import (
	"net/http"
	"sync"
	"time"
)

// checkingClients call all nodes and check each reply against the earlier ones: an accepted job stays
// known, and a terminal state never changes.
type checkingClients struct {
	cluster  *simulatedCluster
	mu       sync.Mutex
	answered map[string]string // by job: accepted, done or cancelled
}

func newCheckingClients(cluster *simulatedCluster) *checkingClients {
	return &checkingClients{cluster: cluster, answered: map[string]string{}}
}

// lastAnswer returns the last answer of a job to any client: answerAccepted, a terminal status, or empty.
func (c *checkingClients) lastAnswer(uid string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered[uid]
}

// answerAccepted is the last answer of a job that is known and not over.
const answerAccepted = "accepted"

// isTerminal reports whether a status is one that never changes.
func isTerminal(status string) bool { return status == "done" || status == "cancelled" }

// isTemporaryRefusal reports whether a reply, if there was one, says nothing of the job.
func isTemporaryRefusal(code int) bool {
	return code == 0 || code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests
}

// deniesAcceptance reports whether a reply is one that an accepted job never gets.
func deniesAcceptance(code int) bool {
	switch code {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusCreated:
		return true
	}
	return false
}

// checkAnswer checks the reply to a request that was sent when before was the last answer, empty
// if there was none, and records it.
func (c *checkingClients) checkAnswer(node, what, uid, before string, code int, status string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isTemporaryRefusal(code):
		return
	case before != "" && deniesAcceptance(code):
		c.cluster.t.Errorf("%s: %s of %s: %d, though it was %s", node, what, uid, code, before)
		return
	case isTerminal(before) && status != before:
		c.cluster.t.Errorf("%s: %s of %s: %s, though it was %s", node, what, uid, status, before)
	case code != http.StatusOK && code != http.StatusCreated:
		return
	}
	last := c.answered[uid]
	if !isTerminal(status) {
		if last == "" {
			c.answered[uid] = answerAccepted
		}
		return
	}
	if isTerminal(last) && last != status {
		c.cluster.t.Errorf("%s: %s of %s: %s, another client was answered %s", node, what, uid, status, last)
	}
	c.answered[uid] = status
	if status == "cancelled" {
		c.cluster.cloud.RecordCancellation(uid)
	}
}

// submit repeats a submission until it is accepted.
func (c *checkingClients) submit(m map[string]any) {
	c.cluster.submit(m)
	c.checkAnswer("-", "submission", uidOf(m), "", 200, "pending")
}

// pollAllNodes polls a job at all nodes at the same time, several times within milliseconds each, and then
// repeats the submission there if there is one.
func (c *checkingClients) pollAllNodes(uid string, m map[string]any) {
	var all sync.WaitGroup
	for _, n := range c.cluster.nodes {
		all.Go(func() {
			for range 4 {
				before := c.lastAnswer(uid)
				code, s := c.cluster.callNode(n, "GET", "/api/jobs/"+uid, map[string]any{})
				c.checkAnswer(n, "poll", uid, before, code, s.Status)
				time.Sleep(5 * time.Millisecond)
			}
			if m != nil {
				before := c.lastAnswer(uid)
				code, s := c.cluster.callNode(n, "POST", "/api/jobs", m)
				c.checkAnswer(n, "repeat", uid, before, code, s.Status)
			}
		})
	}
	all.Wait()
}

// cancel cancels a job at one node after the other, for a minute, until one confirms it; it returns the job's
// status, empty if none did.
func (c *checkingClients) cancel(uid string, first int) string {
	for try := range 60 {
		n := c.cluster.nodes[(first+try)%len(c.cluster.nodes)]
		before := c.lastAnswer(uid)
		code, s := c.cluster.callNode(n, "POST", "/api/jobs/"+uid+"/cancel", map[string]any{})
		c.checkAnswer(n, "cancellation", uid, before, code, s.Status)
		if code == 200 {
			return s.Status
		}
		time.Sleep(time.Second)
	}
	return ""
}

// awaitAllDone waits until all that is not cancelled is done: once the faults are over each job is
// answered within 75 s at every node, and none is lost.
func (c *checkingClients) awaitAllDone(jobs map[string]int, limit time.Duration) {
	c.cluster.t.Helper()
	open := map[string]int{}
	for uid, n := range jobs {
		c.cluster.awaitAnswer(c.cluster.nodes[0], uid, 75*time.Second)
		c.pollAllNodes(uid, nil)
		if c.lastAnswer(uid) != "cancelled" {
			open[uid] = n
		}
	}
	c.cluster.awaitAllDone(open, limit)
	for uid := range jobs {
		c.pollAllNodes(uid, nil)
	}
}
