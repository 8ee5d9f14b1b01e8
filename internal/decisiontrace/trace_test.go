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
	dumpDir     = flag.String("trace-dump", "", "directory for the full traces, to compare two versions")
	writeGolden = flag.Bool("trace-write", false, "write the golden files anew; see doc.go")
)

var (
	allShapes  = []string{protocol.ShapeArray, protocol.ShapeArray, protocol.ShapeGang, protocol.ShapeService}
	onlyArrays = []string{protocol.ShapeArray}
)

// scenarios are the recorded histories. Their golden files hold for these very figures.
var scenarios = []scenario{
	{name: "quiet", seed: 1, steps: 200, owners: 1, quota: 16, maxMachines: 16, valueBytes: 8192, newJobs: 0.15, shapes: allShapes, maxTasks: 12, maxRunS: 8},
	{
		name: "troubled", seed: 2, steps: 300, owners: 1, quota: 16, maxMachines: 16, valueBytes: 8192, newJobs: 0.2, shapes: allShapes, maxTasks: 12, maxRunS: 8,
		cancellations: 0.02, taskFailures: 0.15, notices: 0.05, deaths: 0.02, silences: 0.05, lateReports: 0.05, lostAnswers: 0.05, fullRefusals: 0.1,
		noAuthority: 0.02, slowCommits: 0.2, refused: 0.1, unseen: 0.1, tooLarge: 0.02, rentalsRefused: 0.2, unlisted: 0.1,
	},
	{
		name: "three-owners", seed: 3, steps: 300, owners: 3, quota: 20, maxMachines: 18, valueBytes: 8192, newJobs: 0.2, shapes: allShapes, maxTasks: 16, maxRunS: 8,
		cancellations: 0.02, taskFailures: 0.05, notices: 0.04, deaths: 0.01, silences: 0.02, lateReports: 0.02, lostAnswers: 0.02, fullRefusals: 0.05,
		staleMirrors: 0.01, lateNews: 0.2, slowCommits: 0.2, refused: 0.05, unseen: 0.05, lostCalls: 0.1, rentalsRefused: 0.2, unlisted: 0.05,
	},
	{
		name: "saturated", seed: 4, steps: 260, owners: 3, quota: 40, maxMachines: 10, valueBytes: 8192, newJobs: 0.4, shapes: onlyArrays, maxTasks: 30, maxRunS: 6,
		slowCommits: 0.1, lostCalls: 0.02,
	},
	{
		name: "saturated-mixed", seed: 5, steps: 260, owners: 2, quota: 32, maxMachines: 8, valueBytes: 4096, newJobs: 0.3, shapes: allShapes, maxTasks: 24, maxRunS: 16,
		cancellations: 0.05, taskFailures: 0.1, notices: 0.03, slowCommits: 0.1, rentalsRefused: 0.3,
	},
	{
		name: "small-records", seed: 6, steps: 260, owners: 2, quota: 48, maxMachines: 14, valueBytes: 700, newJobs: 0.35, shapes: allShapes, maxTasks: 40, maxRunS: 6,
		cancellations: 0.01, refused: 0.05, unseen: 0.05, tooLarge: 0.03, slowCommits: 0.1,
	},
	{
		name: "views", seed: 7, steps: 300, owners: 2, quota: 24, maxMachines: 16, valueBytes: 4096, smallerValues: 600, viewEvery: 60, newJobs: 0.3, shapes: allShapes, maxTasks: 24, maxRunS: 10,
		cancellations: 0.02, taskFailures: 0.05, notices: 0.03, deaths: 0.01, silences: 0.02, lateReports: 0.03, lostAnswers: 0.03, noAuthority: 0.02, slowCommits: 0.2, refused: 0.05, unseen: 0.1, lostCalls: 0.05, rentalsRefused: 0.1,
	},
	{
		name: "services", seed: 8, steps: 300, owners: 2, quota: 16, maxMachines: 10, valueBytes: 8192, newJobs: 0.15, shapes: []string{protocol.ShapeService, protocol.ShapeArray}, maxTasks: 16, maxRunS: 16,
		cancellations: 0.04, taskFailures: 0.2, notices: 0.06, deaths: 0.02, silences: 0.02, slowCommits: 0.1, rentalsRefused: 0.3,
	},
	{
		name: "splits", seed: 9, steps: 220, owners: 1, quota: 64, maxMachines: 20, valueBytes: 8192, smallerValues: 400, viewEvery: 70, newJobs: 0.4, shapes: allShapes, maxTasks: 30, maxRunS: 12,
		cancellations: 0.02, slowCommits: 0.2, refused: 0.1, unseen: 0.15, tooLarge: 0.03,
	},
	{
		name: "slow-commits", seed: 10, steps: 260, owners: 2, quota: 32, maxMachines: 12, valueBytes: 2048, newJobs: 0.35, shapes: allShapes, maxTasks: 20, maxRunS: 6,
		cancellations: 0.15, taskFailures: 0.05, notices: 0.08, silences: 0.05, staleMirrors: 0.02, lateNews: 0.3, slowCommits: 0.8, refused: 0.1, unseen: 0.2, tooLarge: 0.02, lostCalls: 0.05,
	},
	{
		name: "many-machines", seed: 11, steps: 160, owners: 3, quota: 160, maxMachines: 48, valueBytes: 8192, newJobs: 0.5, shapes: allShapes, maxTasks: 60, maxRunS: 10,
		cancellations: 0.02, notices: 0.03, lateReports: 0.01, slowCommits: 0.1,
	},
	{
		name: "finished-tasks", seed: 12, steps: 260, owners: 1, quota: 64, maxMachines: 12, valueBytes: 8192, smallerValues: 400, viewEvery: 90, newJobs: 0.1, shapes: onlyArrays, maxTasks: 400, maxRunS: 3,
		taskFailures: 0.02, slowCommits: 0.1, refused: 0.05, unseen: 0.1,
	},
	{
		name: "small-tasks", seed: 13, steps: 130, owners: 1, quota: 1024, maxMachines: 12, valueBytes: 8192, smallerValues: 500, viewEvery: 60, newJobs: 0.3, shapes: onlyArrays, maxTasks: 300, maxRunS: 6,
		cpus: []float64{0.25, 0.5}, unseen: 0.1,
	},
	{
		name: "fragments", seed: 14, steps: 200, owners: 1, quota: 32, maxMachines: 16, valueBytes: 640, newJobs: 0.6, shapes: onlyArrays, maxTasks: 300, maxRunS: 4,
		cpus: []float64{0.5, 1}, taskFailures: 0.1, refused: 0.05,
	},
	{
		name: "burst", seed: 15, steps: 90, owners: 2, quota: 400, maxMachines: 44, valueBytes: 8192, newJobs: 0.5, shapes: onlyArrays, maxTasks: 200, maxRunS: 8, burst: 70,
		cpus: []float64{0.5, 1},
	},
	{
		name: "blackouts", seed: 16, steps: 320, owners: 2, quota: 20, maxMachines: 12, valueBytes: 8192, viewEvery: 150, newJobs: 0.2, shapes: allShapes, maxTasks: 12, maxRunS: 8,
		deaths: 0.03, silences: 0.03, blackouts: 0.015, deafMachines: 0.15, unlisted: 0.05,
	},
}

// TestDecisions draws the recorded histories anew and compares what is decided in them.
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

// digest writes a trace in the form of the golden files: a line for each step.
func digest(trace *recorder) string {
	var out strings.Builder
	all := sha256.New()
	for number, step := range trace.steps {
		var lines strings.Builder
		for _, line := range step {
			all.Write([]byte(line + "\n")) // a hash returns no error
			one := sha256.Sum256([]byte(line))
			lines.WriteString(" " + hex.EncodeToString(one[:2]))
		}
		fmt.Fprintf(&out, "%d %s%s\n", number, short(all), lines.String())
	}
	return out.String()
}

func short(all hash.Hash) string { return hex.EncodeToString(all.Sum(nil)[:4]) }

// compare reports the first step that differs, from the first line on that does.
func compare(t *testing.T, trace *recorder, got, want []string) {
	t.Helper()
	for number := range max(len(got), len(want)) {
		if number >= len(got) || number >= len(want) {
			t.Fatalf("%d steps, the golden file has %d", len(got), len(want))
		}
		if got[number] == want[number] {
			continue
		}
		if number >= len(trace.steps) {
			t.Fatalf("the golden file goes on after step %d", number)
		}
		const before = 2 // the step's number and the digest over all
		mine, golden := strings.Fields(got[number])[before:], strings.Fields(want[number])
		for i, line := range trace.steps[number] {
			if i+before >= len(golden) || golden[i+before] != mine[i] {
				t.Fatalf("step %d differs from line %d on, which is now:\n%s", number, i+1, line)
			}
		}
		t.Fatalf("step %d has %d lines, the golden file has %d", number, len(mine), len(golden)-before)
	}
}

// dump writes a full trace.
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
