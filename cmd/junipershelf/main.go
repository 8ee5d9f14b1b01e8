// Command junipershelf runs a controller of the cluster scheduler, and has commands for its
// operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

const (
	programName = "junipershelf"
	version     = "0.1.0"
)

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitInvalidConfiguration // settings, policy or arguments
)

const description = `A cluster scheduler: each machine has its own queue, and overflow goes to the first underloaded machine of its buddy set.

The environment variable LOG_LEVEL sets the log level: error, info or debug.
Exit codes: 0 success, 1 the command failed, 2 invalid settings, policy or arguments.`

// commandLine defines the program's commands and flags.
type commandLine struct {
	Run           runCommand           `cmd:"" default:"withargs" help:"Run a controller until SIGINT or SIGTERM (the default command)."`
	Check         checkCommand         `cmd:"" help:"Check the settings and the policy, print the result, and exit."`
	Show          showCommand          `cmd:"" help:"Print a running node's view, machines, queues and counters as JSON."`
	DefaultPolicy defaultPolicyCommand `cmd:"" help:"Print the documented default policy."`
	Version       kong.VersionFlag     `help:"Print the version and exit."`
}

func main() {
	err := execute(context.Background(), os.Args[1:])
	reportError(err)
	os.Exit(exitCode(err))
}

// execute runs the command that the arguments name.
func execute(ctx context.Context, arguments []string) error {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name(programName),
		kong.Description(description),
		kong.Vars{"version": programName + " " + version},
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		return err
	}
	command, err := parser.Parse(arguments)
	if err != nil {
		return &configurationError{err: err}
	}
	return command.Run()
}

// configurationError reports invalid settings, an invalid policy or invalid arguments.
type configurationError struct {
	part string // "settings" or "policy"; empty for arguments
	err  error
}

func (e *configurationError) Error() string {
	if e.part == "" {
		return e.err.Error()
	}
	return e.part + ": " + e.err.Error()
}

func (e *configurationError) Unwrap() error { return e.err }

// errLogged is returned by a command that has already logged its failure.
var errLogged = errors.New("failure already logged")

// reportError writes an error as one line to stderr.
func reportError(err error) {
	if err == nil || errors.Is(err, errLogged) {
		return
	}
	fmt.Fprintln(os.Stderr, programName+": "+oneLine(err.Error()))
}

// oneLine replaces line breaks and repeated spaces by single spaces.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func exitCode(err error) int {
	var configuration *configurationError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &configuration):
		return exitInvalidConfiguration
	default:
		return exitFailed
	}
}
