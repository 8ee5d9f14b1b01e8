package partition

import (
	"fmt"
	"strings"
	"testing"
)

// Records with malformed runs are refused, and the agent epoch of a run is kept if it differs from the
// row's.
func TestUnreadableRecordsAreRefused(t *testing.T) {
	pl := placementOf("wk-1", 3, 1<<40)
	pl.AgentEpoch = 4
	rec := recordOf(5, pl, placementOf("wk-1", 4, 1<<40+7))
	for _, text := range []string{rec.Machines[0].Runs, "", "0", "0.0", "0.0:x", "9.0:1", "0.9:1", "0.0@x:1", "-1.0:1"} {
		rec.Machines[0].Runs = text
		got := ""
		err := rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, p *Placement) {
			got += fmt.Sprint(p.Task, p.Attempt-1<<40, p.AgentEpoch, ";")
		})
		if strings.Contains(text, "@4:3") {
			if assertEqual(t, "read back", got, "wk-1/3 0 4;wk-1/4 7 1;"); err != nil {
				t.Error(err)
			}
		} else if err == nil {
			t.Errorf("run %q is accepted, want an error", text)
		}
	}
}
