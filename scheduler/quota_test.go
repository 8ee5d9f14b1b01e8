package scheduler

import (
	"testing"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Queued tasks count against the quotas, ended ones do not; memory is not subject to quotas.
func TestQuotasCountHeldTasksByPhase(t *testing.T) {
	cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "red", CPUs: 1, MemGB: 1000, Tasks: 9})
	for _, c := range []struct {
		phase                        partition.Phase
		guarantee, limit             int // tasks that red may still hold
		used, queuedCPUs             float64
		withinGuarantee, withinLimit bool
	}{
		{partition.PhaseRunning, 0, 2, 3, 0, false, true},
		{partition.PhaseStarting, 0, 2, 3, 0, false, true},
		{partition.PhaseQueued, 0, 2, 3, 3, false, true},
		{partition.PhaseEnded, 3, 5, 0, 0, true, true},
	} {
		q := newQuotas(teams())
		held := &partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: tasks(0, 1, 2), Phase: c.phase}
		live := cache.Get("wk-1")
		q.hold(held)
		if g, l := q.remaining(live, guaranteeQuota), q.remaining(live, limitQuota); g != c.guarantee || l != c.limit {
			t.Errorf("phase %v: %d tasks remain within the guarantee and %d within the limit, want %d and %d", c.phase, g, l, c.guarantee, c.limit)
		}
		if q.allows(live, guaranteeQuota) != c.withinGuarantee || q.allows(live, limitQuota) != c.withinLimit {
			t.Errorf("phase %v: wrong result of allows, want %v within the guarantee and %v within the limit", c.phase, c.withinGuarantee, c.withinLimit)
		}
		red := &q.teams[0]
		if red.Used().CPUs != c.used || red.Queued().CPUs != c.queuedCPUs {
			t.Errorf("phase %v: %v CPUs are used, %v of them queued, want %v and %v", c.phase, red.Used().CPUs, red.Queued().CPUs, c.used, c.queuedCPUs)
		}
		q.release(held)
		if red.Used() != (job.Resources{}) || red.Queued() != (job.Resources{}) {
			t.Errorf("phase %v: after the release %v are used and %v queued, want none", c.phase, red.Used(), red.Queued())
		}
	}
}
