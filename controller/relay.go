package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/internal/wire"
	"junipershelf/part"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/roster"
	"junipershelf/state"
)

// While controllers refuse each other's connections, the owners call the divider
// through the state service. Once they got no new work then, and two thirds of the
// fleet fell idle. What is said is the same, versioned and repeatable, so it does not
// matter which way a call or its answer went, or whether both did.

const (
	directAgain  = 2 * time.Second        // a call that failed is tried directly again after this
	answerWithin = 4 * time.Second        // an answer by letter comes within this, or the call is made anew
	answerLook   = 300 * time.Millisecond // a view that is over holds the next one's first call up no longer
	listenFor    = 10 * time.Second       // one watch for calls
	relayed      = 0.1                    // of the changes may be letters
)

// relayEvery is the shortest pause between an owner's calls by letter: each takes
// two changes at least.
func (c *Controller) relayEvery() time.Duration {
	callers := float64(max(len(c.peers), 1))
	return max(syncEvery, time.Duration(2*callers/(relayed*c.set.Facts.State.WriteRPS)*float64(time.Second)))
}

// mailBytes bounds a transaction of letters well below the 64 KiB of a request.
const mailBytes = 48 << 10

// post writes letters as long as their view holds, by as many transactions as they
// need. Only a call or an answer that is whole counts, in whatever order it came.
func (c *Controller) post(ctx context.Context, view roster.View, prefix string, letters []peer.Letter) (first uint64, err error) {
	for len(letters) > 0 {
		m := protocol.Multi{Guards: []protocol.Guard{{Key: roster.ViewKey, Stamp: view.Stamp}}}
		size := 0
		for len(letters) > 0 && len(m.Then) < c.store.MaxChanges() && (size == 0 || size+len(letters[0].Text) < mailBytes) {
			l := letters[0]
			raw, err := protocol.Marshal(l)
			if err != nil {
				return 0, err
			}
			m.Then = append(m.Then, protocol.Change{Set: peer.LetterKey(prefix, l.Caller, l.K), Data: raw})
			size += len(l.Text)
			letters = letters[1:]
		}
		epoch, err := c.store.Multi(ctx, state.Part, m)
		var conflict *state.Conflict
		if errors.As(err, &conflict) {
			c.roster.Higher(view.Number + 1)
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
func (c *Controller) syncByLetter(ctx context.Context, p *part.Part, view roster.View, q peer.Sync) (a peer.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	letters, err := peer.Pack(q, view.Number, q.Index, q.Digest.N, c.store.ValueBytes())
	if err != nil {
		return a, err
	}
	epoch, err := c.post(ctx, view, peer.CallKey, letters)
	if err != nil {
		return a, err
	}
	var mail peer.Mail
	for ctx.Err() == nil && !c.stale(p) {
		r, err := c.store.Watch(ctx, peer.LettersOf(peer.AnswerKey, q.Index), epoch, answerLook)
		if err != nil {
			return a, err
		}
		for _, n := range r.News {
			l, ok := c.readLetter(n.Set, n.Data, view)
			if !ok || l.N != q.Digest.N || l.Caller != q.Index || !mail.Add(l) {
				continue
			}
			if err := mail.Open(&a); err != nil {
				return a, &protocol.DecodeError{Source: n.Set, Sender: view.Members[0].Node, Err: err}
			}
			return a, nil
		}
		epoch = max(epoch, r.Epoch)
	}
	return a, wire.ErrUnknown
}

// readLetter decodes a letter of a view; a key that was deleted has none.
func (c *Controller) readLetter(key string, data []byte, view roster.View) (l peer.Letter, ok bool) {
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
func (c *Controller) relayLoop(ctx context.Context) {
	var epoch uint64
	mails := map[int]*peer.Mail{}
	for ctx.Err() == nil {
		c.mu.Lock()
		view, on := c.view, c.div != nil
		c.mu.Unlock()
		if !on {
			epoch = 0
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		var letters []peer.Letter
		read := func(key string, data []byte) {
			if l, ok := c.readLetter(key, data, view); ok {
				letters = append(letters, l)
			}
		}
		if epoch == 0 {
			entries, at, err := c.store.List(ctx, state.Rest, peer.CallKey)
			if err != nil {
				sleep(ctx, time.Second)
				continue
			}
			for _, e := range entries {
				read(e.Key, e.Data)
			}
			epoch = at
		} else {
			r, err := c.store.Watch(ctx, peer.CallKey, epoch, listenFor)
			if err != nil {
				if errors.Is(err, state.ErrGone) {
					epoch = 0
				}
				sleep(ctx, 250*time.Millisecond)
				continue
			}
			for _, n := range r.News {
				read(n.Set, n.Data)
			}
			epoch = max(epoch, r.Epoch)
		}
		for _, l := range letters {
			m := mails[l.Caller]
			if m == nil {
				m = &peer.Mail{}
				mails[l.Caller] = m
			}
			if !m.Add(l) {
				continue
			}
			var q peer.Sync
			if err := m.Open(&q); err != nil {
				sender := ""
				if l.Caller >= 0 && l.Caller < len(view.Members) {
					sender = view.Members[l.Caller].Node
				}
				c.logFailure("a call by letter cannot be read", &protocol.DecodeError{Source: peer.LettersOf(peer.CallKey, l.Caller), Sender: sender, Err: err})
				continue
			}
			a := c.Sync(q)
			answer, err := peer.Pack(a, view.Number, l.Caller, l.N, c.store.ValueBytes())
			if err == nil {
				_, err = c.post(ctx, view, peer.AnswerKey, answer)
			}
			if err != nil {
				c.log.Debug("an answer by letter failed", "err", err)
			}
		}
	}
}
