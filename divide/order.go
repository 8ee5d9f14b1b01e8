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
	Late  bool // put off: it cannot be in time, or others were late if it is
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
	switch {
	case !w.Late:
		return w.Rank * 2
	case w.Rank < ordinary:
		return w.Rank*2 + 1
	}
	return len(protocol.Urgencies) * 2
}

const (
	aims     = 4 // so many targets are looked at, the nearest that can be met
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
	if a.Late && b.Late && a.Level() == b.Level() {
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
		if e.live == nil || e.live.Team < 0 || e.held == 0 || e.live.Standing() {
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
// before a target is too much for it (Moore and Hodgson's rule). What is put off
// may still meet a later target, if that makes none late that is in time: once such
// jobs stood behind all others, however much time those had.
func (d *Divider) grade(ws []*Wait, now time.Time) {
	room := 0.0
	for _, m := range d.machines {
		if m.Open() {
			room += m.Cap.CPUs
		}
	}
	for _, e := range d.entries {
		if e.live != nil && e.live.Standing() {
			room -= float64(e.held) * e.live.Spec.CPUs // for good
		}
	}
	s := schedule{d: d, now: now, room: max(room, 1)}
	s.busy, s.teamBusy = d.busy(now)
	targets := make(map[*Wait][]time.Time, len(ws))
	var on, off []*Wait
	for _, w := range ws {
		ts := d.targets(w, now)
		targets[w] = ts
		w.Lost = len(ts) == 0 && (len(d.cfg.Targets[w.Job.Spec.Queue]) > 0 || w.Job.Spec.DueS > 0)
		w.late(len(ts) == 0)
		if !w.Late {
			w.target = ts[0]
			on = append(on, w)
		}
	}
	sort.Slice(on, func(i, j int) bool { return before(on[i], on[j]) })
	for _, w := range on {
		off = append(off, s.add(w)...)
	}
	s.sum()
	sort.Slice(off, func(i, j int) bool {
		if off[i].work != off[j].work {
			return off[i].work < off[j].work
		}
		return off[i].Job.Spec.UID < off[j].Job.Spec.UID
	})
	for next := 1; next < aims; next++ {
		for _, w := range off {
			if ts := targets[w]; w.Late && next < len(ts) {
				w.Late, w.target = false, ts[next]
				w.late(!s.insert(w))
			}
		}
	}
	sort.Slice(ws, func(i, j int) bool {
		if a, b := ws[i].Level(), ws[j].Level(); a != b {
			return a < b
		}
		return before(ws[i], ws[j])
	})
}

// late puts a job off, or not.
func (w *Wait) late(off bool) {
	if w.Late = off; off {
		w.target = time.UnixMilli(w.Job.At)
	}
}

// schedule is the work that can be in time, in the order of service, with the sums of
// all work and of its team's up to the end of each job.
type schedule struct {
	d        *Divider
	now      time.Time
	room     float64
	busy     float64
	teamBusy []float64
	in       []*Wait
	all      []float64
	team     []float64
}

// fits tells whether work that ends at a target is in time. While its last tasks run,
// the slots that fall free are no use to it any more: of that time only half counts.
// Without this each job seemed to be in time until its last start was late by half a run.
func (s *schedule) fits(w *Wait, all, team float64) (room, limit bool) {
	left := w.target.Sub(s.now).Seconds() - w.est/2
	return all/s.room <= left, team/max(s.d.Teams[w.Team].Limit.CPUs, 1) <= left
}

// add takes the next job by Moore and Hodgson's rule, and gives those that it puts off.
func (s *schedule) add(w *Wait) (off []*Wait) {
	s.in = append(s.in, w)
	s.busy += w.work
	s.teamBusy[w.Team] += w.work
	for {
		room, limit := s.fits(w, s.busy, s.teamBusy[w.Team])
		if room && limit {
			return off
		}
		worst := -1
		for i, x := range s.in {
			if x.Rank == w.Rank && !x.promised && (!room || x.Team == w.Team) && (worst < 0 || x.work > s.in[worst].work) {
				worst = i
			}
		}
		if worst < 0 {
			return off
		}
		x := s.in[worst]
		s.busy -= x.work
		s.teamBusy[x.Team] -= x.work
		s.in = slices.Delete(s.in, worst, worst+1)
		x.late(true)
		off = append(off, x)
		if x == w {
			return off
		}
	}
}

// sum works out the sums once the rule is through.
func (s *schedule) sum() {
	for _, w := range s.in {
		s.busy -= w.work
		s.teamBusy[w.Team] -= w.work
	}
	all, team := s.busy, slices.Clone(s.teamBusy)
	s.all, s.team = make([]float64, len(s.in)), make([]float64, len(s.in))
	for i, w := range s.in {
		all += w.work
		team[w.Team] += w.work
		s.all[i], s.team[i] = all, team[w.Team]
	}
}

// insert puts a job into its place if it is in time there and no other that is as
// urgent becomes late.
func (s *schedule) insert(w *Wait) bool {
	at, _ := slices.BinarySearchFunc(s.in, w, func(x, w *Wait) int {
		if before(x, w) {
			return -1
		}
		return 1
	})
	all, team := s.busy, s.teamBusy[w.Team]
	if at > 0 {
		all = s.all[at-1]
	}
	for i := at - 1; i >= 0; i-- {
		if s.in[i].Team == w.Team {
			team = s.team[i]
			break
		}
	}
	all, team = all+w.work, team+w.work
	if room, limit := s.fits(w, all, team); !room || !limit {
		return false
	}
	for i := at; i < len(s.in) && s.in[i].Rank == w.Rank; i++ {
		x, mine := s.in[i], 0.0
		if x.Team == w.Team {
			mine = w.work
		}
		wasRoom, wasLimit := s.fits(x, s.all[i], s.team[i])
		if room, limit := s.fits(x, s.all[i]+w.work, s.team[i]+mine); wasRoom && !room || wasLimit && !limit {
			return false
		}
	}
	s.in = slices.Insert(s.in, at, w)
	s.all = slices.Insert(s.all, at, all)
	s.team = slices.Insert(s.team, at, team)
	for i := at + 1; i < len(s.in); i++ {
		s.all[i] += w.work
		if s.in[i].Team == w.Team {
			s.team[i] += w.work
		}
	}
	return true
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
		if w.Late && w.Age >= d.cfg.PutOff {
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
