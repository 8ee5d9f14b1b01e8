package job_test

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
)

// start is the time at which the tests of the cache start.
var start = time.Unix(1000, 0)

// newCache returns a cache that knows the team red.
func newCache() *job.Cache { return job.NewCache(map[string]int{"red": 0}) }

// record returns a job's record. The completed tasks, done, are in the format of Ranges.String.
func record(uid, team, done string) job.Record {
	rec := job.Record{SubmittedMS: 1, Done: done}
	rec.Spec.UID, rec.Spec.Team, rec.Spec.Priority = uid, team, "normal"
	return rec
}

// set applies a record and fails the test on an error.
func set(t *testing.T, c *job.Cache, rec job.Record, revision uint64) {
	t.Helper()
	if err := c.Set(rec.Spec.UID, rec, revision, start); err != nil {
		t.Fatal(err)
	}
}

func TestOlderRecordDoesNotReplaceANewerOne(t *testing.T) {
	c := newCache()
	set(t, c, record("wk-1", "red", "0-3"), 9)
	set(t, c, record("wk-1", "red", ""), 7)
	if got := c.Get("wk-1"); got.Completed.Len() != 4 || got.Revision != 9 {
		t.Errorf("%d tasks completed at revision %d, want 4 at revision 9", got.Completed.Len(), got.Revision)
	}
}

func TestEndedJobIsNotAddedAgain(t *testing.T) {
	c := newCache()
	set(t, c, record("wk-1", "red", ""), 9)
	c.Remove("wk-1", start)
	set(t, c, record("wk-1", "red", "0-3"), 12)
	c.SetUnreadable("wk-1", start)
	if c.Get("wk-1") != nil || !c.HasEnded("wk-1") {
		t.Error("an ended job was added again")
	}
}

func TestCompletedTasksStayCompleted(t *testing.T) {
	c := newCache()
	set(t, c, record("wk-1", "red", "0-3"), 9)
	c.Get("wk-1").Completed.Add(7) // as a machine's record shows
	set(t, c, record("wk-1", "red", "0-4"), 10)
	got := c.Get("wk-1")
	if got.Compacted.String() != "0-4" || got.Completed.String() != "0-4,7" {
		t.Errorf("compacted %q, completed %q, want \"0-4\" and \"0-4,7\"", got.Compacted, got.Completed)
	}
}

func TestHasTeamOnlyIfTheSettingsListTheTeam(t *testing.T) {
	c := newCache()
	set(t, c, record("wk-1", "red", ""), 1)
	set(t, c, record("wk-2", "blue", ""), 2)
	if !c.Get("wk-1").HasTeam() || c.Get("wk-1").Team != 0 {
		t.Error("the team red, which the settings list, is not known")
	}
	if c.Get("wk-2").HasTeam() {
		t.Error("the team blue, which the settings do not list, is known")
	}
}

func TestUnreadableRecordKeepsLastReadableOne(t *testing.T) {
	c := newCache()
	set(t, c, record("wk-1", "red", "0-3"), 9)
	c.SetUnreadable("wk-1", start)
	if got := c.Get("wk-1"); got.Unreadable || got.Revision != 9 {
		t.Errorf("got %+v, want the record of revision 9", got)
	}
	c.SetUnreadable("wk-2", start)
	if got := c.Get("wk-2"); !got.Unreadable || got.Revision != 0 || got.HasTeam() || got.Spec.UID != "wk-2" {
		t.Errorf("got %+v, want an unreadable job without revision and team", got)
	}
	set(t, c, record("wk-2", "red", ""), 3)
	if got := c.Get("wk-2"); got.Unreadable || got.Revision != 3 {
		t.Errorf("got %+v, want the record that is readable again", got)
	}
}

func TestMalformedRangesChangeNothing(t *testing.T) {
	c := newCache()
	if err := c.Set("wk-1", record("wk-1", "red", "3-1"), 9, start); err == nil || c.Get("wk-1") != nil {
		t.Errorf("got error %v and job %+v, want an error and no job", err, c.Get("wk-1"))
	}
}

func TestSyncedAtNeverDecreases(t *testing.T) {
	c := newCache()
	c.SetSyncedAt(start)
	c.SetSyncedAt(start.Add(-time.Second))
	if c.SyncedAt() != start {
		t.Errorf("synced at %v, want %v", c.SyncedAt(), start)
	}
}

func TestEndedJobsArePrunedBeyondTheirLimit(t *testing.T) {
	const limit = 10000
	c := newCache()
	c.Remove("old", start)
	c.Remove("recent", start.Add(9*time.Minute))
	now := start.Add(11 * time.Minute)
	for i := range limit - 2 {
		c.Remove(fmt.Sprintf("wk-%d", i), now)
	}
	if !c.HasEnded("old") {
		t.Error("an ended job was pruned below the limit")
	}
	c.Remove("one more", now)
	if c.HasEnded("old") || !c.HasEnded("recent") || !c.HasEnded("one more") {
		t.Errorf("kept beyond the limit: old %v, recent %v, last %v; want false, true, true", c.HasEnded("old"), c.HasEnded("recent"), c.HasEnded("one more"))
	}
	if c.Limits[limits.EndedJobs] != 1 {
		t.Errorf("reaching the limit was counted %d times, want 1", c.Limits[limits.EndedJobs])
	}
}
