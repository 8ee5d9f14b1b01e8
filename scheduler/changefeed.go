package scheduler

import (
	"maps"
	"slices"
)

// minRemembered is how many removed machines are remembered at least.
const minRemembered = 2000

// changeFeed numbers the changes of machines and of counts of running tasks, so that each
// owner is sent only what it does not know.
type changeFeed struct {
	version   uint64            // of the last change
	removed   map[string]uint64 // machines that are gone, by the version that removed them
	forgotten uint64            // removals up to this version may have been forgotten
}

// next returns the version of a new change.
func (f *changeFeed) next() uint64 {
	f.version++
	return f.version
}

// recordRemoval records that a machine is gone.
func (f *changeFeed) recordRemoval(id string) { f.removed[id] = f.next() }

// removedSince lists the machines that went after a version, by id.
func (f *changeFeed) removedSince(known uint64) []string {
	var gone []string
	for id, version := range f.removed {
		if version > known {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// forgetOld forgets the older half of the removed machines, once there are more of them than
// machines that are left, and reports whether it did. An owner that has not been sent one of
// those is sent all machines anew, see baseFor: once it never heard of them.
func (f *changeFeed) forgetOld(machines int) bool {
	if len(f.removed) <= max(machines, minRemembered) {
		return false
	}
	versions := slices.Sorted(maps.Values(f.removed))
	f.forgotten = versions[len(versions)/2]
	maps.DeleteFunc(f.removed, func(_ string, version uint64) bool { return version <= f.forgotten })
	return true
}

// baseFor returns the version from which an owner is sent changes: the one that it knows, or 0
// for everything if removals after that one have been forgotten.
func (f *changeFeed) baseFor(known uint64) uint64 {
	if known < f.forgotten {
		return 0
	}
	return known
}
