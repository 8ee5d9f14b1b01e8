package decisiontrace

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/job"
	"junipershelf/protocol"
)

// recorder writes down the decisions of one history, step by step.
type recorder struct {
	steps [][]string
}

// beginStep starts the lines of a new step.
func (r *recorder) beginStep() { r.steps = append(r.steps, nil) }

// words adds a line for a decision that has no wire form.
func (r *recorder) words(format string, values ...any) {
	last := len(r.steps) - 1
	r.steps[last] = append(r.steps[last], fmt.Sprintf(format, values...))
}

// stored adds a line for a body that goes out in CBOR.
func (r *recorder) stored(what string, body any) { r.words("%s %s", what, renderCBOR(body)) }

// sent adds a line for a message between controllers.
func (r *recorder) sent(what string, message any) { r.words("%s %s", what, renderMsgpack(message)) }

// sortedCBOR writes maps with sorted keys: the order of a map's keys says nothing.
var sortedCBOR = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())

// renderCBOR encodes a body as it goes out and renders it in CBOR's diagnostic notation, so
// that a line shows the wire's keys and no name of a Go field.
func renderCBOR(body any) string {
	var plain any
	check(cbor.Unmarshal(must(protocol.Marshal(body)), &plain))
	return must(cbor.Diagnose(must(sortedCBOR.Marshal(plain))))
}

// renderMsgpack encodes a message as package peer sends it and renders it as JSON, which
// sorts the keys of maps.
func renderMsgpack(message any) string {
	var plain any
	check(msgpack.Unmarshal(must(msgpack.Marshal(message)), &plain))
	return string(must(json.Marshal(plain)))
}

// throughMsgpack returns the copy of a message that its receiver has.
func throughMsgpack[T any](message T) (received T) {
	check(msgpack.Unmarshal(must(msgpack.Marshal(message)), &received))
	return received
}

// placementKey names a placement: a task and its attempt.
type placementKey struct {
	task    string
	attempt uint64
}

// text is a decoded value that is a text string in every record.
func text(value any) string {
	s, ok := value.(string)
	if !ok {
		panic(fmt.Sprintf("%v is no text string", value))
	}
	return s
}

// storedPlacements reads the placements of a record by its stored keys.
func storedPlacements(data []byte, into map[placementKey]bool) {
	var record struct {
		Jobs     []([]any) `cbor:"j"`
		Base     uint64    `cbor:"b"`
		Attempts []uint64  `cbor:"t"`
		Machines []([]any) `cbor:"m"`
	}
	check(cbor.Unmarshal(data, &record))
	for _, machine := range record.Machines {
		runs := text(machine[len(machine)-1])
		for run := range strings.SplitSeq(runs, ";") {
			head, tasks, _ := strings.Cut(run, ":")
			head, _, _ = strings.Cut(head, "@")
			jobIndex, attemptIndex, _ := strings.Cut(head, ".")
			uid := text(record.Jobs[must(strconv.Atoi(jobIndex))][0])
			attempt := record.Base + record.Attempts[must(strconv.Atoi(attemptIndex))]
			for index := range must(job.ParseRanges(tasks)).All() {
				into[placementKey{protocol.TaskName(uid, index), attempt}] = true
			}
		}
	}
}

// sortUnplaced puts those commands into a fixed order that concern tasks without a placement.
// The owner keeps these tasks in a map, so they come in any order, though before all others
// of the same verb. The order of the other commands stays as it is.
func sortUnplaced(commands []protocol.Command, placed map[placementKey]bool) {
	end := slices.IndexFunc(commands, func(c protocol.Command) bool {
		return c.Kind == protocol.CommandStart || placed[placementKey{c.Task, c.Attempt}]
	})
	if end < 0 {
		end = len(commands)
	}
	unplaced := commands[:end]
	slices.SortStableFunc(unplaced, func(a, b protocol.Command) int {
		if a.Kind != b.Kind {
			return 0 // the order of the verbs is a decision
		}
		return strings.Compare(a.Task, b.Task)
	})
}

func must[T any](value T, err error) T {
	check(err)
	return value
}

// check ends a history that cannot go on: an error here is a fault of the harness or a
// record that cannot be read.
func check(err error) {
	if err != nil {
		panic(err)
	}
}
