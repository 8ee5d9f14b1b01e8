package limits_test

import (
	"maps"
	"slices"
	"testing"

	"junipershelf/internal/limits"
)

func TestCountsAddUpAndAreFormattedByName(t *testing.T) {
	counts := limits.Counts{}
	counts.Record(limits.Replies)
	counts.Record(limits.Machines)
	counts.Add(limits.Counts{limits.Replies: 2, limits.Connections: 5})
	if got, want := counts.String(), "connections=5 machines=1 replies=3"; got != want {
		t.Errorf("counts are formatted as %q, want %q", got, want)
	}
	if got, want := counts.Names(), []limits.Name{limits.Connections, limits.Machines, limits.Replies}; !slices.Equal(got, want) {
		t.Errorf("names are %v, want %v", got, want)
	}
	if got := (limits.Counts{}).String(); got != "" {
		t.Errorf("no counts are formatted as %q, want an empty string", got)
	}
}

func TestSnapshotIsIndependentOfLaterCounts(t *testing.T) {
	counts := limits.Counts{limits.Replies: 2}
	snapshot := counts.SnapshotAndReset()
	counts.Record(limits.Replies)
	if want := (limits.Counts{limits.Replies: 2}); !maps.Equal(snapshot, want) {
		t.Errorf("the snapshot is %v, want %v", snapshot, want)
	}
	if want := (limits.Counts{limits.Replies: 1}); !maps.Equal(counts, want) {
		t.Errorf("counts after the reset are %v, want %v", counts, want)
	}
}
