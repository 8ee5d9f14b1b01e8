package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const good = `
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

// objective is one more objective before the workers' times.
func objective(kind, fields string) string {
	return "[[facts.objectives]]\nkind = \"" + kind + "\"\n" + fields + "\n[facts.workers]"
}

// Objectives of unknown kinds are taken whatever they hold, and named once each.
func TestUnknownObjectives(t *testing.T) {
	text := good
	for _, o := range []string{
		objective("tidiness", "share = 7.0"), objective("colour", ""), objective("tidiness", "within_s = -1.0"),
		objective("wait", "class = \"q\"\nwithin_s = 5.0"),
	} {
		text = strings.Replace(text, "[facts.workers]", o, 1)
	}
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(s.Facts.UnknownObjectives(), " "); got != "colour tidiness" {
		t.Errorf("ignored: %q", got)
	}
}

func TestGoodFile(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if s.Facts.Teams[0].CPULimit != 8 || s.Peers[0].Addr != "10.0.0.2:8081" || Seconds(s.Facts.Workers.HeartbeatIntervalS).Milliseconds() != 1500 {
		t.Errorf("read wrongly: %+v", s)
	}
}

func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`node_name = "a"`, ``, "node_name"},
		{`front = "10.0.0.1:8080"`, `front = "localhost"`, "front"},
		{`addr = "10.0.0.2:8081"`, ``, "known[0].addr"},
		{`node_name = "b"`, `node_name = "a"`, "known[0].node_name"},
		{`state = "10.2.0.1:2379"`, ``, "outside.state"},
		{`lease_s = 10.0`, ``, "facts.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = 2.0`, "facts.workers.lease_s"},
		{`lease_s = 10.0`, `lease_s = "ten"`, "lease_s"},
		{`rps = 100.0`, `rps = -1.0`, "facts.state.rps"},
		{`txn_ops = 16`, `txn_ops = 1`, "facts.state.txn_ops"},
		{`cpus_max = 8.0`, `cpus_max = 2.0`, "facts.teams[0].cpus_max"},
		{`mem_mb = 125.0`, `mem_mb = nan`, "facts.resources.mem_mb"},
		{`zones = ["z"]`, `zones = []`, "facts.zones"},
		{`[facts.cloud]`, "[facts.state.next]\nvalue_kb = 0.0\n[facts.cloud]", "facts.state.next.value_kb"},
		{`[facts.cloud]`, "[facts.state.next]\nwrite_rps = -2.0\n[facts.cloud]", "facts.state.next.write_rps"},
		{`[facts.cloud]`, "[facts.state.next]\ntxn_ops = 1\n[facts.cloud]", "facts.state.next.txn_ops"},
		{`[facts.workers]`, objective("deadline", "class = \"q\"\nshare = 0.9"), "facts.objectives[0].times"},
		{`[facts.workers]`, objective("deadline", "class = \"q\"\ntimes = -1.0"), "facts.objectives[0].times"},
		{`[facts.workers]`, objective("wait", "class = \"q\"\nwithin_s = 0.0"), "facts.objectives[0].within_s"},
		{`[facts.workers]`, objective("finished", "class = \"q\"\nwithin_s = nan"), "facts.objectives[0].within_s"},
		{`[facts.workers]`, objective("finished", "within_s = 9.0"), "facts.objectives[0].class"},
		{`[facts.workers]`, objective("guarantee", "within_s = 9.0\nshare = 1.5"), "facts.objectives[0].share"},
		{`[facts.workers]`, objective("guarantee", "within_s = 9.0\nshare = nan"), "facts.objectives[0].share"},
		{`[outside]`, `[outside`, "line"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%q is not in the file", c.old)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: error %v does not name %s", c.new, c.old, err, c.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); !os.IsNotExist(err) {
		t.Errorf("missing file: %v", err)
	}
}

// What is kept to is the smaller of each limit, now and to come; what is absent or larger
// changes nothing.
func TestLeastOfTheLimits(t *testing.T) {
	now := StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16}
	for next, want := range map[string]StoreLimits{
		"": now,
		"[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 15.0": {RPS: 100, WriteRPS: 15, ValueKB: 2, TransactionChanges: 5},
		"[facts.state.next]\nvalue_kb = 64.0\nrps = 50.0\ncolour = 1":       {RPS: 50, WriteRPS: 20, ValueKB: 8, TransactionChanges: 16},
	} {
		s, err := Parse([]byte(strings.Replace(good, "[facts.cloud]", next+"\n[facts.cloud]", 1)))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Facts.Store.Effective(); got != want {
			t.Errorf("%q: %+v", next, got)
		}
	}
}
