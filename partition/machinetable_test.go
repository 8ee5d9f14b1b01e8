package partition

import (
	"fmt"
	"slices"
	"testing"

	"junipershelf/internal/limits"
	"junipershelf/protocol"
)

// Workers that report far more tasks than anybody placed there cost bounded memory. Each is to
// forget some with each reply, until none is left, and gets no work before that.
func TestKeptUnknownTasksAreBounded(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 1)))
	const machines, tasksOfEach = 40, 600
	left := make([][]protocol.ReportedTask, machines)
	for i := range left {
		for k := range tasksOfEach {
			left[i] = append(left[i], completedTask("wk-9", 1000*i+k, 3))
		}
	}
	rounds := 0
	for sequence := uint64(1); slices.ContainsFunc(left, func(l []protocol.ReportedTask) bool { return len(l) > 0 }); sequence++ {
		if rounds++; rounds > 200 {
			t.Fatal("tasks that nobody knows are never forgotten")
		}
		for i := range left {
			id := fmt.Sprintf("m-%02d", i)
			p.HandleHeartbeat(at(float64(sequence)), heartbeat(id, 1, sequence, 5, left[i]...))
			forget := map[string]bool{}
			for _, c := range p.Commands(at(float64(sequence)), id, 1, sequence) {
				forget[c.Task] = true
			}
			left[i] = slices.DeleteFunc(left[i], func(r protocol.ReportedTask) bool { return forget[r.Task] })
			if len(left[i]) > 0 && len(forget) < len(left[i]) && !p.machines.get(id).hasUnaccountedTasks() {
				t.Fatal("a machine with tasks that were left out may take work")
			}
		}
		if maximum := maxUnknownTasks + machines*maxMachineUnknownTasks; p.unknown.kept > maximum {
			t.Fatalf("%d unknown tasks are kept, more than %d", p.unknown.kept, maximum)
		}
	}
	if p.Limits[limits.UnknownTasks] == 0 {
		t.Error("the limit was reached and not counted")
	}
	for i := range left {
		p.HandleHeartbeat(at(500), heartbeat(fmt.Sprintf("m-%02d", i), 1, 500, 5))
	}
	if p.unknown.kept != 0 {
		t.Errorf("%d unknown tasks are counted that nobody reports", p.unknown.kept)
	}
}

// One machine more than the memory can hold is refused; those that are known are served.
func TestMachinesAreBounded(t *testing.T) {
	cfg := testConfig
	cfg.MaxMachines = 3
	p := New(cfg, 5, 0, t0, quadCapacity, newJobCache(t))
	for i := range 4 {
		if fresh := p.HandleHeartbeat(t0, heartbeat(fmt.Sprintf("m-%d", i), 1, 1, 5)); fresh != (i < 3) {
			t.Errorf("machine %d is accepted: %v", i, fresh)
		}
	}
	if !p.HandleHeartbeat(at(1), heartbeat("m-2", 1, 2, 5)) {
		t.Error("a machine that is known is refused")
	}
	if n := p.Limits[limits.Machines]; n != 1 {
		t.Errorf("the limit was reached %d times", n)
	}
}
