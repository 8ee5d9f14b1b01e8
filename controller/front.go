package controller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"junipershelf/front"
	"junipershelf/job"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/state"
)

// userTime is how long a user's call may look for room in the state service's
// limits. What cannot be done then, or in an outage, is refused at once.
const userTime = 300 * time.Millisecond

// userRetry is the pause before the first repeat of such a call; each further one is
// twice as long, so that a service that is short of room is not asked in a tight loop.
const userRetry = 50 * time.Millisecond

var busy = front.Problem(http.StatusServiceUnavailable, "try again")

// insist repeats a call that found no room in the limits, for a short while.
func insist(ctx context.Context, f func(context.Context) error) error {
	end := time.Now().Add(userTime)
	for pause := userRetry; ; pause *= 2 {
		err := f(ctx)
		if !errors.Is(err, state.ErrBusy) || time.Now().Add(pause).After(end) || !sleep(ctx, pause) {
			return err
		}
	}
}

// lookup reads a job's state: a live record, a final one, or neither.
func (c *Controller) lookup(ctx context.Context, uid string) (live *job.Record, stamp uint64, final *job.Ended, err error) {
	c.mu.Lock()
	e, known := c.finals[uid]
	over := c.mirror.Over(uid) // it moved, and never moves back
	c.mu.Unlock()
	if known {
		return nil, 0, &e, nil
	}
	var entry protocol.Entry
	if !over {
		err = insist(ctx, func(ctx context.Context) (err error) {
			entry, err = c.store.Get(ctx, state.User, job.Key(uid))
			return
		})
		if err != nil {
			return nil, 0, nil, err
		}
		if entry.Stamp != 0 {
			rec, err := job.Decode(uid, entry.Data)
			if err != nil {
				c.logFailure("a job cannot be read", err)
				return nil, 0, nil, err
			}
			return &rec, entry.Stamp, nil, nil
		}
	}
	err = insist(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.Get(ctx, state.User, job.EndedKey(uid))
		return
	})
	if err != nil || entry.Stamp == 0 {
		return nil, 0, nil, err
	}
	if e, err = job.DecodeEnded(uid, entry.Data); err != nil {
		c.logFailure("a job cannot be read", err)
		return nil, 0, nil, err
	}
	c.remember(uid, e)
	return nil, 0, &e, nil
}

// remember keeps a final state, which never changes.
func (c *Controller) remember(uid string, e job.Ended) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepFinal(uid, e)
}

func (c *Controller) keepFinal(uid string, e job.Ended) {
	if _, known := c.finals[uid]; known {
		return
	}
	if len(c.finals) > 50000 {
		clear(c.finals)
	}
	c.finals[uid] = e
	c.mirror.Drop(uid, time.Now())
	if e.Status == job.Cancelled {
		c.ends.add(peer.End{UID: uid, Done: e.Done})
	}
}

func (c *Controller) status(uid string, live *job.Record, final *job.Ended) protocol.JobStatus {
	zero := 0
	if final != nil {
		return protocol.JobStatus{UID: uid, Status: final.Status, Done: &final.Done, Running: &zero}
	}
	done := 0
	if r, err := job.ParseRanges(live.Done); err == nil {
		done = r.Len()
	}
	return c.liveStatus(uid, done)
}

func (c *Controller) liveStatus(uid string, done int) protocol.JobStatus {
	c.mu.Lock()
	running := c.running[uid]
	c.mu.Unlock()
	s := protocol.JobStatus{UID: uid, Status: "pending", Done: &done, Running: &running}
	if running > 0 {
		s.Status = "running"
	}
	return s
}

// Submit accepts a job once it stands in the state service.
func (c *Controller) Submit(ctx context.Context, spec *protocol.Spec) front.Answer {
	code, why := c.possible(spec)
	if !c.admit.take(callSubmit) {
		return busy
	}
	if code != 0 {
		return c.repeated(ctx, spec.UID, front.Problem(code, why))
	}
	c.mu.Lock()
	e, known := c.finals[spec.UID]
	c.mu.Unlock()
	if known {
		return front.Answer{Code: 200, Body: c.status(spec.UID, nil, &e)}
	}
	now := time.Now()
	rec := job.Record{Spec: *spec, At: now.UnixMilli()}
	raw, err := protocol.Marshal(rec)
	if err != nil {
		return busy
	}
	if len(raw)+800 > c.store.ValueBytes() {
		// One that was accepted under larger limits stays known.
		return c.repeated(ctx, spec.UID, front.Problem(http.StatusUnprocessableEntity, "the job's description is too large to keep"))
	}
	var epoch uint64
	err = insist(ctx, func(ctx context.Context) (err error) {
		epoch, err = c.store.Multi(ctx, state.User, protocol.Multi{
			Guards: []protocol.Guard{{Key: job.Key(spec.UID)}, {Key: job.EndedKey(spec.UID)}},
			Then:   []protocol.Change{{Set: job.Key(spec.UID), Data: raw}},
		})
		return
	})
	var conflict *state.Conflict
	switch {
	case err == nil:
		c.mu.Lock()
		_ = c.mirror.Set(spec.UID, rec, epoch, now)
		c.mu.Unlock()
		c.log.Debug("job is accepted", "job", spec.UID, "class", spec.Queue, "tasks", spec.Pieces, "cpus", spec.CPUs,
			"expected_s", spec.ExpectedS, "due_s", spec.DueS, "image", spec.Bundle, "gb", spec.SizeGB, "after", time.Since(now))
		return front.Answer{Code: 201, Body: protocol.JobStatus{UID: spec.UID, Status: "pending"}}
	case errors.As(err, &conflict):
		live, _, final, err := c.lookup(ctx, spec.UID)
		if err != nil || live == nil && final == nil {
			return busy
		}
		return front.Answer{Code: 200, Body: c.status(spec.UID, live, final)}
	}
	return busy
}

// repeated answers a submission that would be refused: a job that was accepted stays
// accepted, whatever has changed since.
func (c *Controller) repeated(ctx context.Context, uid string, refusal front.Answer) front.Answer {
	live, _, final, err := c.lookup(ctx, uid)
	switch {
	case err != nil:
		return busy
	case live != nil || final != nil:
		return front.Answer{Code: 200, Body: c.status(uid, live, final)}
	}
	return refusal
}

// Refused answers a malformed submission with 400, unless it repeats one that was
// accepted. Only a job that this node has met is looked up: what nobody knows is not
// worth a call, and must not wait for a state service that is out.
func (c *Controller) Refused(ctx context.Context, uid, why string) front.Answer {
	c.mu.Lock()
	_, known := c.finals[uid]
	known = known || c.mirror.Get(uid) != nil || c.mirror.Over(uid)
	c.mu.Unlock()
	if !known {
		return front.Problem(http.StatusBadRequest, why)
	}
	if a := c.Status(ctx, uid); a.Code != http.StatusNotFound {
		return a
	}
	return front.Problem(http.StatusBadRequest, why)
}

// possible tells whether a job can ever run: 0, 422, or 503 when the machine
// types are not known yet.
func (c *Controller) possible(s *protocol.Spec) (int, string) {
	team, ok := c.teams[s.Owner]
	if !ok {
		return 422, "unknown team"
	}
	t := c.set.Facts.Teams[team]
	at := 1.0 // what runs at the same time: of an array one task at least
	if s.Shape != protocol.Array {
		at = float64(s.Pieces)
	}
	if s.CPUs*at > t.CPUsMax+1e-6 || s.Accelerators*at > t.GPUsMax+1e-6 {
		return 422, "the job needs more than the team's limit"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.flavors) == 0 {
		return 503, "machine types are not known yet"
	}
	need := job.NeedOf(s)
	for label, f := range c.flavors {
		if cp, _ := c.caps(label); !need.Fits(cp) {
			continue
		}
		for _, z := range f.Yards {
			if job.Allows(s, label, z, false) {
				return 0, ""
			}
		}
	}
	return 422, "a task fits no allowed machine type"
}

// Status answers a poll: finals from memory, live jobs from the mirror once that
// is confirmed after the poll came in, the rest by a read.
func (c *Controller) Status(ctx context.Context, uid string) front.Answer {
	c.mu.Lock()
	e, known := c.finals[uid]
	over := c.mirror.Over(uid)
	c.mu.Unlock()
	if known {
		return front.Answer{Code: 200, Body: c.status(uid, nil, &e)}
	}
	if !over {
		switch c.confirm(ctx, uid) {
		case vLive:
			c.mu.Lock()
			l := c.mirror.Get(uid)
			done := 0
			if l != nil {
				done = l.Finished.Len()
			}
			c.mu.Unlock()
			if l != nil {
				return front.Answer{Code: 200, Body: c.liveStatus(uid, done)}
			}
			// It ended since then.
		case vUnknown:
			return front.Problem(http.StatusNotFound, "no such job")
		case vRefused:
			return busy
		}
	}
	if !c.admit.take(callRead) {
		return busy
	}
	live, _, final, err := c.lookup(ctx, uid)
	switch {
	case err != nil:
		return busy
	case live == nil && final == nil:
		return front.Problem(http.StatusNotFound, "no such job")
	}
	return front.Answer{Code: 200, Body: c.status(uid, live, final)}
}

// Cancel ends a job, unless it is done.
func (c *Controller) Cancel(ctx context.Context, uid string) front.Answer {
	if !c.admit.take(callCancel) {
		return busy
	}
	ctx, cancel := context.WithTimeout(ctx, 2*state.Timeout)
	defer cancel()
	for range 6 {
		live, stamp, final, err := c.lookup(ctx, uid)
		switch {
		case err != nil:
			return busy
		case final != nil:
			return front.Answer{Code: 200, Body: protocol.JobStatus{UID: uid, Status: final.Status}}
		case live == nil:
			return front.Problem(http.StatusNotFound, "no such job")
		}
		done, _ := job.ParseRanges(live.Done)
		end := job.Ended{Status: job.Cancelled, Done: done.Len()}
		raw, err := protocol.Marshal(end)
		if err != nil {
			return busy
		}
		err = insist(ctx, func(ctx context.Context) error {
			_, err := c.store.Multi(ctx, state.User, protocol.Multi{
				Guards: []protocol.Guard{{Key: job.Key(uid), Stamp: stamp}},
				Then:   []protocol.Change{{Delete: job.Key(uid)}, {Set: job.EndedKey(uid), Data: raw}},
			})
			return err
		})
		var conflict *state.Conflict
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return busy
		}
		c.remember(uid, end)
		c.tellEnds(ctx)
		return front.Answer{Code: 200, Body: protocol.JobStatus{UID: uid, Status: job.Cancelled}}
	}
	return busy
}

// Healthy is false for a node that has lost the state service alone. When the
// others have lost it too, it stays healthy and says 503, so that an outage
// does not empty the load balancer.
func (c *Controller) Healthy() bool {
	if c.store.Silence() < 2500*time.Millisecond {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peerUp {
		if time.Since(p.at) < 2500*time.Millisecond && p.stateMS < 1500 {
			return false
		}
	}
	return true
}

// beatHold is how long a report's answer waits for a commit, or for the divider,
// when its machine has room that waiting work could take: the next start goes with
// this answer, and the machine would not report again before its time. So it is the
// longer the more seldom machines report, but well below the 4 s after which a worker
// gives an answer up.
func (c *Controller) beatHold() time.Duration {
	return min(max(settings.Seconds(c.set.Facts.Workers.ReportS*0.4), 900*time.Millisecond), 2*time.Second)
}

// Beat answers a worker's report.
func (c *Controller) Beat(ctx context.Context, body []byte) front.Answer {
	b, err := protocol.ParseBeat(body)
	if err != nil {
		return front.Problem(http.StatusBadRequest, err.Error())
	}
	return c.beat(ctx, b, body)
}

func (c *Controller) beat(ctx context.Context, b *protocol.Beat, body []byte) front.Answer {
	view, me, _ := c.roster.Now()
	if view.Number == 0 || view.Index(me) < 0 {
		return busy
	}
	if o := view.Owner(view.PartOf(b.Host)); view.Members[o] != me {
		return c.stray(ctx, view.Members[o].Node, b.Host, body)
	}
	return c.own(ctx, view.Number, b)
}

// stray answers a report that belongs to another owner. A worker that comes
// back although it was sent there cannot reach its owner: its report is passed
// on over our own network.
func (c *Controller) stray(ctx context.Context, owner, host string, body []byte) front.Answer {
	now := time.Now()
	c.mu.Lock()
	last, again := c.strays[host]
	again = again && now.Sub(last) < 10*time.Second
	c.strays[host] = now
	if len(c.strays) > 5000 {
		clear(c.strays)
	}
	alive := now.Sub(c.peerUp[owner].at) < 2500*time.Millisecond
	c.mu.Unlock()
	if !alive {
		// Naming it would only send the worker into the void.
		return front.Answer{Code: http.StatusMisdirectedRequest, Body: protocol.Foreman{}}
	}
	if again && body != nil {
		return c.passOn(ctx, owner, body)
	}
	return front.Answer{Code: http.StatusMisdirectedRequest, Body: protocol.Foreman{Foreman: owner}}
}

// passOn sends a report to its owner and gives the owner's answer back.
func (c *Controller) passOn(ctx context.Context, owner string, body []byte) front.Answer {
	cl := c.peers[owner]
	if cl == nil {
		return busy
	}
	a, err := cl.Forward(ctx, peer.Forward{Body: body})
	if err != nil {
		c.logFailure("passing a report on failed", err)
		return busy
	}
	if a.Code != http.StatusOK {
		return busy
	}
	var r protocol.BeatReply
	if err := protocol.Unmarshal(a.Body, &r); err != nil {
		c.logFailure("passing a report on failed", &protocol.DecodeError{Source: "report answer", Sender: owner, Err: err})
		return busy
	}
	return front.Answer{Code: http.StatusOK, Body: r}
}

// Forward takes a report that another node passes on.
func (c *Controller) Forward(ctx context.Context, q peer.Forward) peer.ForwardReply {
	b, err := protocol.ParseBeat(q.Body)
	if err != nil {
		return peer.ForwardReply{Code: 400}
	}
	a := c.beat(ctx, b, nil)
	raw, err := protocol.Marshal(a.Body)
	if err != nil {
		return peer.ForwardReply{Code: 500}
	}
	return peer.ForwardReply{Code: a.Code, Body: raw}
}

func (c *Controller) own(ctx context.Context, view uint64, b *protocol.Beat) front.Answer {
	// While a new view is read, a moment's wait spares the worker a detour.
	c.mu.Lock()
	loaded := c.loaded
	ready := c.part != nil && c.part.View() == view
	c.mu.Unlock()
	if !ready {
		select {
		case <-loaded:
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	now := time.Now()
	c.mu.Lock()
	p := c.part
	if p == nil || p.View() != view || !c.roster.Holds(view) {
		if p != nil {
			p.Contact(b, now)
		}
		c.mu.Unlock()
		return busy
	}
	if c.say("up " + b.Host) {
		c.log.Debug("machine reports", "machine", b.Host, "flavor", b.Flavor, "zone", b.Yard, "spot", b.Borrowed)
	}
	fresh := p.Report(now, b)
	if !fresh {
		c.mu.Unlock()
		return front.Answer{Code: 200, Body: protocol.BeatReply{Baton: view, Orders: []protocol.Order{}}}
	}
	c.work.reports++
	p.TickOne(now, b.Host)
	if p.Wants(b.Host) || c.hungry && p.Spare(b.Host) {
		c.work.held++
		poke(c.dirty)
		limit := time.After(c.beatHold())
	wait:
		for c.part == p && (p.Wants(b.Host) || c.hungry && p.Spare(b.Host)) {
			settled := c.settled
			c.mu.Unlock()
			select {
			case <-settled:
				c.mu.Lock()
				p.TickOne(time.Now(), b.Host)
			case <-limit:
				c.mu.Lock()
				break wait
			case <-ctx.Done():
				c.mu.Lock()
				break wait
			}
		}
	}
	defer c.mu.Unlock()
	if c.part != p || !c.roster.Holds(view) {
		return busy
	}
	p.Answered(b.Host, now)
	orders := p.Orders(time.Now(), b.Host, b.Shift, b.Tick)
	if orders == nil {
		orders = []protocol.Order{}
	} else if c.log.Enabled(ctx, slog.LevelDebug) {
		c.log.Debug("orders", "machine", b.Host, "tick", b.Tick, "orders", orderText(orders))
	}
	return front.Answer{Code: 200, Body: protocol.BeatReply{Baton: view, Orders: orders}}
}

// orderText shortens orders for the log.
func orderText(orders []protocol.Order) string {
	var b strings.Builder
	for _, o := range orders {
		b.WriteString(o.Verb[:1] + " " + o.Piece + "; ")
	}
	return b.String()
}
