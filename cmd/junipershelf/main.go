// Command junipershelf is a controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"junipershelf/controller"
	"junipershelf/policy"
	"junipershelf/settings"
)

const version = "0.1.0"

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type cli struct {
	Config  string           `help:"Settings file of the platform." placeholder:"FILE" required:""`
	Policy  string           `help:"Policy file (Starlark); the built-in default without one." placeholder:"FILE"`
	Check   bool             `help:"Check settings and policy, say so, and end."`
	Version kong.VersionFlag `help:"Print the version and end."`
}

func main() {
	var args cli
	k := kong.Must(&args, kong.Name("junipershelf"), kong.Vars{"version": "junipershelf " + version},
		kong.Description("A cluster scheduler: each machine has its own queue, and overflow goes to the first underloaded buddy.\n\nLOG_LEVEL sets the log's level: error, info or debug.\nExit codes: 0 all is well, 1 the service failed, 2 settings, policy or arguments are wrong."))
	if _, err := k.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "junipershelf:", err)
		os.Exit(exitSettings)
	}
	set, err := settings.Load(args.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "junipershelf: settings:", oneLine(err))
		os.Exit(exitSettings)
	}
	pol, err := policy.Load(args.Policy)
	if err != nil {
		fmt.Fprintln(os.Stderr, "junipershelf: policy:", oneLine(err))
		os.Exit(exitSettings)
	}
	if args.Check {
		fmt.Println("settings and policy are good")
		return
	}
	// The platform gives a share of one core and so much memory.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Facts.Resources.MemMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(200)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level(os.Getenv("LOG_LEVEL"))})).With("node", set.NodeName)
	slog.SetDefault(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log.Info("starting", "version", version, "objectives", len(set.Facts.Objectives), "teams", len(set.Facts.Teams))
	for _, o := range set.Facts.Objectives {
		log.Info("aim", "kind", o.Kind, "class", o.Class, "share", o.Share, "times", o.Times, "within_s", o.WithinS)
	}
	err = controller.New(set, pol, log, controller.Network{}).Run(ctx)
	if ctx.Err() != nil {
		for _, o := range set.Facts.Objectives {
			log.Info("aim", "kind", o.Kind, "class", o.Class, "share", o.Share, "times", o.Times, "within_s", o.WithinS)
		}
		log.Info("ended")
		return
	}
	log.Error("failed", "err", err)
	os.Exit(exitFailed)
}

func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

func level(s string) slog.Level {
	switch strings.ToLower(s) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}
