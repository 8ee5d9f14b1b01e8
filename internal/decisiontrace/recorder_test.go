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

// recorder records the decisions of a history, as lines per step.
type recorder struct {
	steps [][]string
}

// beginStep starts a new step.
func (r *recorder) beginStep() { r.steps = append(r.steps, nil) }

// addText adds a line for a decision that is neither sent nor stored.
func (r *recorder) addText(format string, values ...any) {
	last := len(r.steps) - 1
	r.steps[last] = append(r.steps[last], fmt.Sprintf(format, values...))
}

// addCBOR adds a line for a body that is sent or stored as CBOR.
func (r *recorder) addCBOR(what string, body any) { r.addText("%s %s", what, renderCBOR(body)) }

// addMsgpack adds a line for a message between controllers, which is sent as MessagePack.
func (r *recorder) addMsgpack(what string, message any) {
	r.addText("%s %s", what, renderMsgpack(message))
}

// sortedCBOR encodes maps with sorted keys, since the order of a map's keys has no meaning.
var sortedCBOR = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())

// renderCBOR encodes a body as it is sent and renders it in CBOR's diagnostic notation, so that a
// line shows the keys on the wire instead of names of Go fields.
func renderCBOR(body any) string {
	var plain any
	check(cbor.Unmarshal(must(protocol.Marshal(body)), &plain))
	return must(cbor.Diagnose(must(sortedCBOR.Marshal(plain))))
}

// renderMsgpack encodes a message as package peer does and renders it as JSON with sorted keys.
func renderMsgpack(message any) string {
	var plain any
	check(msgpack.Unmarshal(must(msgpack.Marshal(message)), &plain))
	return string(must(json.Marshal(plain)))
}

// msgpackRoundTrip returns a message as its receiver decodes it.
func msgpackRoundTrip[T any](message T) (received T) {
	check(msgpack.Unmarshal(must(msgpack.Marshal(message)), &received))
	return received
}

// placementKey identifies a placement.
type placementKey struct {
	task    string
	attempt uint64
}

// text returns a decoded value that must be a text string.
func text(value any) string {
	s, ok := value.(string)
	if !ok {
		panic(fmt.Sprintf("decoded %T %v, expected a text string", value, value))
	}
	return s
}

// readPlacements adds the placements in a stored shard to into. It decodes the stored keys and
// does not depend on package partition.
func readPlacements(data []byte, into map[placementKey]bool) {
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

// sortUnplaced sorts the commands for tasks without a placement, which come first. The owner keeps
// these tasks in a map, so that their order within a verb is random. The order of the verbs and of
// the other commands is kept.
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
			return 0 // the order of the verbs is a decision of the owner
		}
		return strings.Compare(a.Task, b.Task)
	})
}

func must[T any](value T, err error) T {
	check(err)
	return value
}

// check panics on an error, which is a fault of the test harness or a record that cannot be
// decoded.
func check(err error) {
	if err != nil {
		panic(err)
	}
}
