package job_test

import (
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

func TestResourcesFitAndCount(t *testing.T) {
	available := job.Resources{CPUs: 8, Accelerators: 1, MemoryGB: 0.3}
	for _, test := range []struct {
		name string
		need job.Resources
		want int // number of tasks that fit
	}{
		{"the scarcest resource limits the count", job.Resources{CPUs: 1, Accelerators: 0.5, MemoryGB: 0.01}, 2},
		{"rounding errors of fractions are tolerated", job.Resources{CPUs: 1, MemoryGB: 0.1}, 3},
		{"resources that are not needed do not limit the count", job.Resources{CPUs: 4}, 2},
		{"too large", job.Resources{CPUs: 9}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.need.FitCount(available); got != test.want {
				t.Errorf("%d tasks fit, want %d", got, test.want)
			}
			if got := test.need.FitsIn(available); got != (test.want > 0) {
				t.Errorf("FitsIn returned %v, want %v", got, test.want > 0)
			}
		})
	}
	if got := (job.Resources{CPUs: 1}).FitCount(job.Resources{CPUs: -1}); got != 0 {
		t.Errorf("%d tasks fit in negative resources, want 0", got)
	}
}

// Guards against two answers to whether a task fits: a task that was counted as fitting by one part of the
// service and refused by another waited for ever.
func TestFitCountAgreesWithFitsInAtTheTolerance(t *testing.T) {
	available := job.Resources{CPUs: 64, MemoryGB: 512}
	for _, need := range []job.Resources{
		{CPUs: 64}, {CPUs: 64 + 5e-7}, {CPUs: 64 + 5e-5}, {CPUs: 1, MemoryGB: 512 + 4e-4}, {CPUs: 0.002, MemoryGB: 512 + 5e-7},
	} {
		if fits, count := need.FitsIn(available), need.FitCount(available); fits != (count >= 1) {
			t.Errorf("%+v: FitsIn returned %v, FitCount %d", need, fits, count)
		}
	}
}

func TestResourcesArithmetic(t *testing.T) {
	a, b := job.Resources{CPUs: 1, Accelerators: 2, MemoryGB: 3}, job.Resources{CPUs: 4, Accelerators: 1, MemoryGB: 1}
	if got := a.Add(b); got != (job.Resources{CPUs: 5, Accelerators: 3, MemoryGB: 4}) {
		t.Errorf("sum %+v", got)
	}
	if got := a.Sub(b); got != (job.Resources{CPUs: -3, Accelerators: 1, MemoryGB: 2}) {
		t.Errorf("difference %+v", got)
	}
	if got := a.Sub(b).ClampToZero(); got != (job.Resources{CPUs: 0, Accelerators: 1, MemoryGB: 2}) {
		t.Errorf("clamped %+v", got)
	}
}

func TestAllowsMachine(t *testing.T) {
	onDemand := job.MachineKind{MachineType: "g8", Zone: "a"}
	spot := job.MachineKind{MachineType: "g8", Zone: "a", Spot: true}
	for _, test := range []struct {
		name string
		spec protocol.JobSpec
		kind job.MachineKind
		want bool
	}{
		{"a job without constraints", protocol.JobSpec{}, onDemand, true},
		{"a spot instance that is not allowed", protocol.JobSpec{}, spot, false},
		{"a spot instance that is allowed", protocol.JobSpec{SpotAllowed: true}, spot, true},
		{"another zone", protocol.JobSpec{Zone: "b"}, onDemand, false},
		{"its zone", protocol.JobSpec{Zone: "a"}, onDemand, true},
		{"another type", protocol.JobSpec{MachineTypes: []string{"c4"}}, onDemand, false},
		{"one of its types", protocol.JobSpec{MachineTypes: []string{"c4", "g8"}}, onDemand, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := job.AllowsMachine(&test.spec, test.kind); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestMayOverflowOnlyWithIndependentPlacement(t *testing.T) {
	for _, test := range []struct {
		name string
		spec protocol.JobSpec
		want bool
	}{
		{"an array", protocol.JobSpec{Shape: "array"}, true},
		{"a gang", protocol.JobSpec{Shape: protocol.ShapeGang}, false},
		{"tasks in the same zone", protocol.JobSpec{SameZone: true}, false},
		{"tasks spread over zones", protocol.JobSpec{SpreadZones: true}, false},
	} {
		if got := job.MayOverflow(&test.spec); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
