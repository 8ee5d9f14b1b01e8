package policy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func load(t *testing.T, text string) (*Policy, error) {
	t.Helper()
	f := filepath.Join(t.TempDir(), "site.star")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(f)
}

func TestOwnValuesOverTheDefault(t *testing.T) {
	d, err := Load("")
	if err != nil {
		t.Fatal(err)
	}
	p, err := load(t, "def half(x):\n    return x / 2\n_base = 12\nbuddies = _base\nidle_boots = half(9)\nteam_weights = {\"red\": 3}\n")
	if err != nil {
		t.Fatal(err)
	}
	if p.Buddies != 12 || p.IdleFactor != 4.5 || p.TeamWeights["red"] != 3 || p.LocalWaitS != d.LocalWaitS || d.Buddies != 10 {
		t.Errorf("%+v", p)
	}
}

func TestBrokenScriptsAreRefusedWithFileAndLine(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"x = (\n", "site.star:"},
		{"\nbuddies = 1 // 0\n", "site.star:2"},
		{"\n\nbuddies = 2.5\n", "site.star:3: buddies"},
		{"local_wait_s = -1\n", "site.star:1: local_wait_s"},
		{"buddy = 4\n", "site.star:1: buddy: unknown"},
		{"idle_boots = \"long\"\n", "site.star:1: idle_boots"},
		{"team_weights = {\"red\": 0}\n", "site.star:1: team_weights"},
		{"def f():\n    n = 0\n    for i in range(100000000):\n        n += i\n    return n\nbuddies = f()\n", "site.star:"},
	} {
		if _, err := load(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}
