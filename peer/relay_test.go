package peer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"junipershelf/part"
)

// What letters carry arrives whole, in whatever order they are read, with late ones
// of older calls between them; each fits a value, in the form that limits count.
func TestLetters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(letterRoom+1, 4000).Draw(t, "most")
		var mail Mail
		var old []Letter
		for n := uint64(1); n <= 4; n++ {
			q := Sync{View: 7, Index: 1, Known: n, Digest: part.Digest{N: n}}
			for range rapid.IntRange(0, 30).Draw(t, "machines") {
				q.Digest.Removed = append(q.Digest.Removed, rapid.StringMatching("i-[0-9]{6}").Draw(t, "id"))
			}
			letters, err := Pack(q, 7, 1, n, most)
			if err != nil {
				t.Fatal(err)
			}
			whole := false
			for _, l := range rapid.Permutation(append(old, letters...)).Draw(t, "order") {
				if len(l.Text)+letterRoom > most {
					t.Fatalf("a letter of %d bytes in a value of %d", len(l.Text), most)
				}
				whole = mail.Add(l) || whole
			}
			var got Sync
			if err := mail.Open(&got); !whole || err != nil {
				t.Fatalf("call %d: whole %v, %v", n, whole, err)
			}
			if diff := cmp.Diff(q, got, cmp.AllowUnexported(Sync{}, part.Digest{})); diff != "" {
				t.Fatal(diff)
			}
			old = letters
		}
	})
}
