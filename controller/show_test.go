package controller

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/peer"
)

func TestShownIndexOfNonMember(t *testing.T) {
	for _, c := range []struct {
		current viewState
		want    int
	}{
		{viewState{}, 0},
		{viewState{index: 2}, 2},
		{viewState{nonMember: true}, -1},
	} {
		if got := shownIndex(&c.current); got != c.want {
			t.Errorf("index %d, nonMember %v: shown index %d, want %d", c.current.index, c.current.nonMember, got, c.want)
		}
	}
}

func TestShowGroupsMachineTasksByJob(t *testing.T) {
	tasks := func(indexes ...int) (ranges job.Ranges) {
		for _, i := range indexes {
			ranges.Add(i)
		}
		return ranges
	}
	machine := partition.MachineState{
		ID: "i-1", MachineType: "small", Zone: "a", Spot: true, Usable: true, Evicting: true,
		Free: job.Resources{CPUs: 3}, Images: []string{"img"},
		Held: []partition.HeldTasks{{Job: "wk-1", Tasks: tasks(0, 1)}, {Job: "wk-2", Tasks: tasks(4)}, {Job: "wk-1", Tasks: tasks(7)}},
	}
	want := peer.MachineState{
		ID: "i-1", Type: "small", Zone: "a", Spot: true, Usable: true, Draining: true, FreeCPUs: 3, Images: []string{"img"},
		Held: map[string]string{"wk-1": " 0-1 7", "wk-2": " 4"},
	}
	if diff := cmp.Diff(want, showMachine(&machine)); diff != "" {
		t.Error(diff)
	}
}
