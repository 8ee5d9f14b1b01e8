package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	callWatchTimeout    = 10 * time.Second // duration of one watch for calls
	callWatchRetryDelay = 250 * time.Millisecond
	callListRetryDelay  = time.Second
)

// mailboxServer serves the calls that arrive by mailbox while this node is the leader. It decodes
// each into a Call and answers it with a Reply.
//
// knownRevision and mailboxes are accessed only by the goroutine of run; the other fields are
// immutable.
type mailboxServer[Call, Reply any] struct {
	transport *mailboxTransport
	state     *nodeState
	log       *slog.Logger
	handle    func(Call) Reply

	knownRevision uint64 // parts up to this revision are known; 0 if the mailboxes must be listed
	mailboxes     map[int]*peer.Mailbox
}

// run serves calls until the context is cancelled.
func (s *mailboxServer[Call, Reply]) run(ctx context.Context) {
	s.mailboxes = map[int]*peer.Mailbox{}
	for ctx.Err() == nil {
		view, leads := s.state.leadingView()
		if !leads {
			s.knownRevision = 0
			ctxtime.Sleep(ctx, leaderCheckInterval)
			continue
		}
		for _, part := range s.receive(ctx, view) {
			s.handlePart(ctx, view, part)
		}
	}
}

// receive returns the parts of calls that have arrived: first by listing the mailboxes, then by
// watching them. If the store does not reply, it returns none after a delay.
func (s *mailboxServer[Call, Reply]) receive(ctx context.Context, view membership.View) []peer.MessagePart {
	if s.knownRevision == 0 {
		return s.list(ctx, view)
	}
	return s.watch(ctx, view)
}

// list returns all parts of the current view in the mailboxes.
func (s *mailboxServer[Call, Reply]) list(ctx context.Context, view membership.View) []peer.MessagePart {
	entries, revision, err := s.transport.store.List(ctx, statestore.PriorityBackground, peer.CallPrefix)
	if err != nil {
		ctxtime.Sleep(ctx, callListRetryDelay)
		return nil
	}
	var parts []peer.MessagePart
	for _, entry := range entries {
		if part, ok := s.transport.readPart(entry.Key, entry.Data, view); ok {
			parts = append(parts, part)
		}
	}
	s.knownRevision = revision
	return parts
}

// watch returns the parts that have been written since the known revision.
func (s *mailboxServer[Call, Reply]) watch(ctx context.Context, view membership.View) []peer.MessagePart {
	changes, err := s.transport.store.Watch(ctx, peer.CallPrefix, s.knownRevision, callWatchTimeout)
	if err != nil {
		if errors.Is(err, statestore.ErrRevisionCompacted) {
			s.knownRevision = 0
		}
		ctxtime.Sleep(ctx, callWatchRetryDelay)
		return nil
	}
	var parts []peer.MessagePart
	for _, event := range changes.Events {
		if part, ok := s.transport.readPart(event.PutKey, event.Data, view); ok {
			parts = append(parts, part)
		}
	}
	s.knownRevision = max(s.knownRevision, changes.StoreRevision)
	return parts
}

// handlePart adds a part to its caller's mailbox and serves the call if that completes it.
func (s *mailboxServer[Call, Reply]) handlePart(ctx context.Context, view membership.View, part peer.MessagePart) {
	mailbox := s.mailboxes[part.Caller]
	if mailbox == nil {
		mailbox = &peer.Mailbox{}
		s.mailboxes[part.Caller] = mailbox
	}
	if !mailbox.Add(part) {
		return
	}
	var call Call
	if err := mailbox.Decode(&call); err != nil {
		s.transport.failures.logFailure("mailbox call could not be decoded", &protocol.DecodeError{
			Source: peer.MailboxPrefix(peer.CallPrefix, part.Caller),
			Sender: memberName(view, part.Caller),
			Err:    err,
		})
		return
	}
	if err := s.reply(ctx, view, part, s.handle(call)); err != nil {
		s.log.Debug("posting a mailbox reply failed", "err", err)
	}
}

// reply posts the reply to a call. It reads the caller and the number of the call from any of its parts.
func (s *mailboxServer[Call, Reply]) reply(ctx context.Context, view membership.View, call peer.MessagePart, reply Reply) error {
	parts, err := s.transport.split(reply, view, call.Caller, call.Call)
	if err != nil {
		return err
	}
	_, err = s.transport.post(ctx, view, peer.ReplyPrefix, parts)
	return err
}

// memberName returns the node name of the member with an index, or "" if there is no such member.
func memberName(view membership.View, index int) string {
	if index < 0 || index >= len(view.Members) {
		return ""
	}
	return view.Members[index].Node
}
