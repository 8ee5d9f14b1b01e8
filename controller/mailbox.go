package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// While controllers refuse each other's connections, the owners call the divider
// through the state service. Once they got no new work then, and two thirds of the
// fleet fell idle. What is said is the same, versioned and repeatable, so it does not
// matter which way a call or its answer went, or whether both did.

const (
	directRetry         = 2 * time.Second        // a call that failed is tried directly again after this
	mailboxTimeout      = 4 * time.Second        // an answer by letter comes within this, or the call is made anew
	mailboxWatch        = 300 * time.Millisecond // a view that is over holds the next one's first call up no longer
	mailboxListen       = 10 * time.Second       // one watch for calls
	mailboxChangesShare = 0.1                    // of the changes may be letters
)

// relayEvery is the shortest pause between an owner's calls by letter: each takes
// two changes at least.
func (c *Controller) mailboxInterval() time.Duration {
	callers := float64(max(len(c.peers), 1))
	return max(syncInterval, time.Duration(2*callers/(mailboxChangesShare*c.settings.Facts.State.WriteRPS)*float64(time.Second)))
}

// mailBytes bounds a transaction of letters well below the 64 KiB of a request.
const maxMessageBytes = 48 << 10

// post writes letters as long as their view holds, by as many transactions as they
// need. Only a call or an answer that is whole counts, in whatever order it came.
func (c *Controller) postMessage(ctx context.Context, view membership.View, prefix string, letters []peer.MessagePart) (first uint64, err error) {
	for len(letters) > 0 {
		m := protocol.Transaction{Guards: []protocol.Guard{{Key: membership.ViewKey, Revision: view.Revision}}}
		size := 0
		for len(letters) > 0 && len(m.Changes) < c.store.MaxChanges() && (size == 0 || size+len(letters[0].Text) < maxMessageBytes) {
			l := letters[0]
			raw, err := protocol.Marshal(l)
			if err != nil {
				return 0, err
			}
			m.Changes = append(m.Changes, protocol.Change{Set: peer.PartKey(prefix, l.Caller, l.Part), Data: raw})
			size += len(l.Text)
			letters = letters[1:]
		}
		epoch, err := c.store.Commit(ctx, statestore.PriorityPlacement, m)
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) {
			c.membership.ObserveView(view.Number + 1)
		}
		if err != nil {
			return 0, err
		}
		if first == 0 {
			first = epoch
		}
	}
	return first, nil
}

// syncByLetter makes an owner's call through the state service.
func (c *Controller) syncByMailbox(ctx context.Context, p *partition.Partition, view membership.View, q peer.Sync) (a peer.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, mailboxTimeout)
	defer cancel()
	letters, err := peer.SplitMessage(q, view.Number, q.Index, q.Update.Sequence, c.store.ValueBytes())
	if err != nil {
		return a, err
	}
	epoch, err := c.postMessage(ctx, view, peer.CallPrefix, letters)
	if err != nil {
		return a, err
	}
	var mail peer.Mailbox
	for ctx.Err() == nil && !c.stale(p) {
		r, err := c.store.Watch(ctx, peer.MailboxPrefix(peer.ReplyPrefix, q.Index), epoch, mailboxWatch)
		if err != nil {
			return a, err
		}
		for _, n := range r.Events {
			l, ok := c.readMessagePart(n.Set, n.Data, view)
			if !ok || l.Call != q.Update.Sequence || l.Caller != q.Index || !mail.Add(l) {
				continue
			}
			if err := mail.Decode(&a); err != nil {
				return a, &protocol.DecodeError{Source: n.Set, Sender: view.Members[0].Node, Err: err}
			}
			return a, nil
		}
		epoch = max(epoch, r.StoreRevision)
	}
	return a, httpcall.ErrUnknown
}

// readLetter decodes a letter of a view; a key that was deleted has none.
func (c *Controller) readMessagePart(key string, data []byte, view membership.View) (l peer.MessagePart, ok bool) {
	if key == "" {
		return l, false
	}
	if err := protocol.DecodeRecord(key, data, &l); err != nil {
		c.logFailure("a letter cannot be read", err)
		return l, false
	}
	return l, l.View == view.Number
}

// relayLoop is the divider's: it answers the calls that come by letter.
func (c *Controller) mailboxLoop(ctx context.Context) {
	var epoch uint64
	mails := map[int]*peer.Mailbox{}
	for ctx.Err() == nil {
		c.mu.Lock()
		view, on := c.view, c.scheduler != nil
		c.mu.Unlock()
		if !on {
			epoch = 0
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		var letters []peer.MessagePart
		read := func(key string, data []byte) {
			if l, ok := c.readMessagePart(key, data, view); ok {
				letters = append(letters, l)
			}
		}
		if epoch == 0 {
			entries, at, err := c.store.List(ctx, statestore.PriorityBackground, peer.CallPrefix)
			if err != nil {
				sleep(ctx, time.Second)
				continue
			}
			for _, e := range entries {
				read(e.Key, e.Data)
			}
			epoch = at
		} else {
			r, err := c.store.Watch(ctx, peer.CallPrefix, epoch, mailboxListen)
			if err != nil {
				if errors.Is(err, statestore.ErrRevisionCompacted) {
					epoch = 0
				}
				sleep(ctx, 250*time.Millisecond)
				continue
			}
			for _, n := range r.Events {
				read(n.Set, n.Data)
			}
			epoch = max(epoch, r.StoreRevision)
		}
		for _, l := range letters {
			m := mails[l.Caller]
			if m == nil {
				m = &peer.Mailbox{}
				mails[l.Caller] = m
			}
			if !m.Add(l) {
				continue
			}
			var q peer.Sync
			if err := m.Decode(&q); err != nil {
				sender := ""
				if l.Caller >= 0 && l.Caller < len(view.Members) {
					sender = view.Members[l.Caller].Node
				}
				c.logFailure("a call by letter cannot be read", &protocol.DecodeError{Source: peer.MailboxPrefix(peer.CallPrefix, l.Caller), Sender: sender, Err: err})
				continue
			}
			a := c.Sync(q)
			answer, err := peer.SplitMessage(a, view.Number, l.Caller, l.Call, c.store.ValueBytes())
			if err == nil {
				_, err = c.postMessage(ctx, view, peer.ReplyPrefix, answer)
			}
			if err != nil {
				c.log.Debug("an answer by letter failed", "err", err)
			}
		}
	}
}
