package divide

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Wait is a job with tasks that wait for room.
type Wait struct {
	Job   *job.Live
	Team  int
	Tasks int // that wait
	Age   time.Duration
	Rank  int  // the urgency's place, after aging
	Grade int  // 0 in time for its first target, then for a later one, late for none
	Lost  bool // no room however large could still make it be in time
	entry *entry
	// promised is work within its team's guarantee, which may still start in time. It
	// is never put off: the rule below picks the largest, and the largest jobs of a
	// team were late although they had come first.
	promised bool
	est      float64
	target   time.Time
	work     float64 // CPU seconds that wait
	blocked  bool
	limited  bool
}

// Level orders the waiting jobs: by urgency, and in it those that can be in time
// first. Those that cannot go behind all that can, except that urgent work never
// stands behind other work.
func (w *Wait) Level() int {
	if w.Grade >= late && w.Rank >= ordinary {
		return len(protocol.Urgencies)*(late+1) + w.Grade
	}
	return w.Rank*(late+1) + w.Grade
}

const (
	late     = 4 // so many targets are looked at, the nearest that can be met
	ordinary = 2 // the first urgency that is not pressing
)

// Waiting lists the jobs with tasks that nobody holds, in the order of service.
func (d *Divider) Waiting(now time.Time) []*Wait {
	d.refresh()
	var out []*Wait
	for _, l := range d.jobs.Jobs {
		if l.Team < 0 {
			continue
		}
		e := d.entries[l.Spec.UID]
		if now.Before(e.pauseUntil) || e.free <= 0 {
			continue
		}
		w := &Wait{Job: l, Team: l.Team, Tasks: e.free, Age: now.Sub(time.UnixMilli(l.At)), Rank: l.Rank, entry: e, est: d.estimate(l)}
		w.promised = d.cfg.Promise > 0 && e.promised && w.Age < d.cfg.Promise
		w.work = float64(w.Tasks) * l.Spec.CPUs * w.est
		if d.cfg.Aging > 0 {
			// Waiting lifts work, so the low is not starved.
			w.Rank = max(0, w.Rank-int(w.Age/d.cfg.Aging))
		}
		out = append(out, w)
	}
	d.grade(out, now)
	return out
}

// targets are the times by which a job should have started or be complete, as
// far as it alone could still meet them, given as the latest end of its work, the
// nearest first. Once they came by kind, waits before deadlines: with four targets
// to a class, the deadlines were the third and fourth and nobody served by them.
func (d *Divider) targets(w *Wait, now time.Time) []time.Time {
	var out []time.Time
	est := time.Duration(w.est * float64(time.Second))
	at := time.UnixMilli(w.Job.At)
	all := d.cfg.Targets[w.Job.Spec.Queue]
	for _, t := range all {
		by := at.Add(t.Within)
		if t.Times > 0 {
			if w.Job.Spec.DueS <= 0 {
				continue
			}
			by = at.Add(time.Duration(t.Times * w.Job.Spec.DueS * float64(time.Second)))
		}
		if t.Start {
			by = by.Add(est)
		}
		if now.Add(est).After(by) {
			continue
		}
		out = append(out, by)
	}
	if by := at.Add(d.cfg.Promise + est); w.promised && !now.Add(est).After(by) {
		out = append(out, by)
	}
	if len(all) == 0 && w.Job.Spec.DueS > 0 {
		out = append(out, at.Add(time.Duration(w.Job.Spec.DueS*float64(time.Second))))
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// before orders two waiting jobs of one level.
func before(a, b *Wait) bool {
	if a.Grade >= late && b.Grade >= late && a.Level() == b.Level() {
		// Nothing is to be won but an early end of it all: the longest first.
		if a.est != b.est {
			return a.est > b.est
		}
	} else if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if !a.target.Equal(b.target) {
		return a.target.Before(b.target)
	}
	return a.Job.Spec.UID < b.Job.Spec.UID
}

// busy is the CPU seconds that what is held will take, in all and by team.
func (d *Divider) busy(now time.Time) (all float64, team []float64) {
	team = make([]float64, len(d.Teams))
	at := sinceOf(now, 0)
	for _, e := range d.entries {
		if e.live == nil || e.live.Team < 0 || e.held == 0 {
			continue
		}
		est := d.estimate(e.live)
		left := est * float64(e.held-e.running)
		if e.running > 0 {
			ran := at - e.since/float64(e.running)
			left += max(est-ran, est/4) * float64(e.running)
		}
		left *= e.live.Spec.CPUs
		all += left
		team[e.live.Team] += left
	}
	return all, team
}

// grade tells which of the waiting jobs can be in time, and sorts them. More may
// be asked than can be done: then the fewest jobs are late if, in the order of
// their targets, the largest is put off each time that the sum of the work
// before a target is too much for it (Moore and Hodgson's rule).
func (d *Divider) grade(ws []*Wait, now time.Time) {
	room := 0.0
	for _, m := range d.machines {
		if m.Open() {
			room += m.Cap.CPUs
		}
	}
	room = max(room, 1)
	busy, teamBusy := d.busy(now)
	todo := append([]*Wait(nil), ws...)
	for pass := 0; pass < late && len(todo) > 0; pass++ {
		var on []*Wait
		var off []*Wait
		for _, w := range todo {
			ts := d.targets(w, now)
			w.Lost = len(ts) == 0 && (len(d.cfg.Targets[w.Job.Spec.Queue]) > 0 || w.Job.Spec.DueS > 0)
			if len(ts) <= pass {
				w.Grade, w.target = late, time.UnixMilli(w.Job.At)
				off = append(off, w)
				continue
			}
			w.Grade, w.target = pass, ts[pass]
			on = append(on, w)
		}
		sort.Slice(on, func(i, j int) bool { return before(on[i], on[j]) })
		var in []*Wait
		sum := busy
		team := append([]float64(nil), teamBusy...)
		for _, w := range on {
			in = append(in, w)
			sum += w.work
			team[w.Team] += w.work
			left := w.target.Sub(now).Seconds()
			limit := max(d.Teams[w.Team].Limit.CPUs, 1)
			for sum/room > left || team[w.Team]/limit > left {
				all := sum/room > left
				worst := -1
				for i, x := range in {
					if x.Rank == w.Rank && !x.promised && (all || x.Team == w.Team) && (worst < 0 || x.work > in[worst].work) {
						worst = i
					}
				}
				if worst < 0 {
					break
				}
				x := in[worst]
				sum -= x.work
				team[x.Team] -= x.work
				in = append(in[:worst], in[worst+1:]...)
				x.Grade, x.target = late, time.UnixMilli(x.Job.At)
				off = append(off, x)
				if x == w {
					break
				}
			}
		}
		busy, teamBusy, todo = sum, team, off
	}
	sort.Slice(ws, func(i, j int) bool {
		if a, b := ws[i].Level(), ws[j].Level(); a != b {
			return a < b
		}
		return before(ws[i], ws[j])
	})
}

// putOff lists what has been put off for long: those that have not begun first,
// then the oldest. The rule above puts off the largest and would do so for ever
// under a lasting load; a part of all room goes to these, see Allot.
func (d *Divider) putOff(ws []*Wait) []*Wait {
	if d.cfg.PutOff <= 0 {
		return nil
	}
	var out []*Wait
	for _, w := range ws {
		if w.Grade >= late && w.Age >= d.cfg.PutOff {
			out = append(out, w)
		}
	}
	begun := func(w *Wait) bool { return w.entry.held+w.entry.fin > 0 }
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := begun(out[i]), begun(out[j]); a != b {
			return b
		}
		return out[i].Age > out[j].Age
	})
	return out
}
