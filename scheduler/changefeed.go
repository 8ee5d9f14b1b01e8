package scheduler

import (
	"maps"
	"slices"
)

// minRetainedRemovals is the number of recorded removals up to which none are pruned.
const minRetainedRemovals = 2000

// changeFeed assigns versions to changes of machines and of the numbers of running tasks, so that
// each owner is sent only the changes that it does not know.
type changeFeed struct {
	version       uint64            // of the last change
	removed       map[string]uint64 // by removed machine: the version of its removal
	prunedVersion uint64            // removals up to this version may have been pruned
}

// next returns a new version, for a new change.
func (f *changeFeed) next() uint64 {
	f.version++
	return f.version
}

// recordRemoval records the removal of a machine.
func (f *changeFeed) recordRemoval(id string) { f.removed[id] = f.next() }

// removedSince lists the machines removed after a version, sorted by id.
func (f *changeFeed) removedSince(known uint64) []string {
	var removed []string
	for id, version := range f.removed {
		if version > known {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// pruneRemovals drops the older half of the recorded removals once there are more of them than
// remaining machines and than minRetainedRemovals, and reports whether it did. An owner that has
// not been sent all of the dropped removals is sent all machines again (see baseFor); otherwise it
// would never learn of them.
func (f *changeFeed) pruneRemovals(machines int) bool {
	if len(f.removed) <= max(machines, minRetainedRemovals) {
		return false
	}
	versions := slices.Sorted(maps.Values(f.removed))
	f.prunedVersion = versions[len(versions)/2]
	maps.DeleteFunc(f.removed, func(_ string, version uint64) bool { return version <= f.prunedVersion })
	return true
}

// baseFor returns the version since which an owner is sent changes: the one that it knows, or 0 for
// everything if removals after it have been pruned.
func (f *changeFeed) baseFor(known uint64) uint64 {
	if known < f.prunedVersion {
		return 0
	}
	return known
}
