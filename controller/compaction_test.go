package controller

import (
	"slices"
	"testing"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

func TestCompactionGuardsViewAndJobs(t *testing.T) {
	batch := &compactionBatch{
		view: membership.View{Number: 7, Revision: 40},
		compactions: []scheduler.Compaction{
			{UID: "wk-1", Revision: 41, Record: job.Record{Done: "0-2"}},
			{UID: "wk-2", Revision: 42, Final: &job.TerminalState{Status: job.StatusDone, Done: 3}},
		},
	}
	transaction, err := batch.transaction()
	if err != nil {
		t.Fatal(err)
	}
	guards := []protocol.Guard{
		{Key: membership.ViewKey, Revision: 40},
		{Key: job.Key("wk-1"), Revision: 41},
		{Key: job.Key("wk-2"), Revision: 42},
	}
	if !slices.Equal(transaction.Guards, guards) {
		t.Errorf("guards %+v, want %+v", transaction.Guards, guards)
	}
	type change struct{ putKey, deleteKey string }
	var changes []change
	for _, c := range transaction.Changes {
		changes = append(changes, change{c.PutKey, c.DeleteKey})
	}
	want := []change{
		{putKey: job.Key("wk-1")},         // updated with the completed tasks
		{deleteKey: job.Key("wk-2")},      // deleted, as the job is done
		{putKey: job.TerminalKey("wk-2")}, // and its terminal state written
	}
	if !slices.Equal(changes, want) {
		t.Errorf("changes %+v, want %+v", changes, want)
	}
}
