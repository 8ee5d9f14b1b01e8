package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// confirmation is what a confirmation says of a job.
type confirmation int

const (
	confirmationNeedsRead   confirmation = iota // only a read of its own can tell
	confirmedLive                               // the mirror's record is the present one
	confirmedAbsent                             // there is no such job
	confirmationUnavailable                     // the state service cannot be asked
)

const (
	// maxConfirmations is how often a poll takes part in transactions that fail for others.
	maxConfirmations = 2
	// statusReadShare is the part of a node's requests that confirmations may use.
	statusReadShare = 0.25
)

// statusRead is a question about a job that waits for the mirror to be confirmed.
type statusRead struct {
	uid      string
	result   chan confirmation
	attempts int
}

// statusConfirmer confirms the mirror for all polls that came in before it asks, with one
// transaction of guards alone. So an answer is never older than what any node said before
// the poll came in, and hundreds of polls cost a few requests.
type statusConfirmer struct {
	store      *statestore.Client
	revisionOf func(uid string) uint64 // of a live job in the mirror, 0: it has none
	waiting    chan *statusRead
	full       func() // is called for each poll that finds no room
}

// newStatusConfirmer makes a confirmer for so many polls: as many as there are connections on
// which one can come.
func newStatusConfirmer(store *statestore.Client, revisionOf func(uid string) uint64, most int, full func()) *statusConfirmer {
	return &statusConfirmer{store: store, revisionOf: revisionOf, waiting: make(chan *statusRead, most), full: full}
}

// confirm asks whether what the mirror shows of a job is the present state.
func (p *statusConfirmer) confirm(ctx context.Context, uid string) confirmation {
	q := &statusRead{uid: uid, result: make(chan confirmation, 1)}
	select {
	case p.waiting <- q:
	default:
		p.full()
		return confirmationUnavailable
	}
	select {
	case v := <-q.result:
		return v
	case <-ctx.Done():
		return confirmationUnavailable
	}
}

// run confirms batch after batch until the context ends.
func (p *statusConfirmer) run(ctx context.Context) {
	var again []*statusRead
	for {
		batch := p.nextBatch(ctx, again)
		if len(batch) == 0 {
			return
		}
		began := time.Now()
		again = p.confirmBatch(ctx, batch)
		interval := time.Duration(float64(time.Second) / (statusReadShare * p.store.RequestRate()))
		if !sleep(ctx, max(interval-time.Since(began), time.Millisecond)) {
			return
		}
	}
}

// nextBatch waits for a poll, unless some are to be asked for again, and adds what else has
// come in; none once the context has ended.
func (p *statusConfirmer) nextBatch(ctx context.Context, batch []*statusRead) []*statusRead {
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case q := <-p.waiting:
			batch = append(batch, q)
		}
	}
	// An unknown job takes two guards, and there may be four times as many as changes.
	most := 2 * p.store.TransactionChangeLimit()
	for len(batch) < most {
		select {
		case q := <-p.waiting:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

// confirmBatch asks for a batch and gives back those to be asked for anew.
func (p *statusConfirmer) confirmBatch(ctx context.Context, batch []*statusRead) (again []*statusRead) {
	revisions := make([]uint64, len(batch))
	guards := make([]protocol.Guard, 0, 2*len(batch))
	for i, q := range batch {
		revisions[i] = p.revisionOf(q.uid)
		guards = append(guards, protocol.Guard{Key: job.Key(q.uid), Revision: revisions[i]})
		if revisions[i] == 0 {
			guards = append(guards, protocol.Guard{Key: job.TerminalKey(q.uid)})
		}
	}
	_, err := p.store.Commit(ctx, statestore.PriorityUser, protocol.Transaction{Guards: guards})
	var conflict *statestore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		for _, q := range batch {
			q.result <- confirmationUnavailable
		}
		return nil
	}
	for i, q := range batch {
		switch {
		case conflict == nil && revisions[i] != 0:
			q.result <- confirmedLive
		case conflict == nil:
			q.result <- confirmedAbsent
		case slices.Contains(conflict.FailedGuards, job.Key(q.uid)), slices.Contains(conflict.FailedGuards, job.TerminalKey(q.uid)), q.attempts >= maxConfirmations:
			q.result <- confirmationNeedsRead
		default:
			// Whether a failed transaction names all that failed is on no page.
			q.attempts++
			again = append(again, q)
		}
	}
	return again
}
