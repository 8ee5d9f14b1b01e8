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

// confirmation is the result of confirming what the job cache holds of a job.
type confirmation int

const (
	confirmationNeedsRead   confirmation = iota // only a read of the job's keys can tell
	confirmedLive                               // the record in the job cache is the present one
	confirmedAbsent                             // the job has never been submitted
	confirmationUnavailable                     // the key-value store cannot be asked
)

const (
	// maxConfirmationRetries is how often a status read takes part in another transaction after one
	// that failed by the guards of others.
	maxConfirmationRetries = 2
	// confirmationShare is the part of a node's requests that confirmations may use.
	confirmationShare = 0.25
	// minConfirmationPause is the shortest pause between two confirmations.
	minConfirmationPause = time.Millisecond
	// batchPerChange is how many reads a transaction confirms for each change that it might have:
	// an unknown job takes two guards, and there may be four times as many guards as changes.
	batchPerChange = 2
)

// statusConfirmer confirms that what the job cache holds is the present state: for all status reads
// that wait, with one transaction of guards alone. As it is sent after the reads came in, their
// responses are never older than what any node has said before, and hundreds of reads cost a few
// requests.
type statusConfirmer struct {
	store          *statestore.Client
	cachedRevision func(uid string) uint64 // of a live job's record in the job cache, 0 if it has none
	waiting        chan *statusRead
	onFull         func()
}

// statusRead is a status read that waits for its confirmation.
type statusRead struct {
	uid     string
	result  chan confirmation // has room for the result
	retries int
}

// newStatusConfirmer makes a confirmer of at most limit waiting reads: as many as there are
// connections on which one can come. It calls onFull for each read that finds no room.
func newStatusConfirmer(store *statestore.Client, cachedRevision func(uid string) uint64, limit int, onFull func()) *statusConfirmer {
	return &statusConfirmer{store: store, cachedRevision: cachedRevision, waiting: make(chan *statusRead, limit), onFull: onFull}
}

// confirm returns whether what the job cache holds of a job is the present state, by a transaction
// that is sent after the call. If there is no room it returns confirmationUnavailable at once.
func (c *statusConfirmer) confirm(ctx context.Context, uid string) confirmation {
	read := &statusRead{uid: uid, result: make(chan confirmation, 1)}
	select {
	case c.waiting <- read:
	default:
		c.onFull()
		return confirmationUnavailable
	}
	select {
	case result := <-read.result:
		return result
	case <-ctx.Done():
		return confirmationUnavailable
	}
}

// run confirms batch after batch until the context ends.
func (c *statusConfirmer) run(ctx context.Context) {
	var retried []*statusRead
	for {
		batch := c.nextBatch(ctx, retried)
		if len(batch) == 0 {
			return
		}
		began := time.Now()
		retried = c.confirmBatch(ctx, batch)
		interval := time.Duration(float64(time.Second) / (confirmationShare * c.store.RequestRate()))
		if !sleep(ctx, max(interval-time.Since(began), minConfirmationPause)) {
			return
		}
	}
}

// nextBatch adds the reads that wait to those that are retried. If there is none it waits for one;
// it returns none once the context has ended.
func (c *statusConfirmer) nextBatch(ctx context.Context, retried []*statusRead) []*statusRead {
	batch := retried
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case read := <-c.waiting:
			batch = append(batch, read)
		}
	}
	limit := batchPerChange * c.store.TransactionChangeLimit()
	for len(batch) < limit {
		select {
		case read := <-c.waiting:
			batch = append(batch, read)
		default:
			return batch
		}
	}
	return batch
}

// confirmBatch confirms a batch of reads and returns those that are to be retried.
func (c *statusConfirmer) confirmBatch(ctx context.Context, batch []*statusRead) (retried []*statusRead) {
	revisions := make([]uint64, len(batch))
	for i, read := range batch {
		revisions[i] = c.cachedRevision(read.uid)
	}
	_, err := c.store.Commit(ctx, statestore.PriorityUser, confirmingTransaction(batch, revisions))
	if err == nil {
		for i, read := range batch {
			read.result <- confirmedAt(revisions[i])
		}
		return nil
	}
	conflict, ok := errors.AsType[*statestore.ConflictError](err)
	if !ok {
		for _, read := range batch {
			read.result <- confirmationUnavailable
		}
		return nil
	}
	for _, read := range batch {
		if read.failedBy(conflict.FailedGuards) || read.retries >= maxConfirmationRetries {
			read.result <- confirmationNeedsRead
			continue
		}
		// Whether a failed transaction names all guards that failed is not documented.
		read.retries++
		retried = append(retried, read)
	}
	return retried
}

// confirmingTransaction passes only while the jobs' records have the given revisions, and jobs
// without a record have no terminal state either. It changes nothing.
func confirmingTransaction(batch []*statusRead, revisions []uint64) protocol.Transaction {
	guards := make([]protocol.Guard, 0, 2*len(batch))
	for i, read := range batch {
		guards = append(guards, protocol.Guard{Key: job.Key(read.uid), Revision: revisions[i]})
		if revisions[i] == 0 {
			guards = append(guards, protocol.Guard{Key: job.TerminalKey(read.uid)})
		}
	}
	return protocol.Transaction{Guards: guards}
}

// confirmedAt returns what a transaction that passed confirms of a job whose record it expected at
// a revision.
func confirmedAt(revision uint64) confirmation {
	if revision == 0 {
		return confirmedAbsent
	}
	return confirmedLive
}

// failedBy reports whether one of the guards that failed is on a key of the read's job.
func (r *statusRead) failedBy(failedGuards []string) bool {
	return slices.Contains(failedGuards, job.Key(r.uid)) || slices.Contains(failedGuards, job.TerminalKey(r.uid))
}
