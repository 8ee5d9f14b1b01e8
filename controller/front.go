package controller

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"junipershelf/api"
	"junipershelf/job"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/statestore"
)

// userTime is how long a user's call may look for room in the state service's
// limits. What cannot be done then, or in an outage, is refused at once.
const userCallTimeout = 300 * time.Millisecond

// userRetry is the pause before the first repeat of such a call; each further one is
// twice as long, so that a service that is short of room is not asked in a tight loop.
const userRetryPause = 50 * time.Millisecond

var unavailable = api.ErrorResponse(http.StatusServiceUnavailable, "try again")

// insist repeats a call that found no room in the limits, for a short while.
func retryRateLimited(ctx context.Context, f func(context.Context) error) error {
	end := time.Now().Add(userCallTimeout)
	for pause := userRetryPause; ; pause *= 2 {
		err := f(ctx)
		if !errors.Is(err, statestore.ErrRateLimited) || time.Now().Add(pause).After(end) || !sleep(ctx, pause) {
			return err
		}
	}
}

// lookup reads a job's state: a live record, a final one, or neither.
func (c *Controller) lookup(ctx context.Context, uid string) (live *job.Record, stamp uint64, final *job.Final, err error) {
	c.mu.Lock()
	e, known := c.finals[uid]
	over := c.mirror.HasEnded(uid) // it moved, and never moves back
	c.mu.Unlock()
	if known {
		return nil, 0, &e, nil
	}
	var entry protocol.Entry
	if !over {
		err = retryRateLimited(ctx, func(ctx context.Context) (err error) {
			entry, err = c.store.Get(ctx, statestore.PriorityUser, job.Key(uid))
			return
		})
		if err != nil {
			return nil, 0, nil, err
		}
		if entry.Revision != 0 {
			rec, err := job.Decode(uid, entry.Data)
			if err != nil {
				c.logFailure("a job cannot be read", err)
				return nil, 0, nil, err
			}
			return &rec, entry.Revision, nil, nil
		}
	}
	err = retryRateLimited(ctx, func(ctx context.Context) (err error) {
		entry, err = c.store.Get(ctx, statestore.PriorityUser, job.FinalKey(uid))
		return
	})
	if err != nil || entry.Revision == 0 {
		return nil, 0, nil, err
	}
	if e, err = job.DecodeFinal(uid, entry.Data); err != nil {
		c.logFailure("a job cannot be read", err)
		return nil, 0, nil, err
	}
	c.rememberFinal(uid, e)
	return nil, 0, &e, nil
}

// remember keeps a final state, which never changes.
func (c *Controller) rememberFinal(uid string, e job.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepFinal(uid, e)
}

func (c *Controller) keepFinal(uid string, e job.Final) {
	if _, known := c.finals[uid]; known {
		return
	}
	if len(c.finals) > 50000 {
		clear(c.finals)
	}
	c.finals[uid] = e
	c.mirror.Remove(uid, time.Now())
	if e.Status == job.StatusCancelled {
		c.ends.add(peer.Cancellation{UID: uid, Done: e.Done})
	}
}

func (c *Controller) status(uid string, live *job.Record, final *job.Final) protocol.JobStatus {
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
	running := c.runningTasks[uid]
	c.mu.Unlock()
	s := protocol.JobStatus{UID: uid, Status: "pending", Done: &done, Running: &running}
	if running > 0 {
		s.Status = "running"
	}
	return s
}

// Submit accepts a job once it stands in the state service.
func (c *Controller) Submit(ctx context.Context, spec *protocol.JobSpec) api.Response {
	code, why := c.checkFeasible(spec)
	if !c.admit.take(callSubmit) {
		return unavailable
	}
	if code != 0 {
		return c.answerRepeated(ctx, spec.UID, api.ErrorResponse(code, why))
	}
	c.mu.Lock()
	e, known := c.finals[spec.UID]
	c.mu.Unlock()
	if known {
		return api.Response{Code: 200, Body: c.status(spec.UID, nil, &e)}
	}
	now := time.Now()
	rec := job.Record{Spec: *spec, SubmittedMS: now.UnixMilli()}
	raw, err := protocol.Marshal(rec)
	if err != nil {
		return unavailable
	}
	if len(raw)+800 > c.store.ValueBytes() {
		// One that was accepted under larger limits stays known.
		return c.answerRepeated(ctx, spec.UID, api.ErrorResponse(http.StatusUnprocessableEntity, "the job's description is too large to keep"))
	}
	var epoch uint64
	err = retryRateLimited(ctx, func(ctx context.Context) (err error) {
		epoch, err = c.store.Commit(ctx, statestore.PriorityUser, protocol.Transaction{
			Guards:  []protocol.Guard{{Key: job.Key(spec.UID)}, {Key: job.FinalKey(spec.UID)}},
			Changes: []protocol.Change{{Set: job.Key(spec.UID), Data: raw}},
		})
		return
	})
	var conflict *statestore.Conflict
	switch {
	case err == nil:
		c.mu.Lock()
		_ = c.mirror.Set(spec.UID, rec, epoch, now)
		c.mu.Unlock()
		c.log.Debug("job is accepted", "job", spec.UID, "class", spec.Class, "tasks", spec.Tasks, "cpus", spec.CPUs,
			"expected_s", spec.ExpectedS, "due_s", spec.DeadlineS, "image", spec.Image, "gb", spec.ImageGB, "after", time.Since(now))
		return api.Response{Code: 201, Body: protocol.JobStatus{UID: spec.UID, Status: "pending"}}
	case errors.As(err, &conflict):
		live, _, final, err := c.lookup(ctx, spec.UID)
		if err != nil || live == nil && final == nil {
			return unavailable
		}
		return api.Response{Code: 200, Body: c.status(spec.UID, live, final)}
	}
	return unavailable
}

// repeated answers a submission that would be refused: a job that was accepted stays
// accepted, whatever has changed since.
func (c *Controller) answerRepeated(ctx context.Context, uid string, refusal api.Response) api.Response {
	live, _, final, err := c.lookup(ctx, uid)
	switch {
	case err != nil:
		return unavailable
	case live != nil || final != nil:
		return api.Response{Code: 200, Body: c.status(uid, live, final)}
	}
	return refusal
}

// Refused answers a malformed submission with 400, unless it repeats one that was
// accepted. Only a job that this node has met is looked up: what nobody knows is not
// worth a call, and must not wait for a state service that is out.
func (c *Controller) RejectSubmission(ctx context.Context, uid, why string) api.Response {
	c.mu.Lock()
	_, known := c.finals[uid]
	known = known || c.mirror.Get(uid) != nil || c.mirror.HasEnded(uid)
	c.mu.Unlock()
	if !known {
		return api.ErrorResponse(http.StatusBadRequest, why)
	}
	if a := c.Status(ctx, uid); a.Code != http.StatusNotFound {
		return a
	}
	return api.ErrorResponse(http.StatusBadRequest, why)
}

// possible tells whether a job can ever run: 0, 422, or 503 when the machine
// types are not known yet.
func (c *Controller) checkFeasible(s *protocol.JobSpec) (int, string) {
	team, ok := c.teams[s.Team]
	if !ok {
		return 422, "unknown team"
	}
	t := c.settings.Facts.Teams[team]
	at := 1.0 // what runs at the same time: of an array one task at least
	if s.Shape != protocol.ShapeArray {
		at = float64(s.Tasks)
	}
	if s.CPUs*at > t.CPUsMax+1e-6 || s.Accelerators*at > t.GPUsMax+1e-6 {
		return 422, "the job needs more than the team's limit"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.machineTypes) == 0 {
		return 503, "machine types are not known yet"
	}
	need := job.TaskResources(s)
	for label, f := range c.machineTypes {
		if cp, _ := c.capacityOf(label); !need.FitsIn(cp) {
			continue
		}
		for _, z := range f.Zones {
			if job.AllowsMachine(s, label, z, false) {
				return 0, ""
			}
		}
	}
	return 422, "a task fits no allowed machine type"
}

// Status answers a poll: finals from memory, live jobs from the mirror once that
// is confirmed after the poll came in, the rest by a read.
func (c *Controller) Status(ctx context.Context, uid string) api.Response {
	c.mu.Lock()
	e, known := c.finals[uid]
	over := c.mirror.HasEnded(uid)
	c.mu.Unlock()
	if known {
		return api.Response{Code: 200, Body: c.status(uid, nil, &e)}
	}
	if !over {
		switch c.confirmMirror(ctx, uid) {
		case vLive:
			c.mu.Lock()
			l := c.mirror.Get(uid)
			done := 0
			if l != nil {
				done = l.Finished.Len()
			}
			c.mu.Unlock()
			if l != nil {
				return api.Response{Code: 200, Body: c.liveStatus(uid, done)}
			}
			// It ended since then.
		case vUnknown:
			return api.ErrorResponse(http.StatusNotFound, "no such job")
		case vRefused:
			return unavailable
		}
	}
	if !c.admit.take(callRead) {
		return unavailable
	}
	live, _, final, err := c.lookup(ctx, uid)
	switch {
	case err != nil:
		return unavailable
	case live == nil && final == nil:
		return api.ErrorResponse(http.StatusNotFound, "no such job")
	}
	return api.Response{Code: 200, Body: c.status(uid, live, final)}
}

// Cancel ends a job, unless it is done.
func (c *Controller) Cancel(ctx context.Context, uid string) api.Response {
	if !c.admit.take(callCancel) {
		return unavailable
	}
	ctx, cancel := context.WithTimeout(ctx, 2*statestore.CallTimeout)
	defer cancel()
	for range 6 {
		live, stamp, final, err := c.lookup(ctx, uid)
		switch {
		case err != nil:
			return unavailable
		case final != nil:
			return api.Response{Code: 200, Body: protocol.JobStatus{UID: uid, Status: final.Status}}
		case live == nil:
			return api.ErrorResponse(http.StatusNotFound, "no such job")
		}
		done, _ := job.ParseRanges(live.Done)
		end := job.Final{Status: job.StatusCancelled, Done: done.Len()}
		raw, err := protocol.Marshal(end)
		if err != nil {
			return unavailable
		}
		err = retryRateLimited(ctx, func(ctx context.Context) error {
			_, err := c.store.Commit(ctx, statestore.PriorityUser, protocol.Transaction{
				Guards:  []protocol.Guard{{Key: job.Key(uid), Revision: stamp}},
				Changes: []protocol.Change{{Delete: job.Key(uid)}, {Set: job.FinalKey(uid), Data: raw}},
			})
			return err
		})
		var conflict *statestore.Conflict
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return unavailable
		}
		c.rememberFinal(uid, end)
		c.tellEnds(ctx)
		return api.Response{Code: 200, Body: protocol.JobStatus{UID: uid, Status: job.StatusCancelled}}
	}
	return unavailable
}

// Healthy is false for a node that has lost the state service alone. When the
// others have lost it too, it stays healthy and says 503, so that an outage
// does not empty the load balancer.
func (c *Controller) Healthy() bool {
	if c.store.SinceLastAnswer() < 2500*time.Millisecond {
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
func (c *Controller) reportHold() time.Duration {
	return min(max(settings.Seconds(c.settings.Facts.Workers.ReportS*0.4), 900*time.Millisecond), 2*time.Second)
}

// Beat answers a worker's report.
func (c *Controller) Report(ctx context.Context, body []byte) api.Response {
	b, err := protocol.ParseReport(body)
	if err != nil {
		return api.ErrorResponse(http.StatusBadRequest, err.Error())
	}
	return c.handleReport(ctx, b, body)
}

func (c *Controller) handleReport(ctx context.Context, b *protocol.Report, body []byte) api.Response {
	view, me, _ := c.membership.Current()
	if view.Number == 0 || view.IndexOf(me) < 0 {
		return unavailable
	}
	if o := view.OwnerOfBucket(view.BucketOf(b.Machine)); view.Members[o] != me {
		return c.redirectReport(ctx, view.Members[o].Node, b.Machine, body)
	}
	return c.handleOwnReport(ctx, view.Number, b)
}

// stray answers a report that belongs to another owner. A worker that comes
// back although it was sent there cannot reach its owner: its report is passed
// on over our own network.
func (c *Controller) redirectReport(ctx context.Context, owner, host string, body []byte) api.Response {
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
		return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{}}
	}
	if again && body != nil {
		return c.forwardReport(ctx, owner, body)
	}
	return api.Response{Code: http.StatusMisdirectedRequest, Body: protocol.Redirect{Owner: owner}}
}

// passOn sends a report to its owner and gives the owner's answer back.
func (c *Controller) forwardReport(ctx context.Context, owner string, body []byte) api.Response {
	cl := c.peers[owner]
	if cl == nil {
		return unavailable
	}
	a, err := cl.Forward(ctx, peer.Forward{Body: body})
	if err != nil {
		c.logFailure("passing a report on failed", err)
		return unavailable
	}
	if a.Code != http.StatusOK {
		return unavailable
	}
	var r protocol.ReportReply
	if err := protocol.Unmarshal(a.Body, &r); err != nil {
		c.logFailure("passing a report on failed", &protocol.DecodeError{Source: "report answer", Sender: owner, Err: err})
		return unavailable
	}
	return api.Response{Code: http.StatusOK, Body: r}
}

// Forward takes a report that another node passes on.
func (c *Controller) Forward(ctx context.Context, q peer.Forward) peer.ForwardReply {
	b, err := protocol.ParseReport(q.Body)
	if err != nil {
		return peer.ForwardReply{Code: 400}
	}
	a := c.handleReport(ctx, b, nil)
	raw, err := protocol.Marshal(a.Body)
	if err != nil {
		return peer.ForwardReply{Code: 500}
	}
	return peer.ForwardReply{Code: a.Code, Body: raw}
}

func (c *Controller) handleOwnReport(ctx context.Context, view uint64, b *protocol.Report) api.Response {
	// While a new view is read, a moment's wait spares the worker a detour.
	c.mu.Lock()
	loaded := c.loaded
	ready := c.partition != nil && c.partition.View() == view
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
	p := c.partition
	if p == nil || p.View() != view || !c.membership.HasAuthority(view) {
		if p != nil {
			p.NoteContact(b, now)
		}
		c.mu.Unlock()
		return unavailable
	}
	if c.firstTime("up " + b.Machine) {
		c.log.Debug("machine reports", "machine", b.Machine, "flavor", b.MachineType, "zone", b.Zone, "spot", b.Spot)
	}
	fresh := p.Report(now, b)
	if !fresh {
		c.mu.Unlock()
		return api.Response{Code: 200, Body: protocol.ReportReply{Token: view, Commands: []protocol.Command{}}}
	}
	c.work.reports++
	p.TickMachine(now, b.Machine)
	if p.AwaitsCommit(b.Machine) || c.placeableWork && p.HasSpareRoom(b.Machine) {
		c.work.held++
		signal(c.commitWanted)
		limit := time.After(c.reportHold())
	wait:
		for c.partition == p && (p.AwaitsCommit(b.Machine) || c.placeableWork && p.HasSpareRoom(b.Machine)) {
			settled := c.commitSettled
			c.mu.Unlock()
			select {
			case <-settled:
				c.mu.Lock()
				p.TickMachine(time.Now(), b.Machine)
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
	if c.partition != p || !c.membership.HasAuthority(view) {
		return unavailable
	}
	p.ReportAnswered(b.Machine, now)
	orders := p.Commands(time.Now(), b.Machine, b.Session, b.Sequence)
	if orders == nil {
		orders = []protocol.Command{}
	} else if c.log.Enabled(ctx, slog.LevelDebug) {
		c.log.Debug("orders", "machine", b.Machine, "tick", b.Sequence, "orders", commandText(orders))
	}
	return api.Response{Code: 200, Body: protocol.ReportReply{Token: view, Commands: orders}}
}

// orderText shortens orders for the log.
func commandText(orders []protocol.Command) string {
	var b strings.Builder
	for _, o := range orders {
		b.WriteString(o.Kind[:1] + " " + o.Task + "; ")
	}
	return b.String()
}
