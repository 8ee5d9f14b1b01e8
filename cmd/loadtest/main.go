// Command loadtest runs real controllers with emulated worker agents, users, cloud and
// key-value store on the loopback network, injects faults, and checks what must hold.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"junipershelf/internal/loadtest"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
)

// maxPrintedViolations keeps the reason for a failure from scrolling away.
const maxPrintedViolations = 10

// doubleReturned is the value of --double for a cloud that does not terminate machines.
const doubleReturned = "returned"

const description = `Runs controllers, the emulators of the key-value store and the cloud, worker agents and users on this machine's loopback network, kills controllers and cuts agents off, and checks the rules of the service.

Exit codes: 0 no rule was broken, 1 one was, or the test could not be run.`

type commandLine struct {
	Binary   string        `help:"Controller to run." default:"target/junipershelf"`
	Machines int           `help:"Largest number of machines." default:"4000"`
	Duration time.Duration `help:"How long jobs are submitted." default:"3m"`
	MemMB    float64       `help:"Memory that the settings give a controller, in MB." default:"125"`
	Double   string        `help:"A faulty emulator that breaks a rule, to show that this is found: 'returned' keeps machines that were terminated." enum:"none,returned" default:"none"`
	Dir      string        `help:"Directory for settings and logs; a new one under /tmp without it."`
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

// run runs the test that the command line describes.
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
		CloudKeepsTerminated: line.Double == doubleReturned,
		Out:                  os.Stdout,
	})
}

func printResult(result *loadtest.Result) {
	fmt.Printf("%d jobs, %d over, %d faults\n", result.Jobs, result.Ended, len(result.Violations))
	for i, violation := range result.Violations {
		if i == maxPrintedViolations {
			fmt.Println("…")
			break
		}
		fmt.Println("broken:", violation)
	}
}
