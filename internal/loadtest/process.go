package loadtest

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"junipershelf/internal/ctxtime"
	"junipershelf/settings"
)

// process is a controller that runs as a child process, which may be killed and restarted.
type process struct {
	name, binary, dir string
	log               *os.File

	// mu guards the following fields.
	mu           sync.Mutex
	command      *exec.Cmd     // nil while the controller does not run
	endedRunsCPU time.Duration // processor time of earlier runs
}

// newProcess writes a controller's settings and creates its log file, but does not start it.
func newProcess(dir, binary, name string, config *settings.Settings) (*process, error) {
	p := &process{name: name, binary: binary, dir: dir}
	text, err := toml.Marshal(config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(p.settingsFile(), text, 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(p.logFile())
	return p, err
}

func (p *process) settingsFile() string { return filepath.Join(p.dir, p.name+".toml") }

func (p *process) logFile() string { return filepath.Join(p.dir, p.name+".log") }

// start starts the controller, which is killed when the context ends.
func (p *process) start(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = exec.CommandContext(ctx, p.binary, "--config", p.settingsFile())
	p.command.Stderr = p.log
	return p.command.Start()
}

// kill sends the controller SIGKILL and waits for it to exit.
func (p *process) kill() error {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil || command.Process == nil {
		return nil
	}
	if err := command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	var exit *exec.ExitError
	if err := command.Wait(); err != nil && !errors.As(err, &exit) {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedRunsCPU += command.ProcessState.UserTime() + command.ProcessState.SystemTime()
	p.command = nil
	return nil
}

// restart kills the controller and starts it again after a downtime.
func (p *process) restart(ctx context.Context, downtime time.Duration) error {
	if err := p.kill(); err != nil {
		return err
	}
	if !ctxtime.Sleep(ctx, downtime) {
		return ctx.Err()
	}
	return p.start(ctx)
}
