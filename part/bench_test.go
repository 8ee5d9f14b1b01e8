package part

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// BenchmarkReport is the cost of one report of a machine with eight tasks, with its
// wire forms, at an owner of two hundred such machines.
func BenchmarkReport(b *testing.B) {
	m := job.NewMirror(map[string]int{"red": 0})
	s := one("wk-1", 5000)
	s.Owner, s.Urgency, s.Borrowed = "red", "normal", true
	if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
		b.Fatal(err)
	}
	m.Refreshed(t0.Add(time.Hour))
	p := New(testConfig, 5, 0, t0, func(string) (job.Need, bool) { return job.Need{CPUs: 8, Mem: 64}, true }, m)
	bodies := make([][]byte, 200)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.Report(t0, beat(id, 1, 1, 5))
		for k := range 8 {
			allot(p, t0, uint64(8*i+k+1), "wk-1", 8*i+k, id, 0)
		}
	}
	p.Tick(t0)
	for c := p.NextCommit(t0, 100); c != nil; c = p.NextCommit(t0, 100) {
		p.Committed(c, 9, t0)
	}
	tick := uint64(1)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.Orders(t0, id, 1, 1)
		r := map[string]any{"host": id, "endpoint": "10.1.0.1:9000", "flavor": "quad", "yard": "z", "borrowed": true, "shift": 1, "tick": 0, "baton": 5, "warning_s": nil}
		var pieces []protocol.Piece
		for _, pl := range p.machines[id].runs {
			pieces = append(pieces, running(pl.Task.Job, pl.Task.Index, pl.Try))
		}
		r["pieces"] = pieces
		bodies[i], _ = protocol.Marshal(r)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r, err := protocol.ParseBeat(bodies[n%len(bodies)])
		if err != nil {
			b.Fatal(err)
		}
		tick++
		r.Tick = tick
		p.Report(t0, r)
		p.TickOne(t0, r.Host)
		if _, err := protocol.Marshal(protocol.BeatReply{Baton: 5, Orders: p.Orders(t0, r.Host, 1, tick)}); err != nil {
			b.Fatal(err)
		}
	}
}
