package peer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
)

// drawSync generates an owner's call with a number.
func drawSync(t *rapid.T, number uint64) Sync {
	call := Sync{View: 7, Index: 1, FleetVersion: number, Update: partition.Update{Sequence: number}}
	for range rapid.IntRange(0, 30).Draw(t, "machines") {
		call.Update.Removed = append(call.Update.Removed, rapid.StringMatching("i-[0-9]{6}").Draw(t, "id"))
	}
	return call
}

// addAll adds parts to a mailbox, and reports whether one of them completed a message.
func addAll(t *rapid.T, mailbox *Mailbox, parts []MessagePart, maxBytes int) (complete bool) {
	t.Helper()
	for _, part := range parts {
		if len(part.Text)+partOverheadBytes > maxBytes {
			t.Fatalf("text of %d bytes is too long for a value of %d bytes", len(part.Text), maxBytes)
		}
		complete = mailbox.Add(part) || complete
	}
	return complete
}

// A message arrives complete regardless of the order in which its parts are read, even if late
// parts of earlier calls are among them. Each part fits a value in JSON, in which the limit on
// values is counted.
func TestMessagesArriveCompleteInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.IntRange(partOverheadBytes+1, 4000).Draw(t, "maxBytes")
		var mailbox Mailbox
		var earlier []MessagePart
		for number := uint64(1); number <= 4; number++ {
			sent := drawSync(t, number)
			parts, err := SplitMessage(sent, 7, 1, number, maxBytes)
			if err != nil {
				t.Fatal(err)
			}
			complete := addAll(t, &mailbox, rapid.Permutation(append(earlier, parts...)).Draw(t, "order"), maxBytes)
			var received Sync
			if err := mailbox.Decode(&received); !complete || err != nil {
				t.Fatalf("call %d: complete %v, %v", number, complete, err)
			}
			if diff := cmp.Diff(sent, received, cmp.AllowUnexported(Sync{}, partition.Update{})); diff != "" {
				t.Fatal(diff)
			}
			earlier = parts
		}
	})
}

func TestMalformedPartsAreDropped(t *testing.T) {
	for _, test := range []struct {
		name string
		part MessagePart
	}{
		{"number of parts is 0", MessagePart{View: 7, Call: 1, Part: 0, Parts: 0, Text: "a"}},
		{"negative part number", MessagePart{View: 7, Call: 1, Part: -1, Parts: 1, Text: "a"}},
		{"part number past the last part", MessagePart{View: 7, Call: 1, Part: 1, Parts: 1, Text: "a"}},
		{"more parts than a mailbox holds", MessagePart{View: 7, Call: 1, Part: 0, Parts: maxParts + 1, Text: "a"}},
		{"earlier view", MessagePart{View: 6, Call: 9, Part: 0, Parts: 1, Text: "a"}},
		{"earlier call", MessagePart{View: 7, Call: 0, Part: 0, Parts: 1, Text: "a"}},
	} {
		mailbox := Mailbox{view: 7, call: 1}
		if mailbox.Add(test.part) || len(mailbox.parts) > 0 {
			t.Errorf("%s: the part was not dropped", test.name)
		}
	}
}

func TestMessageTooLargeForAMailbox(t *testing.T) {
	call := Sync{View: 7, Update: partition.Update{Removed: []string{"i-000001"}}}
	if _, err := SplitMessage(call, 7, 1, 1, partOverheadBytes); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("values too small for any text: error %v", err)
	}
	call.Update.Removed = []string{strings.Repeat("x", maxMessageBytes)}
	if _, err := SplitMessage(call, 7, 1, 1, 8<<10); !errors.Is(err, ErrMessageTooLarge) {
		t.Errorf("message of more than %d bytes: error %v", maxMessageBytes, err)
	}
}

// An owner's first call in a view is a full update. For a third of 1,800 machines, each with
// eight tasks of four jobs, it must fit a mailbox.
func TestFirstUpdateOfALargeFleetFitsAMailbox(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	call := Sync{View: 9, Index: 2, Update: partition.Update{Sequence: 1, Version: 1}}
	for i := range 600 {
		s := partition.MachineState{ID: fmt.Sprintf("i-%06d", 3*i), MachineType: "octa-box", Zone: "ruwi-rack", Spot: true, Free: job.Resources{MemoryGB: 12.3}, Usable: true, Reported: true, IdleS: -1}
		for range 4 {
			s.Images = append(s.Images, fmt.Sprintf("img-%02d", rng.IntN(24)))
			var r job.Ranges
			r.Add(rng.IntN(400))
			r.Add(rng.IntN(400))
			s.Held = append(s.Held, partition.HeldTasks{Job: fmt.Sprintf("wk-%06d", rng.IntN(400)), Team: "routing", Resources: job.Resources{CPUs: 1, MemoryGB: 5.9}, Tasks: r, Phase: partition.PhaseRunning, PhaseS: rng.Float64() * 40})
		}
		call.Update.Machines = append(call.Update.Machines, s)
	}
	parts, err := SplitMessage(call, 9, 2, 1, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	if len(parts) > 16 {
		t.Errorf("%d parts, want at most 16", len(parts))
	}
	t.Logf("%d parts, %d bytes in the last", len(parts), len(parts[len(parts)-1].Text))
}
