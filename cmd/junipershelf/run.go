package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"junipershelf/controller"
	"junipershelf/settings"
)

// The limits that the Go runtime is set to, for a platform on which a process has a share of one core
// and an amount of memory.
const (
	processors  = 1
	memoryShare = 0.6 // of the memory, for the heap; the rest is for stacks, buffers and peaks
	gcPercent   = 200
	megabyte    = 1 << 20
)

// runCommand runs a controller.
type runCommand struct {
	Files configurationFiles `embed:""`
}

// Run runs a controller until the process gets SIGINT or SIGTERM. If the controller ends
// by itself, that is a failure, and is logged.
func (c *runCommand) Run(ctx context.Context) error {
	config, err := c.Files.load()
	if err != nil {
		return err
	}
	limitRuntime(config.settings.Facts.Resources)
	log := newLogger(config.settings.NodeName)
	slog.SetDefault(log)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logStart(log, config.settings)
	err = controller.New(config.settings, config.policy, log, controller.Network{}).Run(ctx)
	if ctx.Err() == nil {
		log.Error("controller failed", "err", err)
		return errLogged
	}
	logObjectives(log, config.settings.Facts.Objectives)
	log.Info("controller stopped")
	return nil
}

// limitRuntime keeps the Go runtime within the process's share of the machine.
func limitRuntime(resources settings.Resources) {
	runtime.GOMAXPROCS(processors)
	debug.SetMemoryLimit(int64(resources.MemMB * memoryShare * megabyte))
	debug.SetGCPercent(gcPercent)
}

// newLogger returns the log on stderr, at the level that LOG_LEVEL names.
func newLogger(node string) *slog.Logger {
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}
	return slog.New(slog.NewTextHandler(os.Stderr, options)).With("node", node)
}

// logLevel returns the level of a name, or info for all other names.
func logLevel(name string) slog.Level {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

func logStart(log *slog.Logger, config *settings.Settings) {
	facts := &config.Facts
	log.Info("controller starting", "version", version, "objectives", len(facts.Objectives), "teams", len(facts.Teams))
	logObjectives(log, facts.Objectives)
	for _, kind := range facts.UnknownObjectives() {
		log.Warn("objectives of an unknown kind are ignored", "kind", kind)
	}
}

// logObjectives logs what is expected of the service, as the log's reader may not have the
// settings. The keys are the settings file's.
func logObjectives(log *slog.Logger, objectives []settings.Objective) {
	for _, o := range objectives {
		log.Info("service-level objective", "kind", o.Kind, "class", o.Class, "share", o.Share, "times", o.DeadlineFactor, "within_s", o.WithinS)
	}
}
