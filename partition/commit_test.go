package partition

import (
	"testing"

	"junipershelf/protocol"
)

// A record with a replica to place or to remove is part of the next commit, even if that is limited to
// one record and others have waited longer.
func TestReplicaChangesAreCommittedFirst(t *testing.T) {
	service := jobSpec("wk-1", 1)
	service.Shape = protocol.ShapeService
	cfg := testConfig
	cfg.BucketOf = func(machine string) int { return int(machine[0] - 'a') }
	p := New(cfg, 7, 0, t0, quadCapacity, newJobCache(t, service, jobSpec("wk-2", 8)))
	for _, id := range []string{"a", "b", "c"} {
		p.HandleHeartbeat(at(0), heartbeat(id, 1, 1, 7))
	}
	for i := range 4 {
		assignTask(p, at(0), uint64(i+1), "wk-2", i, "a", 0)
		assignTask(p, at(0), uint64(i+5), "wk-2", 4+i, "b", 0)
	}
	p.Tick(at(0))
	p.HandleCommitRefused(p.NextCommit(at(0), 1))
	assignTask(p, at(5), 9, "wk-1", 0, "c", 0)
	p.Tick(at(5))
	c := p.NextCommit(at(5), 1)
	assertEqual(t, "commit of the replica's placement", recordText(t, c), "wk-1/0@c;")
	p.HandleCommitApplied(c, 9, at(5))
	p.HandleTerminated([]string{"c"}, at(6))
	assertEqual(t, "commit of the replica's removal", recordText(t, p.NextCommit(at(6), 1)), "deleted")
}
