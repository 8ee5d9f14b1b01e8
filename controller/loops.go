package controller

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"time"

	"junipershelf/cloud"
	"junipershelf/divide"
	"junipershelf/fleet"
	"junipershelf/internal/wire"
	"junipershelf/part"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/state"
)

func isRefused(err error) bool { return errors.Is(err, state.ErrRefused) }

// syncLoop shows the divider what this owner holds and takes allotments. Both
// sides send what has changed since the other's last version.
func (c *Controller) syncLoop(ctx context.Context) {
	pause := syncEvery
	var failed time.Time // the last direct call that failed
	for sleep(ctx, pause) {
		pause = syncEvery
		c.mu.Lock()
		p, view, index, known := c.part, c.view, c.index, c.version
		if p == nil {
			c.mu.Unlock()
			continue
		}
		d := p.Digest(time.Now())
		c.mu.Unlock()
		q := peer.Sync{View: view.Number, Index: index, Known: known, Digest: d}
		var a peer.SyncReply
		if index == 0 {
			a = c.Sync(q)
		} else {
			cl := c.peers[view.Members[0].Node]
			if cl == nil {
				continue
			}
			err := wire.ErrUnknown
			if time.Since(failed) >= directAgain {
				if a, err = cl.Sync(ctx, q); err != nil {
					c.logFailure("sync failed", err)
					failed = time.Now()
				}
			}
			if err != nil {
				pause = c.relayEvery()
				if a, err = c.syncByLetter(ctx, p, view, q); err != nil {
					c.logFailure("sync by letter failed", err)
					continue
				}
				c.mu.Lock()
				c.work.letters++
				c.mu.Unlock()
			}
		}
		if a.View > view.Number {
			c.roster.Higher(a.View)
		}
		if !a.OK {
			continue
		}
		c.mu.Lock()
		if c.part == p {
			now := time.Now()
			p.Delivered(&d, a.Have)
			p.Fleet(a.Known == 0, a.Fleet, a.FleetGone)
			for _, al := range a.Allot {
				p.Allot(now, al.Seq, al.Job, al.Tasks, al.Machine, al.Group)
			}
			p.Leave(a.Leave, false, now)
			p.Leave(a.Drop, true, now)
			p.Stop(a.Stop)
			if a.Known == 0 {
				clear(c.running)
			}
			for uid, n := range a.Running {
				if n == 0 {
					delete(c.running, uid)
				} else {
					c.running[uid] = n
				}
			}
			c.version = a.Version
			c.hungry = a.Hungry
			c.work.syncs++
			p.Tick(now)
			poke(c.dirty)
		}
		c.mu.Unlock()
	}
}

// syncEvery is how often an owner calls, and turnEvery the divider's shortest
// pause between two turns.
const (
	syncEvery = 400 * time.Millisecond
	turnEvery = 300 * time.Millisecond
)

// Sync serves an owner's call; it is the divider's side.
func (c *Controller) Sync(q peer.Sync) peer.SyncReply {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := peer.SyncReply{View: c.view.Number}
	if c.div == nil || q.View != c.view.Number || q.Index < 0 || q.Index >= len(c.view.Members) {
		return a
	}
	a.OK = true
	a.Have = c.div.Digest(q.Index, q.Digest, now)
	c.plan.Gone(q.Digest.Gone, now)
	if now.Sub(c.turn) >= turnEvery && c.roster.Holds(c.view.Number) {
		c.allot(now)
	}
	a.Allot = c.div.Unacked(q.Index)
	a.Known = q.Known
	a.Fleet, a.FleetGone, a.Version = c.div.Fleet(q.Known)
	a.Running = c.div.Running(q.Known)
	owned := func(ids []string) (out []string) {
		for _, id := range ids {
			if c.ownerOf(id) == q.Index {
				out = append(out, id)
			}
		}
		return out
	}
	a.Leave, a.Drop = owned(c.leave), owned(c.drop)
	a.Stop = c.div.Stops(q.Index)
	a.Hungry = c.hungry
	return a
}

// ownerOf is the member that owns a machine.
func (c *Controller) ownerOf(machine string) int {
	if len(c.owners) == 0 {
		return -1
	}
	return c.owners[c.view.PartOf(machine)]
}

// allot takes one turn of the divider.
func (c *Controller) allot(now time.Time) []*divide.Wait {
	c.turn = now
	waits := c.div.Allot(now)
	c.hungry = false
	for _, w := range waits {
		c.hungry = c.hungry || w.Tasks > 0 && c.div.Within(w.Job)
	}
	c.work.turns++
	c.work.turn = max(c.work.turn, time.Since(now))
	return waits
}

// tell logs how much of each budget is in use.
func (c *Controller) tell() {
	p := c.part
	if p == nil {
		return
	}
	k := p.Counts
	machines, tasks, unmerged := p.Busy()
	c.log.Info("path", "view", p.View(), "queued", k.Queued, "overflowed", k.Overflowed, "sent_on", k.Sent,
		"walked_on", k.Walked, "ahead", k.Ahead, "started", k.Started, "done", k.Done, "lost", k.Lost, "stopped", k.Killed, "deaf", k.Deaf)
	c.logReplicas(p)
	u := c.store.Used()
	granted, grantedChanges := c.store.Granted()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	c.log.Info("budgets", "requests", u.Requests, "changes", u.Changes, "refused", u.Refused,
		"granted", granted, "granted_changes", grantedChanges, "commits", c.work.commits,
		"merges", c.work.merges, "commit_ms", c.work.commit.Milliseconds(), "turns", c.work.turns, "turn_ms", c.work.turn.Milliseconds(), "syncs", c.work.syncs, "by_letter", c.work.letters,
		"reports", c.work.reports, "reports_held", c.work.held, "machines", machines, "tasks", tasks, "unmerged", unmerged, "fill", int(100*p.Fill()),
		"polls_refused", c.admit.refusals(), "heap_mb", mem.HeapInuse>>20, "goroutines", runtime.NumGoroutine())
	c.work = work{}
}

// logReplicas tells where the time goes that replicas are not served, in milliseconds
// since the part was taken, once there is something to tell.
func (c *Controller) logReplicas(p *part.Part) {
	r := p.Replicas
	var given uint64
	var wait time.Duration
	if c.div != nil {
		given, wait = c.div.Counts.ReplicasGiven, c.div.Counts.ReplicaWait
	}
	if r.Lost == 0 && r.Started == 0 && given == 0 {
		return
	}
	c.log.Info("replicas", "view", p.View(), "lost", r.Lost, "detection_ms", r.Detection.Milliseconds(), "proof_ms", r.Proof.Milliseconds(),
		"removal_ms", r.Removal.Milliseconds(), "given", given, "room_ms", wait.Milliseconds(), "started", r.Started,
		"commit_ms", r.Commit.Milliseconds(), "command_ms", r.Command.Milliseconds(), "fetch_ms", r.Fetch.Milliseconds(), "start_ms", r.Start.Milliseconds())
}

// planEvery is how often the fleet is planned, tellEvery how often the log tells
// of the budgets.
const (
	planEvery = 500 * time.Millisecond
	tellEvery = 10 * time.Second
)

// divideLoop plans the fleet, and allots where no owner's call has.
func (c *Controller) divideLoop(ctx context.Context) {
	told := time.Now()
	for sleep(ctx, planEvery) {
		c.mu.Lock()
		now := time.Now()
		tell := now.Sub(told) >= tellEvery
		if tell {
			told = now
			c.tell()
		}
		if c.div == nil || !c.roster.Holds(c.view.Number) {
			c.mu.Unlock()
			continue
		}
		// An owner that has not called yet holds what its records show, and no more:
		// nobody else has given it anything in this view. So the others need not wait
		// for it, as they once did for as long as controllers refused each other.
		waits := c.allot(now)
		if tell {
			t := c.div.Totals()
			var teams strings.Builder
			for i, team := range t.Teams {
				fmt.Fprintf(&teams, "%s %.0f/%.0f of %.0f ", c.div.Teams[i].Name, team.Running, team.Used, c.div.Teams[i].Limit.CPUs)
			}
			c.log.Info("division", "view", c.view.Number, "machines", len(c.div.Order()), "jobs", len(c.mirror.Jobs),
				"held", t.Held, "running", t.Running, "starting", t.Starting, "queued", t.Queued, "waiting", t.Waiting, "free_cpus", int(t.Free), "teams", strings.TrimSpace(teams.String()),
				"allotted", c.div.Counts.Allotted, "put_off", c.div.Counts.PutOff, "preempted", c.div.Counts.Stopped)
		}
		// Of the fleet nothing is known that such an owner has not told.
		if !c.div.Synced() || !c.plan.Listed() || len(c.plan.Flavors) == 0 {
			c.mu.Unlock()
			continue
		}
		hires, leave, drop := c.plan.Plan(now, c.div, waits)
		for _, id := range leave {
			if c.say("leave " + id) {
				c.log.Info("machine is idle", "machine", id)
			}
		}
		for _, id := range drop {
			if c.say("drop " + id) {
				c.log.Info("machine is given up", "machine", id, "sick", c.div.Sick[id])
			}
		}
		c.leave, c.drop = leave, drop
		for _, h := range hires {
			c.hireNo++
			name := fmt.Sprintf("%s-%d-%d", c.set.NodeName, c.view.Number, c.hireNo)
			c.plan.Asked(h)
			go c.hire(ctx, c.plan, h, name)
		}
		c.mu.Unlock()
	}
}

// say keeps a line from being logged over and over.
func (c *Controller) say(what string) bool {
	if len(c.said) > 5000 {
		clear(c.said)
	}
	c.said[what]++
	return c.said[what] == 1
}

func (c *Controller) hire(ctx context.Context, plan *fleet.Planner, h fleet.Hire, name string) {
	ids, err := c.cloud.Hire(ctx, protocol.Hire{Hire: name, Flavor: h.Flavor, Yard: h.Zone, Borrowed: h.Spot, HowMany: h.Count})
	if errors.Is(err, cloud.ErrUnknown) {
		// The same name again either does it or tells what it did.
		sleep(ctx, time.Second)
		ids, err = c.cloud.Hire(ctx, protocol.Hire{Hire: name, Flavor: h.Flavor, Yard: h.Zone, Borrowed: h.Spot, HowMany: h.Count})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		plan.Hired(h, ids, now)
		c.log.Info("hired", "flavor", h.Flavor, "zone", h.Zone, "spot", h.Spot, "wanted", h.Count, "got", len(ids))
	case errors.Is(err, cloud.ErrNoCapacity):
		plan.Refused(h, now)
		c.log.Debug("no capacity", "flavor", h.Flavor, "zone", h.Zone, "spot", h.Spot)
	default:
		plan.Failed(h, now)
		c.log.Info("hire failed", "err", err)
	}
}

// catalogueKey keeps the machine types in the state service: a node that starts
// while the cloud is down would know no sizes, and could place and accept nothing.
const catalogueKey = "catalogue"

func (c *Controller) readFlavors(ctx context.Context) bool {
	fl, err := c.cloud.Flavors(ctx)
	if err == nil && len(fl) > 0 {
		c.mu.Lock()
		changed := c.takeFlavors(fl)
		c.mu.Unlock()
		if raw, err := protocol.Marshal(protocol.Flavors{Flavors: fl}); changed && err == nil && len(raw) < c.store.ValueBytes() {
			// Guarded by nothing: all nodes write the same.
			if _, err := c.store.Multi(ctx, state.Rest, protocol.Multi{Then: []protocol.Change{{Set: catalogueKey, Data: raw}}}); err != nil {
				c.log.Debug("catalogue not kept", "err", err)
			}
		}
		return true
	}
	c.log.Debug("catalogue not read", "err", err)
	c.mu.Lock()
	known := len(c.flavors) > 0
	c.mu.Unlock()
	if known {
		return false
	}
	e, err := c.store.Get(ctx, state.Roster, catalogueKey)
	var kept protocol.Flavors
	if err == nil && e.Stamp != 0 {
		if err := protocol.DecodeRecord(catalogueKey, e.Data, &kept); err != nil {
			c.logFailure("catalogue not read", err)
			return false
		}
		c.mu.Lock()
		c.takeFlavors(kept.Flavors)
		c.mu.Unlock()
		c.log.Info("catalogue taken from the state service, the cloud does not answer")
	}
	return false
}

// takeFlavors takes a catalogue and tells whether anything but prices is new.
func (c *Controller) takeFlavors(fl []protocol.Flavor) (changed bool) {
	for _, f := range fl {
		old, known := c.flavors[f.Label]
		c.flavors[f.Label] = f
		f.Rate, f.SpotPrice, old.Rate, old.SpotPrice = 0, 0, 0, 0
		changed = changed || !known || !reflect.DeepEqual(old, f)
	}
	c.plan.Flavors = fl
	return changed
}

// flavorLoop reads the catalogue, and its moving prices once a minute.
func (c *Controller) flavorLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Minute
		if !c.readFlavors(ctx) {
			wait = time.Second
		}
		sleep(ctx, wait)
	}
}

// listLoop reads the cloud's machine list on the divider.
func (c *Controller) listLoop(ctx context.Context) {
	every := max(settings.Seconds(c.set.Facts.Cloud.ListLagS/2), 2*time.Second)
	for {
		c.mu.Lock()
		plan, on := c.plan, c.div != nil
		c.mu.Unlock()
		wait := every
		if on {
			hosts, err := c.cloud.List(ctx)
			if err == nil {
				c.mu.Lock()
				plan.List(time.Now(), hosts)
				c.mu.Unlock()
			} else {
				wait = time.Second
			}
		} else {
			wait = 300 * time.Millisecond
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// returnLoop gives machines back.
func (c *Controller) returnLoop(ctx context.Context) {
	pause := 500 * time.Millisecond
	for sleep(ctx, pause) {
		pause = 500 * time.Millisecond
		c.mu.Lock()
		p, view := c.part, c.view.Number
		var ids []string
		if p != nil && c.roster.Holds(view) {
			ids = p.Returns(time.Now())
		}
		c.mu.Unlock()
		if len(ids) == 0 {
			continue
		}
		ids = ids[:min(len(ids), cloud.MaxReturn)]
		if err := c.cloud.Return(ctx, ids); err != nil {
			c.log.Debug("return failed", "err", err)
			pause = time.Second
			continue
		}
		c.mu.Lock()
		if c.part == p {
			p.Returned(ids, time.Now())
			c.log.Info("returned", "machines", ids)
			poke(c.dirty)
		}
		c.mu.Unlock()
	}
}

// Show describes the running node to an operator.
func (c *Controller) Show() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]any{"node": c.set.NodeName, "view": c.view.Number, "index": c.index,
		"live_jobs": len(c.mirror.Jobs), "state_silent_ms": c.store.Silence().Milliseconds(), "authority": c.roster.Holds(c.view.Number)}
	var members []string
	for _, m := range c.view.Members {
		members = append(members, m.Node)
	}
	out["members"] = members
	if c.part != nil {
		var machines []map[string]any
		for _, s := range c.part.Show(time.Now()) {
			held := map[string]string{}
			for _, h := range s.Held {
				held[h.Job] += " " + h.Tasks.String()
			}
			machines = append(machines, map[string]any{"id": s.ID, "flavor": s.Flavor, "zone": s.Zone, "spot": s.Spot, "usable": s.Usable,
				"leaving": s.Leaving, "warned": s.Warned, "free_cpus": s.Room.CPUs, "held": held, "images": s.Images})
		}
		out["machines"], out["counts"] = machines, c.part.Counts
	}
	if c.div != nil {
		teams, queued := map[string]float64{}, map[string]float64{}
		for i := range c.div.Teams {
			t := &c.div.Teams[i]
			teams[t.Name], queued[t.Name] = t.Used().CPUs, t.QueuedCPUs()
		}
		waiting := map[string]int{}
		for _, w := range c.div.Waiting(time.Now()) {
			waiting[w.Job.Spec.Owner] += w.Tasks
		}
		out["team_cpus"], out["team_queued_cpus"], out["team_waiting_tasks"], out["division"] = teams, queued, waiting, c.div.Counts
	}
	return out
}
