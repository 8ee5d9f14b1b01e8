package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	callWatch      = 10 * time.Second // the length of one watch for calls
	callWatchRetry = 250 * time.Millisecond
	callListRetry  = time.Second
)

// mailboxServer serves the calls that come by mailbox, each a Call that is answered with a
// Reply, while this node leads.
//
// knownRevision and mailboxes belong to the goroutine of run; the other fields are set once.
type mailboxServer[Call, Reply any] struct {
	transport *mailboxTransport
	state     *nodeState
	log       *slog.Logger
	handle    func(Call) Reply

	knownRevision uint64 // up to which parts are known; 0: they are to be listed
	mailboxes     map[int]*peer.Mailbox
}

// run serves calls until the context ends.
func (s *mailboxServer[Call, Reply]) run(ctx context.Context) {
	s.mailboxes = map[int]*peer.Mailbox{}
	for ctx.Err() == nil {
		view, leads := s.state.leadingView()
		if !leads {
			s.knownRevision = 0
			sleep(ctx, leaderCheckInterval)
			continue
		}
		for _, part := range s.receive(ctx, view) {
			s.handlePart(ctx, view, part)
		}
	}
}

// receive returns the parts of calls that have come, by a list first and by watches from then
// on. It returns none, after a pause, if the store does not answer.
func (s *mailboxServer[Call, Reply]) receive(ctx context.Context, view membership.View) []peer.MessagePart {
	if s.knownRevision == 0 {
		return s.list(ctx, view)
	}
	return s.watch(ctx, view)
}

// list returns all parts in the mailboxes.
func (s *mailboxServer[Call, Reply]) list(ctx context.Context, view membership.View) []peer.MessagePart {
	entries, revision, err := s.transport.store.List(ctx, statestore.PriorityBackground, peer.CallPrefix)
	if err != nil {
		sleep(ctx, callListRetry)
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

// watch returns the parts that have come since the known revision.
func (s *mailboxServer[Call, Reply]) watch(ctx context.Context, view membership.View) []peer.MessagePart {
	changes, err := s.transport.store.Watch(ctx, peer.CallPrefix, s.knownRevision, callWatch)
	if err != nil {
		if errors.Is(err, statestore.ErrRevisionCompacted) {
			s.knownRevision = 0
		}
		sleep(ctx, callWatchRetry)
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

// handlePart adds a part to its caller's mailbox, and serves the call that it completes.
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
		s.transport.failures.failed("call by mailbox could not be read", &protocol.DecodeError{
			Source: peer.MailboxPrefix(peer.CallPrefix, part.Caller),
			Sender: memberName(view, part.Caller),
			Err:    err,
		})
		return
	}
	if err := s.reply(ctx, view, part, s.handle(call)); err != nil {
		s.log.Debug("reply by mailbox failed", "err", err)
	}
}

// reply posts the reply to the call that a part belongs to.
func (s *mailboxServer[Call, Reply]) reply(ctx context.Context, view membership.View, call peer.MessagePart, reply Reply) error {
	parts, err := s.transport.split(reply, view, call.Caller, call.Call)
	if err != nil {
		return err
	}
	_, err = s.transport.post(ctx, view, peer.ReplyPrefix, parts)
	return err
}

// memberName returns the node name of a member of a view, empty if it has none of that index.
func memberName(view membership.View, index int) string {
	if index < 0 || index >= len(view.Members) {
		return ""
	}
	return view.Members[index].Node
}
