package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// While controllers refuse each other's connections, the owners call the leader through
// mailboxes in the state service. Once they got no new work then, and two thirds of the fleet
// fell idle. What is said is the same, versioned and repeatable, so it does not matter which
// way a call or its answer went, or whether both did.

const (
	directRetry       = 2 * time.Second // a call that failed is tried directly again after this
	mailboxTimeout    = 4 * time.Second // an answer to a short call comes within this, or the call is made anew
	maxMailboxTimeout = time.Minute
	mailboxWatch      = 300 * time.Millisecond // a view that is over holds the next one's first call up no longer
	mailboxListen     = 10 * time.Second       // one watch for calls
	listenRetry       = 250 * time.Millisecond
	listRetry         = time.Second
	leaderCheck       = 300 * time.Millisecond // how often a node looks whether it has come to lead

	mailboxChangesShare = 0.1 // of the changes may be messages
	changesPerCall      = 2   // a call and its answer, at the least
	// maxMessageBytes bounds a transaction well below the 64 KiB of a request.
	maxMessageBytes = 48 << 10
)

// mailboxInterval is the shortest pause between an owner's calls by mailbox.
func (c *Controller) mailboxInterval() time.Duration {
	callers := float64(max(len(c.peers), 1))
	perSecond := mailboxChangesShare * c.settings.Facts.State.WriteRPS / (changesPerCall * callers)
	return max(syncInterval, time.Duration(float64(time.Second)/perSecond))
}

// mailboxLimit is how long a call of so many parts may take, with an answer of as many: each
// part is a change of the state service, and where those are few a large fleet's first call
// takes longer than a small one's.
func (c *Controller) mailboxLimit(parts int) time.Duration {
	changes := float64(2*parts) / c.store.ChangeRate()
	return min(mailboxTimeout+time.Duration(changes*float64(time.Second)), maxMailboxTimeout)
}

// splitMessage makes the parts of a message.
func (c *Controller) splitMessage(body any, view membership.View, caller int, call uint64) ([]peer.MessagePart, error) {
	parts, err := peer.SplitMessage(body, view.Number, caller, call, c.store.ValueByteLimit())
	if errors.Is(err, peer.ErrMessageTooLarge) {
		c.limitCounts.record(limits.Messages)
	}
	return parts, err
}

// postMessage writes a message's parts as long as their view holds, by as many transactions
// as they need. Only a call or an answer that is whole counts, in whatever order it came.
func (c *Controller) postMessage(ctx context.Context, view membership.View, prefix string, parts []peer.MessagePart) (first uint64, err error) {
	for len(parts) > 0 {
		var t protocol.Transaction
		if t, parts, err = c.packParts(view, prefix, parts); err != nil {
			return 0, err
		}
		revision, err := c.store.Commit(ctx, statestore.PriorityPlacement, t)
		var conflict *statestore.ConflictError
		if errors.As(err, &conflict) {
			c.membership.ObserveView(view.Number + 1)
		}
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = revision
		}
	}
	return first, nil
}

// packParts puts as many parts into a transaction as may go together, and gives the rest.
func (c *Controller) packParts(view membership.View, prefix string, parts []peer.MessagePart) (t protocol.Transaction, rest []peer.MessagePart, err error) {
	t = viewGuarded(view)
	size := 0
	for len(parts) > 0 && len(t.Changes) < c.store.MaxChanges() && (size == 0 || size+len(parts[0].Text) < maxMessageBytes) {
		part := parts[0]
		if err := t.Put(peer.PartKey(prefix, part.Caller, part.Part), part); err != nil {
			return t, nil, err
		}
		size += len(part.Text)
		parts = parts[1:]
	}
	return t, parts, nil
}

// syncByMailbox makes an owner's call through the state service.
func (c *Controller) syncByMailbox(ctx context.Context, p *partition.Partition, view membership.View, call peer.Sync) (reply peer.SyncReply, err error) {
	parts, err := c.splitMessage(call, view, call.Index, call.Update.Sequence)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.mailboxLimit(len(parts)))
	defer cancel()
	revision, err := c.postMessage(ctx, view, peer.CallPrefix, parts)
	if err != nil {
		return reply, err
	}
	var mailbox peer.Mailbox
	for ctx.Err() == nil && c.ownsPartition(p) {
		seen, err := c.store.Watch(ctx, peer.MailboxPrefix(peer.ReplyPrefix, call.Index), revision, mailboxWatch)
		if err != nil {
			return reply, err
		}
		for _, e := range seen.Events {
			part, ok := c.readMessagePart(e.PutKey, e.Data, view)
			if !ok || part.Call != call.Update.Sequence || part.Caller != call.Index || !mailbox.Add(part) {
				continue
			}
			if err := mailbox.Decode(&reply); err != nil {
				return reply, &protocol.DecodeError{Source: e.PutKey, Sender: view.Members[0].Node, Err: err}
			}
			return reply, nil
		}
		revision = max(revision, seen.StoreRevision)
	}
	return reply, httpcall.ErrUnknown
}

// readMessagePart decodes a part of a message of a view; a key that was deleted has none.
func (c *Controller) readMessagePart(key string, data []byte, view membership.View) (part peer.MessagePart, ok bool) {
	if key == "" {
		return part, false
	}
	if err := protocol.DecodeRecord(key, data, &part); err != nil {
		c.failures.failed("a message cannot be read", err)
		return part, false
	}
	return part, part.View == view.Number
}

// mailboxLoop is the leader's: it answers the calls that come by mailbox.
func (c *Controller) mailboxLoop(ctx context.Context) {
	listener := mailboxListener{c: c, mailboxes: map[int]*peer.Mailbox{}}
	for ctx.Err() == nil {
		c.state.mu.Lock()
		view, leads := c.state.current.view, c.state.leader.scheduler != nil
		c.state.mu.Unlock()
		if !leads {
			listener.revision = 0
			sleep(ctx, leaderCheck)
			continue
		}
		for _, part := range listener.receive(ctx, view) {
			listener.answer(ctx, view, part)
		}
	}
}

// mailboxListener collects the calls of all owners.
type mailboxListener struct {
	c         *Controller
	revision  uint64 // up to which parts are known; 0: all are to be listed
	mailboxes map[int]*peer.Mailbox
}

// receive gives the parts that have come, by a list first and by watches from then on.
func (l *mailboxListener) receive(ctx context.Context, view membership.View) (parts []peer.MessagePart) {
	take := func(key string, data []byte) {
		if part, ok := l.c.readMessagePart(key, data, view); ok {
			parts = append(parts, part)
		}
	}
	if l.revision == 0 {
		entries, revision, err := l.c.store.List(ctx, statestore.PriorityBackground, peer.CallPrefix)
		if err != nil {
			sleep(ctx, listRetry)
			return nil
		}
		for _, e := range entries {
			take(e.Key, e.Data)
		}
		l.revision = revision
		return parts
	}
	seen, err := l.c.store.Watch(ctx, peer.CallPrefix, l.revision, mailboxListen)
	if err != nil {
		if errors.Is(err, statestore.ErrRevisionCompacted) {
			l.revision = 0
		}
		sleep(ctx, listenRetry)
		return nil
	}
	for _, e := range seen.Events {
		take(e.PutKey, e.Data)
	}
	l.revision = max(l.revision, seen.StoreRevision)
	return parts
}

// answer takes a part and answers the call that it makes whole.
func (l *mailboxListener) answer(ctx context.Context, view membership.View, part peer.MessagePart) {
	mailbox := l.mailboxes[part.Caller]
	if mailbox == nil {
		mailbox = &peer.Mailbox{}
		l.mailboxes[part.Caller] = mailbox
	}
	if !mailbox.Add(part) {
		return
	}
	var call peer.Sync
	if err := mailbox.Decode(&call); err != nil {
		sender := ""
		if part.Caller >= 0 && part.Caller < len(view.Members) {
			sender = view.Members[part.Caller].Node
		}
		l.c.failures.failed("a call by mailbox cannot be read",
			&protocol.DecodeError{Source: peer.MailboxPrefix(peer.CallPrefix, part.Caller), Sender: sender, Err: err})
		return
	}
	parts, err := l.c.splitMessage(l.c.Sync(call), view, part.Caller, part.Call)
	if err == nil {
		_, err = l.c.postMessage(ctx, view, peer.ReplyPrefix, parts)
	}
	if err != nil {
		l.c.log.Debug("an answer by mailbox failed", "err", err)
	}
}
