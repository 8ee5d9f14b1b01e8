package partition

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"junipershelf/job"
	"junipershelf/preferredlist"
)

// Buddy is what is known of a machine of any owner.
type Buddy struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	Underloaded bool
	Room        job.Resources
}

// fleetDirectory numbers the machines of all owners by sorted id, as the leader reports them, and
// walks their preferred lists (Definition 2 of the paper).
type fleetDirectory struct {
	buddies   []Buddy        // by id; a machine's number is its index
	number    map[string]int // by id
	dimension int            // of the cube that the masks are made for; below 0: no masks yet
	masks     []uint32       // the numbers of a preferred list, each combined with the machine's own by XOR
	maskRank  []uint32       // the place of each mask in masks
	targets   []int          // numbers of the machines that may take overflow at this moment, see setTargets
}

func newFleetDirectory() *fleetDirectory {
	return &fleetDirectory{number: map[string]int{}, dimension: -1}
}

// reset drops all machines. The leader's full list follows.
func (f *fleetDirectory) reset() {
	f.buddies = f.buddies[:0]
	clear(f.number)
}

// apply applies which machines have changed, new ones included, and which were removed.
func (f *fleetDirectory) apply(changed []Buddy, removed []string) {
	renumber := false
	for _, b := range changed {
		if i, ok := f.number[b.ID]; ok && !renumber {
			f.buddies[i] = b
			continue
		}
		i, ok := slices.BinarySearchFunc(f.buddies, b.ID, compareBuddyID)
		if ok {
			f.buddies[i] = b
			continue
		}
		f.buddies = slices.Insert(f.buddies, i, b)
		renumber = true
	}
	for _, id := range removed {
		if i, ok := slices.BinarySearchFunc(f.buddies, id, compareBuddyID); ok {
			f.buddies = slices.Delete(f.buddies, i, i+1)
			renumber = true
		}
	}
	if renumber {
		f.renumber()
	}
}

// renumber numbers the machines anew, and makes the masks for their number.
func (f *fleetDirectory) renumber() {
	clear(f.number)
	for i := range f.buddies {
		f.number[f.buddies[i].ID] = i
	}
	if d := preferredlist.Dimension(len(f.buddies)); d != f.dimension {
		f.dimension, f.masks = d, preferredlist.Masks(d)
		f.maskRank = preferredlist.Ranks(f.masks)
	}
}

func compareBuddyID(b Buddy, id string) int { return strings.Compare(b.ID, id) }

// setTargets lists the machines that may take overflow now. Most of the time that is none or a
// few, and lists are walked only as far as there is one to find.
func (f *fleetDirectory) setTargets(mayAccept func(*Buddy) bool) {
	f.targets = f.targets[:0]
	for i := range f.buddies {
		if mayAccept(&f.buddies[i]) {
			f.targets = append(f.targets, i)
		}
	}
}

// targetSortDivisor: while fewer than one machine in this many may take overflow, they are sorted into
// the list's order; else the list itself is walked until one is found.
const targetSortDivisor = 16

// buddySet yields the numbers of a machine's buddy set, its first size preferred machines, or
// none if there are no targets.
func (f *fleetDirectory) buddySet(machine, size int) iter.Seq[int] {
	if len(f.targets) == 0 {
		return noMachines
	}
	return preferredlist.Walk(f.masks, machine, len(f.buddies), size)
}

// preferredList yields the numbers of a machine's whole preferred list in order, of which
// machines that are no targets may be left out.
func (f *fleetDirectory) preferredList(machine int) iter.Seq[int] {
	if len(f.targets) == 0 {
		return noMachines
	}
	if len(f.targets) > len(f.buddies)/targetSortDivisor {
		return preferredlist.Walk(f.masks, machine, len(f.buddies), len(f.buddies))
	}
	list := slices.DeleteFunc(slices.Clone(f.targets), func(n int) bool { return n == machine })
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(f.maskRank[machine^a], f.maskRank[machine^b]) })
	return slices.Values(list)
}

func noMachines(func(int) bool) {}
