package peer

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Letters carry a call or its answer through the state service, for nodes that
// cannot reach each other. Keys of one caller's letters have a number each, so that
// a new call takes the place of the last one.
const (
	CallKey   = "calls/q/"
	AnswerKey = "calls/a/"
)

// LettersOf is the prefix of a caller's letters.
func LettersOf(prefix string, caller int) string { return fmt.Sprintf("%s%d/", prefix, caller) }

// LetterKey is where a caller's letter stands.
func LetterKey(prefix string, caller, k int) string {
	return fmt.Sprintf("%s%d", LettersOf(prefix, caller), k)
}

// Letter is a part of a call or an answer. The state service keeps no binary data.
type Letter struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"`
	N      uint64 `cbor:"n"` // of the call, the same in its answer
	K      int    `cbor:"k"`
	Of     int    `cbor:"o"`
	Text   string `cbor:"t"`
}

// letterRoom is what a letter takes beside its text, in its JSON form, and maxText
// what all letters of a call may hold: an owner's first one in a view is whole, about
// 100 KiB for a thousand machines.
const (
	letterRoom = 120
	maxText    = 512 << 10
)

// Pack makes letters of at most so many bytes each.
func Pack(body any, view uint64, caller int, n uint64, most int) ([]Letter, error) {
	var raw bytes.Buffer
	z, err := flate.NewWriter(&raw, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(z).Encode(body); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	text := base64.RawStdEncoding.EncodeToString(raw.Bytes())
	room := most - letterRoom
	if room <= 0 || len(text) > maxText {
		return nil, errors.New("too much for letters")
	}
	of := max((len(text)+room-1)/room, 1)
	out := make([]Letter, of)
	for k := range out {
		out[k] = Letter{View: view, Caller: caller, N: n, K: k, Of: of, Text: text[min(k*room, len(text)):min((k+1)*room, len(text))]}
	}
	return out, nil
}

// Mail collects one caller's letters until a call or an answer is whole.
type Mail struct {
	view, n uint64
	parts   []string
	have    int
}

// Add takes a letter and tells whether all of its kind are there. Letters of an
// older call that come late are left out.
func (m *Mail) Add(l Letter) bool {
	if l.Of < 1 || l.K < 0 || l.K >= l.Of || l.Of > 1<<10 || l.View < m.view || l.View == m.view && l.N < m.n {
		return false
	}
	if l.View != m.view || l.N != m.n || len(m.parts) != l.Of {
		*m = Mail{view: l.View, n: l.N, parts: make([]string, l.Of)}
	}
	if m.parts[l.K] == "" {
		m.have++
	}
	m.parts[l.K] = l.Text
	return m.have == l.Of
}

// Open decodes what the letters carry.
func (m *Mail) Open(body any) error {
	raw, err := base64.RawStdEncoding.DecodeString(strings.Join(m.parts, ""))
	if err != nil {
		return err
	}
	z := flate.NewReader(bytes.NewReader(raw))
	defer z.Close()
	return msgpack.NewDecoder(io.LimitReader(z, maxBody)).Decode(body)
}
