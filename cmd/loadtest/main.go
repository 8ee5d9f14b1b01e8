// Command loadtest runs a fleet of real controllers with emulated workers on the loopback
// network, with failures, and judges it.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"junipershelf/internal/loadtest"
)

type cli struct {
	Binary   string        `help:"Controller to run." default:"target/junipershelf"`
	Machines int           `help:"Machines of the fleet." default:"4000"`
	Duration time.Duration `help:"How long jobs are submitted." default:"3m"`
	MemMB    float64       `help:"Memory that the settings give a controller, in MB." default:"125"`
	Double   string        `help:"A double that breaks a rule, to see that it is found: returned keeps machines that were returned." enum:"none,returned" default:"none"`
	Dir      string        `help:"Folder for settings and logs; one of its own under /tmp without it."`
}

const exitBroken = 1

func main() {
	var args cli
	kong.Parse(&args, kong.Name("loadtest"), kong.Description("Runs controllers, emulators and workers on this machine's loopback network, kills and cuts, and judges the rules.\n\nExit codes: 0 no rule was broken, 1 one was."))
	if args.Dir == "" {
		dir, err := os.MkdirTemp("", "loadtest")
		if err != nil {
			fail(err)
		}
		args.Dir = dir
	}
	result, err := loadtest.Run(context.Background(), loadtest.Config{
		Binary: args.Binary, Dir: args.Dir, Machines: args.Machines, Duration: args.Duration, MemMB: args.MemMB,
		KeepsReturned: args.Double == "returned", Out: os.Stdout,
	})
	if err != nil {
		fail(err)
	}
	fmt.Printf("%d jobs, %d over, %d faults\n", result.Jobs, result.Over, len(result.Faults))
	const shown = 10
	for i, fault := range result.Faults {
		if i == shown {
			fmt.Println("…")
			break
		}
		fmt.Println("broken:", fault)
	}
	if len(result.Faults) > 0 {
		os.Exit(exitBroken)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "loadtest:", err)
	os.Exit(exitBroken)
}
