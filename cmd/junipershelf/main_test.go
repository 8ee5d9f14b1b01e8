package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"junipershelf/policy"
)

// runAsCommand is the environment variable that makes the test binary run main instead of the
// tests.
const runAsCommand = "JUNIPERSHELF_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// command returns a command that runs the program with arguments.
func command(t *testing.T, arguments ...string) *exec.Cmd {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	c := exec.CommandContext(ctx, os.Args[0], arguments...)
	c.Env = append(os.Environ(), runAsCommand+"=1", "LOG_LEVEL=info")
	return c
}

// processExitCode returns the exit code of a command that has ended.
func processExitCode(t *testing.T, err error) int {
	t.Helper()
	var failed *exec.ExitError
	if err == nil {
		return 0
	}
	if !errors.As(err, &failed) {
		t.Fatal(err)
	}
	return failed.ExitCode()
}

// unreachableAddr is an address that nothing listens on.
const unreachableAddr = "127.0.0.1:1"

// validSettings is the settings file of a controller on the loopback network, whose
// key-value store and cloud are unreachable.
const validSettings = `
node_name = "a"
front = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
[outside]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[facts]
nodes = 1
zones = ["z"]
[[facts.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[[facts.objectives]]
kind = "deadline"
class = "train"
share = 0.9
times = 1.5
[[facts.objectives]]
kind = "tidiness"
[facts.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
[facts.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 5.0
list_lag_s = 2.0
[facts.resources]
cpu = 0.3
mem_mb = 125.0
max_sockets = 1000
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestCommandsExitCodesAndOutput(t *testing.T) {
	validFile := writeFile(t, "settings.toml", validSettings)
	invalidFile := writeFile(t, "settings.toml", strings.Replace(validSettings, "lease_s = 10.0", "lease_s = 2.0", 1))
	syntaxFile := writeFile(t, "settings.toml", strings.Replace(validSettings, "[outside]", "[outside", 1))
	smallFile := writeFile(t, "settings.toml", strings.Replace(validSettings, "max_sockets = 1000", "max_sockets = 8", 1))
	policyFile := writeFile(t, "site.star", "buddies = 12\n")
	invalidPolicyFile := writeFile(t, "site.star", "\nbuddies = 0\n")
	largeFleetFile := writeFile(t, "site.star", "fleet_machines = 1000000\n")
	for _, c := range []struct {
		name      string
		arguments []string
		code      int
		stdout    string
		stderr    string
	}{
		{"version", []string{"--version"}, 0, "junipershelf 0.1.0\n", ""},
		{"default policy", []string{"default-policy"}, 0, policy.Default, ""},
		{"check", []string{"check", "--config", validFile}, 0, "settings and policy are valid\n", ""},
		{"check with a policy", []string{"check", "--config", validFile, "--policy", policyFile}, 0, "settings and policy are valid\n", ""},
		{"check without settings", []string{"check"}, 2, "", "junipershelf: missing flags: --config=FILE\n"},
		{"no arguments", nil, 2, "", "junipershelf: missing flags: --config=FILE\n"},
		{"unknown flag", []string{"check", "--colour"}, 2, "", "junipershelf: unknown flag --colour\n"},
		{"unknown command", []string{"dance"}, 2, "", "junipershelf: unexpected argument dance\n"},
		{"show without an address", []string{"show"}, 2, "", "junipershelf: expected \"<addr>\"\n"},
		{"missing settings", []string{"check", "--config", "none.toml"}, 2, "", "junipershelf: settings: open none.toml: no such file or directory\n"},
		{"invalid settings", []string{"check", "--config", invalidFile}, 2, "", "junipershelf: settings: facts.workers.lease_s: shorter than twice facts.workers.report_s\n"},
		{"run with invalid settings", []string{"run", "--config", invalidFile}, 2, "", "junipershelf: settings: facts.workers.lease_s: shorter than twice facts.workers.report_s\n"},
		{"run by default with invalid settings", []string{"--config", invalidFile}, 2, "", "junipershelf: settings: facts.workers.lease_s: shorter than twice facts.workers.report_s\n"},
		{"settings that are not TOML", []string{"check", "--config", syntaxFile}, 2, "", "junipershelf: settings: line 5 column 9: field []: toml: expected ']' to close table name\n"},
		{"settings too small for any fleet", []string{"check", "--config", smallFile}, 2, "", "junipershelf: settings: facts.resources.max_sockets: 8 is too little, 32 is needed: the process itself needs them\n"},
		{"missing policy", []string{"check", "--config", validFile, "--policy", "none.star"}, 2, "", "junipershelf: policy: open none.star: no such file or directory\n"},
		{"invalid policy", []string{"check", "--config", validFile, "--policy", invalidPolicyFile}, 2, "", "junipershelf: policy: " + invalidPolicyFile + ":2: buddies: 0 is not between 1 and 1000\n"},
		{"show of an unreachable node", []string{"show", unreachableAddr}, 1, "", "junipershelf: show: POST " + unreachableAddr + "/show: no usable reply: dial tcp " + unreachableAddr + ": connect: connection refused\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			program := command(t, c.arguments...)
			program.Stdout, program.Stderr = &stdout, &stderr
			code := processExitCode(t, program.Run())
			if code != c.code || stdout.String() != c.stdout || stderr.String() != c.stderr {
				t.Errorf("exit code %d, want %d\nstdout %q\n  want %q\nstderr %q\n  want %q", code, c.code, stdout.String(), c.stdout, stderr.String(), c.stderr)
			}
		})
	}
	t.Run("settings too small for the fleet", func(t *testing.T) {
		output, err := command(t, "check", "--config", validFile, "--policy", largeFleetFile).CombinedOutput()
		const want = "junipershelf: settings: facts.resources.mem_mb: 125 is too little, "
		if processExitCode(t, err) != 0 || !strings.HasPrefix(string(output), want) || !strings.HasSuffix(string(output), "settings and policy are valid\n") {
			t.Errorf("error %v, output %s; want no error, %s", err, output, want)
		}
	})
}

func TestHelpNamesCommandsFlagsAndExitCodes(t *testing.T) {
	for _, c := range []struct {
		arguments []string
		want      []string
	}{
		{[]string{"--help"}, []string{
			"run --config=FILE", "check --config=FILE", "show <addr>", "default-policy", "--help", "--version", "LOG_LEVEL", "Exit codes: 0 ", "1 ", "2 ",
		}},
		{[]string{"run", "--help"}, []string{"--config=FILE", "--policy=FILE"}},
		{[]string{"check", "--help"}, []string{"--config=FILE", "--policy=FILE"}},
		{[]string{"show", "--help"}, []string{"<addr>", "internal_addr"}},
	} {
		output, err := command(t, c.arguments...).Output()
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range c.want {
			if !strings.Contains(string(output), want) {
				t.Errorf("%v: output lacks %q: %s", c.arguments, want, output)
			}
		}
	}
}

// logOfSignalledRun runs a controller until it has logged its start, sends it a signal, and
// returns its log and its exit code.
func logOfSignalledRun(t *testing.T, signal os.Signal) (log string, code int) {
	t.Helper()
	program := command(t, "--config", writeFile(t, "settings.toml", validSettings))
	stderr, err := program.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(stderr)
	started, err := lines.ReadString('\n') // the signal handler is installed before this line is logged
	if err != nil {
		t.Fatal(err)
	}
	if err := program.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	return started + string(rest), processExitCode(t, program.Wait())
}

func TestControllerExitsWith0OnASignal(t *testing.T) {
	for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			log, code := logOfSignalledRun(t, signal)
			if code != 0 {
				t.Errorf("exit code %d, want 0", code)
			}
			for _, want := range []string{
				`level=INFO msg="controller starting" node=a version=0.1.0 objectives=2 teams=1`,
				`level=INFO msg="service-level objective" node=a kind=deadline class=train share=0.9 times=1.5 within_s=0`,
				`level=WARN msg="objectives of an unknown kind are ignored" node=a kind=tidiness`,
				`level=INFO msg="controller stopped" node=a`,
			} {
				if !strings.Contains(log, want) {
					t.Errorf("log lacks %s:\n%s", want, log)
				}
			}
		})
	}
}

func TestControllerFailsWhenItsAddressIsInUse(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	text := strings.Replace(validSettings, `front = "127.0.0.1:0"`, fmt.Sprintf("front = %q", listener.Addr()), 1)
	output, err := command(t, "run", "--config", writeFile(t, "settings.toml", text)).CombinedOutput()
	for _, want := range []string{`level=ERROR msg="controller failed" node=a err="`, "address already in use"} {
		if code := processExitCode(t, err); code != 1 || !strings.Contains(string(output), want) {
			t.Errorf("exit code %d, output %s; want 1, %s", code, output, want)
		}
	}
}
