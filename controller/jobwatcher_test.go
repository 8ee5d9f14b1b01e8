package controller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"junipershelf/job"
)

// A job whose record cannot be decoded stays known: status reads are answered with 503, its
// tasks run on, and it goes on once the record can be decoded.
func TestJobWithUndecodableRecordStaysKnown(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 60 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 6))
		time.Sleep(25 * time.Second)
		intact := cluster.store.ReplaceValue(job.Key("wk-1"), undecodableRecord(t))
		for _, n := range cluster.nodes { // none has it in memory
			cluster.crash(n, 100*time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if code, _ := cluster.callNode(cluster.nodes[1], "GET", "/api/jobs/wk-1", map[string]any{}); code != http.StatusServiceUnavailable {
			t.Errorf("a status read of a job whose record cannot be decoded: %d", code)
		}
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 6 {
			t.Errorf("%d of 6 tasks are left", n)
		}
		if !strings.Contains(cluster.log.String(), "source="+job.Key("wk-1")) {
			t.Error("the record is not named in the log")
		}
		cluster.store.ReplaceValue(job.Key("wk-1"), intact)
		cluster.awaitAllDone(map[string]int{"wk-1": 6}, 5*time.Minute)
	})
}
