package loadtest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a controller uses of the machine.
type usage struct {
	CPU        time.Duration // of all of its runs
	ResidentMB float64       // memory now, in MiB
	PeakMB     float64       // memory at its largest since the last start, in MiB
	Threads    int
	Files      int // open files, nearly all of them sockets
}

// reportInterval is how often the cluster's usage is printed.
const reportInterval = 10 * time.Second

// reportUsage prints what runs, and what the controllers use, until the context ends.
func (c *cluster) reportUsage(ctx context.Context) {
	last := make([]usage, controllerCount)
	for sleep(ctx, reportInterval) {
		var controllers strings.Builder
		for i, p := range c.controllers {
			u := p.usage()
			cpus := (u.CPU - last[i].CPU).Seconds() / reportInterval.Seconds()
			fmt.Fprintf(&controllers, " | cpu %.2f rss %.0f peak %.0f threads %d sockets %d", cpus, u.ResidentMB, u.PeakMB, u.Threads, u.Files)
			last[i] = u
		}
		c.printf("machines %d, running %d%s", len(c.cloud.Machines()), c.cloud.RunningTasks(), controllers.String())
	}
}

// usage returns what the controller uses; beside the processor time it is 0 while the
// controller does not run.
func (p *process) usage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := usage{CPU: p.endedRuns}
	if p.command == nil {
		return u
	}
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	u.readStatus(dir + "status")
	u.CPU += processorTime(dir + "stat")
	if files, err := os.ReadDir(dir + "fd"); err == nil {
		u.Files = len(files)
	}
	return u
}

// readStatus reads memory and threads of a process from its status file in /proc. It
// reads nothing once the process has ended.
func (u *usage) readStatus(file string) {
	status, err := os.ReadFile(file)
	if err != nil {
		return
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "VmRSS":
			u.ResidentMB = firstNumber(value) / 1024
		case "VmHWM":
			u.PeakMB = firstNumber(value) / 1024
		case "Threads":
			u.Threads = int(firstNumber(value))
		}
	}
}

// firstNumber returns the number that a line's value begins with, or 0.
func firstNumber(value string) float64 {
	fields := strings.Fields(value)
	if len(fields) == 0 {
		return 0
	}
	number, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return 0
	}
	return number
}

// Fields of a process's stat file in /proc, counted from the one after its name, and the
// units in which it has processor time, to a second.
const (
	userTimeField   = 11
	systemTimeField = 12
	clockTicksPerS  = 100
)

// processorTime reads the processor time of a process. It is 0 once the process has ended.
func processorTime(file string) time.Duration {
	stat, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemTimeField {
		return 0
	}
	ticks := firstNumber(fields[userTimeField]) + firstNumber(fields[systemTimeField])
	return time.Duration(ticks / clockTicksPerS * float64(time.Second))
}
