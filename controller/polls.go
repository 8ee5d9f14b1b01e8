package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// budgets keep polls, submissions and cancellations from starving each other:
// each kind has a part of the node's share of the state service's requests. What
// finds none is refused at once and told when to come back.
type budgets struct {
	mu      sync.Mutex
	lim     map[string]*rate.Limiter
	refused int
}

// The kinds of calls, by what they read or write.
const (
	callRead   = "read"
	callSubmit = "submit"
	callCancel = "cancel"
)

func newBudgets(l settings.StateLimits) *budgets {
	b := &budgets{lim: map[string]*rate.Limiter{}}
	for kind, part := range map[string]float64{callRead: 0.2, callSubmit: 0.3, callCancel: 0.2} {
		b.lim[kind] = rate.NewLimiter(rate.Limit(l.RPS*part), max(4, int(l.RPS*part)))
	}
	return b
}

// take takes one call's worth, or tells that there is none.
func (b *budgets) take(kind string) bool {
	if b.lim[kind].Allow() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	return false
}

func (b *budgets) refusals() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.refused
	b.refused = 0
	return n
}

// poll is a question about a job that waits for the mirror to be confirmed.
type poll struct {
	uid    string
	answer chan verdict
	tries  int
}

type verdict int

const (
	vRead    verdict = iota // only a read of its own can tell
	vLive                   // the mirror's record is the present one
	vUnknown                // there is no such job
	vRefused                // the state service cannot be asked
)

const maxPolls = 512

// confirm asks whether what the mirror shows of a job is the present state.
func (c *Controller) confirmMirror(ctx context.Context, uid string) verdict {
	q := &poll{uid: uid, answer: make(chan verdict, 1)}
	select {
	case c.polls <- q:
	default:
		return vRefused
	}
	select {
	case v := <-q.answer:
		return v
	case <-ctx.Done():
		return vRefused
	}
}

// pollLoop confirms the mirror for all polls that came in before it asks, with one
// transaction of guards alone. So an answer is never older than what any node
// said before the poll came in, and hundreds of polls cost a few requests.
func (c *Controller) pollLoop(ctx context.Context) {
	var again []*poll
	for {
		batch := again
		again = nil
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case q := <-c.polls:
				batch = append(batch, q)
			}
		}
		most := 2 * c.store.TransactionChanges() // two guards for an unknown job, four times the changes in all
		for len(batch) < most {
			select {
			case q := <-c.polls:
				batch = append(batch, q)
				continue
			default:
			}
			break
		}
		began := time.Now()
		again = c.confirmAll(ctx, batch)
		// A quarter of the node's requests at the most.
		pause := time.Duration(float64(time.Second) * 4 / c.store.RequestRate())
		if !sleep(ctx, max(pause-time.Since(began), time.Millisecond)) {
			return
		}
	}
}

// confirmAll asks for a batch and gives back those to be asked for anew.
func (c *Controller) confirmAll(ctx context.Context, batch []*poll) (again []*poll) {
	stamps := make([]uint64, len(batch))
	guards := make([]protocol.Guard, 0, 2*len(batch))
	c.mu.Lock()
	for i, q := range batch {
		if l := c.mirror.Get(q.uid); l != nil {
			stamps[i] = l.Revision
			guards = append(guards, protocol.Guard{Key: job.Key(q.uid), Revision: l.Revision})
		} else {
			guards = append(guards, protocol.Guard{Key: job.Key(q.uid)}, protocol.Guard{Key: job.FinalKey(q.uid)})
		}
	}
	c.mu.Unlock()
	_, err := c.store.Commit(ctx, statestore.PriorityUser, protocol.Transaction{Guards: guards})
	var conflict *statestore.Conflict
	failed := map[string]bool{}
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		for _, k := range conflict.Failed {
			failed[k] = true
		}
	default:
		for _, q := range batch {
			q.answer <- vRefused
		}
		return nil
	}
	for i, q := range batch {
		switch {
		case failed[job.Key(q.uid)] || failed[job.FinalKey(q.uid)]:
			q.answer <- vRead
		case conflict != nil && q.tries >= 2:
			q.answer <- vRead
		case conflict != nil:
			// Whether a failed transaction names all that failed is on no page.
			q.tries++
			again = append(again, q)
		case stamps[i] != 0:
			q.answer <- vLive
		default:
			q.answer <- vUnknown
		}
	}
	return again
}
