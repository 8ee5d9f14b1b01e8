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

// JobWrite is a job's part of a commit: finished numbers, or the end.
type JobWrite struct {
	UID   string
	Stamp uint64
	Rec   job.Record
	Ended *job.Ended
}

// Ops is how many changes it takes.
func (w *JobWrite) Ops() int {
	if w.Ended != nil {
		return 2
	}
	return 1
}

// Commit is one transaction: its guards are the view, and the stamps of all
// machines and jobs that it writes.
type Commit struct {
	Machines []MachineWrite
	Jobs     []JobWrite
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

// minOps is what a commit can always hold: a machine, and a job's end.
const minOps = 4

// NextCommit collects what is to be committed, or nil. Machines in first come
// first. The commit must be settled before the next one is made.
func (p *Part) NextCommit(first map[string]bool) *Commit {
	most := p.cfg.TxnOps >> p.shrunk
	var ids []string
	for _, id := range p.ids {
		if p.Dirty(id) || p.machines[id].gone {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	sort.SliceStable(ids, func(i, j int) bool { return first[ids[i]] && !first[ids[j]] })
	c := &Commit{}
	jobs := map[string]*JobWrite{}
	done := map[string]job.Ranges{}
	ops := 0
	for _, id := range ids {
		m := p.machines[id]
		if ops+1 > max(most, minOps) {
			break
		}
		w := MachineWrite{ID: id, Stamp: m.stamp}
		base := ops + 1
		for _, pl := range m.placed {
			if !pl.gone {
				continue
			}
			l := p.jobs.Get(pl.Task.Job)
			if pl.done && l != nil && !l.Finished.Has(pl.Task.Index) {
				r, known := done[l.Spec.UID]
				if !known {
					r = l.Finished
				}
				was := 0
				if jw := jobs[l.Spec.UID]; jw != nil {
					was = jw.Ops()
				}
				r.Add(pl.Task.Index)
				if r.Spans()*14+1500 > p.cfg.ValueBytes && len(r.String())+1500 > p.cfg.ValueBytes {
					// The record would not fit: the result is kept by the
					// worker, so the task is run again later.
					w.drop = append(w.drop, pl)
					continue
				}
				jw := &JobWrite{UID: l.Spec.UID, Stamp: l.Stamp, Rec: l.Record}
				if r.Len() >= l.Spec.Pieces {
					jw.Ended = &job.Ended{Status: job.Done, Done: l.Spec.Pieces}
				}
				if base-was+jw.Ops() > max(most, minOps) {
					continue // with the next commit
				}
				base += jw.Ops() - was
				jw.Rec.Done = r.String()
				jobs[l.Spec.UID], done[l.Spec.UID] = jw, r
			}
			w.drop = append(w.drop, pl)
		}
		w.add = slices.Clone(m.adding) // settling changes the original
		if len(w.drop) == 0 && len(w.add) == 0 && !(m.gone && len(m.placed) == 0) {
			continue
		}
		if m.gone && len(w.drop) == len(m.placed) {
			if m.stamp == 0 && len(w.drop) == 0 {
				p.forget(m)
				continue
			}
		} else {
			w.Rec = p.record(m, w.drop, w.add)
		}
		ops = base
		m.inflight = true
		c.Machines = append(c.Machines, w)
	}
	for _, jw := range jobs {
		c.Jobs = append(c.Jobs, *jw)
	}
	sort.Slice(c.Jobs, func(i, j int) bool { return c.Jobs[i].UID < c.Jobs[j].UID })
	if len(c.Machines) == 0 {
		return nil
	}
	return c
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
	for _, jw := range c.Jobs {
		if jw.Ended != nil {
			p.jobs.Drop(jw.UID, now)
		} else {
			_ = p.jobs.Set(jw.UID, jw.Rec, epoch, now)
		}
	}
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
		p.ended = append(p.ended, Ended{Task: pl.Task, At: now, RanS: pl.ran})
	}
}

// Conflicted makes the next commits smaller: a failed one costs all its changes,
// and the fewer jobs it holds the less often another owner was faster.
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
