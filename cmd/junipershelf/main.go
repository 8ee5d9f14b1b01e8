// Command junipershelf is a controller of the cluster scheduler.
package main

import (
	"context"
	"encoding/json"
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
	"junipershelf/peer"
	"junipershelf/policy"
	"junipershelf/settings"
	"junipershelf/sizing"
)

const version = "0.1.0"

// maxShown bounds the answer of show: a few hundred bytes for each machine of a node.
const maxShown = 64 << 20

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

type files struct {
	Config string `help:"Settings file of the platform." placeholder:"FILE" required:""`
	Policy string `help:"Policy file (Starlark); the built-in default without one." placeholder:"FILE"`
}

type cli struct {
	Run   files `cmd:"" default:"withargs" help:"Run a controller until it is killed (the default)."`
	Check files `cmd:"" help:"Check settings and policy, say so, and end."`
	Show  struct {
		Addr string `arg:"" help:"The node's internal_addr."`
	} `cmd:"" help:"Show a running node's view, machines, queues and counters."`
	DefaultPolicy struct{}         `cmd:"" help:"Print the documented default policy."`
	Version       kong.VersionFlag `help:"Print the version and end."`
}

func main() {
	var args cli
	k := kong.Must(&args, kong.Name("junipershelf"), kong.Vars{"version": "junipershelf " + version},
		kong.Description("A cluster scheduler: each machine has its own queue, and overflow goes to the first underloaded buddy.\n\nLOG_LEVEL sets the log's level: error, info or debug.\nExit codes: 0 all is well, 1 the service failed, 2 settings, policy or arguments are wrong."))
	c, err := k.Parse(os.Args[1:])
	if err != nil {
		fail(exitSettings, "", err)
	}
	switch c.Command() {
	case "default-policy":
		fmt.Print(policy.Default)
	case "show <addr>":
		if err := show(args.Show.Addr); err != nil {
			fail(exitFailed, "show: ", err)
		}
	case "check":
		load(args.Check)
		fmt.Println("settings and policy are good")
	default:
		run(load(args.Run))
	}
}

func fail(code int, what string, err error) {
	fmt.Fprintln(os.Stderr, "junipershelf: "+what+strings.Join(strings.Fields(err.Error()), " "))
	os.Exit(code)
}

func load(f files) (*settings.Settings, *policy.Policy) {
	set, err := settings.Load(f.Config)
	if err != nil {
		fail(exitSettings, "settings: ", err)
	}
	pol, err := policy.Load(f.Policy)
	if err != nil {
		fail(exitSettings, "policy: ", err)
	}
	for _, short := range sizing.Check(set.Facts, sizing.Fleet{Machines: pol.FleetMachines, TasksPerMachine: pol.TasksPerMachine}) {
		if short.Fatal {
			fail(exitSettings, "settings: ", short)
		}
		fmt.Fprintln(os.Stderr, "junipershelf: settings: "+short.Error())
	}
	return set, pol
}

func show(addr string) error {
	a, err := peer.NewClient(nil, addr, peer.ClientLimits{Connections: 1, ReplyBytes: maxShown}).Show(context.Background())
	if err != nil {
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(a)
}

func run(set *settings.Settings, pol *policy.Policy) {
	// The platform gives a share of one core and so much memory.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Facts.Resources.MemMB * 0.6 * (1 << 20)))
	debug.SetGCPercent(200)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level(os.Getenv("LOG_LEVEL"))})).With("node", set.NodeName)
	slog.SetDefault(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log.Info("starting", "version", version, "objectives", len(set.Facts.Objectives), "teams", len(set.Facts.Teams))
	logObjectives(log, set.Facts.Objectives)
	for _, kind := range set.Facts.UnknownObjectives() {
		log.Warn("objectives of an unknown kind are ignored", "kind", kind)
	}
	err := controller.New(set, pol, log, controller.Network{}).Run(ctx)
	if ctx.Err() != nil {
		logObjectives(log, set.Facts.Objectives)
		log.Info("ended")
		return
	}
	log.Error("failed", "err", err)
	os.Exit(exitFailed)
}

// logObjectives restates what is expected of the service.
func logObjectives(log *slog.Logger, all []settings.Objective) {
	for _, o := range all {
		log.Info("objective", "kind", o.Kind, "class", o.Class, "share", o.Share, "times", o.Times, "within_s", o.WithinS)
	}
}

func level(s string) slog.Level {
	switch strings.ToLower(s) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}
