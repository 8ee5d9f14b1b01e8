package controller_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"junipershelf/protocol"
)

const (
	randomShapeRounds = 8
	// randomShapeTimeout is how long a job may take once the faults are over: the rule allows a wait of 90 s
	// beside room, and machines boot and tasks run in turns here.
	randomShapeTimeout = 4 * time.Minute
)

// randomShapeSeeds is the number of seeds, which are 1, 2, and so on.
var randomShapeSeeds = flag.Uint64("random-shape-seeds", 4, "number of seeds of the scenario with jobs of random shapes")

// shapesDeployment has two machine types, one with accelerators, in two zones.
func shapesDeployment() deployment {
	d := smallDeployment
	d.facts = strings.ReplaceAll(d.facts, "gpus_max = 0.0", "gpus_max = 8.0")
	d.machineTypes = append(d.machineTypes[:1:1], protocol.MachineType{
		Name: "octa", CPUs: 8, Accelerators: 2, MemGB: 64, CacheGB: 70, PullGBPerS: 0.5, Price: 0.6, SpotPrice: 0.2, BootS: 8, Zones: []string{"east", "west"},
	})
	d.capacity = map[string]int{"quad": 4, "octa": 5} // services hold at most four of them
	return d
}

// randomShapes submits jobs of random shapes, sizes and constraints while machines are lost and leaders change.
type randomShapes struct {
	cluster  *simulatedCluster
	rng      *rand.Rand
	runTimes map[string]time.Duration
	finite   []string // jobs that end by themselves
	services []string
}

// TestJobsOfAllShapesRunDespiteLostMachines guards against jobs that never run since parts of the service disagree
// on whether their tasks have a place. Each seed draws the jobs, among them services that move, tasks that
// run longer than expected, gangs and jobs with zone constraints, and the machines that are lost.
func TestJobsOfAllShapesRunDespiteLostMachines(t *testing.T) {
	for seed := uint64(1); seed <= *randomShapeSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenarioIn(t, shapesDeployment(), func(_ *testing.T, cluster *simulatedCluster) {
				r := &randomShapes{cluster: cluster, rng: rand.New(rand.NewPCG(seed, 20)), runTimes: map[string]time.Duration{}}
				for range randomShapeRounds {
					r.round()
				}
				cluster.checkDone(randomShapeTimeout, r.finite...)
			})
		})
	}
}

// round submits some jobs, loses a machine or changes the leader, and cancels a service at times.
func (r *randomShapes) round() {
	for range 1 + r.rng.IntN(3) {
		r.submit()
	}
	time.Sleep(time.Duration(r.rng.IntN(8000)) * time.Millisecond)
	switch machines := r.cluster.cloud.Machines(); {
	case r.rng.IntN(4) == 0:
		leader, _ := r.cluster.leader()
		r.cluster.crash(leader, time.Duration(r.rng.IntN(3000))*time.Millisecond)
	case len(machines) > 0 && r.rng.IntN(2) == 0:
		r.cluster.cloud.WithLock(func() { // the cloud gets a machine back, of whichever type
			r.cluster.cloud.Capacity["quad"]++
			r.cluster.cloud.Capacity["octa"]++
		})
		r.cluster.cloud.Reclaim(machines[r.rng.IntN(len(machines))])
	}
	for len(r.services) > 2 {
		uid := r.services[0]
		r.services = r.services[1:]
		r.cluster.cancelAt(r.cluster.nodes[r.rng.IntN(len(r.cluster.nodes))], uid)
	}
	time.Sleep(time.Duration(r.rng.IntN(8000)) * time.Millisecond)
}

// submit submits a job of a random shape that can run within its team's limit.
func (r *randomShapes) submit() {
	uid := fmt.Sprintf("wk-%d", 1+len(r.runTimes))
	team := []string{"red", "blue"}[r.rng.IntN(2)]
	body := jobBody(uid, team, 1+r.rng.IntN(5))
	body["urgency"] = []string{"critical", "urgent", "normal", "best_effort"}[r.rng.IntN(4)]
	body["cpus"] = []float64{0.5, 1, 2, 3, 4}[r.rng.IntN(5)]
	body["mem_gb"] = []float64{1, 4, 12, 30}[r.rng.IntN(4)]
	body["borrowed"] = r.rng.IntN(3) > 0
	body["together"], body["scatter"] = r.rng.IntN(5) == 0, false
	if body["together"] == false {
		body["scatter"] = r.rng.IntN(5) == 0
	}
	if r.rng.IntN(6) == 0 {
		body["accelerators"], body["borrowed"] = float64(1+r.rng.IntN(2)), true
	}
	runTime := time.Duration(1+r.rng.IntN(12)) * time.Second
	if r.rng.IntN(4) == 0 {
		runTime *= 4 // far longer than expected
	}
	switch r.rng.IntN(6) {
	case 0:
		// At most two services are up, which leave 8 CPUs of their team's limit.
		body["shape"], body["expected_s"], body["urgency"], body["pieces"], body["owner"] = "daemon", 0.0, "critical", 1+r.rng.IntN(2), "blue"
		body["accelerators"] = 0.0
		body["cpus"] = []float64{1, 2, 3}[r.rng.IntN(3)]
		r.services = append(r.services, uid)
	case 1:
		body["shape"], body["pieces"], body["cpus"], body["owner"] = "group", 2+r.rng.IntN(2), 2.0, "red"
	}
	if body["shape"] != "daemon" {
		r.finite = append(r.finite, uid)
	}
	r.cluster.t.Logf("%s: %v for %v", time.Now().Format(time.TimeOnly), body, runTime)
	r.runTimes[uid] = runTime
	r.cluster.runTimes(r.runTimes)
	r.cluster.submit(body)
}
