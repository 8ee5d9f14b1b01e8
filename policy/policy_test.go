package policy_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junipershelf/policy"
)

// loadText loads a policy file with the given text and returns its path as well.
func loadText(t *testing.T, text string) (*policy.Policy, string, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "site.star")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p, err := policy.Load(file)
	return p, file, err
}

func TestFileReplacesDefaultValues(t *testing.T) {
	defaults, err := policy.Load("")
	if err != nil {
		t.Fatal(err)
	}
	p, _, err := loadText(t, "def half(x):\n    return x / 2\n_base = 12\nbuddies = _base\nidle_boots = half(9)\nteam_weights = {\"red\": 3}\n")
	if err != nil {
		t.Fatal(err)
	}
	if p.Buddies != 12 || p.IdleFactor != 4.5 || p.TeamWeights["red"] != 3 || p.LocalWaitS != defaults.LocalWaitS || defaults.Buddies != 10 {
		t.Errorf("%+v", p)
	}
}

func TestErrorsOfInvalidFilesNameFileAndLine(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"syntax error", "x = (\n", "site.star:2:1: got end of file, want primary expression"},
		{"failing expression", "\nbuddies = 1 // 0\n", "site.star:2:13: floored division by zero"},
		{"undefined names", "\nbuddies = one\nspare = two\n", "site.star:2:11: undefined: one"},
		{"failing built-in", "\nbuddies = int(\"x\")\n", "<builtin>: int: invalid literal with base 10: x"},
		{"recursion", "def f():\n    return f()\nbuddies = f()\n", "site.star:2:12: function f called recursively"},
		{"failing method", "buddies = [].pop()\n", "<builtin>: pop: index -1 out of range: empty list"},
		{"key set by a loop", "for buddies in [0]:\n    pass\n", "site.star: buddies: 0 is not between 1 and 1000"},
		{"NaN", "spare = float(\"nan\")\n", "site.star:1: spare: NaN is not between 0 and 100"},
		{"fraction for an integer", "\n\nbuddies = 2.5\n", "site.star:3: buddies: 2.5 is not an integer"},
		{"below the range", "local_wait_s = -1\n", "site.star:1: local_wait_s: -1 is not between 0.1 and 3600"},
		{"above the range", "local_wait_s = 1e9\n", "site.star:1: local_wait_s: 1e+09 is not between 0.1 and 3600"},
		{"unknown key", "buddy = 4\n", "site.star:1: buddy: unknown key"},
		{"string for a number", "idle_boots = \"long\"\n", "site.star:1: idle_boots: got string, want a number"},
		{"weight of 0", "team_weights = {\"red\": 0}\n", `site.star:1: team_weights: got "red": 0, want a team name and a weight above 0 and at most 1e+06`},
		{"weight too large", "team_weights = {\"red\": 1e7}\n", `site.star:1: team_weights: got "red": 1e+07, want a team name and a weight above 0 and at most 1e+06`},
		{"number for a team", "team_weights = {1: 1}\n", "site.star:1: team_weights: got 1: 1, want a team name and a weight above 0 and at most 1e+06"},
		{"list for weights", "team_weights = [1]\n", "site.star:1: team_weights: got list, want a dict"},
		{"endless script", "def f():\n    n = 0\n    for i in range(100000000):\n        n += i\n    return n\nbuddies = f()\n", "site.star:4:11: Starlark computation cancelled: too many steps"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, file, err := loadText(t, c.text)
			if err == nil {
				t.Fatalf("no error, want %q", c.want)
			}
			if got := strings.TrimPrefix(err.Error(), filepath.Dir(file)+"/"); got != c.want {
				t.Errorf("error %q, want %q", got, c.want)
			}
		})
	}
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	_, file, err := loadText(t, "\nbuddies = 0\n")
	var invalid *policy.FileError
	want := policy.FileError{File: file, Line: 2, Key: "buddies", Reason: "0 is not between 1 and 1000"}
	if !errors.As(err, &invalid) || *invalid != want {
		t.Errorf("value out of range: error %#v, want %#v", err, want)
	}
	for _, c := range []struct {
		name, text   string
		line, column int
		reason       string
	}{
		{"evaluation", "\nbuddies = 1 // 0\n", 2, 13, "floored division by zero"},
		{"syntax", "x = (\n", 2, 1, "got end of file, want primary expression"},
		{"undefined name", "\nbuddies = one\n", 2, 11, "undefined: one"},
	} {
		_, file, err := loadText(t, c.text)
		if !errors.As(err, &invalid) || invalid.File != file || invalid.Line != c.line || invalid.Column != c.column || invalid.Key != "" || invalid.Reason != c.reason {
			t.Errorf("%s: error %#v, want line %d, column %d, %s", c.name, err, c.line, c.column, c.reason)
		}
	}
}

func TestMissingFileIsReported(t *testing.T) {
	if _, err := policy.Load(filepath.Join(t.TempDir(), "none.star")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v, want os.ErrNotExist", err)
	}
}
