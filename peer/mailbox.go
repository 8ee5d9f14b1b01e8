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

// A mailbox passes an owner's call or the leader's reply through the key-value store, for
// controllers that cannot reach each other. The keys of a message's parts are numbered, so that
// a new message overwrites the previous one.
const (
	CallPrefix  = "calls/q/"
	ReplyPrefix = "calls/a/"
)

// MailboxPrefix returns the key prefix of a caller's mailbox for calls or for replies. Callers
// are identified by their index in the view.
func MailboxPrefix(prefix string, caller int) string { return fmt.Sprintf("%s%d/", prefix, caller) }

// PartKey returns the key of a part of a caller's message. Parts are numbered from 0.
func PartKey(prefix string, caller, part int) string {
	return fmt.Sprintf("%s%d", MailboxPrefix(prefix, caller), part)
}

// MessagePart is one part of a call or a reply. Its text is base64, since the key-value store
// does not store binary data.
type MessagePart struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"` // the owner's index in the view
	Call   uint64 `cbor:"n"` // number of the call; its reply has the same
	Part   int    `cbor:"k"` // number of this part, from 0
	Parts  int    `cbor:"o"` // number of parts of the message
	Text   string `cbor:"t"`
}

// ErrMessageTooLarge reports a message with more bytes or parts than a mailbox holds.
var ErrMessageTooLarge = errors.New("message too large for a mailbox")

// The limits of a message. An owner's first call in a view is a full update, about 80 KiB of text
// for a thousand machines. Earlier versions have the same limits.
const (
	partOverheadBytes = 120 // size in JSON of a part without its text; the limit on values applies to their size in JSON
	maxParts          = 1 << 10
	maxMessageBytes   = 4 << 20 // size of a message in msgpack
)

// SplitMessage encodes a message and splits it into parts, each a record of at most maxBytes. It
// returns ErrMessageTooLarge if a mailbox cannot hold the message.
func SplitMessage(body any, view uint64, caller int, call uint64, maxBytes int) ([]MessagePart, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return nil, err
	}
	if len(raw) > maxMessageBytes {
		return nil, ErrMessageTooLarge
	}
	text, err := compress(raw)
	if err != nil {
		return nil, err
	}
	maxText := maxBytes - partOverheadBytes
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

// compress compresses an encoded message and returns it in base64.
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

// Mailbox collects the parts of one caller's messages until one is complete. It is not safe for
// concurrent use.
type Mailbox struct {
	view     uint64
	call     uint64
	parts    []string // texts, by part number; empty: not yet received
	received int      // number of parts received
}

// Add adds a part and reports whether the message is complete. Invalid parts, which SplitMessage
// never returns, and late parts of an earlier call are dropped.
func (m *Mailbox) Add(part MessagePart) (complete bool) {
	if !part.valid() || m.isOutdated(part) {
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

// valid reports whether the part's number and the number of parts are in range.
func (p MessagePart) valid() bool {
	return p.Parts >= 1 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts
}

// isOutdated reports whether a part belongs to an earlier call than the one being collected.
func (m *Mailbox) isOutdated(part MessagePart) bool {
	if part.View != m.view {
		return part.View < m.view
	}
	return part.Call < m.call
}

// Decode decodes the complete message into what body points to.
func (m *Mailbox) Decode(body any) error {
	compressed, err := base64.RawStdEncoding.DecodeString(strings.Join(m.parts, ""))
	if err != nil {
		return err
	}
	raw := flate.NewReader(bytes.NewReader(compressed))
	// Close only repeats the error of the last read.
	defer func() { _ = raw.Close() }()
	return msgpack.NewDecoder(io.LimitReader(raw, maxMessageBytes)).Decode(body)
}
