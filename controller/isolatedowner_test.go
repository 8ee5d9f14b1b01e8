package controller_test

import (
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// cancelAfterCut is the time between a cut and the cancellations: too short for a new view.
	cancelAfterCut = 300 * time.Millisecond
	// userReplyLimit is how long users wait for the reply to a cancellation or a submission.
	userReplyLimit = 5 * time.Second
)

// ownerJobs has the teams of the jobs in a scenario with an isolated owner. The jobs are larger than the fleet,
// so that committed tasks wait on each machine for others to end.
var ownerJobs = map[string]string{"wk-1": "red", "wk-2": "blue", "wk-3": "red", "wk-4": "blue"}

// tasksPerOwnerJob is the number of tasks of each of these jobs.
const tasksPerOwnerJob = 1000

// largerDeployment is smallDeployment with 30 machines, on which starts are due every few milliseconds.
func largerDeployment() deployment {
	larger := smallDeployment
	limits := strings.NewReplacer("cpus_max = 12.0", "cpus_max = 60.0", "cpus_max = 20.0", "cpus_max = 60.0")
	larger.facts = limits.Replace(smallFacts)
	larger.invariants.TeamCPULimits = map[string]float64{"red": 60, "blue": 60}
	larger.capacity = map[string]int{"quad": 30}
	return larger
}

// spreadRunTime returns a run time of 1 to 6 s that depends on the task, so that tasks end at different times.
func spreadRunTime(task string) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task)) // never fails
	return time.Second + time.Duration(hash.Sum32()%5000)*time.Millisecond
}

// isolatedOwner is a scenario in which some links of an owner are cut while users cancel its jobs.
type isolatedOwner struct {
	cluster   *simulatedCluster
	owner     string // whose links are cut
	confirmer string // where the users cancel
	other     string // the third controller
}

// Indexes of an owner among the members of the view.
const (
	leaderIndex = 0
	secondIndex = 1
)

// newIsolatedOwner fills the fleet with tasks that end at different times. owner is an index among the members of
// the view.
func newIsolatedOwner(cluster *simulatedCluster, owner int) *isolatedOwner {
	cluster.cloud.RunFor = spreadRunTime
	for _, uid := range slices.Sorted(maps.Keys(ownerJobs)) {
		cluster.submit(jobBody(uid, ownerJobs[uid], tasksPerOwnerJob))
	}
	time.Sleep(30 * time.Second)
	leader, others := cluster.leader()
	members := append([]string{leader}, others...)
	return &isolatedOwner{
		cluster: cluster, owner: members[owner],
		confirmer: members[(owner+1)%len(members)], other: members[(owner+2)%len(members)],
	}
}

// cut blocks the links between the owner and the given hosts.
func (s *isolatedOwner) cut(hosts ...string) {
	s.cluster.blockBetween(func(h string) bool { return h == s.owner }, func(h string) bool { return slices.Contains(hosts, h) })
}

// callUntilCancelled sends a request for each job to a node, and repeats it until the reply calls the job
// cancelled. It returns the longest time that a reply took.
func (s *isolatedOwner) callUntilCancelled(node, method string, path func(uid string) string, body func(uid string) any) (longest time.Duration) {
	var mu sync.Mutex
	var users sync.WaitGroup
	for uid := range ownerJobs {
		users.Go(func() {
			for range 60 {
				sent := time.Now()
				code, status := s.cluster.callNode(node, method, path(uid), body(uid))
				mu.Lock()
				longest = max(longest, time.Since(sent))
				mu.Unlock()
				if code == http.StatusOK && status.Status == "cancelled" {
					s.cluster.cloud.RecordCancellation(uid)
					return
				}
				time.Sleep(time.Second)
			}
			s.cluster.t.Errorf("%s does not call %s cancelled", node, uid)
		})
	}
	users.Wait()
	return longest
}

// cancel cancels all jobs at a node and returns the longest time that a reply took.
func (s *isolatedOwner) cancel(node string) time.Duration {
	return s.callUntilCancelled(node, http.MethodPost,
		func(uid string) string { return "/api/jobs/" + uid + "/cancel" }, func(string) any { return map[string]any{} })
}

// poll reads the status of all jobs at a node until it calls them cancelled.
func (s *isolatedOwner) poll(node string) time.Duration {
	return s.callUntilCancelled(node, http.MethodGet, func(uid string) string { return "/api/jobs/" + uid }, func(string) any { return map[string]any{} })
}

// submitAgain repeats the submissions of all jobs at a node until it calls them cancelled.
func (s *isolatedOwner) submitAgain(node string) time.Duration {
	return s.callUntilCancelled(node, http.MethodPost, func(string) string { return "/api/jobs" },
		func(uid string) any { return jobBody(uid, ownerJobs[uid], tasksPerOwnerJob) })
}

// cancelWithoutReply cancels all jobs at a node, which gets no reply from the key-value store and so neither
// confirms the cancellations nor tells its peers.
func (s *isolatedOwner) cancelWithoutReply(node string) {
	s.cluster.store.SetReplyFaults(func() bool { return true }, nil)
	var users sync.WaitGroup
	for uid := range ownerJobs {
		users.Go(func() {
			if code, _ := s.cluster.callNode(node, http.MethodPost, "/api/jobs/"+uid+"/cancel", map[string]any{}); code == http.StatusOK {
				s.cluster.t.Errorf("%s confirms the cancellation of %s, but it got no reply from the store", node, uid)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	s.cluster.store.SetReplyFaults(nil, nil)
	users.Wait()
}

// checkStarts checks that no start command was sent after a user had been told of the cancellation of its job.
func (s *isolatedOwner) checkStarts(t *testing.T) {
	t.Helper()
	time.Sleep(10 * time.Second)
	s.cluster.cloud.WithLock(func() {
		if s.cluster.cloud.Starts < 100 {
			t.Errorf("%d starts, want at least 100 for a meaningful test", s.cluster.cloud.Starts)
		}
	})
	s.cluster.checkNoStartsAfterCancellation()
	s.cluster.net.SetBlocked(nil)
	s.cluster.store.SetLatency(0)
	time.Sleep(20 * time.Second)
	s.cluster.checkInvariants(nil)
}

// TestIsolatedOwnerStartsNothingOfCancelledJobs guards against incident 019: an owner that could not be told of a
// cancellation went on to start tasks of the job, since its leases were still valid, after another
// controller had told the user that the job was cancelled.
func TestIsolatedOwnerStartsNothingOfCancelledJobs(t *testing.T) {
	for _, test := range []struct {
		name    string
		owner   int // index
		isolate func(s *isolatedOwner)
	}{
		{"leader-without-store-and-peers", leaderIndex, func(s *isolatedOwner) { s.cut("state", s.confirmer, s.other) }},
		{"owner-without-store-and-peers", secondIndex, func(s *isolatedOwner) { s.cut("state", s.confirmer, s.other) }},
		{"owner-without-store-and-confirming-node", secondIndex, func(s *isolatedOwner) { s.cut("state", s.confirmer) }},
		{"leader-without-peers-beside-slow-store", leaderIndex, func(s *isolatedOwner) {
			s.cluster.store.SetLatency(700 * time.Millisecond)
			s.cut(s.confirmer, s.other)
		}},
		{"owner-without-store", secondIndex, func(s *isolatedOwner) { s.cut("state") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			runScenarioIn(t, largerDeployment(), func(t *testing.T, cluster *simulatedCluster) {
				s := newIsolatedOwner(cluster, test.owner)
				test.isolate(s)
				time.Sleep(cancelAfterCut)
				if longest := s.cancel(s.confirmer); longest >= userReplyLimit {
					t.Errorf("a cancellation was answered after %v, users wait for less than %v", longest, userReplyLimit)
				}
				s.checkStarts(t)
			})
		})
	}
}

// TestEveryReplyThatCallsAJobCancelledIsConfirmed guards against incident 019 on the other ways by which a user is
// told of a cancellation: the node that wrote it has told nobody, and another node reads it from the key-value store.
func TestEveryReplyThatCallsAJobCancelledIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name  string
		tell  func(s *isolatedOwner) (longest time.Duration)
		limit time.Duration // how long users wait for the reply
	}{
		{"status-read", func(s *isolatedOwner) time.Duration { return s.poll(s.other) }, 2 * time.Second},
		{"repeated-submission", func(s *isolatedOwner) time.Duration { return s.submitAgain(s.other) }, userReplyLimit},
		{"repeated-cancellation", func(s *isolatedOwner) time.Duration { return s.cancel(s.other) }, userReplyLimit},
	} {
		t.Run(test.name, func(t *testing.T) {
			runScenarioIn(t, largerDeployment(), func(t *testing.T, cluster *simulatedCluster) {
				s := newIsolatedOwner(cluster, leaderIndex)
				s.cut("state", s.confirmer, s.other)
				s.cancelWithoutReply(s.confirmer)
				if longest := test.tell(s); longest >= test.limit {
					t.Errorf("a user was answered after %v, users wait for less than %v", longest, test.limit)
				}
				s.checkStarts(t)
			})
		})
	}
}

// TestCancellationsAreAnsweredWhileAControllerIsAway checks how long users wait for the reply to a cancellation: not
// noticeably while all controllers are up, less than their limit while one has just ended, and briefly again once
// the view without it is older than a start lease.
func TestCancellationsAreAnsweredWhileAControllerIsAway(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration // since the end of the controller; 0: all are up
		limit time.Duration
	}{
		{"all-up", 0, 100 * time.Millisecond},
		{"just-ended", time.Second, userReplyLimit},
		{"removed-from-the-view", 12 * time.Second, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			runScenarioIn(t, largerDeployment(), func(t *testing.T, cluster *simulatedCluster) {
				s := newIsolatedOwner(cluster, leaderIndex)
				var restarted sync.WaitGroup
				if test.after > 0 {
					restarted.Go(func() { cluster.crash(s.owner, 30*time.Second) })
					time.Sleep(test.after)
				}
				if longest := s.cancel(s.confirmer); longest >= test.limit {
					t.Errorf("a cancellation was answered after %v, want less than %v", longest, test.limit)
				}
				restarted.Wait()
				s.checkStarts(t)
			})
		})
	}
}
