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

// Mailboxes carry a call or its answer through the state service, for nodes that cannot reach
// each other. The keys of a message's parts are numbered, so that a new call takes the place
// of the last one.
const (
	CallPrefix  = "calls/q/"
	ReplyPrefix = "calls/a/"
)

// MailboxPrefix is the prefix of a caller's mailbox.
func MailboxPrefix(prefix string, caller int) string { return fmt.Sprintf("%s%d/", prefix, caller) }

// PartKey is where a part of a caller's message stands.
func PartKey(prefix string, caller, part int) string {
	return fmt.Sprintf("%s%d", MailboxPrefix(prefix, caller), part)
}

// MessagePart is one part of a call or an answer. The state service keeps no binary data.
type MessagePart struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"`
	Call   uint64 `cbor:"n"` // of the call, the same in its answer
	Part   int    `cbor:"k"`
	Parts  int    `cbor:"o"`
	Text   string `cbor:"t"`
}

// partOverhead is what a part takes beside its text, in its JSON form, and maxMessage what
// all parts together may hold: an owner's first call in a view is whole, about 100 KiB for a
// thousand machines.
const (
	partOverhead = 120
	maxMessage   = 512 << 10
)

// SplitMessage encodes a message and makes parts of at most so many bytes each.
func SplitMessage(body any, view uint64, caller int, n uint64, most int) ([]MessagePart, error) {
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
	room := most - partOverhead
	if room <= 0 || len(text) > maxMessage {
		return nil, errors.New("too large for a mailbox")
	}
	of := max((len(text)+room-1)/room, 1)
	out := make([]MessagePart, of)
	for k := range out {
		out[k] = MessagePart{View: view, Caller: caller, Call: n, Part: k, Parts: of, Text: text[min(k*room, len(text)):min((k+1)*room, len(text))]}
	}
	return out, nil
}

// Mailbox collects the parts of one caller's messages until one is whole.
type Mailbox struct {
	view, call uint64
	parts      []string
	received   int
}

// Add takes a part and tells whether the message is whole. Parts of an older call that come
// late are left out.
func (m *Mailbox) Add(l MessagePart) bool {
	if l.Parts < 1 || l.Part < 0 || l.Part >= l.Parts || l.Parts > 1<<10 || l.View < m.view || l.View == m.view && l.Call < m.call {
		return false
	}
	if l.View != m.view || l.Call != m.call || len(m.parts) != l.Parts {
		*m = Mailbox{view: l.View, call: l.Call, parts: make([]string, l.Parts)}
	}
	if m.parts[l.Part] == "" {
		m.received++
	}
	m.parts[l.Part] = l.Text
	return m.received == l.Parts
}

// Decode decodes a message that is whole.
func (m *Mailbox) Decode(body any) error {
	raw, err := base64.RawStdEncoding.DecodeString(strings.Join(m.parts, ""))
	if err != nil {
		return err
	}
	z := flate.NewReader(bytes.NewReader(raw))
	defer z.Close()
	return msgpack.NewDecoder(io.LimitReader(z, maxBody)).Decode(body)
}
