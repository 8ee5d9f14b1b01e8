package partition

import (
	"fmt"
	"slices"
	"testing"

	"junipershelf/internal/limits"
	"junipershelf/protocol"
)

// The memory for unknown tasks is bounded even if agents report very many. Each reply commands an
// agent to forget some until none is left, and its machine gets no work before that.
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
			t.Fatal("unknown tasks are still reported after 200 rounds of forget commands")
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
				t.Fatalf("machine %s may take work while some of its unknown tasks are not kept", id)
			}
		}
		if maximum := maxUnknownTasks + machines*maxMachineUnknownTasks; p.unknown.kept > maximum {
			t.Fatalf("%d unknown tasks are kept, want at most %d", p.unknown.kept, maximum)
		}
	}
	if p.Limits[limits.UnknownTasks] == 0 {
		t.Error("the limit on unknown tasks was reached but not counted")
	}
	for i := range left {
		p.HandleHeartbeat(at(500), heartbeat(fmt.Sprintf("m-%02d", i), 1, 500, 5))
	}
	if p.unknown.kept != 0 {
		t.Errorf("%d unknown tasks are counted after none is reported, want 0", p.unknown.kept)
	}
}

// New machines above the limit are refused; known ones are still served.
func TestMachinesAreBounded(t *testing.T) {
	cfg := testConfig
	cfg.MaxMachines = 3
	p := New(cfg, 5, 0, t0, quadCapacity, newJobCache(t))
	for i := range 4 {
		if fresh := p.HandleHeartbeat(t0, heartbeat(fmt.Sprintf("m-%d", i), 1, 1, 5)); fresh != (i < 3) {
			t.Errorf("machine %d of at most 3: heartbeat applied %v, want %v", i+1, fresh, i < 3)
		}
	}
	if !p.HandleHeartbeat(at(1), heartbeat("m-2", 1, 2, 5)) {
		t.Error("the heartbeat of a known machine was refused")
	}
	if n := p.Limits[limits.Machines]; n != 1 {
		t.Errorf("the limit on machines was counted as reached %d times, want 1", n)
	}
}
