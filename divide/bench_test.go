package divide

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
)

// BenchmarkTurn is one turn of the divider with 640 full machines, 400 jobs and
// thousands of waiting tasks, thirty machines having changed since the last one.
func BenchmarkTurn(b *testing.B) {
	var specs []protocol.Spec
	for i := range 400 {
		specs = append(specs, protocol.Spec{UID: fmt.Sprintf("wk-%06d", i), Queue: "q", Owner: []string{"red", "blue"}[i%2], CPUs: 1, MemGB: 1, Pieces: 100,
			ExpectedS: 40, DueS: 160, Bundle: fmt.Sprintf("img-%d", i%24), SizeGB: 1})
	}
	limits := []Team{{Name: "red", Guarantee: job.Need{CPUs: 2000}, Limit: job.Need{CPUs: 5000}}, {Name: "blue", Guarantee: job.Need{CPUs: 2000}, Limit: job.Need{CPUs: 5000}}}
	cfg := testConfig
	cfg.Backlog, cfg.Ahead, cfg.PutOff = 3, 5*time.Second, 100*time.Second
	d := New(cfg, limits, 1, func(string) (job.Need, bool) { return job.Need{CPUs: 8, Mem: 64}, true }, mirror(specs...))
	var states []part.State
	for i := range 640 {
		s := machine(fmt.Sprintf("i-%06d", i))
		s.Room = job.Need{Mem: 56}
		s.Held = []part.Held{{Job: specs[i%400].UID, Team: specs[i%400].Owner, Need: job.Need{CPUs: 1, Mem: 1}, Tasks: tasks(0, 1, 2, 3, 4, 5, 6, 7), Phase: part.Running, ForS: float64(i % 40)}}
		states = append(states, s)
	}
	d.Digest(0, whole(1, states...), t0)
	b.ReportAllocs()
	n := uint64(1)
	for b.Loop() {
		n++
		g := part.Digest{N: n, Base: n - 1, Ver: n, Ack: d.owners[0].seq}
		for i := range 30 {
			g.Machines = append(g.Machines, states[(int(n)*30+i)%640])
		}
		d.Digest(0, g, t0)
		d.Allot(t0)
	}
}
