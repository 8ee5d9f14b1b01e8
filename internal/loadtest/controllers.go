package loadtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// process is one controller, a child process that may be killed and started again.
type process struct {
	name, binary, config string
	log                  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	cpu time.Duration // of runs that have ended
}

// newProcess writes a controller's settings and opens its log.
func newProcess(dir, binary, name, settings string) (*process, error) {
	p := &process{name: name, binary: binary, config: filepath.Join(dir, name+".toml")}
	if err := os.WriteFile(p.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(p.logFile())
	return p, err
}

// logFile is where the controller's log goes.
func (p *process) logFile() string { return strings.TrimSuffix(p.config, ".toml") + ".log" }

// start starts the controller.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.binary, "--config", p.config)
	p.cmd.Stderr = p.log
	return p.cmd.Start()
}

// kill ends the controller with no signal that it could see.
func (p *process) kill() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return
	}
	// An error says that it has ended already, which Wait tells as well.
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd.ProcessState != nil {
		p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
	p.cmd = nil
}

// restart kills the controller and starts it again after a while.
func (p *process) restart(away time.Duration) error {
	p.kill()
	time.Sleep(away)
	return p.start()
}

// usage is what a controller has used.
type usage struct {
	CPU     time.Duration
	RSSMB   float64 // now
	PeakMB  float64 // since it was started last
	Threads int
	Sockets int
}

// usage reads what the controller uses; it is empty while it does not run.
func (p *process) usage() (u usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u.CPU = p.cpu
	if p.cmd == nil {
		return u
	}
	root := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(root + "status")
	if err != nil {
		return u
	}
	var kb float64
	for line := range strings.SplitSeq(string(status), "\n") {
		switch name, value, _ := strings.Cut(line, ":"); name {
		case "VmRSS":
			fmt.Sscan(value, &kb)
			u.RSSMB = kb / 1024
		case "VmHWM":
			fmt.Sscan(value, &kb)
			u.PeakMB = kb / 1024
		case "Threads":
			fmt.Sscan(value, &u.Threads)
		}
	}
	u.CPU += runningCPU(root)
	if open, err := os.ReadDir(root + "fd"); err == nil {
		u.Sockets = len(open)
	}
	return u
}

// clockTicks is how many of its units the system counts in a second of processor time.
const clockTicks = 100

// runningCPU reads the processor time of a process.
func runningCPU(root string) time.Duration {
	stat, err := os.ReadFile(root + "stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0
	}
	var user, system int64
	fmt.Sscan(fields[userField], &user)
	fmt.Sscan(fields[systemField], &system)
	return time.Duration(user+system) * time.Second / clockTicks
}
