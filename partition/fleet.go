package partition

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"junipershelf/job"
	"junipershelf/preferredlist"
)

// FleetMachine is a machine of the fleet, of any owner, as the leader reports it.
type FleetMachine struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack      struct{} `msgpack:",as_array"`
	ID            string
	Underloaded   bool
	FreeResources job.Resources
}

// fleetDirectory holds the machines of all owners, numbered in order of their ids, and iterates over
// their preferred lists (Definition 2 of the paper).
type fleetDirectory struct {
	machines  []FleetMachine // sorted by id; a machine's number is its index
	number    map[string]int // by id
	dimension int            // of the hypercube whose corners are numbered like the machines; below 0: masks not computed yet
	masks     []uint32       // a machine's number XOR the k-th mask is the number of the k-th entry of its preferred list
	maskRank  []uint32       // the k-th mask's k, indexed by the mask's value
	targets   []int          // numbers of the machines that may take overflow now, see setTargets
}

func newFleetDirectory() *fleetDirectory {
	return &fleetDirectory{number: map[string]int{}, dimension: -1}
}

// reset removes all machines.
func (f *fleetDirectory) reset() {
	f.machines = f.machines[:0]
	clear(f.number)
}

// apply applies the machines that are new or have changed, and the ids of removed ones.
func (f *fleetDirectory) apply(changed []FleetMachine, removed []string) {
	renumber := false
	for _, b := range changed {
		if i, ok := f.number[b.ID]; ok && !renumber {
			f.machines[i] = b
			continue
		}
		i, ok := slices.BinarySearchFunc(f.machines, b.ID, compareMachineID)
		if ok {
			f.machines[i] = b
			continue
		}
		f.machines = slices.Insert(f.machines, i, b)
		renumber = true
	}
	for _, id := range removed {
		if i, ok := slices.BinarySearchFunc(f.machines, id, compareMachineID); ok {
			f.machines = slices.Delete(f.machines, i, i+1)
			renumber = true
		}
	}
	if renumber {
		f.renumber()
	}
}

// renumber assigns the machines their numbers, and computes the masks if the dimension has changed.
func (f *fleetDirectory) renumber() {
	clear(f.number)
	for i := range f.machines {
		f.number[f.machines[i].ID] = i
	}
	if d := preferredlist.Dimension(len(f.machines)); d != f.dimension {
		f.dimension, f.masks = d, preferredlist.Masks(d)
		f.maskRank = preferredlist.Ranks(f.masks)
	}
}

func compareMachineID(b FleetMachine, id string) int { return strings.Compare(b.ID, id) }

// setTargets sets the targets, which are the machines that may take overflow now. Usually there are
// none or few; preferredList then yields nothing, or sorts the targets instead of walking the whole list.
func (f *fleetDirectory) setTargets(mayAccept func(*FleetMachine) bool) {
	f.targets = f.targets[:0]
	for i := range f.machines {
		if mayAccept(&f.machines[i]) {
			f.targets = append(f.targets, i)
		}
	}
}

// targetSortDivisor: if at most one machine in this many is a target, the targets are sorted into the
// order of the preferred list. Otherwise the list itself is walked until a target is found.
const targetSortDivisor = 16

// buddySet yields the numbers of a machine's buddy set: the machines at the head of its preferred list,
// as many as size. It yields none if there are no targets (see setTargets).
func (f *fleetDirectory) buddySet(machine, size int) iter.Seq[int] {
	if len(f.targets) == 0 {
		return noMachines
	}
	return preferredlist.Walk(f.masks, machine, len(f.machines), size)
}

// preferredList yields the numbers of a machine's whole preferred list in order. It may leave out
// machines that are not targets (see setTargets).
func (f *fleetDirectory) preferredList(machine int) iter.Seq[int] {
	if len(f.targets) == 0 {
		return noMachines
	}
	if len(f.targets) > len(f.machines)/targetSortDivisor {
		return preferredlist.Walk(f.masks, machine, len(f.machines), len(f.machines))
	}
	list := slices.DeleteFunc(slices.Clone(f.targets), func(n int) bool { return n == machine })
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(f.maskRank[machine^a], f.maskRank[machine^b]) })
	return slices.Values(list)
}

func noMachines(func(int) bool) {}
