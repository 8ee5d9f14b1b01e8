package job

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRangesAgainstASet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ranges
		model := map[int]bool{}
		adds := rapid.SliceOfN(rapid.IntRange(0, 60), 0, 80).Draw(t, "adds")
		for _, i := range adds {
			before, s := r, r.String()
			r.Add(i)
			model[i] = true
			if before.String() != s {
				t.Fatal("an earlier copy has changed")
			}
		}
		back, err := ParseRanges(r.String())
		if err != nil {
			t.Fatal(err)
		}
		spans, last := 0, -2
		for i := range 62 {
			if r.Has(i) != model[i] || back.Has(i) != model[i] {
				t.Fatalf("%d: %v, %v, model %v in %q", i, r.Has(i), back.Has(i), model[i], r)
			}
			if model[i] {
				if i > last+1 {
					spans++
				}
				last = i
			}
		}
		half := len(adds) / 2
		merged, rest := RangesOf(adds[:half]), RangesOf(adds[half:])
		merged.Merge(rest)
		if merged.String() != r.String() || merged.Len() != r.Len() || back.Len() != r.Len() {
			t.Fatalf("%q of %d numbers merged, %q of %d added, %d read", merged, merged.Len(), r, r.Len(), back.Len())
		}
		if r.Len() != len(model) || r.Spans() != spans {
			t.Fatalf("%q: %d numbers in %d spans, model %d in %d", r, r.Len(), r.Spans(), len(model), spans)
		}
	})
}

func TestBadRangesAreRefused(t *testing.T) {
	for _, s := range []string{"x", "3-1", "1,1", "5,2", "-3", "1-", ","} {
		if _, err := ParseRanges(s); err == nil {
			t.Errorf("%q was taken", s)
		}
	}
}

// A late copy of a record must not bring a job back to life, nor an older one
// replace a newer.
func TestMirrorNeverGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	m := NewCache(map[string]int{"red": 0})
	rec := Record{SubmittedMS: 1}
	rec.Spec.UID, rec.Spec.Team, rec.Spec.Priority = "wk-1", "red", "normal"
	newer := rec
	newer.Done = "0-3"
	if err := m.Set("wk-1", newer, 9, now); err != nil {
		t.Fatal(err)
	}
	if err := m.Set("wk-1", rec, 7, now); err != nil {
		t.Fatal(err)
	}
	if got := m.Get("wk-1").Finished.Len(); got != 4 {
		t.Errorf("an older record took the place of a newer one: %d finished", got)
	}
	m.Remove("wk-1", now)
	if err := m.Set("wk-1", newer, 9, now); err != nil {
		t.Fatal(err)
	}
	if m.Get("wk-1") != nil {
		t.Error("an ended job lives again")
	}
}
