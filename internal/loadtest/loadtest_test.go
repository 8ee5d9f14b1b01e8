package loadtest

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pelletier/go-toml/v2"

	"junipershelf/protocol"
	"junipershelf/settings"
)

func TestSettingsOfControllersParse(t *testing.T) {
	c := &cluster{Config: Config{Machines: 4000, MemMB: 125}}
	for node := range controllerCount {
		want := c.settings(node)
		text, err := toml.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := settings.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(want, got, cmpopts.EquateEmpty()); difference != "" {
			t.Errorf("settings of %s after parsing (-want +got):\n%s", want.NodeName, difference)
		}
	}
}

func TestSubmissionsParseWithoutADeadline(t *testing.T) {
	for number := range len(teams) * imageCount {
		spec, err := newSubmission(number).parsed()
		if err != nil {
			t.Fatal(err)
		}
		want := newSubmission(number).JobSpec
		if difference := cmp.Diff(&want, spec, cmpopts.EquateEmpty()); difference != "" || spec.DeadlineS != 0 {
			t.Errorf("submission %d: deadline %v, want 0; spec (-want +got):\n%s", number, spec.DeadlineS, difference)
		}
	}
}

func TestRunTimeIsFixedPerTaskAndNearTheExpectedTime(t *testing.T) {
	shortest, longest := settings.Seconds(taskSeconds*0.8), settings.Seconds(taskSeconds*1.2)
	different := map[time.Duration]bool{}
	for i := range tasksPerJob {
		task := protocol.TaskName("wk-1", i)
		took := runTime(task)
		if took < shortest || took > longest || took != runTime(task) {
			t.Errorf("task %s runs for %v, want the same time between %v and %v on each call", task, took, shortest, longest)
		}
		different[took] = true
	}
	if len(different) < tasksPerJob/2 {
		t.Errorf("%d different run times of %d tasks, want at least half as many as tasks", len(different), tasksPerJob)
	}
}
