package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
)

// What messages carry arrives whole, in whatever order they are read, with late ones
// of older calls between them; each fits a value, in the form that limits count.
func TestLetters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(partOverhead+1, 4000).Draw(t, "most")
		var mail Mailbox
		var old []MessagePart
		for n := uint64(1); n <= 4; n++ {
			q := Sync{View: 7, Index: 1, FleetVersion: n, Update: partition.Update{Sequence: n}}
			for range rapid.IntRange(0, 30).Draw(t, "machines") {
				q.Update.Removed = append(q.Update.Removed, rapid.StringMatching("i-[0-9]{6}").Draw(t, "id"))
			}
			letters, err := SplitMessage(q, 7, 1, n, most)
			if err != nil {
				t.Fatal(err)
			}
			whole := false
			for _, l := range rapid.Permutation(append(old, letters...)).Draw(t, "order") {
				if len(l.Text)+partOverhead > most {
					t.Fatalf("a letter of %d bytes in a value of %d", len(l.Text), most)
				}
				whole = mail.Add(l) || whole
			}
			var got Sync
			if err := mail.Decode(&got); !whole || err != nil {
				t.Fatalf("call %d: whole %v, %v", n, whole, err)
			}
			if diff := cmp.Diff(q, got, cmp.AllowUnexported(Sync{}, partition.Update{})); diff != "" {
				t.Fatal(diff)
			}
			old = letters
		}
	})
}

// An owner's first call in a view is whole: that of a third of 1,800 machines, each with
// eight tasks of four jobs, must go through a mailbox as well.
func TestWholeDigestFitsLetters(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := Sync{View: 9, Index: 2, Update: partition.Update{Sequence: 1, Version: 1}}
	for i := range 600 {
		s := partition.MachineState{ID: fmt.Sprintf("i-%06d", 3*i), MachineType: "octa-box", Zone: "ruwi-rack", Spot: true, Free: job.Resources{MemoryGB: 12.3}, Usable: true, Reported: true, IdleS: -1}
		for range 4 {
			s.Images = append(s.Images, fmt.Sprintf("img-%02d", rng.IntN(24)))
			var r job.Ranges
			r.Add(rng.IntN(400))
			r.Add(rng.IntN(400))
			s.Held = append(s.Held, partition.HeldTasks{Job: fmt.Sprintf("wk-%06d", rng.IntN(400)), Team: "routing", Resources: job.Resources{CPUs: 1, MemoryGB: 5.9}, Tasks: r, Phase: partition.PhaseRunning, PhaseS: rng.Float64() * 40})
		}
		q.Update.Machines = append(q.Update.Machines, s)
	}
	letters, err := SplitMessage(q, 9, 2, 1, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	if len(letters) > 16 {
		t.Errorf("%d letters", len(letters))
	}
	t.Logf("%d letters, %d bytes in the last", len(letters), len(letters[len(letters)-1].Text))
}
