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

// Limits of the Go runtime, for a platform on which a process has a share of one core and a
// limited amount of memory.
const (
	maxProcs    = 1
	memoryShare = 0.6 // the heap's share of the memory; the rest is for stacks, buffers and peaks
	gcPercent   = 200
	mebibyte    = 1 << 20
)

// runCommand runs a controller.
type runCommand struct {
	Files configurationFiles `embed:""`
}

// Run runs a controller until the process gets SIGINT or SIGTERM. A controller that ends
// earlier has failed, which is logged.
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

// limitRuntime limits the Go runtime to the process's resources.
func limitRuntime(resources settings.Resources) {
	runtime.GOMAXPROCS(maxProcs)
	debug.SetMemoryLimit(int64(resources.MemMB * memoryShare * mebibyte))
	debug.SetGCPercent(gcPercent)
}

// newLogger returns a logger that writes to stderr, at the level in LOG_LEVEL.
func newLogger(node string) *slog.Logger {
	options := &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))}
	return slog.New(slog.NewTextHandler(os.Stderr, options)).With("node", node)
}

// logLevel returns the log level with a name, or info if there is none.
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
	for _, kind := range facts.UnknownObjectiveKinds() {
		log.Warn("objectives of an unknown kind are ignored", "kind", kind)
	}
}

// logObjectives logs the service-level objectives, since a reader of the log may not have the
// settings. The keys are those of the settings file, where times is the deadline factor.
func logObjectives(log *slog.Logger, objectives []settings.Objective) {
	for _, o := range objectives {
		log.Info("service-level objective", "kind", o.Kind, "class", o.Class, "share", o.Share, "times", o.DeadlineFactor, "within_s", o.WithinS)
	}
}
