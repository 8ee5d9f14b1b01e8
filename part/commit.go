package part

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
)

// MachineWrite is a machine's part of a commit: Rec is nil when the record goes.
type MachineWrite struct {
	ID    string
	Stamp uint64
	Rec   *Record
	add   []*Placement
	drop  []*Placement
}

// Commit is one transaction: its guards are the view, and the stamps of all
// machines that it writes.
type Commit struct {
	Machines []MachineWrite
}

// Dirty tells whether a machine has something to commit.
func (p *Part) Dirty(id string) bool {
	m := p.machines[id]
	if m == nil {
		return false
	}
	if m.inflight || len(m.adding) > 0 {
		return true
	}
	for _, pl := range m.placed {
		if pl.gone {
			return true
		}
	}
	return false
}

// NextCommit collects what is to be committed, or nil. Machines in first come
// first. The commit must be settled before the next one is made.
func (p *Part) NextCommit(first map[string]bool) *Commit {
	most := max(p.cfg.TxnOps>>p.shrunk, 1)
	var ids []string
	for _, id := range p.ids {
		if p.Dirty(id) || p.machines[id].gone {
			ids = append(ids, id)
		}
	}
	sort.SliceStable(ids, func(i, j int) bool { return first[ids[i]] && !first[ids[j]] })
	c := &Commit{}
	for _, id := range ids {
		m := p.machines[id]
		if len(c.Machines) == most {
			break
		}
		w := MachineWrite{ID: id, Stamp: m.stamp, add: slices.Clone(m.adding)} // settling changes the original
		done := false
		for _, pl := range m.placed {
			if pl.gone {
				w.drop = append(w.drop, pl)
				done = done || pl.done
			}
		}
		p.prune(m)
		switch {
		case m.gone && len(w.drop) == len(m.placed) && len(m.unmerged) == 0 && !done:
			if m.stamp == 0 {
				p.forget(m)
				continue
			}
		case len(w.drop)+len(w.add) == 0:
			continue
		default:
			w.Rec = p.record(m, w.drop, w.add)
		}
		m.inflight = true
		c.Machines = append(c.Machines, w)
	}
	if len(c.Machines) == 0 {
		return nil
	}
	return c
}

// prune drops finished tasks that stand in their job's record by now, or whose
// job is over.
func (p *Part) prune(m *Machine) {
	m.unmerged = slices.DeleteFunc(m.unmerged, func(e Ended) bool {
		l := p.jobs.Get(e.Task.Job)
		return l == nil || l.Merged.Has(e.Task.Index)
	})
}

func (p *Part) record(m *Machine, drop, add []*Placement) *Record {
	r := &Record{Flavor: m.Flavor, Zone: m.Zone, Spot: m.Spot, Images: m.images}
	all := slices.Clone(add)
	for _, pl := range m.placed {
		if !slices.Contains(drop, pl) {
			all = append(all, pl)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Task.Less(all[j].Task) })
	done := map[string]*job.Ranges{}
	finished := func(t job.Task) {
		if done[t.Job] == nil {
			done[t.Job] = &job.Ranges{}
		}
		done[t.Job].Add(t.Index)
	}
	for _, e := range m.unmerged {
		finished(e.Task)
	}
	for _, pl := range drop {
		if pl.done {
			finished(pl.Task)
		}
	}
	for uid, d := range done {
		r.Done = append(r.Done, RecDone{uid, d.String()})
	}
	sort.Slice(r.Done, func(i, j int) bool { return r.Done[i].UID < r.Done[j].UID })
	for _, pl := range all {
		if n := len(r.Jobs); n == 0 || r.Jobs[n-1].UID != pl.Task.Job {
			r.Jobs = append(r.Jobs, RecJob{UID: pl.Task.Job, Team: pl.Team, Need: pl.Need, Image: pl.Image})
		}
		j := &r.Jobs[len(r.Jobs)-1]
		j.Tasks = append(j.Tasks, [3]uint64{uint64(pl.Task.Index), pl.Try, pl.Session})
	}
	return r
}

// Committed settles a commit that passed at an epoch.
func (p *Part) Committed(c *Commit, epoch uint64, now time.Time) {
	p.shrunk = max(p.shrunk-1, 0)
	for _, w := range c.Machines {
		m := p.machines[w.ID]
		if m == nil {
			continue
		}
		m.inflight = false
		m.stamp = epoch
		for _, pl := range w.drop {
			p.removed(m, pl, now)
		}
		for _, pl := range w.add {
			m.placed[pl.Task] = pl
			if m.gone {
				p.lose(m, pl)
			}
		}
		m.adding = nil
		if w.Rec == nil {
			m.stamp = 0
			p.forget(m)
		}
	}
}

// removed takes a placement out; what the worker still reports of it is to be
// forgotten, which a report that came meanwhile may already have told.
func (p *Part) removed(m *Machine, pl *Placement, now time.Time) {
	delete(m.placed, pl.Task)
	if pl.status == "ended" && pl.Session == m.shift {
		m.unknown[pl.Task] = endedPiece(pl)
	}
	if pl.done {
		p.Counts.Done++
		m.unmerged = append(m.unmerged, Ended{Task: pl.Task, RanS: pl.ran})
	}
}

// Conflicted makes the next commits smaller: they find room in a limit that
// larger ones do not.
func (p *Part) Conflicted() { p.shrunk = min(p.shrunk+1, 2) }

// Reread settles a commit whose guards failed with what the store shows now.
// A write of ours that passed unseen stands in the record; what the record
// lacks was not placed and never will be, since its guard is stale.
func (p *Part) Reread(c *Commit, id string, rec *Record, stamp uint64, now time.Time) {
	m := p.machines[id]
	if m == nil {
		return
	}
	m.inflight = false
	m.stamp = stamp
	have := map[job.Task]uint64{}
	if rec != nil {
		for _, pl := range rec.Placements() {
			have[pl.Task] = pl.Try
		}
	}
	for _, w := range c.Machines {
		if w.ID != id {
			continue
		}
		for _, pl := range w.drop {
			if have[pl.Task] != pl.Try {
				p.removed(m, pl, now)
			}
		}
		for _, pl := range w.add {
			if have[pl.Task] == pl.Try {
				m.placed[pl.Task] = pl
				m.adding = slices.DeleteFunc(m.adding, func(o *Placement) bool { return o == pl })
			}
		}
		if rec == nil && w.Rec == nil {
			p.forget(m)
		}
	}
}

// Refused settles a commit that was surely not carried out: all of it is still
// wanted.
func (p *Part) Refused(c *Commit) {
	for _, w := range c.Machines {
		if m := p.machines[w.ID]; m != nil {
			m.inflight = false
		}
	}
}

// Returns lists machines to give back to the cloud now.
func (p *Part) Returns(now time.Time) []string {
	silent, heard := 0, 0
	for _, m := range p.machines {
		if m.contact.IsZero() {
			continue
		}
		if now.Sub(m.contact) > 2*p.cfg.Report {
			silent++
		} else {
			heard++
		}
	}
	// When most are silent the fault is more likely here than there.
	trust := heard >= silent || silent <= 1
	var out []string
	for _, id := range p.ids {
		m := p.machines[id]
		if m.gone {
			continue
		}
		quiet := now.Sub(m.contact)
		if m.contact.IsZero() {
			quiet = now.Sub(p.seen)
		}
		switch {
		case m.returning:
			out = append(out, id)
		case m.leaving && (m.urgent || len(m.placed)+len(m.adding) == 0) && !m.inflight,
			m.warning && len(m.placed)+len(m.adding) == 0 && !m.inflight,
			!m.contact.IsZero() && trust && quiet > p.cfg.SilentAway,
			quiet > 3*p.cfg.Lease:
			m.returning = true
			out = append(out, id)
		}
	}
	return out
}

// Returned notes that the cloud answered 200 to the return of machines: they
// and all on them are gone.
func (p *Part) Returned(ids []string, now time.Time) {
	for _, id := range ids {
		p.gone[id] = now
		m := p.machines[id]
		if m == nil {
			continue
		}
		m.gone = true
		m.queue = nil
		for _, pl := range m.placed {
			if !pl.gone {
				p.lose(m, pl)
			}
		}
		if !m.inflight {
			m.adding = nil
			if m.stamp == 0 {
				p.forget(m)
			}
		}
	}
}

func (p *Part) forget(m *Machine) {
	delete(p.machines, m.ID)
	if i, ok := slices.BinarySearch(p.ids, m.ID); ok {
		p.ids = slices.Delete(p.ids, i, i+1)
	}
}
