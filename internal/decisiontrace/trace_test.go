package decisiontrace

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junipershelf/protocol"
)

var (
	dumpDir     = flag.String("trace-dump", "", "write the full traces to this directory, to compare two versions")
	writeGolden = flag.Bool("trace-write", false, "regenerate the golden files; see doc.go")
)

var (
	allShapes  = []protocol.Shape{protocol.ShapeArray, protocol.ShapeArray, protocol.ShapeGang, protocol.ShapeService}
	onlyArrays = []protocol.Shape{protocol.ShapeArray}
)

// scenarios are the recorded histories. The golden files depend on each of these values.
var scenarios = []scenario{
	{name: "quiet", seed: 1, steps: 200, owners: 1, quota: 16, maxMachines: 16, valueBytes: 8192, jobArrivals: 0.15, shapes: allShapes, maxTasks: 12, maxRunS: 8},
	{
		name: "troubled", seed: 2, steps: 300, owners: 1, quota: 16, maxMachines: 16, valueBytes: 8192, jobArrivals: 0.2, shapes: allShapes, maxTasks: 12, maxRunS: 8,
		cancellations: 0.02, taskFailures: 0.15, preemptionNotices: 0.05, machineFailures: 0.02, silentAgents: 0.05, lateHeartbeats: 0.05, lostReplies: 0.05, startRefusals: 0.1,
		expiredOwnershipLease: 0.02, slowCommits: 0.2, refusedCommits: 0.1, lostCommitReplies: 0.1, tooLargeCommits: 0.02, refusedScaleOuts: 0.2, failedBoots: 0.1,
	},
	{
		name: "three-owners", seed: 3, steps: 300, owners: 3, quota: 20, maxMachines: 18, valueBytes: 8192, jobArrivals: 0.2, shapes: allShapes, maxTasks: 16, maxRunS: 8,
		cancellations: 0.02, taskFailures: 0.05, preemptionNotices: 0.04, machineFailures: 0.01, silentAgents: 0.02, lateHeartbeats: 0.02, lostReplies: 0.02, startRefusals: 0.05,
		staleCaches: 0.01, delayedUpdates: 0.2, slowCommits: 0.2, refusedCommits: 0.05, lostCommitReplies: 0.05, lostSyncs: 0.1, refusedScaleOuts: 0.2, failedBoots: 0.05,
	},
	{
		name: "saturated", seed: 4, steps: 260, owners: 3, quota: 40, maxMachines: 10, valueBytes: 8192, jobArrivals: 0.4, shapes: onlyArrays, maxTasks: 30, maxRunS: 6,
		slowCommits: 0.1, lostSyncs: 0.02,
	},
	{
		name: "saturated-mixed", seed: 5, steps: 260, owners: 2, quota: 32, maxMachines: 8, valueBytes: 4096, jobArrivals: 0.3, shapes: allShapes, maxTasks: 24, maxRunS: 16,
		cancellations: 0.05, taskFailures: 0.1, preemptionNotices: 0.03, slowCommits: 0.1, refusedScaleOuts: 0.3,
	},
	{
		name: "small-records", seed: 6, steps: 260, owners: 2, quota: 48, maxMachines: 14, valueBytes: 700, jobArrivals: 0.35, shapes: allShapes, maxTasks: 40, maxRunS: 6,
		cancellations: 0.01, refusedCommits: 0.05, lostCommitReplies: 0.05, tooLargeCommits: 0.03, slowCommits: 0.1,
	},
	{
		name: "views", seed: 7, steps: 300, owners: 2, quota: 24, maxMachines: 16, valueBytes: 4096, loweredValueBytes: 600, stepsPerView: 60, jobArrivals: 0.3, shapes: allShapes, maxTasks: 24, maxRunS: 10,
		cancellations: 0.02, taskFailures: 0.05, preemptionNotices: 0.03, machineFailures: 0.01, silentAgents: 0.02, lateHeartbeats: 0.03, lostReplies: 0.03, expiredOwnershipLease: 0.02, slowCommits: 0.2, refusedCommits: 0.05, lostCommitReplies: 0.1, lostSyncs: 0.05, refusedScaleOuts: 0.1,
	},
	{
		name: "services", seed: 8, steps: 300, owners: 2, quota: 16, maxMachines: 10, valueBytes: 8192, jobArrivals: 0.15, shapes: []protocol.Shape{protocol.ShapeService, protocol.ShapeArray}, maxTasks: 16, maxRunS: 16,
		cancellations: 0.04, taskFailures: 0.2, preemptionNotices: 0.06, machineFailures: 0.02, silentAgents: 0.02, slowCommits: 0.1, refusedScaleOuts: 0.3,
	},
	{
		name: "splits", seed: 9, steps: 220, owners: 1, quota: 64, maxMachines: 20, valueBytes: 8192, loweredValueBytes: 400, stepsPerView: 70, jobArrivals: 0.4, shapes: allShapes, maxTasks: 30, maxRunS: 12,
		cancellations: 0.02, slowCommits: 0.2, refusedCommits: 0.1, lostCommitReplies: 0.15, tooLargeCommits: 0.03,
	},
	{
		name: "slow-commits", seed: 10, steps: 260, owners: 2, quota: 32, maxMachines: 12, valueBytes: 2048, jobArrivals: 0.35, shapes: allShapes, maxTasks: 20, maxRunS: 6,
		cancellations: 0.15, taskFailures: 0.05, preemptionNotices: 0.08, silentAgents: 0.05, staleCaches: 0.02, delayedUpdates: 0.3, slowCommits: 0.8, refusedCommits: 0.1, lostCommitReplies: 0.2, tooLargeCommits: 0.02, lostSyncs: 0.05,
	},
	{
		name: "many-machines", seed: 11, steps: 160, owners: 3, quota: 160, maxMachines: 48, valueBytes: 8192, jobArrivals: 0.5, shapes: allShapes, maxTasks: 60, maxRunS: 10,
		cancellations: 0.02, preemptionNotices: 0.03, lateHeartbeats: 0.01, slowCommits: 0.1,
	},
	{
		name: "finished-tasks", seed: 12, steps: 260, owners: 1, quota: 64, maxMachines: 12, valueBytes: 8192, loweredValueBytes: 400, stepsPerView: 90, jobArrivals: 0.1, shapes: onlyArrays, maxTasks: 400, maxRunS: 3,
		taskFailures: 0.02, slowCommits: 0.1, refusedCommits: 0.05, lostCommitReplies: 0.1,
	},
	{
		name: "small-tasks", seed: 13, steps: 130, owners: 1, quota: 1024, maxMachines: 12, valueBytes: 8192, loweredValueBytes: 500, stepsPerView: 60, jobArrivals: 0.3, shapes: onlyArrays, maxTasks: 300, maxRunS: 6,
		cpus: []float64{0.25, 0.5}, lostCommitReplies: 0.1,
	},
	{
		name: "fragments", seed: 14, steps: 200, owners: 1, quota: 32, maxMachines: 16, valueBytes: 640, jobArrivals: 0.6, shapes: onlyArrays, maxTasks: 300, maxRunS: 4,
		cpus: []float64{0.5, 1}, taskFailures: 0.1, refusedCommits: 0.05,
	},
	{
		name: "burst", seed: 15, steps: 90, owners: 2, quota: 400, maxMachines: 44, valueBytes: 8192, jobArrivals: 0.5, shapes: onlyArrays, maxTasks: 200, maxRunS: 8, burstStep: 70,
		cpus: []float64{0.5, 1},
	},
	{
		name: "blackouts", seed: 16, steps: 320, owners: 2, quota: 20, maxMachines: 12, valueBytes: 8192, stepsPerView: 150, jobArrivals: 0.2, shapes: allShapes, maxTasks: 12, maxRunS: 8,
		machineFailures: 0.03, silentAgents: 0.03, blackouts: 0.015, unreachableForReplies: 0.15, failedBoots: 0.05,
	},
}

// TestDecisions generates the recorded histories again and compares the decisions with the golden
// files.
func TestDecisions(t *testing.T) {
	for i := range scenarios {
		s := &scenarios[i]
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			trace := runHistory(s)
			if *dumpDir != "" {
				dump(t, s.name, trace)
			}
			file := filepath.Join("testdata", s.name+".golden")
			if *writeGolden {
				writeFile(t, file, digest(trace))
				return
			}
			golden, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			compare(t, trace, strings.Split(digest(trace), "\n"), strings.Split(string(golden), "\n"))
		})
	}
}

// digest returns a trace in the format of the golden files, a line per step.
func digest(trace *recorder) string {
	var out strings.Builder
	traceHash := sha256.New()
	for number, step := range trace.steps {
		var lines strings.Builder
		for _, line := range step {
			traceHash.Write([]byte(line + "\n")) // never fails
			lineDigest := sha256.Sum256([]byte(line))
			lines.WriteString(" " + hex.EncodeToString(lineDigest[:2]))
		}
		fmt.Fprintf(&out, "%d %s%s\n", number, shortDigest(traceHash), lines.String())
	}
	return out.String()
}

func shortDigest(traceHash hash.Hash) string { return hex.EncodeToString(traceHash.Sum(nil)[:4]) }

// compare fails the test at the first step that differs, and reports its first differing line.
func compare(t *testing.T, trace *recorder, got, want []string) {
	t.Helper()
	for number := range max(len(got), len(want)) {
		if number >= len(got) || number >= len(want) {
			t.Fatalf("got %d steps, the golden file has %d", len(got), len(want))
		}
		if got[number] == want[number] {
			continue
		}
		if number >= len(trace.steps) {
			t.Fatalf("got %d steps, the golden file has more", number)
		}
		const headerFields = 2 // the step's number and the digest of the trace up to its end
		gotDigests, wantDigests := strings.Fields(got[number])[headerFields:], strings.Fields(want[number])
		for i, line := range trace.steps[number] {
			if i+headerFields >= len(wantDigests) || wantDigests[i+headerFields] != gotDigests[i] {
				t.Fatalf("step %d differs from the golden file from line %d on; got:\n%s", number, i+1, line)
			}
		}
		t.Fatalf("step %d: got %d lines, the golden file has %d", number, len(gotDigests), len(wantDigests)-headerFields)
	}
}

// dump writes a full trace to dumpDir.
func dump(t *testing.T, name string, trace *recorder) {
	t.Helper()
	var out strings.Builder
	for number, step := range trace.steps {
		fmt.Fprintf(&out, "step %d\n%s\n", number, strings.Join(step, "\n"))
	}
	writeFile(t, filepath.Join(*dumpDir, name+".trace"), out.String())
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}
