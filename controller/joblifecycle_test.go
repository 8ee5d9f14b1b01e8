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
		// Repeated submissions of a known job always return 200, at any node.
		for range 3 {
			if code, s := cluster.callAnyNode("POST", "/api/jobs", jobBody("wk-1", "red", 20)); code != 200 || s.Status != "done" {
				t.Errorf("repeated submission: code %d, status %q; want 200, done", code, s.Status)
			}
		}
		if code, s := cluster.callAnyNode("POST", "/api/jobs/wk-1/cancel", map[string]any{}); code != 200 || s.Status != "done" {
			t.Errorf("cancellation after done: code %d, status %q; want 200, done", code, s.Status)
		}
		if code, _ := cluster.callAnyNode("GET", "/api/jobs/wk-99", map[string]any{}); code != 404 {
			t.Errorf("unknown job: code %d, want 404", code)
		}
		// Without work the fleet is scaled in.
		time.Sleep(2 * time.Minute)
		if machines := cluster.cloud.Machines(); len(machines) > 0 {
			t.Errorf("machines still run without work: %v", machines)
		}
		if !strings.Contains(cluster.log.String(), `msg="placement metrics"`) {
			t.Error("the log has no placement metrics")
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
			"missing field":        {func(m map[string]any) { delete(m, "cpus") }, 400},
			"wrong type":           {func(m map[string]any) { m["pieces"] = "many" }, 400},
			"no tasks":             {func(m map[string]any) { m["pieces"] = 0 }, 400},
			"too many tasks":       {func(m map[string]any) { m["pieces"] = 100001 }, 400},
			"unknown urgency":      {func(m map[string]any) { m["urgency"] = "now" }, 400},
			"unknown shape":        {func(m map[string]any) { m["shape"] = "ring" }, 400},
			"invalid id":           {func(m map[string]any) { m["uid"] = "x y" }, 400},
			"negative memory":      {func(m map[string]any) { m["mem_gb"] = -1.0 }, 400},
			"gang above the limit": {func(m map[string]any) { m["shape"], m["pieces"] = "group", 13 }, 422},
			"unknown team":         {func(m map[string]any) { m["owner"] = "green" }, 422},
			"task above the limit": {func(m map[string]any) { m["cpus"] = 13.0 }, 422},
			"fits no machine":      {func(m map[string]any) { m["mem_gb"] = 33.0 }, 422},
			"unknown machine type": {func(m map[string]any) { m["flavors"] = []string{"giga"} }, 422},
			"unknown zone":         {func(m map[string]any) { m["yard"] = "north" }, 422},
			"needs accelerator":    {func(m map[string]any) { m["accelerators"] = 1.0 }, 422},
			"unknown field":        {func(m map[string]any) { m["uid"], m["colour"] = "wk-6", "red" }, 201},
		} {
			m := jobBody("wk-7", "red", 2)
			c.change(m)
			if code, _ := cluster.callAnyNode("POST", "/api/jobs", m); code != c.code {
				t.Errorf("%s: code %d, want %d", name, code, c.code)
			}
		}
		// An accepted job stays known even if a repeated submission of it is malformed.
		for _, field := range []string{"cpus", "shape", "pieces"} {
			m := jobBody("wk-6", "red", 2)
			delete(m, field)
			if code, s := cluster.callAnyNode("POST", "/api/jobs", m); code != 200 || s.UID != "wk-6" {
				t.Errorf("repeated submission without %s: code %d, status %q; want 200", field, code, s.Status)
			}
		}
		if code, _ := cluster.callAnyNode("POST", "/api/jobs", []int{1}); code != 400 {
			t.Errorf("body that is a list: code %d, want 400", code)
		}
		big := jobBody("wk-8", "red", 1)
		big["pad"] = strings.Repeat("x", 70000)
		if code, _ := cluster.callAnyNode("POST", "/api/jobs", big); code != 400 {
			t.Errorf("body over 64 KiB: code %d, want 400", code)
		}
	})
}

func TestCancellationStopsAllTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 10 * time.Minute }
		cluster.submit(jobBody("wk-1", "red", 10))
		time.Sleep(30 * time.Second)
		if code, s := cluster.callAnyNode("POST", "/api/jobs/wk-1/cancel", map[string]any{}); code != 200 || s.Status != "cancelled" {
			t.Fatalf("cancellation: code %d, status %q; want 200, cancelled", code, s.Status)
		}
		cluster.cloud.RecordCancellation("wk-1")
		time.Sleep(20 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n > 0 {
			t.Errorf("%d tasks are active 20 s after the cancellation, want none", n)
		}
		for range 3 {
			if code, s := cluster.callAnyNode("POST", "/api/jobs", jobBody("wk-1", "red", 10)); code != 200 || s.Status != "cancelled" {
				t.Errorf("repeated submission: code %d, status %q; want 200, cancelled", code, s.Status)
			}
		}
		cluster.checkInvariants(nil)
	})
}

func TestPlacementMeetsJobConstraints(t *testing.T) {
	runScenario(t, func(_ *testing.T, cluster *simulatedCluster) {
		sameZone, spreadZones, zone, noSpot := jobBody("wk-1", "blue", 9), jobBody("wk-2", "red", 5), jobBody("wk-3", "blue", 4), jobBody("wk-4", "red", 4)
		sameZone["together"], spreadZones["scatter"], zone["yard"], noSpot["borrowed"] = true, true, "west", false
		for _, m := range []map[string]any{sameZone, spreadZones, zone, noSpot} {
			cluster.submit(m)
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 9, "wk-2": 5, "wk-3": 4, "wk-4": 4}, 5*time.Minute)
	})
}
