package controller_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	randomCutRounds = 6
	// jobsPerCut is the number of jobs that are submitted in each round, of which users cancel most.
	jobsPerCut = 4
	// maxCutTime is the longest time between a cut and the end of its round, in milliseconds. It exceeds
	// the ownership lease.
	maxCutTimeMS = 9000
)

// randomCutSeeds is the number of seeds, which are 1, 2, and so on.
var randomCutSeeds = flag.Uint64("random-cut-seeds", 4, "number of seeds of the scenario with random cuts")

// randomCuts cuts random links between the controllers and the key-value store while users cancel jobs and ask
// for them at all nodes. It blocks no link of an agent.
type randomCuts struct {
	cluster *simulatedCluster
	clients *checkingClients
	rng     *rand.Rand
	jobs    int
}

// TestNoStartAfterConfirmedCancellationDespiteRandomCuts checks that no start command is sent after a user has been
// told of a cancellation, whichever links are cut and whenever users cancel. Each seed draws the links, the
// times, the jobs and the nodes.
func TestNoStartAfterConfirmedCancellationDespiteRandomCuts(t *testing.T) {
	for seed := uint64(1); seed <= *randomCutSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioIn(t, largerDeployment(), func(_ *testing.T, cluster *simulatedCluster) {
				cluster.cloud.RunFor = spreadRunTime
				r := &randomCuts{cluster: cluster, clients: newCheckingClients(cluster), rng: rand.New(rand.NewPCG(seed, 4))}
				for range randomCutRounds {
					r.round()
				}
				cluster.checkNoStartsAfterCancellation()
				cluster.checkInvariants(nil)
			})
		})
	}
}

// round fills the fleet, cuts links, cancels jobs, and ends the cut.
func (r *randomCuts) round() {
	var uids []string
	for range jobsPerCut {
		r.jobs++
		uid := fmt.Sprintf("wk-%d", r.jobs)
		r.clients.submit(jobBody(uid, []string{"red", "blue"}[r.jobs%2], tasksPerOwnerJob))
		uids = append(uids, uid)
	}
	time.Sleep(15 * time.Second)
	r.cutLinks()
	ends := time.Now().Add(r.randomMS(maxCutTimeMS))
	var users sync.WaitGroup
	for _, uid := range uids {
		node, wait := r.rng.IntN(len(r.cluster.nodes)), r.randomMS(maxCutTimeMS/2)
		users.Go(func() {
			time.Sleep(wait)
			r.callAll(uid, node)
		})
	}
	time.Sleep(time.Until(ends))
	r.cluster.net.SetBlocked(nil)
	r.cluster.store.SetLatency(0)
	r.cluster.store.SetReplyFaults(nil, nil)
	users.Wait()
}

// callAll cancels a job while other users ask for it at all nodes.
func (r *randomCuts) callAll(uid string, node int) {
	var users sync.WaitGroup
	users.Go(func() { r.clients.cancel(uid, node) })
	for _, n := range r.cluster.nodes {
		users.Go(func() {
			for range 5 {
				before := r.clients.lastStatus(uid)
				code, s := r.cluster.callNode(n, http.MethodGet, "/api/jobs/"+uid, map[string]any{})
				r.clients.checkReply(n, "poll", uid, before, code, s.Status)
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	users.Wait()
}

// cutLinks cuts each link between two controllers, or a controller and the key-value store, with a probability
// of one third. With a probability of one quarter each, replies of the key-value store are slow, or a
// fifth of the transactions get none.
func (r *randomCuts) cutLinks() {
	hosts := append([]string{"state"}, r.cluster.nodes...)
	cut := map[[2]string]bool{}
	for i, a := range hosts {
		for _, b := range hosts[i+1:] {
			isCut := r.rng.IntN(3) == 0
			cut[[2]string{a, b}], cut[[2]string{b, a}] = isCut, isCut
		}
	}
	r.cluster.net.SetBlocked(func(a, b string) bool { return cut[[2]string{a, b}] })
	if r.rng.IntN(4) == 0 {
		r.cluster.store.SetLatency(r.randomMS(800))
	}
	if r.rng.IntN(4) == 0 {
		var mu sync.Mutex
		losses := rand.New(rand.NewPCG(r.rng.Uint64(), 5))
		r.cluster.store.SetReplyFaults(func() bool { mu.Lock(); defer mu.Unlock(); return losses.IntN(5) == 0 }, nil)
	}
}

// randomMS draws a time below a limit in milliseconds.
func (r *randomCuts) randomMS(limit int) time.Duration {
	return time.Duration(r.rng.IntN(limit)) * time.Millisecond
}
