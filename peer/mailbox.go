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

// A mailbox carries an owner's call or the leader's reply through the key-value store, for
// controllers that cannot reach each other. The keys of a message's parts are numbered, so that
// a new message replaces the last one.
const (
	CallPrefix  = "calls/q/"
	ReplyPrefix = "calls/a/"
)

// MailboxPrefix returns the prefix of a caller's mailbox for calls or for replies. Callers are
// named by their index in the view.
func MailboxPrefix(prefix string, caller int) string { return fmt.Sprintf("%s%d/", prefix, caller) }

// PartKey returns the key of a part of a caller's message, from 0.
func PartKey(prefix string, caller, part int) string {
	return fmt.Sprintf("%s%d", MailboxPrefix(prefix, caller), part)
}

// MessagePart is one part of a call or a reply. Its text is base64, since the key-value store
// keeps no binary data.
type MessagePart struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"` // the owner's index in the view
	Call   uint64 `cbor:"n"` // number of the call, the same in its reply
	Part   int    `cbor:"k"` // from 0
	Parts  int    `cbor:"o"` // of the message
	Text   string `cbor:"t"`
}

// ErrMessageTooLarge says that a message has more bytes or parts than a mailbox takes.
var ErrMessageTooLarge = errors.New("too large for a mailbox")

// The limits of a message. An owner's first call in a view is complete, some 80 KiB of text for
// a thousand machines; earlier versions take as many parts and bytes as well.
const (
	partOverhead = 120 // bytes of a part beside its text, in its JSON form
	maxParts     = 1 << 10
	maxDecoded   = 4 << 20 // bytes of a message in msgpack
)

// SplitMessage encodes a message and splits it into parts whose records have at most maxBytes
// each. It returns ErrMessageTooLarge for what a mailbox does not take.
func SplitMessage(body any, view uint64, caller int, call uint64, maxBytes int) ([]MessagePart, error) {
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
	maxText := maxBytes - partOverhead
	if maxText <= 0 || len(text) > maxText*maxParts {
		return nil, ErrMessageTooLarge
	}
	count := max((len(text)+maxText-1)/maxText, 1)
	parts := make([]MessagePart, count)
	for i := range parts {
		from, to := min(i*maxText, len(text)), min((i+1)*maxText, len(text))
		parts[i] = MessagePart{View: view, Caller: caller, Call: call, Part: i, Parts: count, Text: text[from:to]}
	}
	return parts, nil
}

// compress returns an encoded message as text.
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

// Mailbox collects the parts of one caller's messages until one is complete. It is for one
// goroutine.
type Mailbox struct {
	view     uint64
	call     uint64
	parts    []string // texts; empty: not yet received
	received int      // parts of the message
}

// Add adds a part and reports whether the message is complete. Parts that no SplitMessage
// returns, and those of an earlier call that come late, are dropped.
func (m *Mailbox) Add(part MessagePart) (complete bool) {
	if !part.valid() || m.isPast(part) {
		return false
	}
	if part.View != m.view || part.Call != m.call || len(m.parts) != part.Parts {
		*m = Mailbox{view: part.View, call: part.Call, parts: make([]string, part.Parts)}
	}
	if m.parts[part.Part] == "" {
		m.received++
	}
	m.parts[part.Part] = part.Text
	return m.received == part.Parts
}

// valid reports whether the part has a place in its message, and the message in a mailbox.
func (p MessagePart) valid() bool {
	return p.Parts >= 1 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts
}

// isPast reports whether a part belongs to an earlier call than the one being collected.
func (m *Mailbox) isPast(part MessagePart) bool {
	if part.View != m.view {
		return part.View < m.view
	}
	return part.Call < m.call
}

// Decode decodes a message that is complete.
func (m *Mailbox) Decode(body any) error {
	compressed, err := base64.RawStdEncoding.DecodeString(strings.Join(m.parts, ""))
	if err != nil {
		return err
	}
	raw := flate.NewReader(bytes.NewReader(compressed))
	// Its Close only repeats the error of the last read.
	defer func() { _ = raw.Close() }()
	return msgpack.NewDecoder(io.LimitReader(raw, maxDecoded)).Decode(body)
}
