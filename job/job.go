// Package job holds job records and the ranges of their finished tasks.
package job

import (
	"cmp"
	"fmt"
	"iter"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/protocol"
)

// Task names a task inside the service.
type Task struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

func (t Task) String() string { return protocol.TaskName(t.Job, t.Index) }

// Compare orders tasks by job and number.
func (t Task) Compare(u Task) int {
	return cmp.Or(strings.Compare(t.Job, u.Job), cmp.Compare(t.Index, u.Index))
}

// Record is a live job in the state service.
type Record struct {
	Spec protocol.JobSpec `cbor:"spec"`
	// SubmittedMS is the time of day of the submission in milliseconds.
	SubmittedMS int64  `cbor:"at"`
	Done        string `cbor:"done"`
}

// TerminalState is a job that is over.
type TerminalState struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"`
}

// Check tells whether a record that stands under a job's key is that job's.
func (r *Record) Check(uid string) error {
	if r.Spec.UID != uid {
		return fmt.Errorf("the job's id is %q", r.Spec.UID)
	}
	_, err := ParseRanges(r.Done)
	return err
}

// Check tells whether a final state is one.
func (e *TerminalState) Check() error {
	if e.Status != StatusDone && e.Status != StatusCancelled {
		return fmt.Errorf("the final state is %q", e.Status)
	}
	return nil
}

// Decode reads a live job's record and checks it; Key names it in the error.
func Decode(uid string, data []byte) (rec Record, err error) {
	if err = protocol.DecodeRecord(Key(uid), data, &rec); err != nil {
		return rec, err
	}
	if err = rec.Check(uid); err != nil {
		return rec, &protocol.DecodeError{Source: Key(uid), Err: err}
	}
	return rec, nil
}

// DecodeTerminalState reads the record of a job that is over and checks it.
func DecodeTerminalState(uid string, data []byte) (e TerminalState, err error) {
	if err = protocol.DecodeRecord(TerminalKey(uid), data, &e); err != nil {
		return e, err
	}
	if err = e.Check(); err != nil {
		return e, &protocol.DecodeError{Source: TerminalKey(uid), Err: err}
	}
	return e, nil
}

// The states that a job has for its users; the last two are final.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "cancelled"
)

// Key and EndedKey are where a job stands while it lives and afterwards. A job
// moves from the one to the other and never back, so a reader that asks for
// Key first misses nothing.
func Key(uid string) string         { return "jobs/" + uid }
func TerminalKey(uid string) string { return "ended/" + uid }

// Ranges is a set of task numbers, kept as sorted [from, to] pairs.
type Ranges struct {
	spans [][2]int
	count int // of the numbers
}

// RangesOf makes the set of some numbers, in whatever order.
func RangesOf(numbers []int) (r Ranges) {
	sorted := slices.Clone(numbers)
	slices.Sort(sorted)
	for _, i := range sorted {
		r.append(i, i)
	}
	return r
}

// append adds a range that begins at or behind the beginning of the last one.
func (r *Ranges) append(from, to int) {
	last := len(r.spans) - 1
	if last < 0 || from > r.spans[last][1]+1 {
		r.spans = append(r.spans, [2]int{from, to})
		r.count += to - from + 1
	} else if to > r.spans[last][1] {
		r.count += to - r.spans[last][1]
		r.spans[last][1] = to
	}
}

// ParseRanges reads the form that String writes, such as "0-4,7".
func ParseRanges(s string) (Ranges, error) {
	var r Ranges
	if s == "" {
		return r, nil
	}
	last := -1
	for part := range strings.SplitSeq(s, ",") {
		a, b, two := strings.Cut(part, "-")
		from, err := strconv.Atoi(a)
		to := from
		if err == nil && two {
			to, err = strconv.Atoi(b)
		}
		if err != nil || from <= last || to < from {
			return Ranges{}, fmt.Errorf("ranges: %q", s)
		}
		last = to
		r.spans = append(r.spans, [2]int{from, to})
		r.count += to - from + 1
	}
	return r, nil
}

func (r Ranges) String() string {
	var b strings.Builder
	for i, s := range r.spans {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Itoa(s[0]))
		if s[1] > s[0] {
			b.WriteByte('-')
			b.WriteString(strconv.Itoa(s[1]))
		}
	}
	return b.String()
}

// EncodeMsgpack and DecodeMsgpack write the set in the form of String.
func (r Ranges) EncodeMsgpack(e *msgpack.Encoder) error { return e.EncodeString(r.String()) }

// DecodeMsgpack reads it back.
func (r *Ranges) DecodeMsgpack(d *msgpack.Decoder) error {
	s, err := d.DecodeString()
	if err == nil {
		*r, err = ParseRanges(s)
	}
	return err
}

// Has tells whether a number is in the set.
func (r Ranges) Has(i int) bool {
	k := sort.Search(len(r.spans), func(k int) bool { return r.spans[k][1] >= i })
	return k < len(r.spans) && r.spans[k][0] <= i
}

// Add puts a number in and leaves other copies of the set as they are.
func (r *Ranges) Add(i int) {
	if r.Has(i) {
		return
	}
	k := sort.Search(len(r.spans), func(k int) bool { return r.spans[k][1] >= i })
	out := make([][2]int, 0, len(r.spans)+1)
	out = append(out, r.spans[:k]...)
	out = append(out, [2]int{i, i})
	out = append(out, r.spans[k:]...)
	for k := max(k-1, 0); k+1 < len(out) && k < i+2; {
		if out[k][1]+1 >= out[k+1][0] {
			out[k][1] = max(out[k][1], out[k+1][1])
			out = append(out[:k+1], out[k+2:]...)
			continue
		}
		if out[k][0] > i {
			break
		}
		k++
	}
	r.spans = out
	r.count++
}

// All gives the numbers of the set in order.
func (r Ranges) All() iter.Seq[int] {
	return func(yield func(int) bool) {
		for _, s := range r.spans {
			for i := s[0]; i <= s[1]; i++ {
				if !yield(i) {
					return
				}
			}
		}
	}
}

// Merge adds all of another set.
func (r *Ranges) Merge(o Ranges) {
	if len(o.spans) == 0 {
		return
	}
	merged := Ranges{spans: make([][2]int, 0, len(r.spans)+len(o.spans))}
	mine, others := r.spans, o.spans
	for len(mine)+len(others) > 0 {
		if len(others) == 0 || len(mine) > 0 && mine[0][0] <= others[0][0] {
			merged.append(mine[0][0], mine[0][1])
			mine = mine[1:]
		} else {
			merged.append(others[0][0], others[0][1])
			others = others[1:]
		}
	}
	*r = merged
}

// Len counts the numbers in the set.
func (r Ranges) Len() int { return r.count }

// Spans counts the ranges that the set falls into.
func (r Ranges) Spans() int { return len(r.spans) }
