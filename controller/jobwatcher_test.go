package controller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"junipershelf/job"
)

// A job with an undecodable record stays known: status reads return 503, its tasks keep running, and
// the job continues when the record is decodable again.
func TestJobWithUndecodableRecordStaysKnown(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 60 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 6))
		time.Sleep(25 * time.Second)
		intact := cluster.store.ReplaceValue(job.Key("wk-1"), undecodableRecord(t))
		for _, n := range cluster.nodes { // so that none has the job in memory
			cluster.crash(n, 100*time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if code, _ := cluster.callNode(cluster.nodes[1], "GET", "/api/jobs/wk-1", map[string]any{}); code != http.StatusServiceUnavailable {
			t.Errorf("status read of a job with an undecodable record: code %d, want 503", code)
		}
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 6 {
			t.Errorf("%d of 6 tasks are active", n)
		}
		if !strings.Contains(cluster.log.String(), "source="+job.Key("wk-1")) {
			t.Error("the log does not name the record")
		}
		cluster.store.ReplaceValue(job.Key("wk-1"), intact)
		cluster.awaitAllDone(map[string]int{"wk-1": 6}, 5*time.Minute)
	})
}
