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
	// minMailboxTimeout is the timeout of a call without the time to write the parts of its messages.
	minMailboxTimeout = 4 * time.Second
	maxMailboxTimeout = time.Minute
	// replyWatchTimeout is the duration of one watch for a reply. It limits how long a call of a
	// superseded view delays the first call of the next view.
	replyWatchTimeout = 300 * time.Millisecond
	// mailboxChangesShare is the fraction of the store's change rate that messages may use.
	mailboxChangesShare = 0.1
	// changesPerCall is the minimum number of changes for a call and its reply.
	changesPerCall = 2
	// maxPartBytesPerTransaction is the maximum size of the message parts in one transaction, unless it has
	// only one part. It keeps the transaction well below the 64 KiB limit of a request.
	maxPartBytesPerTransaction = 48 << 10
)

// mailboxTransport carries calls and replies of any type through mailboxes in the key-value store
// while controllers cannot connect to each other. Without it, owners that could not connect to the
// leader received no new work, and two thirds of the fleet became idle. The calls must be versioned and
// idempotent, because a call or its reply may be delivered directly, by mailbox, or both.
//
// Its fields are immutable; it is safe for concurrent use.
type mailboxTransport struct {
	store       *statestore.Client
	membership  *membership.Membership
	failures    *failureLogger
	limitCounts *limitCounter
	callers     int     // number of nodes that may call
	writeRate   float64 // changes per second that the store allows to all nodes together
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

// mailboxCall describes a call to be made.
type mailboxCall struct {
	view        membership.View
	caller      int    // index of the calling member
	number      uint64 // identifies the call among those of the caller; the reply carries the same number
	body        any
	replyWanted func() bool // reports whether the reply is still needed
}

// isAnsweredBy reports whether a message part belongs to the call's reply.
func (c *mailboxCall) isAnsweredBy(part peer.MessagePart) bool {
	return part.Call == c.number && part.Caller == c.caller
}

// callInterval returns the minimum interval between two calls of a node.
func (t *mailboxTransport) callInterval() time.Duration {
	callsPerSecond := mailboxChangesShare * t.writeRate / (changesPerCall * float64(max(t.callers, 1)))
	return time.Duration(float64(time.Second) / callsPerSecond)
}

// timeout returns the timeout of a call with the given number of parts, assuming a reply of as many
// parts. Each part is a change in the key-value store, so at a low change rate the first call of a
// large fleet takes longer than that of a small one.
func (t *mailboxTransport) timeout(parts int) time.Duration {
	changes := float64(2*parts) / t.store.ChangeRate()
	return min(minMailboxTimeout+time.Duration(changes*float64(time.Second)), maxMailboxTimeout)
}

// call posts a call and decodes the reply into reply, a pointer. It returns httpcall.ErrUnknown if no
// reply arrives in time or the reply is no longer needed, and a *protocol.DecodeError if the reply
// cannot be decoded.
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

// awaitReply watches the caller's reply mailbox from a revision on until the reply is complete.
func (t *mailboxTransport) awaitReply(ctx context.Context, call *mailboxCall, revision uint64, reply any) error {
	prefix := peer.MailboxPrefix(peer.ReplyPrefix, call.caller)
	var mailbox peer.Mailbox
	for ctx.Err() == nil && call.replyWanted() {
		changes, err := t.store.Watch(ctx, prefix, revision, replyWatchTimeout)
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

// post writes the parts of a message in as many transactions as they need, each guarded by the view,
// and returns the revision of the first one. Readers use a message only once it is complete, and
// accept its parts in any order.
func (t *mailboxTransport) post(
	ctx context.Context, view membership.View, prefix string, parts []peer.MessagePart,
) (first uint64, err error) {
	for len(parts) > 0 {
		count := t.partsPerTransaction(parts)
		revision, err := t.postTransaction(ctx, view, prefix, parts[:count])
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

// postTransaction writes parts in one transaction and returns its revision.
func (t *mailboxTransport) postTransaction(
	ctx context.Context, view membership.View, prefix string, parts []peer.MessagePart,
) (revision uint64, err error) {
	transaction := viewGuarded(view)
	for _, part := range parts {
		if err := transaction.Put(peer.PartKey(prefix, part.Caller, part.Part), part); err != nil {
			return 0, err
		}
	}
	revision, err = t.store.Commit(ctx, statestore.PriorityPlacement, transaction)
	if _, conflict := errors.AsType[*statestore.ConflictError](err); conflict { // the view is the only guard
		t.membership.ObserveView(view.Number + 1)
	}
	return revision, err
}

// partsPerTransaction returns how many of the leading parts fit in one transaction, at least one.
func (t *mailboxTransport) partsPerTransaction(parts []peer.MessagePart) int {
	count, size := 0, 0
	for _, part := range parts {
		if count >= t.store.MaxChanges() || size > 0 && size+len(part.Text) >= maxPartBytesPerTransaction {
			break
		}
		count++
		size += len(part.Text)
	}
	return count
}

// readPart decodes a part of a message. It reports false for a deleted key, for a message of another
// view, and for a part that cannot be decoded, which it logs.
func (t *mailboxTransport) readPart(key string, data []byte, view membership.View) (part peer.MessagePart, ok bool) {
	if key == "" {
		return part, false
	}
	if err := protocol.DecodeRecord(key, data, &part); err != nil {
		t.failures.logFailure("mailbox message could not be decoded", err)
		return part, false
	}
	return part, part.View == view.Number
}
