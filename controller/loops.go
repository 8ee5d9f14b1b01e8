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
	"junipershelf/fleet"
	"junipershelf/internal/httpcall"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/settings"
	"junipershelf/statestore"
)

func wasRefused(err error) bool { return errors.Is(err, statestore.ErrRefused) }

// syncLoop shows the divider what this owner holds and takes allotments. Both
// sides send what has changed since the other's last version.
func (c *Controller) syncLoop(ctx context.Context) {
	pause := syncInterval
	var failed time.Time // the last direct call that failed
	for sleep(ctx, pause) {
		pause = syncInterval
		c.mu.Lock()
		p, view, index, known := c.partition, c.view, c.index, c.fleetVersion
		if p == nil {
			c.mu.Unlock()
			continue
		}
		d := p.Update(time.Now())
		c.mu.Unlock()
		q := peer.Sync{View: view.Number, Index: index, FleetVersion: known, Update: d}
		var a peer.SyncReply
		if index == 0 {
			a = c.Sync(q)
		} else {
			cl := c.peers[view.Members[0].Node]
			if cl == nil {
				continue
			}
			err := httpcall.ErrUnknown
			if time.Since(failed) >= directRetry {
				if a, err = cl.Sync(ctx, q); err != nil {
					c.logFailure("sync failed", err)
					failed = time.Now()
				}
			}
			if err != nil {
				pause = c.mailboxInterval()
				if a, err = c.syncByMailbox(ctx, p, view, q); err != nil {
					c.logFailure("sync by letter failed", err)
					continue
				}
				c.mu.Lock()
				c.work.letters++
				c.mu.Unlock()
			}
		}
		if a.View > view.Number {
			c.membership.ObserveView(a.View)
		}
		if !a.OK {
			continue
		}
		c.mu.Lock()
		if c.partition == p {
			now := time.Now()
			p.UpdateDelivered(&d, a.UpdateVersion)
			p.TakeFleet(a.FleetBase == 0, a.Fleet, a.FleetRemoved)
			for _, al := range a.Assignments {
				p.TakeAssignment(now, al.Seq, al.Job, al.Tasks, al.Machine, al.Group)
			}
			p.Drain(a.Drain, false, now)
			p.Drain(a.Discard, true, now)
			p.Stop(a.Stop)
			if a.FleetBase == 0 {
				clear(c.runningTasks)
			}
			for uid, n := range a.Running {
				if n == 0 {
					delete(c.runningTasks, uid)
				} else {
					c.runningTasks[uid] = n
				}
			}
			c.fleetVersion = a.FleetVersion
			c.placeableWork = a.PlaceableWork
			c.work.syncs++
			p.Tick(now)
			signal(c.commitWanted)
		}
		c.mu.Unlock()
	}
}

// syncEvery is how often an owner calls, and turnEvery the divider's shortest
// pause between two turns.
const (
	syncInterval  = 400 * time.Millisecond
	cycleInterval = 300 * time.Millisecond
)

// Sync serves an owner's call; it is the divider's side.
func (c *Controller) Sync(q peer.Sync) peer.SyncReply {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := peer.SyncReply{View: c.view.Number}
	if c.scheduler == nil || q.View != c.view.Number || q.Index < 0 || q.Index >= len(c.view.Members) {
		return a
	}
	a.OK = true
	a.UpdateVersion = c.scheduler.TakeUpdate(q.Index, q.Update, now)
	c.planner.MachinesReturned(q.Update.Returned, now)
	if now.Sub(c.lastCycle) >= cycleInterval && c.membership.HasAuthority(c.view.Number) {
		c.runCycle(now)
	}
	a.Assignments = c.scheduler.Unacknowledged(q.Index)
	a.FleetBase = q.FleetVersion
	a.Fleet, a.FleetRemoved, a.FleetVersion = c.scheduler.FleetSince(q.FleetVersion)
	a.Running = c.scheduler.RunningSince(q.FleetVersion)
	owned := func(ids []string) (out []string) {
		for _, id := range ids {
			if c.ownerOf(id) == q.Index {
				out = append(out, id)
			}
		}
		return out
	}
	a.Drain, a.Discard = owned(c.drain), owned(c.discard)
	a.Stop = c.scheduler.Preemptions(q.Index)
	a.PlaceableWork = c.placeableWork
	return a
}

// ownerOf is the member that owns a machine.
func (c *Controller) ownerOf(machine string) int {
	if len(c.owners) == 0 {
		return -1
	}
	return c.owners[c.view.BucketOf(machine)]
}

// allot takes one turn of the divider.
func (c *Controller) runCycle(now time.Time) []*scheduler.WaitingJob {
	c.lastCycle = now
	waits := c.scheduler.RunCycle(now)
	c.placeableWork = false
	for _, w := range waits {
		c.placeableWork = c.placeableWork || w.Tasks > 0 && c.scheduler.WithinLimit(w.Job)
	}
	c.work.turns++
	c.work.turn = max(c.work.turn, time.Since(now))
	return waits
}

// tell logs how much of each budget is in use.
func (c *Controller) logStatistics() {
	p := c.partition
	if p == nil {
		return
	}
	k := p.Counts
	machines, tasks, unmerged := p.Load()
	c.log.Info("path", "view", p.View(), "queued", k.Queued, "overflowed", k.Overflowed, "sent_on", k.SentOn,
		"walked_on", k.WalkedOn, "ahead", k.CommittedAhead, "started", k.Started, "done", k.Done, "lost", k.Lost, "stopped", k.Stopped, "deaf", k.Unreachable)
	c.logReplicas(p)
	u := c.store.TakeCounts()
	granted, grantedChanges := c.store.GrantedShare()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	c.log.Info("budgets", "requests", u.Requests, "changes", u.Changes, "refused", u.Refused,
		"granted", granted, "granted_changes", grantedChanges, "commits", c.work.commits,
		"merges", c.work.merges, "commit_ms", c.work.commit.Milliseconds(), "turns", c.work.turns, "turn_ms", c.work.turn.Milliseconds(), "syncs", c.work.syncs, "by_letter", c.work.letters,
		"reports", c.work.reports, "reports_held", c.work.held, "machines", machines, "tasks", tasks, "unmerged", unmerged, "fill", int(100*p.ShardFill()),
		"polls_refused", c.admit.refusals(), "heap_mb", mem.HeapInuse>>20, "goroutines", runtime.NumGoroutine())
	c.work = work{}
}

// logReplicas tells where the time goes that replicas are not served, in milliseconds
// since the part was taken, once there is something to tell.
func (c *Controller) logReplicas(p *partition.Partition) {
	r := p.Replicas
	var given uint64
	var wait time.Duration
	if c.scheduler != nil {
		given, wait = c.scheduler.Counts.ReplicasAssigned, c.scheduler.Counts.ReplicaWait
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
	planInterval       = 500 * time.Millisecond
	statisticsInterval = 10 * time.Second
)

// divideLoop plans the fleet, and allots where no owner's call has.
func (c *Controller) scheduleLoop(ctx context.Context) {
	told := time.Now()
	for sleep(ctx, planInterval) {
		c.mu.Lock()
		now := time.Now()
		tell := now.Sub(told) >= statisticsInterval
		if tell {
			told = now
			c.logStatistics()
		}
		if c.scheduler == nil || !c.membership.HasAuthority(c.view.Number) {
			c.mu.Unlock()
			continue
		}
		// An owner that has not called yet holds what its records show, and no more:
		// nobody else has given it anything in this view. So the others need not wait
		// for it, as they once did for as long as controllers refused each other.
		waits := c.runCycle(now)
		if tell {
			t := c.scheduler.Totals()
			var teams strings.Builder
			for i, team := range t.Teams {
				fmt.Fprintf(&teams, "%s %.0f/%.0f of %.0f ", c.scheduler.Teams[i].Name, team.Running, team.Used, c.scheduler.Teams[i].Limit.CPUs)
			}
			c.log.Info("division", "view", c.view.Number, "machines", len(c.scheduler.Machines()), "jobs", len(c.mirror.Jobs),
				"held", t.Held, "running", t.Running, "starting", t.Starting, "queued", t.Queued, "waiting", t.Waiting, "free_cpus", int(t.Free), "teams", strings.TrimSpace(teams.String()),
				"allotted", c.scheduler.Counts.Assigned, "put_off", c.scheduler.Counts.StarvationProtected, "preempted", c.scheduler.Counts.Preempted)
		}
		// Of the fleet nothing is known that such an owner has not told.
		if !c.scheduler.AllOwnersSynced() || !c.planner.HasList() || len(c.planner.Catalogue) == 0 {
			c.mu.Unlock()
			continue
		}
		hires, leave, drop := c.planner.Plan(now, c.scheduler, waits)
		for _, id := range leave {
			if c.firstTime("leave " + id) {
				c.log.Info("machine is idle", "machine", id)
			}
		}
		for _, id := range drop {
			if c.firstTime("drop " + id) {
				c.log.Info("machine is given up", "machine", id, "sick", c.scheduler.Sick[id])
			}
		}
		c.drain, c.discard = leave, drop
		for _, h := range hires {
			c.rentals++
			name := fmt.Sprintf("%s-%d-%d", c.settings.NodeName, c.view.Number, c.rentals)
			c.planner.RequestSent(h)
			go c.rent(ctx, c.planner, h, name)
		}
		c.mu.Unlock()
	}
}

// say keeps a line from being logged over and over.
func (c *Controller) firstTime(what string) bool {
	if len(c.logged) > 5000 {
		clear(c.logged)
	}
	c.logged[what]++
	return c.logged[what] == 1
}

func (c *Controller) rent(ctx context.Context, plan *fleet.Planner, h fleet.Request, name string) {
	ids, err := c.cloud.Rent(ctx, protocol.Rental{IdempotencyKey: name, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Count: h.Count})
	if errors.Is(err, cloud.ErrUnknown) {
		// The same name again either does it or tells what it did.
		sleep(ctx, time.Second)
		ids, err = c.cloud.Rent(ctx, protocol.Rental{IdempotencyKey: name, MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Count: h.Count})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		plan.RequestGranted(h, ids, now)
		c.log.Info("hired", "flavor", h.MachineType, "zone", h.Zone, "spot", h.Spot, "wanted", h.Count, "got", len(ids))
	case errors.Is(err, cloud.ErrNoCapacity):
		plan.RequestRefused(h, now)
		c.log.Debug("no capacity", "flavor", h.MachineType, "zone", h.Zone, "spot", h.Spot)
	default:
		plan.RequestFailed(h, now)
		c.log.Info("hire failed", "err", err)
	}
}

// catalogueKey keeps the machine types in the state service: a node that starts
// while the cloud is down would know no sizes, and could place and accept nothing.
const catalogueKey = "catalogue"

func (c *Controller) readCatalogue(ctx context.Context) bool {
	fl, err := c.cloud.MachineTypes(ctx)
	if err == nil && len(fl) > 0 {
		c.mu.Lock()
		changed := c.takeCatalogue(fl)
		c.mu.Unlock()
		if raw, err := protocol.Marshal(protocol.Catalogue{MachineTypes: fl}); changed && err == nil && len(raw) < c.store.ValueBytes() {
			// Guarded by nothing: all nodes write the same.
			if _, err := c.store.Commit(ctx, statestore.PriorityBackground, protocol.Transaction{Changes: []protocol.Change{{Set: catalogueKey, Data: raw}}}); err != nil {
				c.log.Debug("catalogue not kept", "err", err)
			}
		}
		return true
	}
	c.log.Debug("catalogue not read", "err", err)
	c.mu.Lock()
	known := len(c.machineTypes) > 0
	c.mu.Unlock()
	if known {
		return false
	}
	e, err := c.store.Get(ctx, statestore.PriorityMembership, catalogueKey)
	var kept protocol.Catalogue
	if err == nil && e.Revision != 0 {
		if err := protocol.DecodeRecord(catalogueKey, e.Data, &kept); err != nil {
			c.logFailure("catalogue not read", err)
			return false
		}
		c.mu.Lock()
		c.takeCatalogue(kept.MachineTypes)
		c.mu.Unlock()
		c.log.Info("catalogue taken from the state service, the cloud does not answer")
	}
	return false
}

// takeFlavors takes a catalogue and tells whether anything but prices is new.
func (c *Controller) takeCatalogue(fl []protocol.MachineType) (changed bool) {
	for _, f := range fl {
		old, known := c.machineTypes[f.Name]
		c.machineTypes[f.Name] = f
		f.Price, f.SpotPrice, old.Price, old.SpotPrice = 0, 0, 0, 0
		changed = changed || !known || !reflect.DeepEqual(old, f)
	}
	c.planner.Catalogue = fl
	return changed
}

// flavorLoop reads the catalogue, and its moving prices once a minute.
func (c *Controller) catalogueLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Minute
		if !c.readCatalogue(ctx) {
			wait = time.Second
		}
		sleep(ctx, wait)
	}
}

// listLoop reads the cloud's machine list on the divider.
func (c *Controller) listLoop(ctx context.Context) {
	every := max(settings.Seconds(c.settings.Facts.Cloud.ListLagS/2), 2*time.Second)
	for {
		c.mu.Lock()
		plan, on := c.planner, c.scheduler != nil
		c.mu.Unlock()
		wait := every
		if on {
			hosts, err := c.cloud.List(ctx)
			if err == nil {
				c.mu.Lock()
				plan.ObserveList(time.Now(), hosts)
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
		p, view := c.partition, c.view.Number
		var ids []string
		if p != nil && c.membership.HasAuthority(view) {
			ids = p.MachinesToReturn(time.Now())
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
		if c.partition == p {
			p.MachinesReturned(ids, time.Now())
			c.log.Info("returned", "machines", ids)
			signal(c.commitWanted)
		}
		c.mu.Unlock()
	}
}

// Show describes the running node to an operator.
func (c *Controller) Show() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]any{"node": c.settings.NodeName, "view": c.view.Number, "index": c.index,
		"live_jobs": len(c.mirror.Jobs), "state_silent_ms": c.store.SinceLastAnswer().Milliseconds(), "authority": c.membership.HasAuthority(c.view.Number)}
	var members []string
	for _, m := range c.view.Members {
		members = append(members, m.Node)
	}
	out["members"] = members
	if c.partition != nil {
		var machines []map[string]any
		for _, s := range c.partition.States(time.Now()) {
			held := map[string]string{}
			for _, h := range s.Held {
				held[h.Job] += " " + h.Tasks.String()
			}
			machines = append(machines, map[string]any{"id": s.ID, "flavor": s.MachineType, "zone": s.Zone, "spot": s.Spot, "usable": s.Usable,
				"leaving": s.Leaving, "warned": s.Noticed, "free_cpus": s.Free.CPUs, "held": held, "images": s.Images})
		}
		out["machines"], out["counts"] = machines, c.partition.Counts
	}
	if c.scheduler != nil {
		teams, queued := map[string]float64{}, map[string]float64{}
		for i := range c.scheduler.Teams {
			t := &c.scheduler.Teams[i]
			teams[t.Name], queued[t.Name] = t.Used().CPUs, t.QueuedCPUs()
		}
		waiting := map[string]int{}
		for _, w := range c.scheduler.WaitingJobs(time.Now()) {
			waiting[w.Job.Spec.Team] += w.Tasks
		}
		out["team_cpus"], out["team_queued_cpus"], out["team_waiting_tasks"], out["division"] = teams, queued, waiting, c.scheduler.Counts
	}
	return out
}
