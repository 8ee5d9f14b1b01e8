package scheduler

import "testing"

// The machines that have an image are counted; those that are still fetching it are not.
func TestImageIndexCountsMachines(t *testing.T) {
	x := imageIndex{numbers: map[string]int32{}, machines: map[int32]int{}}
	a := &Machine{images: x.numbersOf([]string{"img-1", "img-2"})}
	b := &Machine{images: x.numbersOf([]string{"img-2"}), fetching: x.numbersOf([]string{"img-1"})}
	x.addMachine(a)
	x.addMachine(b)
	if one, two := x.machinesWith("img-1"), x.machinesWith("img-2"); one != 1 || two != 2 {
		t.Errorf("%d machines have img-1 and %d have img-2, want 1 and 2", one, two)
	}
	x.removeMachine(a)
	if one, two := x.machinesWith("img-1"), x.machinesWith("img-2"); one != 0 || two != 1 {
		t.Errorf("after the removal of a machine %d have img-1 and %d have img-2, want 0 and 1", one, two)
	}
	if x.number("img-1") == x.number("img-2") {
		t.Error("img-1 and img-2 have the same number")
	}
}
