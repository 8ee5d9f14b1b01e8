// Command harness runs a case of the review: controllers as processes, with stand-ins of the state service, the
// cloud, the workers and the users.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. A case returns an error if it could not run.
var cases = map[string]func(w *world) error{
	"behind":       runBehind,
	"pinned":       runPinned,
	"fragments":    runFragments,
	"large-answer": runLargeAnswer,
}

// deployments are those of the cases that do not use muscat.
var deployments = map[string]func() params{"large-answer": largeMachines}

func main() {
	name := flag.String("case", "", "the case to run")
	recordPath := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	os.Exit(run(*name, *recordPath))
}

func run(name, recordPath string) int {
	deployment := muscat
	if other := deployments[name]; other != nil {
		deployment = other
	}
	w, err := newWorld(deployment(), recordPath)
	if err != nil || cases[name] == nil {
		fmt.Fprintln(os.Stderr, "could not run:", name, err)
		return exitNotRun
	}
	defer w.close()
	go w.closeOnSignal()
	w.record.add("case %s, trouble %v", name, w.trouble)
	if err := cases[name](w); err != nil {
		w.record.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	violations := w.rules.violations()
	for _, text := range violations {
		fmt.Println("broken:", text)
	}
	w.record.add("end: %d broken", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

// closeOnSignal ends all processes if this one is asked to end.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	w.close()
	os.Exit(exitNotRun)
}
