package controller_test

import (
	"strings"
	"testing"
	"time"
)

func TestJobsCompleteAndFleetScalesIn(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		jobs := map[string]int{"wk-1": 20, "wk-2": 30, "wk-3": 1}
		cluster.submit(jobBody("wk-1", "red", 20))
		cluster.submit(jobBody("wk-2", "blue", 30))
		cluster.submit(jobBody("wk-3", "blue", 1))
		cluster.awaitAllDone(jobs, 3*time.Minute)
		// Repeats of a known job are 200 for ever, whichever node answers.
		for range 3 {
			if code, s := cluster.callAnyNode("POST", "/api/jobs", jobBody("wk-1", "red", 20)); code != 200 || s.Status != "done" {
				t.Errorf("repeat: %d %q", code, s.Status)
			}
		}
		if code, s := cluster.callAnyNode("POST", "/api/jobs/wk-1/cancel", map[string]any{}); code != 200 || s.Status != "done" {
			t.Errorf("cancel after done: %d %q", code, s.Status)
		}
		if code, _ := cluster.callAnyNode("GET", "/api/jobs/wk-99", map[string]any{}); code != 404 {
			t.Errorf("unknown job: %d", code)
		}
		// The fleet shrinks after the work.
		time.Sleep(2 * time.Minute)
		if m := cluster.cloud.Machines(); len(m) > 0 {
			t.Errorf("still run after the work: %v", m)
		}
		if !strings.Contains(cluster.log.String(), `msg="placement metrics"`) {
			t.Error("the ordinary path's counts are not in the log")
		}
	})
}

func TestInvalidSubmissionsAreRefused(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		time.Sleep(3 * time.Second)
		for name, c := range map[string]struct {
			change func(m map[string]any)
			code   int
		}{
			"missing field":     {func(m map[string]any) { delete(m, "cpus") }, 400},
			"wrong kind":        {func(m map[string]any) { m["pieces"] = "many" }, 400},
			"no tasks":          {func(m map[string]any) { m["pieces"] = 0 }, 400},
			"too many tasks":    {func(m map[string]any) { m["pieces"] = 100001 }, 400},
			"unknown urgency":   {func(m map[string]any) { m["urgency"] = "now" }, 400},
			"unknown shape":     {func(m map[string]any) { m["shape"] = "ring" }, 400},
			"bad id":            {func(m map[string]any) { m["uid"] = "x y" }, 400},
			"negative":          {func(m map[string]any) { m["mem_gb"] = -1.0 }, 400},
			"group too large":   {func(m map[string]any) { m["shape"], m["pieces"] = "group", 13 }, 422},
			"unknown team":      {func(m map[string]any) { m["owner"] = "green" }, 422},
			"over the limit":    {func(m map[string]any) { m["cpus"] = 13.0 }, 422},
			"fits no machine":   {func(m map[string]any) { m["mem_gb"] = 33.0 }, 422},
			"unknown flavor":    {func(m map[string]any) { m["flavors"] = []string{"giga"} }, 422},
			"unknown zone":      {func(m map[string]any) { m["yard"] = "north" }, 422},
			"needs accelerator": {func(m map[string]any) { m["accelerators"] = 1.0 }, 422},
			"unknown extra":     {func(m map[string]any) { m["uid"], m["colour"] = "wk-6", "red" }, 201},
		} {
			m := jobBody("wk-7", "red", 2)
			c.change(m)
			if code, _ := cluster.callAnyNode("POST", "/api/jobs", m); code != c.code {
				t.Errorf("%s: %d, want %d", name, code, c.code)
			}
		}
		// A job that was accepted stays known, whatever a later body for it looks like.
		for _, field := range []string{"cpus", "shape", "pieces"} {
			m := jobBody("wk-6", "red", 2)
			delete(m, field)
			if code, s := cluster.callAnyNode("POST", "/api/jobs", m); code != 200 || s.UID != "wk-6" {
				t.Errorf("a malformed repeat of an accepted job: %d %q", code, s.Status)
			}
		}
		if code, _ := cluster.callAnyNode("POST", "/api/jobs", []int{1}); code != 400 {
			t.Errorf("a list: %d", code)
		}
		big := jobBody("wk-8", "red", 1)
		big["pad"] = strings.Repeat("x", 70000)
		if code, _ := cluster.callAnyNode("POST", "/api/jobs", big); code != 400 {
			t.Errorf("over 64 KiB: %d", code)
		}
	})
}

func TestCancellationStopsAllTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 10 * time.Minute }
		cluster.submit(jobBody("wk-1", "red", 10))
		time.Sleep(30 * time.Second)
		if code, s := cluster.callAnyNode("POST", "/api/jobs/wk-1/cancel", map[string]any{}); code != 200 || s.Status != "cancelled" {
			t.Fatalf("cancel: %d %q", code, s.Status)
		}
		cluster.cloud.RecordCancellation("wk-1")
		time.Sleep(20 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n > 0 {
			t.Errorf("%d tasks of a cancelled job are still there after 20 s", n)
		}
		for range 3 {
			if code, s := cluster.callAnyNode("POST", "/api/jobs", jobBody("wk-1", "red", 10)); code != 200 || s.Status != "cancelled" {
				t.Errorf("repeat: %d %q", code, s.Status)
			}
		}
		cluster.checkInvariants(nil)
	})
}

func TestPlacementMeetsJobConstraints(t *testing.T) {
	runScenario(t, func(_ *testing.T, cluster *simulatedCluster) {
		together, scatter, yard, owned := jobBody("wk-1", "blue", 9), jobBody("wk-2", "red", 5), jobBody("wk-3", "blue", 4), jobBody("wk-4", "red", 4)
		together["together"], scatter["scatter"], yard["yard"], owned["borrowed"] = true, true, "west", false
		for _, m := range []map[string]any{together, scatter, yard, owned} {
			cluster.submit(m)
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 9, "wk-2": 5, "wk-3": 4, "wk-4": 4}, 5*time.Minute)
	})
}
