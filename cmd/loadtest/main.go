// Command loadtest runs real controllers with emulated worker agents, users, cloud and
// key-value store on the loopback network, injects faults, and checks the service's invariants.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"junipershelf/internal/loadtest"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
)

// maxPrintedViolations limits the output so that the first violations stay visible.
const maxPrintedViolations = 10

// faultKeepsTerminated is the value of --double that selects the emulated cloud with this fault: machines
// run on after they were terminated.
const faultKeepsTerminated = "returned"

const description = `Runs controllers, the emulators of the key-value store and the cloud, worker agents and users on this machine's loopback network, kills controllers, disconnects agents, and checks the invariants of the service.

Exit codes: 0 no invariant was violated, 1 an invariant was violated or the test could not be run.`

type commandLine struct {
	Binary         string        `help:"Path of the controller's executable." default:"target/junipershelf"`
	Machines       int           `help:"Capacity of the emulated cloud, in machines." default:"4000"`
	Duration       time.Duration `help:"How long users submit jobs." default:"3m"`
	MemMB          float64       `help:"Memory limit in each controller's settings, in MB." default:"125"`
	FaultyEmulator string        `name:"double" help:"Fault of an emulator that violates an invariant, to show that the checks detect it: 'returned' keeps terminated machines running." enum:"none,returned" default:"none"`
	Dir            string        `help:"Directory for settings and logs; by default a new temporary directory."`
}

func main() {
	var line commandLine
	kong.Parse(&line, kong.Name("loadtest"), kong.Description(description))
	result, err := run(context.Background(), &line)
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadtest:", err)
		os.Exit(exitFailed)
	}
	printResult(&result)
	if len(result.Violations) > 0 {
		os.Exit(exitFailed)
	}
	os.Exit(exitOK)
}

// run runs a load test with the options of the command line.
func run(ctx context.Context, line *commandLine) (loadtest.Result, error) {
	dir := line.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "loadtest"); err != nil {
			return loadtest.Result{}, err
		}
	}
	return loadtest.Run(ctx, loadtest.Config{
		Binary:               line.Binary,
		Dir:                  dir,
		Machines:             line.Machines,
		Duration:             line.Duration,
		MemMB:                line.MemMB,
		CloudKeepsTerminated: line.FaultyEmulator == faultKeepsTerminated,
		Out:                  os.Stdout,
	})
}

func printResult(result *loadtest.Result) {
	fmt.Printf("%d jobs accepted, %d ended, %d violations\n", result.Jobs, result.Ended, len(result.Violations))
	for i, violation := range result.Violations {
		if i == maxPrintedViolations {
			fmt.Println("…")
			break
		}
		fmt.Println("violation:", violation)
	}
}
