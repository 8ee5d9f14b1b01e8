package job_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"junipershelf/job"
)

// maxTestNumber is the largest number that the tests add. It is small so that spans often join.
const maxTestNumber = 60

// numberSet is the reference model that ranges are compared with.
type numberSet map[int]bool

// sorted returns the numbers in ascending order.
func (s numberSet) sorted() []int {
	var numbers []int
	for number := range maxTestNumber + 1 {
		if s[number] {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// spans returns the number of runs of consecutive numbers in the set.
func (s numberSet) spans() int {
	spans := 0
	for number := range s {
		if !s[number-1] {
			spans++
		}
	}
	return spans
}

// requireEqual fails the test unless the ranges hold exactly the model's numbers.
func requireEqual(t *rapid.T, source string, r job.Ranges, model numberSet) {
	t.Helper()
	for number := range maxTestNumber + 2 {
		if r.Has(number) != model[number] {
			t.Fatalf("%s: Has(%d) is %v, model %v in %q", source, number, r.Has(number), model[number], r)
		}
	}
	if r.Len() != len(model) || r.Spans() != model.spans() {
		t.Fatalf("%s: %q: %d numbers in %d spans, model %d in %d", source, r, r.Len(), r.Spans(), len(model), model.spans())
	}
	if diff := cmp.Diff(model.sorted(), slices.Collect(r.All())); diff != "" {
		t.Fatalf("%s: All: %s", source, diff)
	}
}

func TestRangesBehaveAsASet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var added job.Ranges
		model := numberSet{}
		numbers := rapid.SliceOfN(rapid.IntRange(0, maxTestNumber), 0, 80).Draw(t, "adds")
		for _, number := range numbers {
			before, text := added, added.String()
			added.Add(number)
			model[number] = true
			if before.String() != text {
				t.Fatal("Add changed an earlier copy")
			}
		}
		requireEqual(t, "added one by one", added, model)

		parsed, err := job.ParseRanges(added.String())
		if err != nil {
			t.Fatal(err)
		}
		requireEqual(t, "parsed", parsed, model)

		half := len(numbers) / 2
		merged, rest := job.RangesOf(numbers[:half]), job.RangesOf(numbers[half:])
		copyOfFirst, textOfFirst, textOfRest := merged, merged.String(), rest.String()
		merged.Merge(rest)
		requireEqual(t, "merged", merged, model)
		if merged.String() != added.String() {
			t.Fatalf("got %q by merging, %q by adding", merged, added)
		}
		if copyOfFirst.String() != textOfFirst || rest.String() != textOfRest {
			t.Fatal("Merge changed a copy or the other set")
		}
	})
}

func TestRangesString(t *testing.T) {
	for _, test := range []struct {
		numbers []int
		want    string
	}{
		{nil, ""},
		{[]int{7}, "7"},
		{[]int{2, 0, 1}, "0-2"},
		{[]int{4, 7, 3, 9, 8, 0}, "0,3-4,7-9"},
	} {
		if got := job.RangesOf(test.numbers).String(); got != test.want {
			t.Errorf("%v: %q, want %q", test.numbers, got, test.want)
		}
	}
}

func TestRangesAreEncodedAsText(t *testing.T) {
	sent := job.RangesOf([]int{0, 1, 2, 7})
	raw, err := msgpack.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var text string
	if err := msgpack.Unmarshal(raw, &text); err != nil || text != "0-2,7" {
		t.Errorf("encoded as %q with error %v, want \"0-2,7\"", text, err)
	}
	var received job.Ranges
	if err := msgpack.Unmarshal(raw, &received); err != nil || received.String() != sent.String() {
		t.Errorf("received %q with error %v, want %q", received, err, sent)
	}
}

func TestMalformedRangesAreRejected(t *testing.T) {
	for _, text := range []string{"x", "3-1", "1,1", "5,2", "-3", "1-", ","} {
		_, err := job.ParseRanges(text)
		var malformed *job.RangesError
		if !errors.As(err, &malformed) || malformed.Text != text {
			t.Errorf("parsing %q: got error %v, want a RangesError", text, err)
		}
		raw, err := msgpack.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		var received job.Ranges
		if err := msgpack.Unmarshal(raw, &received); !errors.As(err, &malformed) {
			t.Errorf("decoding %q from a message: got error %v, want a RangesError", text, err)
		}
	}
}
