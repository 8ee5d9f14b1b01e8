// Command standins runs a case of the review: it starts the controllers as processes of their own,
// with stand-ins for the state service, the cloud, the workers and the users on loopback addresses,
// brings about the trouble of the case, and checks the rule.
//
// Usage: standins CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the trouble out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the longest run of a case.
const caseTimeout = 116 * time.Second

// scenario is a case: its site, and what happens there. It returns the broken rules.
type scenario struct {
	site site
	run  func(d *deployment) (broken []string, err error)
}

func main() {
	// The controllers are killed when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(run(os.Args))
}

func run(arguments []string) int {
	if len(arguments) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitNotRun
	}
	chosen, known := scenarios()[arguments[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", arguments[1])
		return exitNotRun
	}
	record, err := newRecorder(arguments[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	code := runCase(chosen, record)
	if err := record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// runCase runs a scenario and returns the exit code.
func runCase(c scenario, record *recorder) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("trouble: %v", trouble)
	d, err := deploy(ctx, record, c.site)
	if d != nil {
		defer d.stop()
	}
	var broken []string
	if err == nil {
		d.trouble = trouble
		broken, err = c.run(d)
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		record.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, rule := range broken {
		record.printf("BROKEN: %s", rule)
		fmt.Println("broken:", rule)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}
