package job

import (
	"fmt"
	"iter"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Ranges is a set of task numbers, stored as spans of consecutive numbers. The zero value is the
// empty set. Copies of a set share its spans, so no exported method modifies existing spans.
type Ranges struct {
	spans []span // sorted, with at least one missing number between any two
	count int    // number of task numbers in the set
}

// span is the range of numbers from first to last, both included.
type span struct{ first, last int }

func (s span) len() int { return s.last - s.first + 1 }

// RangesError reports a text that is not a valid set of task numbers.
type RangesError struct{ Text string }

// Error quotes the malformed text.
func (e *RangesError) Error() string {
	return fmt.Sprintf("malformed task ranges %q, want sorted numbers and spans such as \"0-4,7\"", e.Text)
}

// RangesOf returns the set of the given numbers, which may be in any order.
func RangesOf(numbers []int) Ranges {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	var r Ranges
	for _, number := range sorted {
		r.extend(span{number, number})
	}
	return r
}

// extend adds a span that begins no earlier than the last one. It modifies the set's spans, so it may
// be used only on a set that has not been copied.
func (r *Ranges) extend(s span) {
	if len(r.spans) == 0 || s.first > r.spans[len(r.spans)-1].last+1 {
		r.spans = append(r.spans, s)
		r.count += s.len()
		return
	}
	if last := &r.spans[len(r.spans)-1]; s.last > last.last {
		r.count += s.last - last.last
		last.last = s.last
	}
}

// ParseRanges parses the format of String, such as "0-4,7". The error is a *RangesError.
func ParseRanges(text string) (Ranges, error) {
	var r Ranges
	if text == "" {
		return r, nil
	}
	last := -1
	for part := range strings.SplitSeq(text, ",") {
		s, err := parseSpan(part)
		if err != nil || s.first <= last || s.last < s.first {
			return Ranges{}, &RangesError{Text: text}
		}
		last = s.last
		r.spans = append(r.spans, s)
		r.count += s.len()
	}
	return r, nil
}

// parseSpan parses "4" or "4-7".
func parseSpan(text string) (span, error) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	first, err := strconv.Atoi(firstText)
	if err != nil || !isRange {
		return span{first, first}, err
	}
	last, err := strconv.Atoi(lastText)
	return span{first, last}, err
}

// String returns the set as sorted numbers and spans, such as "0-4,7". This is its format in records
// and messages.
func (r Ranges) String() string {
	var b strings.Builder
	for i, s := range r.spans {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(s.first))
		if s.last > s.first {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(s.last))
		}
	}
	return b.String()
}

// EncodeMsgpack encodes the set as the text that String returns.
func (r Ranges) EncodeMsgpack(e *msgpack.Encoder) error { return e.EncodeString(r.String()) }

// DecodeMsgpack decodes the text that String returns.
func (r *Ranges) DecodeMsgpack(d *msgpack.Decoder) error {
	text, err := d.DecodeString()
	if err != nil {
		return err
	}
	*r, err = ParseRanges(text)
	return err
}

// search returns the index of the first span that ends at or after a number, or len(r.spans) if there
// is none.
func (r Ranges) search(number int) int {
	return sort.Search(len(r.spans), func(i int) bool { return r.spans[i].last >= number })
}

// Has reports whether a number is in the set.
func (r Ranges) Has(number int) bool {
	i := r.search(number)
	return i < len(r.spans) && r.spans[i].first <= number
}

// Add adds a number. Copies of the set do not change.
func (r *Ranges) Add(number int) {
	next := r.search(number)
	if next < len(r.spans) && r.spans[next].first <= number {
		return
	}
	added := span{number, number}
	before, after := r.spans[:next], r.spans[next:]
	if len(before) > 0 && before[len(before)-1].last == number-1 {
		added.first = before[len(before)-1].first
		before = before[:len(before)-1]
	}
	if len(after) > 0 && after[0].first == number+1 {
		added.last = after[0].last
		after = after[1:]
	}
	spans := make([]span, 0, len(r.spans)+1)
	spans = append(spans, before...)
	spans = append(spans, added)
	spans = append(spans, after...)
	r.spans = spans
	r.count++
}

// All iterates over the numbers of the set in ascending order.
func (r Ranges) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, s := range r.spans {
			for number := s.first; number <= s.last; number++ {
				if !yield(number) {
					return
				}
			}
		}
	}
}

// Merge adds all numbers of another set. Copies of both sets do not change.
func (r *Ranges) Merge(other Ranges) {
	if len(other.spans) == 0 {
		return
	}
	merged := Ranges{spans: make([]span, 0, len(r.spans)+len(other.spans))}
	ownSpans, otherSpans := r.spans, other.spans
	for len(ownSpans)+len(otherSpans) > 0 {
		if len(otherSpans) == 0 || len(ownSpans) > 0 && ownSpans[0].first <= otherSpans[0].first {
			merged.extend(ownSpans[0])
			ownSpans = ownSpans[1:]
		} else {
			merged.extend(otherSpans[0])
			otherSpans = otherSpans[1:]
		}
	}
	*r = merged
}

// Len returns the number of task numbers in the set.
func (r Ranges) Len() int { return r.count }

// Spans returns the number of spans in the set, which is the number of parts that String lists.
func (r Ranges) Spans() int { return len(r.spans) }
