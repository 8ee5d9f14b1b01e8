package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// minMailboxTimeout is the timeout of a short call.
	minMailboxTimeout = 4 * time.Second
	maxMailboxTimeout = time.Minute
	// replyWatch is the length of one watch for a reply: a view that has ended holds the next
	// one's first call up no longer.
	replyWatch = 300 * time.Millisecond
	// mailboxChangesShare is the part of the store's changes that messages may take.
	mailboxChangesShare = 0.1
	// changesPerCall is what a call and its reply take at the least.
	changesPerCall = 2
	// maxMessageBytes limits a transaction well below the 64 KiB of a request.
	maxMessageBytes = 48 << 10
)

// mailboxTransport carries calls and their replies through mailboxes in the key-value store,
// whatever they say, while controllers refuse each other's connections. Once owners got no new
// work then, and two thirds of the fleet fell idle. What is called must be versioned and
// repeatable, so that it does not matter which way a call or its reply went, or whether both
// did.
//
// Its fields are set once; it may be used from several goroutines.
type mailboxTransport struct {
	store       *statestore.Client
	membership  *membership.Membership
	failures    *failureLogger
	limitCounts *limitCounter
	callers     int     // nodes that may call
	writeRate   float64 // changes a second that the store allows all nodes
}

func newMailboxTransport(shared *sharedComponents) *mailboxTransport {
	return &mailboxTransport{
		store:       shared.store,
		membership:  shared.membership,
		failures:    shared.failures,
		limitCounts: shared.limitCounts,
		callers:     len(shared.peers),
		writeRate:   shared.settings.Facts.Store.WriteRPS,
	}
}

// mailboxCall is a call to make.
type mailboxCall struct {
	view   membership.View
	caller int    // index of the calling member
	number uint64 // of the call among its caller's; the reply has the same
	body   any
	wanted func() bool // reports whether the reply is still wanted
}

// isAnsweredBy reports whether a part of a message belongs to the call's reply.
func (c *mailboxCall) isAnsweredBy(part peer.MessagePart) bool {
	return part.Call == c.number && part.Caller == c.caller
}

// callInterval returns the shortest pause between two calls of a node.
func (t *mailboxTransport) callInterval() time.Duration {
	callsPerSecond := mailboxChangesShare * t.writeRate / (changesPerCall * float64(max(t.callers, 1)))
	return time.Duration(float64(time.Second) / callsPerSecond)
}

// timeout returns how long a call of some parts may take, with a reply of as many: each part
// is a change of the key-value store, and where those are few a large fleet's first call takes
// longer than a small one's.
func (t *mailboxTransport) timeout(parts int) time.Duration {
	changes := float64(2*parts) / t.store.ChangeRate()
	return min(minMailboxTimeout+time.Duration(changes*float64(time.Second)), maxMailboxTimeout)
}

// call posts a call and decodes the reply into reply, a pointer. It returns
// httpcall.ErrUnknown if none came in time, or none is wanted any more, and a
// *protocol.DecodeError for one that cannot be decoded.
func (t *mailboxTransport) call(ctx context.Context, call mailboxCall, reply any) error {
	parts, err := t.split(call.body, call.view, call.caller, call.number)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout(len(parts)))
	defer cancel()
	revision, err := t.post(ctx, call.view, peer.CallPrefix, parts)
	if err != nil {
		return err
	}
	return t.awaitReply(ctx, &call, revision, reply)
}

// awaitReply watches a caller's mailbox from a revision on, until the reply is complete.
func (t *mailboxTransport) awaitReply(ctx context.Context, call *mailboxCall, revision uint64, reply any) error {
	prefix := peer.MailboxPrefix(peer.ReplyPrefix, call.caller)
	var mailbox peer.Mailbox
	for ctx.Err() == nil && call.wanted() {
		changes, err := t.store.Watch(ctx, prefix, revision, replyWatch)
		if err != nil {
			return err
		}
		for _, event := range changes.Events {
			part, ok := t.readPart(event.PutKey, event.Data, call.view)
			if !ok || !call.isAnsweredBy(part) || !mailbox.Add(part) {
				continue
			}
			if err := mailbox.Decode(reply); err != nil {
				return &protocol.DecodeError{Source: event.PutKey, Sender: call.view.Members[0].Node, Err: err}
			}
			return nil
		}
		revision = max(revision, changes.StoreRevision)
	}
	return httpcall.ErrUnknown
}

// split encodes a message and splits it into parts that fit the store's values.
func (t *mailboxTransport) split(body any, view membership.View, caller int, number uint64) ([]peer.MessagePart, error) {
	parts, err := peer.SplitMessage(body, view.Number, caller, number, t.store.ValueByteLimit())
	if errors.Is(err, peer.ErrMessageTooLarge) {
		t.limitCounts.record(limits.Messages)
	}
	return parts, err
}

// post writes a message's parts while their view holds, in as many transactions as they need,
// and returns the revision of the first. A reader takes a message only once it is complete, in
// whatever order its parts came.
func (t *mailboxTransport) post(
	ctx context.Context, view membership.View, prefix string, parts []peer.MessagePart,
) (first uint64, err error) {
	for len(parts) > 0 {
		count := t.partsPerTransaction(parts)
		revision, err := t.postTogether(ctx, view, prefix, parts[:count])
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = revision
		}
		parts = parts[count:]
	}
	return first, nil
}

// postTogether writes parts in one transaction and returns its revision.
func (t *mailboxTransport) postTogether(
	ctx context.Context, view membership.View, prefix string, parts []peer.MessagePart,
) (revision uint64, err error) {
	transaction := viewGuarded(view)
	for _, part := range parts {
		if err := transaction.Put(peer.PartKey(prefix, part.Caller, part.Part), part); err != nil {
			return 0, err
		}
	}
	revision, err = t.store.Commit(ctx, statestore.PriorityPlacement, transaction)
	if _, conflict := errors.AsType[*statestore.ConflictError](err); conflict { // its only guard is the view
		t.membership.ObserveView(view.Number + 1)
	}
	return revision, err
}

// partsPerTransaction returns how many of some parts may be written together: one at the
// least.
func (t *mailboxTransport) partsPerTransaction(parts []peer.MessagePart) int {
	count, size := 0, 0
	for _, part := range parts {
		if count >= t.store.MaxChanges() || size > 0 && size+len(part.Text) >= maxMessageBytes {
			break
		}
		count++
		size += len(part.Text)
	}
	return count
}

// readPart decodes a part of a message. It reports false for a key that was deleted, for what
// cannot be decoded, which is logged, and for a message of another view.
func (t *mailboxTransport) readPart(key string, data []byte, view membership.View) (part peer.MessagePart, ok bool) {
	if key == "" {
		return part, false
	}
	if err := protocol.DecodeRecord(key, data, &part); err != nil {
		t.failures.failed("message could not be read", err)
		return part, false
	}
	return part, part.View == view.Number
}
