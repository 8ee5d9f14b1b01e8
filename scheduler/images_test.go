package scheduler

import "testing"

// An image's machines are counted while they have it; a machine that fetches it does not count.
func TestImageIndexCountsMachines(t *testing.T) {
	x := imageIndex{numbers: map[string]int32{}, machines: map[int32]int{}}
	a := &Machine{images: x.numbersOf([]string{"img-1", "img-2"})}
	b := &Machine{images: x.numbersOf([]string{"img-2"}), fetching: x.numbersOf([]string{"img-1"})}
	x.addMachine(a)
	x.addMachine(b)
	if one, two := x.machinesWith("img-1"), x.machinesWith("img-2"); one != 1 || two != 2 {
		t.Errorf("%d machines have img-1, %d img-2", one, two)
	}
	x.removeMachine(a)
	if one, two := x.machinesWith("img-1"), x.machinesWith("img-2"); one != 0 || two != 1 {
		t.Errorf("after a machine went %d have img-1, %d img-2", one, two)
	}
	if x.number("img-1") == x.number("img-2") {
		t.Error("two images share a number")
	}
}
