package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/peer"
)

// Ends travel between the controllers. The word of all peers is worth as much as a
// confirmation by the state service only if it also brings the cancellations that they
// have confirmed to users: else a node that the service refuses alone lets those jobs
// run on. So each node logs what it knows to be cancelled before it tells anybody, and
// every ping, question and answer, carries what the other side lacks.

const (
	maxEnds   = 4096 // entries that a log holds
	maxTold   = 256  // of them in one message
	tellFor   = 150 * time.Millisecond
	pingEvery = time.Second
	peerAlive = 2500 * time.Millisecond // a peer heard of within this is there
)

// endLog is a node's log of ends. Entry i, counted from 0 over the process's life, is
// entries[i-first].
type endLog struct {
	run     uint64
	first   uint64
	entries []peer.Cancellation
}

// newRun names a run of the process, never 0.
func newRun() uint64 { return rand.Uint64() | 1 }

func (l *endLog) add(e peer.Cancellation) {
	if len(l.entries) >= maxEnds {
		n := maxEnds / 4
		l.entries = append(l.entries[:0], l.entries[n:]...)
		l.first += uint64(n)
	}
	l.entries = append(l.entries, e)
}

func (l *endLog) head() uint64 { return l.first + uint64(len(l.entries)) }

// after gives the entries that follow the first known ones, a message's worth of them.
// Of what the log has dropped nothing can be told: from is then the head.
func (l *endLog) after(run, known uint64) (from uint64, ends []peer.Cancellation) {
	if run != l.run || known < l.first || known > l.head() {
		return l.head(), nil
	}
	ends = l.entries[known-l.first:]
	return known, slices.Clone(ends[:min(len(ends), maxTold)])
}

// link is what a node has of another's log, and the other of its own.
type link struct {
	run, have uint64 // in that run this many entries are known here
	// missed is a log of which the beginning was not had: once the mirror shows what
	// stood in the state service after it was seen, all of it is known.
	missed struct {
		run, head uint64
		at        time.Time
	}
	theirRun, theirs uint64 // what the other has of our log
}

// take takes the ends that a ping brings and tells whether all of its sender's are
// known now. Fresh is the time up to which the mirror shows the state service.
func (l *link) take(a *peer.Ping, now, fresh time.Time, apply func(peer.Cancellation)) bool {
	if a.LogID == 0 {
		return false // a version that does not tell its ends
	}
	if a.PeerLogID != 0 {
		l.theirRun, l.theirs = a.PeerLogID, a.PeerLogKnown
	}
	for _, e := range a.Cancellations {
		apply(e)
	}
	if m := &l.missed; m.run == a.LogID && fresh.After(m.at) {
		if l.run != a.LogID || l.have < m.head {
			l.run, l.have = m.run, m.head
		}
		m.run = 0
	}
	if a.LogID == l.run && a.LogFrom <= l.have {
		l.have = max(l.have, a.LogFrom+uint64(len(a.Cancellations)))
		return l.have >= a.LogEnd
	}
	if l.missed.run != a.LogID {
		l.missed.run, l.missed.head, l.missed.at = a.LogID, a.LogEnd, now
	}
	return false
}

// standing is what a node says of itself to another.
func (c *Controller) standing(to string) peer.Ping {
	view, _, _ := c.membership.Current()
	p := peer.Ping{Node: c.settings.NodeName, View: view.Number, StateSilentMS: c.store.SinceLastAnswer().Milliseconds()}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[to]
	if l == nil {
		return p
	}
	p.LogID, p.LogEnd, p.PeerLogID, p.PeerLogKnown = c.ends.run, c.ends.head(), l.run, l.have
	p.LogFrom, p.Cancellations = c.ends.after(l.theirRun, l.theirs)
	return p
}

// heardOf takes a ping and tells whether all ends that its sender knows are known here.
func (c *Controller) heardOf(a peer.Ping) bool {
	c.mu.Lock()
	now, caught := time.Now(), false
	c.peerUp[a.Node] = peerState{at: now, stateMS: a.StateSilentMS}
	if l := c.links[a.Node]; l != nil {
		caught = l.take(&a, now, c.mirror.FreshAsOf(), func(e peer.Cancellation) {
			c.keepFinal(e.UID, job.Final{Status: job.StatusCancelled, Done: e.Done})
		})
	}
	c.mu.Unlock()
	c.membership.ObserveView(a.View)
	return caught
}

// Ping serves another node's question.
func (c *Controller) Ping(q peer.Ping) peer.Ping {
	c.heardOf(q)
	return c.standing(q.Node)
}

// pingLoop learns how the others stand. When all of them answer that they have seen no
// later view, and their ends are known, this node keeps its authority although the
// state service may be down: nobody else can have taken its machines or ended its jobs.
func (c *Controller) pingLoop(ctx context.Context) {
	for sleep(ctx, pingEvery) {
		go c.pingAll(ctx, false)
	}
}

// pingAll asks all others, or those that are there.
func (c *Controller) pingAll(ctx context.Context, alive bool) {
	view, _, _ := c.membership.Current()
	asked, n, all := time.Now(), 0, len(c.peers) > 0
	answers := make(chan bool, len(c.peers))
	for name, cl := range c.peers {
		if alive && !c.peerAlive(name) {
			all = false
			continue
		}
		n++
		go func() {
			a, err := cl.Ping(ctx, c.standing(name))
			if err != nil {
				c.logFailure("ping failed", err)
			}
			answers <- err == nil && c.heardOf(a) && attests(a, name, view.Number)
		}()
	}
	for range n {
		all = <-answers && all
	}
	if all {
		c.membership.QuorumConfirmed(view.Number, asked)
	}
}

func (c *Controller) peerAlive(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.peerUp[name].at) < peerAlive
}

// attests tells whether a node's answer says that nobody can have gone beyond a
// view. One that has not read a view since its start cannot know what it saw
// before: its word is worth nothing.
func attests(a peer.Ping, node string, view uint64) bool {
	return a.Node == node && view > 0 && a.View == view
}

// tellEnds lets the others know of a cancellation before its user is told, so that none
// of them starts a task of it meanwhile. It waits for a moment at the most: whom it does
// not reach loses its authority in time.
func (c *Controller) tellEnds(ctx context.Context) {
	told := make(chan struct{})
	select {
	case c.tells <- told:
	default:
		return
	}
	select {
	case <-told:
	case <-time.After(tellFor):
	case <-ctx.Done():
	}
}

// tellLoop sends what tellEnds asks for, one round for all that came up meanwhile.
func (c *Controller) tellLoop(ctx context.Context) {
	for {
		var waiting []chan struct{}
		select {
		case <-ctx.Done():
			return
		case w := <-c.tells:
			waiting = append(waiting, w)
		}
		for more := true; more; {
			select {
			case w := <-c.tells:
				waiting = append(waiting, w)
			default:
				more = false
			}
		}
		round, cancel := context.WithTimeout(ctx, tellFor)
		c.pingAll(round, true)
		cancel()
		for _, w := range waiting {
			close(w)
		}
	}
}
