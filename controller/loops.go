package controller

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"time"

	"junipershelf/cloud"
	"junipershelf/fleet"
	"junipershelf/part"
	"junipershelf/peer"
	"junipershelf/protocol"
	"junipershelf/settings"
	"junipershelf/state"
)

func isRefused(err error) bool { return errors.Is(err, state.ErrRefused) }

// syncLoop shows the divider what this owner holds and takes allotments.
func (c *Controller) syncLoop(ctx context.Context) {
	for sleep(ctx, 400*time.Millisecond) {
		c.mu.Lock()
		p, view, index := c.part, c.view, c.index
		if p == nil {
			c.mu.Unlock()
			continue
		}
		d := p.Digest(time.Now())
		c.mu.Unlock()
		q := peer.Sync{View: view.Number, Index: index, Digest: d}
		var a peer.SyncReply
		if index == 0 {
			a = c.Sync(q)
		} else {
			cl := c.peers[view.Members[0].Node]
			if cl == nil {
				continue
			}
			var err error
			if a, err = cl.Sync(ctx, q); err != nil {
				c.log.Debug("sync failed", "err", err)
				continue
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
			p.Delivered(&d)
			p.Fleet(a.Fleet)
			for _, al := range a.Allot {
				p.Allot(now, al.Seq, taskOf(al), al.Machine, al.Group)
			}
			p.Leave(a.Leave, false, now)
			p.Leave(a.Drop, true, now)
			p.Stop(a.Stop)
			if a.Running != nil {
				c.running = a.Running
			}
			p.Tick(now)
			poke(c.dirty)
		}
		c.mu.Unlock()
	}
}

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
	c.div.Digest(q.Index, q.Digest, now)
	c.plan.Gone(q.Digest.Gone, now)
	if c.div.Synced() && c.roster.Holds(c.view.Number) {
		c.div.Allot(now)
	}
	a.Allot = c.div.Unacked(q.Index)
	for _, id := range c.div.Order() {
		m := c.div.Machines[id]
		a.Fleet = append(a.Fleet, part.Buddy{ID: id, Under: m.Usable && !m.Leaving && m.State.Queue == 0 && m.Free.CPUs > 0, Room: m.Free})
	}
	for _, id := range c.leave {
		if c.view.OwnerOf(id) == q.Index {
			a.Leave = append(a.Leave, id)
		}
	}
	for _, id := range c.drop {
		if c.view.OwnerOf(id) == q.Index {
			a.Drop = append(a.Drop, id)
		}
	}
	a.Stop = c.div.Stops(q.Index)
	a.Running = c.div.Running()
	return a
}

// divideLoop plans the fleet. Allotting happens when an owner calls.
func (c *Controller) divideLoop(ctx context.Context) {
	n := 0
	for sleep(ctx, time.Second) {
		c.mu.Lock()
		n++
		if p := c.part; p != nil && n%10 == 0 {
			k := p.Counts
			c.log.Info("path", "view", p.View(), "queued", k.Queued, "overflowed", k.Overflowed, "sent_on", k.Sent,
				"walked_on", k.Walked, "started", k.Started, "done", k.Done, "lost", k.Lost, "stopped", k.Killed)
		}
		if c.div == nil || !c.div.Synced() || !c.roster.Holds(c.view.Number) {
			c.mu.Unlock()
			continue
		}
		now := time.Now()
		c.div.Allot(now)
		waits := c.div.Waiting(now)
		if n%10 == 0 {
			tasks := 0
			for _, w := range waits {
				tasks += w.Tasks
			}
			c.log.Info("division", "view", c.view.Number, "machines", len(c.div.Machines), "jobs", len(c.mirror.Jobs),
				"held", len(c.div.Holding()), "waiting", tasks, "allotted", c.div.Allotted, "preempted", c.div.Stopped)
		}
		if !c.plan.Listed() || len(c.plan.Flavors) == 0 {
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
			h.Count = min(h.Count, cloud.MaxHire)
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
	if err == nil && e.Stamp != 0 && protocol.Unmarshal(e.Data, &kept) == nil {
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

// pingLoop learns how the others stand. When all of them answer that they have
// seen no later view, this node keeps its authority although the state service
// may be down: nobody else can have taken its machines.
func (c *Controller) pingLoop(ctx context.Context) {
	for sleep(ctx, time.Second) {
		go func() {
			asked, view := time.Now(), c.standing().View
			answers := make(chan bool, len(c.peers))
			for name, cl := range c.peers {
				go func() {
					a, err := cl.Ping(ctx, c.standing())
					if err == nil {
						c.heardOf(a)
					} else {
						c.log.Debug("ping failed", "peer", name, "err", err)
					}
					answers <- err == nil && a.Node == name && a.View <= view
				}()
			}
			all := len(c.peers) > 0
			for range c.peers {
				all = <-answers && all
			}
			if all && view > 0 {
				c.roster.Attested(view, asked)
			}
		}()
	}
}

func (c *Controller) standing() peer.Ping {
	view, _, _ := c.roster.Now()
	return peer.Ping{Node: c.set.NodeName, View: view.Number, StateMS: c.store.Silence().Milliseconds()}
}

func (c *Controller) heardOf(a peer.Ping) {
	c.mu.Lock()
	c.peerUp[a.Node] = peerState{at: time.Now(), stateMS: a.StateMS}
	c.mu.Unlock()
	c.roster.Higher(a.View)
}

// Ping serves another node's question.
func (c *Controller) Ping(q peer.Ping) peer.Ping {
	c.heardOf(q)
	return c.standing()
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
		d := c.part.Digest(time.Now())
		out["machines"], out["counts"] = d.Machines, c.part.Counts
	}
	if c.div != nil {
		teams := map[string]float64{}
		for i := range c.div.Teams {
			teams[c.div.Teams[i].Name] = c.div.Teams[i].Used().CPUs
		}
		waiting := map[string]int{}
		for _, w := range c.div.Waiting(time.Now()) {
			waiting[w.Job.Spec.Owner] += w.Tasks
		}
		out["team_cpus"], out["team_waiting_tasks"], out["allotted"] = teams, waiting, c.div.Allotted
	}
	return out
}
