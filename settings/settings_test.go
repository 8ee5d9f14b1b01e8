package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"junipershelf/settings"
)

const validFile = `
node_name = "a"
domain = "z"
front = "10.0.0.1:8080"
internal_addr = "10.0.0.1:8081"
colour = "unknown fields are ignored"
[[known]]
node_name = "b"
addr = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
nodes = 2
zones = ["z"]
[[facts.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
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

// objective returns an objective, followed by the header [facts.workers], which it replaces in
// the file.
func objective(kind, fields string) string {
	return "[[facts.objectives]]\nkind = \"" + kind + "\"\n" + fields + "\n[facts.workers]"
}

// Objectives of unknown kinds may have any fields, and each kind is listed once.
func TestObjectivesOfUnknownKindsAreIgnoredAndListed(t *testing.T) {
	text := validFile
	for _, o := range []string{
		objective("tidiness", "share = 7.0"), objective("colour", ""), objective("tidiness", "within_s = -1.0"),
		objective("wait", "class = \"q\"\nwithin_s = 5.0"),
	} {
		text = strings.Replace(text, "[facts.workers]", o, 1)
	}
	s, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(s.Facts.UnknownObjectiveKinds(), " "); got != "colour tidiness" {
		t.Errorf("ignored kinds %q, want \"colour tidiness\"", got)
	}
}

func TestValidFileIsParsed(t *testing.T) {
	s, err := settings.Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Facts.Teams[0].CPULimit != 8 || s.Peers[0].Addr != "10.0.0.2:8081" || settings.Seconds(s.Facts.Workers.HeartbeatIntervalS).Milliseconds() != 1500 {
		t.Errorf("wrong values: %+v", s)
	}
}

// replaceOnce returns the valid file with one piece of text replaced, which must occur in it.
func replaceOnce(t *testing.T, old, replacement string) string {
	t.Helper()
	text := strings.Replace(validFile, old, replacement, 1)
	if text == validFile {
		t.Fatalf("%q does not occur in the file, or is the same as %q", old, replacement)
	}
	return text
}

func TestErrorsNameTheInvalidField(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`node_name = "a"`, ``, "node_name: missing"},
		{`front = "10.0.0.1:8080"`, ``, "front: missing"},
		{`front = "10.0.0.1:8080"`, `front = "localhost"`, `front: "localhost" is not an IP address with a port`},
		{`internal_addr = "10.0.0.1:8081"`, `internal_addr = "10.0.0.1"`, `internal_addr: "10.0.0.1" is not an IP address with a port`},
		{`addr = "10.0.0.2:8081"`, ``, "known[0].addr: missing"},
		{`node_name = "b"`, `node_name = "a"`, "known[0].node_name: missing or repeated"},
		{`node_name = "b"`, ``, "known[0].node_name: missing or repeated"},
		{`cloud = "10.2.0.2:8443"`, ``, "outside.cloud: missing"},
		{`state = "10.2.0.1:2379"`, ``, "outside.state: missing"},
		{`report_s = 1.5`, ``, "facts.workers.report_s: missing, not above 0, or above 1e+09"},
		{`lease_s = 10.0`, ``, "facts.workers.lease_s: missing, not above 0, or above 1e+09"},
		{`lease_s = 10.0`, `lease_s = 2.0`, "facts.workers.lease_s: shorter than twice facts.workers.report_s"},
		{`cancel_s = 30.0`, `cancel_s = 2e9`, "facts.workers.cancel_s: missing, not above 0, or above 1e+09"},
		{`rps = 100.0`, `rps = -1.0`, "facts.state.rps: missing, not above 0, or above 1e+09"},
		{`write_rps = 20.0`, ``, "facts.state.write_rps: missing, not above 0, or above 1e+09"},
		{`value_kb = 8.0`, ``, "facts.state.value_kb: missing, not above 0, or above 1e+09"},
		{`txn_ops = 16`, `txn_ops = 0`, "facts.state.txn_ops: missing, not above 0, or above 1e+09"},
		{`txn_ops = 16`, `txn_ops = 1`, "facts.state.txn_ops: below 4"},
		{`rps = 5.0`, ``, "facts.cloud.rps: missing, not above 0, or above 1e+09"},
		{`list_lag_s = 2.0`, `list_lag_s = -1.0`, "facts.cloud.list_lag_s: below 0"},
		{`cpu = 0.3`, ``, "facts.resources.cpu: missing, not above 0, or above 1e+09"},
		{`mem_mb = 125.0`, `mem_mb = nan`, "facts.resources.mem_mb: missing, not above 0, or above 1e+09"},
		{`max_sockets = 1000`, ``, "facts.resources.max_sockets: missing, not above 0, or above 1e+09"},
		{`zones = ["z"]`, `zones = []`, "facts.zones: missing"},
		{"[[facts.teams]]\nname = \"red\"\ncpus = 4.0\ncpus_max = 8.0\n", ``, "facts.teams: missing"},
		{`name = "red"`, ``, "facts.teams[0].name: missing or repeated"},
		{`[[facts.teams]]`, "[[facts.teams]]\nname = \"red\"\n[[facts.teams]]", "facts.teams[1].name: missing or repeated"},
		{`cpus_max = 8.0`, `cpus_max = 2.0`, "facts.teams[0].cpus_max: below the guarantee, or below 0"},
		{`cpus_max = 8.0`, `cpus_max = nan`, "facts.teams[0].cpus_max: below the guarantee, or below 0"},
		{`cpus = 4.0`, `cpus = -4.0`, "facts.teams[0].cpus_max: below the guarantee, or below 0"},
		{`cpus_max = 8.0`, "cpus_max = 8.0\ngpus = 2.0\ngpus_max = 1.0", "facts.teams[0].gpus_max: below the guarantee, or below 0"},
		{`[facts.cloud]`, "[facts.state.next]\nrps = 0.0\n[facts.cloud]", "facts.state.next.rps: missing, not above 0, or above 1e+09"},
		{`[facts.cloud]`, "[facts.state.next]\nvalue_kb = 0.0\n[facts.cloud]", "facts.state.next.value_kb: missing, not above 0, or above 1e+09"},
		{`[facts.cloud]`, "[facts.state.next]\nwrite_rps = -2.0\n[facts.cloud]", "facts.state.next.write_rps: missing, not above 0, or above 1e+09"},
		{`[facts.cloud]`, "[facts.state.next]\ntxn_ops = 1\n[facts.cloud]", "facts.state.next.txn_ops: below 4"},
		{`[facts.workers]`, objective("deadline", "class = \"q\"\nshare = 0.9"), "facts.objectives[0].times: missing, not above 0, or above 1e+09"},
		{`[facts.workers]`, objective("deadline", "class = \"q\"\ntimes = -1.0"), "facts.objectives[0].times: missing, not above 0, or above 1e+09"},
		{`[facts.workers]`, objective("wait", "class = \"q\"\nwithin_s = 0.0"), "facts.objectives[0].within_s: missing, not above 0, or above 1e+09"},
		{`[facts.workers]`, objective("finished", "class = \"q\"\nwithin_s = nan"), "facts.objectives[0].within_s: missing, not above 0, or above 1e+09"},
		{`[facts.workers]`, objective("finished", "within_s = 9.0"), "facts.objectives[0].class: missing"},
		{`[facts.workers]`, objective("guarantee", "within_s = 9.0\nshare = 1.5"), "facts.objectives[0].share: not between 0 and 1"},
		{`[facts.workers]`, objective("guarantee", "within_s = 9.0\nshare = nan"), "facts.objectives[0].share: not between 0 and 1"},
	} {
		t.Run(c.want, func(t *testing.T) {
			if _, err := settings.Parse([]byte(replaceOnce(t, c.old, c.replacement))); err == nil || err.Error() != c.want {
				t.Errorf("%q in place of %q: error %v, want %s", c.replacement, c.old, err, c.want)
			}
		})
	}
}

func TestSyntaxErrorsNameTheLineAndTheField(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`lease_s = 10.0`, `lease_s = "ten"`, "line 22 column 11: field [facts workers lease_s]: toml: cannot decode TOML string into struct field "},
		{`[outside]`, `[outside`, "line 10 column 9: field []: toml: expected ']' to close table name"},
	} {
		t.Run(c.replacement, func(t *testing.T) {
			if _, err := settings.Parse([]byte(replaceOnce(t, c.old, c.replacement))); err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("error %v, want prefix %s", err, c.want)
			}
		})
	}
}

func TestErrorsHaveTheirTypes(t *testing.T) {
	_, err := settings.Parse([]byte(replaceOnce(t, `cpus_max = 8.0`, `cpus_max = 2.0`)))
	var invalid *settings.ValidationError
	if !errors.As(err, &invalid) || invalid.Field != "facts.teams[0].cpus_max" || invalid.Reason != "below the guarantee, or below 0" {
		t.Errorf("invalid field: %#v", err)
	}
	_, err = settings.Parse([]byte(replaceOnce(t, `lease_s = 10.0`, `lease_s = "ten"`)))
	var syntax *settings.SyntaxError
	if !errors.As(err, &syntax) || syntax.Line != 22 || syntax.Column != 11 || !slices.Equal(syntax.Key, []string{"facts", "workers", "lease_s"}) {
		t.Errorf("value of another type: %#v", err)
	}
}

func TestMissingFileIsReported(t *testing.T) {
	if _, err := settings.Load(filepath.Join(t.TempDir(), "none.toml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want os.ErrNotExist", err)
	}
}

// An upcoming limit that is absent or larger has no effect.
func TestEffectiveLimitsAreTheSmallerOfCurrentAndNext(t *testing.T) {
	current := settings.StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16}
	for next, want := range map[string]settings.StoreLimits{
		"": current,
		"[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0": {RPS: 100, WriteRPS: 15, ValueKB: 2, TransactionChanges: 5},
		"[facts.state.next]\nvalue_kb = 64.0\nrps = 50.0\ncolour = 1":       {RPS: 50, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16},
	} {
		s, err := settings.Parse([]byte(strings.Replace(validFile, "[facts.cloud]", next+"\n[facts.cloud]", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Facts.Store.Effective(); got != want {
			t.Errorf("%q: %+v, want %+v", next, got, want)
		}
	}
}
