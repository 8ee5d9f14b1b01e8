package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// confirmation is the result of checking a job's entry in the job cache against the store.
type confirmation int

const (
	confirmationNeedsRead   confirmation = iota // the job's keys must be read
	confirmedLive                               // the record in the job cache is current
	confirmedAbsent                             // the job has never been submitted
	confirmationUnavailable                     // the key-value store is unavailable or the queue is full
)

const (
	// maxConfirmationRetries is how often a status read is retried because its transaction failed on the
	// guards of other reads.
	maxConfirmationRetries = 2
	// confirmationShare is the fraction of a node's request rate that confirmations may use.
	confirmationShare = 0.25
	// minConfirmationDelay is the minimum delay between two confirming transactions.
	minConfirmationDelay = time.Millisecond
	// readsPerChange is the number of reads that a transaction confirms for each change that the
	// store allows in it: an unknown job needs two guards, and the store allows four guards for
	// each change.
	readsPerChange = 2
)

// statusConfirmer confirms that entries of the job cache are current. It checks all waiting status
// reads with one transaction that has only guards. The transaction is sent after the reads arrived,
// so their responses are never older than what any node has reported before, and hundreds of reads
// cost only a few requests.
type statusConfirmer struct {
	store          *statestore.Client
	cachedRevision func(uid string) uint64 // revision of a job's record in the job cache, 0 if there is none
	waiting        chan *statusRead
	onFull         func()
}

// statusRead is a status read that is waiting for its confirmation.
type statusRead struct {
	uid     string
	result  chan confirmation // buffered, so that sending the result never blocks
	retries int
}

// newStatusConfirmer creates a confirmer that queues at most limit reads, which is the number of
// connections on which reads can arrive. It calls onFull for each read while the queue is full.
func newStatusConfirmer(store *statestore.Client, cachedRevision func(uid string) uint64, limit int, onFull func()) *statusConfirmer {
	return &statusConfirmer{store: store, cachedRevision: cachedRevision, waiting: make(chan *statusRead, limit), onFull: onFull}
}

// confirm checks whether a job's entry in the job cache is current, with a transaction that is sent
// after the call. If the queue is full it returns confirmationUnavailable at once.
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

// run confirms waiting reads in batches until the context is cancelled.
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
		if !ctxtime.Sleep(ctx, max(interval-time.Since(began), minConfirmationDelay)) {
			return
		}
	}
}

// nextBatch returns the retried reads followed by the waiting ones. If there are none it blocks until
// one arrives. It returns nil if the context is cancelled.
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
	limit := readsPerChange * c.store.TransactionChangeLimit()
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

// confirmBatch confirms a batch of reads and returns the reads to retry.
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
		// It is not documented whether a failed transaction reports all guards that failed, so the
		// other reads are retried instead of being confirmed.
		read.retries++
		retried = append(retried, read)
	}
	return retried
}

// confirmingTransaction returns a transaction without changes. Its guards hold only while the jobs'
// records have the given revisions, and jobs without a record have no terminal state either.
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

// confirmedAt returns the confirmation for a job whose guard on a record revision has held; revision
// 0 means that the record does not exist.
func confirmedAt(revision uint64) confirmation {
	if revision == 0 {
		return confirmedAbsent
	}
	return confirmedLive
}

// failedBy reports whether one of the failed guards is on a key of the read's job.
func (r *statusRead) failedBy(failedGuards []string) bool {
	return slices.Contains(failedGuards, job.Key(r.uid)) || slices.Contains(failedGuards, job.TerminalKey(r.uid))
}
