package loadtest

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"junipershelf/internal/ctxtime"
)

// usage is a controller's resource usage.
type usage struct {
	CPU        time.Duration // processor time of all runs
	ResidentMB float64       // current resident memory, in MiB
	PeakMB     float64       // peak resident memory since the last start, in MiB
	Threads    int
	Files      int // open files, mostly sockets
}

// reportInterval is the interval between lines of the cluster's usage.
const reportInterval = 10 * time.Second

// reportUsage prints the numbers of machines and running tasks and the controllers' resource
// usage, until the context ends.
func (c *cluster) reportUsage(ctx context.Context) {
	last := make([]usage, controllerCount)
	for ctxtime.Sleep(ctx, reportInterval) {
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

// usage returns the controller's resource usage. All but the processor time is 0 while the
// controller does not run.
func (p *process) usage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := usage{CPU: p.endedRunsCPU}
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

// readStatus reads memory and threads of a process from its status file in /proc. It changes
// nothing if the process has ended.
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

// firstNumber returns the number in a value's first field, or 0.
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

// The indices of the processor times among the fields that follow the name in /proc/PID/stat, and
// the unit of these times.
const (
	userTimeField   = 11
	systemTimeField = 12
	clockTicksPerS  = 100
)

// processorTime reads the processor time of a process from its stat file in /proc. It returns 0 if
// the process has ended.
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
