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

// ErrMessageTooLarge says that a message has more parts, or more in them, than a mailbox takes.
var ErrMessageTooLarge = errors.New("too large for a mailbox")

// partOverhead is what a part takes beside its text, in its JSON form. An owner's first call
// in a view is whole, some 80 KiB of text for a thousand machines; earlier versions take as many
// parts and bytes as well.
const (
	partOverhead = 120
	maxParts     = 1 << 10
	maxDecoded   = 4 << 20
)

// SplitMessage encodes a message and makes parts of at most so many bytes each.
func SplitMessage(body any, view uint64, caller int, n uint64, most int) ([]MessagePart, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxDecoded {
		return nil, ErrMessageTooLarge
	}
	text, err := compress(raw)
	if err != nil {
		return nil, err
	}
	room := most - partOverhead
	if room <= 0 || len(text) > room*maxParts {
		return nil, ErrMessageTooLarge
	}
	of := max((len(text)+room-1)/room, 1)
	out := make([]MessagePart, of)
	for k := range out {
		out[k] = MessagePart{View: view, Caller: caller, Call: n, Part: k, Parts: of, Text: text[min(k*room, len(text)):min((k+1)*room, len(text))]}
	}
	return out, nil
}

// compress gives a message as text.
func compress(raw []byte) (string, error) {
	var out bytes.Buffer
	z, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return "", err
	}
	if _, err := z.Write(raw); err != nil {
		return "", err
	}
	if err := z.Close(); err != nil {
		return "", err
	}
	return base64.RawStdEncoding.EncodeToString(out.Bytes()), nil
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
	if l.Parts < 1 || l.Part < 0 || l.Part >= l.Parts || l.Parts > maxParts || l.View < m.view || l.View == m.view && l.Call < m.call {
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
	return msgpack.NewDecoder(io.LimitReader(z, maxDecoded)).Decode(body)
}
