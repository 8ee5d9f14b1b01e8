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

func TestControllersReadTheirSettings(t *testing.T) {
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
			t.Errorf("%s reads other settings (-want +got):\n%s", want.NodeName, difference)
		}
	}
}

func TestSubmissionsAreAcceptedWithoutADeadline(t *testing.T) {
	for number := range len(teams) * imageCount {
		spec, err := newSubmission(number).parsed()
		if err != nil {
			t.Fatal(err)
		}
		want := newSubmission(number).JobSpec
		if difference := cmp.Diff(&want, spec, cmpopts.EquateEmpty()); difference != "" || spec.DeadlineS != 0 {
			t.Errorf("read differently (-want +got):\n%s", difference)
		}
	}
}

func TestRunTimeIsFixedForATaskAndNearTheExpectedOne(t *testing.T) {
	shortest, longest := settings.Seconds(taskSeconds*0.8), settings.Seconds(taskSeconds*1.2)
	different := map[time.Duration]bool{}
	for i := range tasksPerJob {
		task := protocol.TaskName("wk-1", i)
		took := runTime(task)
		if took < shortest || took > longest || took != runTime(task) {
			t.Errorf("%s runs %v", task, took)
		}
		different[took] = true
	}
	if len(different) < tasksPerJob/2 {
		t.Errorf("only %d run times", len(different))
	}
}
