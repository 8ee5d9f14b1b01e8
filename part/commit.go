package part

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
)

// shard is one record: placements on machines of one part stand in it, and what
// completed there. A part has a second one when its first nears the size of a
// value; a machine's placements may then stand in both.
type shard struct {
	part, chunk int
	key         string
	stamp       uint64 // 0 if there is no record
	unmerged    []Ended
	inflight    bool
	size        int       // when last written
	done        int       // what of it is finished tasks
	coming      int       // what waits to be placed in it takes about so much
	since       time.Time // first unwritten change
	pause       time.Time // it was too large for the service; not tried before this
}

// ShardWrite is a shard's part of a commit: Rec is nil when the record goes.
type ShardWrite struct {
	Key   string
	Stamp uint64
	Rec   *Record
	Size  int
	done  int
	shard *shard
	add   []*Placement
	drop  []*Placement
	on    map[*Placement]*Machine

	// What comes here from a record that is split.
	moved   []*Placement
	ended   []Ended
	endedOf *shard
}

// Commit is one transaction: its guards are the view, and the stamps of all
// shards that it writes.
type Commit struct {
	Shards []ShardWrite
}

// Size is about what the transaction takes in its JSON form.
func (c *Commit) Size() int {
	n := 300
	for _, w := range c.Shards {
		n += w.Size + 150
	}
	return n
}

// Wants tells whether a machine could start more within moments: a task with
// room waits for its commit.
func (p *Part) Wants(id string) bool {
	m := p.machines[id]
	if m == nil || !p.usable(m) {
		return false
	}
	wants := false
	m.walk(func(pl *Placement, _ job.Need, fits bool) {
		wants = wants || fits && (pl == nil || !pl.committed)
	})
	return wants
}

// Spare tells whether a machine has room that nothing held there would take.
func (p *Part) Spare(id string) bool {
	m := p.machines[id]
	if m == nil || !p.usable(m) || m.unclear() || len(m.queue) > 0 {
		return false
	}
	room := m.room()
	for _, pl := range m.runs {
		if pl.waits() {
			room = room.Minus(pl.Need)
		}
	}
	return room.CPUs > 0 && room.Mem > 0
}

// What a new placement takes in a record, and a machine's row: at the most, nearly
// always.
const (
	placementBytes = 24
	machineBytes   = 36
)

// shardsOf lists the records of a machine's part, one for each chunk there is.
func (p *Part) shardsOf(m *Machine) (out []*shard, part int) {
	if p.cfg.PartOf != nil {
		part = p.cfg.PartOf(m.ID)
	}
	for _, s := range p.shards {
		if s.part == part {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *shard) int { return a.chunk - b.chunk })
	return out, part
}

// assign picks the record for a new placement: the machine's own while that has room,
// else the first of its part that has, so that there are as few as possible. Once each
// machine had one record, which took it with all that it could ever hold: with 64 CPUs
// that was three machines to a record that had room for sixty, and some 200 records to
// be written with 14 changes a second.
func (p *Part) assign(m *Machine, pl *Placement) {
	all, part := p.shardsOf(m)
	limit := p.cfg.ValueBytes * 85 / 100
	room := func(s *shard, limit int) bool {
		need := placementBytes
		if s != m.shard {
			need += machineBytes
		}
		return s.size+s.coming+need <= limit
	}
	var best *shard
	if m.shard != nil && room(m.shard, limit) {
		best = m.shard
	}
	for _, s := range all {
		// Into a record before its own only where there is much room, or machines
		// would stand in two of them all the time.
		if s == best || room(s, limit) && (best == nil || room(s, limit/2)) {
			best = s
			break
		}
	}
	if best == nil {
		best = &shard{part: part, chunk: len(all), key: ShardKey(part, len(all))}
		for i, s := range all {
			if s.chunk != i { // one that went with an earlier owner
				best.chunk, best.key = i, ShardKey(part, i)
				break
			}
		}
		p.shards = append(p.shards, best)
	}
	pl.shard = best
	best.coming += placementBytes
	if m.shard != best {
		best.coming += machineBytes
		m.shard = best
	}
}

// Fill is how full the fullest record is, as a part of a value.
func (p *Part) Fill() float64 {
	most := 0
	for _, s := range p.shards {
		most = max(most, s.size)
	}
	return float64(most) / float64(max(p.cfg.ValueBytes, 1))
}

// Finished is how much of a value the finished tasks take, where they take most.
func (p *Part) Finished() float64 {
	most := 0
	for _, s := range p.shards {
		most = max(most, s.done)
	}
	return float64(most) / float64(max(p.cfg.ValueBytes, 1))
}

// NextCommit collects what is to be committed, at most so many shards, or nil.
// Shards with tasks that could start come first, then those that wait longest.
// The commit must be settled before the next one is made.
func (p *Part) NextCommit(now time.Time, most int) *Commit {
	if c := p.split(now); c != nil {
		p.next++
		return c
	}
	most = max(min(most, p.cfg.TxnOps)>>p.shrunk, 1)
	score := map[*shard]float64{}
	for _, s := range p.shards {
		s.coming = 0
	}
	var fresh []*Placement
	on := map[*Placement]*Machine{}
	for _, id := range p.ids {
		m := p.machines[id]
		for _, pl := range m.runs {
			switch {
			case pl.gone && pl.committed:
				score[pl.shard]++
			case pl.gone || pl.committed:
			case pl.shard != nil:
				pl.shard.coming += placementBytes
				score[pl.shard] += 2
			default:
				fresh = append(fresh, pl)
				on[pl] = m
			}
		}
	}
	for _, pl := range fresh {
		p.assign(on[pl], pl)
		score[pl.shard] += 2
	}
	for _, id := range p.ids {
		p.machines[id].walk(func(pl *Placement, _ job.Need, fits bool) {
			if pl != nil && !pl.committed && fits {
				score[pl.shard] += 20
			}
		})
	}
	var ready []*shard
	for s, n := range score {
		if s.inflight || now.Before(s.pause) {
			continue
		}
		if s.since.IsZero() {
			s.since = now
		}
		score[s] = n + 10*now.Sub(s.since).Seconds()
		ready = append(ready, s)
	}
	sort.Slice(ready, func(i, j int) bool {
		a, b := ready[i], ready[j]
		if score[a] != score[b] {
			return score[a] > score[b]
		}
		return a.key < b.key
	})
	c := &Commit{}
	for _, s := range ready {
		if len(c.Shards) == most {
			break
		}
		w := p.write(s)
		if len(w.add)+len(w.drop) == 0 {
			continue
		}
		if w.Size > p.cfg.ValueBytes && len(w.add) == 0 && w.Rec != nil && !p.oversize(s) {
			// What stands in it has outgrown a value by itself: it is split next time.
			s.size = w.Size
			continue
		}
		if len(c.Shards) > 0 && c.Size()+w.Size > maxCommit {
			continue
		}
		s.inflight = true
		c.Shards = append(c.Shards, w)
	}
	if len(c.Shards) == 0 {
		return nil
	}
	p.next++
	return c
}

// maxCommit bounds a transaction well below the 64 KiB of a request.
const maxCommit = 48 << 10

// prune drops finished tasks that stand in their job's record by now, or whose
// job is over.
func (p *Part) prune(s *shard) {
	s.unmerged = slices.DeleteFunc(s.unmerged, func(e Ended) bool {
		l := p.jobs.Get(e.Task.Job)
		return l == nil || l.Merged.Has(e.Task.Index)
	})
}

// write makes a shard's record anew. What would make it too large finds another one
// next time, the latest first: nothing of it is lost, it just is not placed yet.
func (p *Part) write(s *shard) ShardWrite {
	p.prune(s)
	for most := 1 << 30; ; most /= 2 {
		w, adds := p.compose(s, most)
		if w.Size > p.cfg.ValueBytes*95/100 && adds > 0 {
			most = min(most, adds)
			continue
		}
		if most < 1<<30 {
			s.size = max(s.size, w.Size)
			p.moveOn(s, w.add)
		}
		return w
	}
}

// moveOn lets what a shard has no room for look for another one.
func (p *Part) moveOn(s *shard, but []*Placement) {
	for _, id := range p.ids {
		for _, pl := range p.machines[id].runs {
			if pl.shard == s && !pl.committed && !slices.Contains(but, pl) {
				pl.shard = nil
			}
		}
	}
}

// compose makes a shard's record with at most so many new placements.
func (p *Part) compose(s *shard, most int) (out ShardWrite, adds int) {
	out = ShardWrite{Key: s.key, Stamp: s.stamp, shard: s, on: map[*Placement]*Machine{}}
	w := newWriter()
	for _, e := range s.unmerged {
		w.finished(e.Task)
	}
	for _, id := range p.ids {
		m := p.machines[id]
		var row []*Placement
		for _, pl := range m.runs {
			switch {
			case pl.shard != s:
			case pl.gone && pl.committed:
				out.drop = append(out.drop, pl)
				out.on[pl] = m
				if pl.done {
					w.finished(pl.Task)
				}
			case pl.committed:
				row = append(row, pl)
			case !pl.gone && adds < most:
				adds++
				out.add = append(out.add, pl)
				out.on[pl] = m
				row = append(row, pl)
			}
		}
		if len(row) > 0 {
			w.machine(m, row)
		}
	}
	rec := w.record()
	out.Size, out.done = rec.Size(), rec.doneSize()
	if len(rec.Machines)+len(rec.Done) > 0 {
		out.Rec = rec
	}
	return out, adds
}

// Committed settles a commit that passed at an epoch.
func (p *Part) Committed(c *Commit, epoch uint64, now time.Time) {
	p.shrunk = max(p.shrunk-1, 0)
	for i := range c.Shards {
		w := &c.Shards[i]
		s := w.shard
		s.inflight, s.since, s.stamp, s.size, s.done = false, time.Time{}, epoch, w.Size, w.done
		if w.Rec == nil {
			s.stamp = 0
		}
		for _, pl := range w.drop {
			p.dropped(s, w.on[pl], pl, now)
		}
		for _, pl := range w.add {
			p.added(w.on[pl], pl, now)
		}
		w.settleMoved()
	}
	p.tidy()
}

// added notes that a placement stands in its record.
func (p *Part) added(m *Machine, pl *Placement, now time.Time) {
	pl.committed = true
	pl.steps.committed = now
	p.touch(m)
	if m.gone || pl.gone {
		// Meanwhile unwanted: it was never ordered, but stands there.
		pl.gone = true
		if !slices.Contains(m.runs, pl) {
			m.runs = append(m.runs, pl)
		}
	}
}

// dropped takes a placement out; what the worker still reports of it is to be
// forgotten, which a report that came meanwhile may already have told.
func (p *Part) dropped(s *shard, m *Machine, pl *Placement, now time.Time) {
	m.runs = slices.DeleteFunc(m.runs, func(o *Placement) bool { return o == pl })
	p.touch(m)
	p.countRemoval(pl, now)
	if pl.status == "ended" && pl.Session == m.shift {
		m.unknown[pl.Task] = endedPiece(pl)
	}
	if pl.done {
		p.Counts.Done++
		s.unmerged = append(s.unmerged, Ended{Task: pl.Task, RanS: pl.ran, ver: p.ver})
	}
	if pl.back && p.usable(m) {
		m.queue = slices.Insert(m.queue, 0, entry{task: pl.Task, need: pl.Need, since: pl.since, allotted: pl.steps.allotted})
	}
}

// tidy forgets machines that are gone and hold nothing, and lets empty ones
// choose their shard anew. Placements that were never committed and are not
// wanted any more go without a trace, unless a commit under way holds them.
func (p *Part) tidy() {
	for i := 0; i < len(p.ids); i++ {
		m := p.machines[p.ids[i]]
		m.runs = slices.DeleteFunc(m.runs, func(pl *Placement) bool { return pl.gone && !pl.committed && (pl.shard == nil || !pl.shard.inflight) })
		if len(m.runs) > 0 {
			continue
		}
		m.shard = nil
		if m.gone {
			p.forget(m)
			i--
		}
	}
}

// Conflicted makes the next commits smaller: they find room in a limit that
// larger ones do not.
func (p *Part) Conflicted() { p.shrunk = min(p.shrunk+1, 2) }

// Reread settles one shard of a commit whose guards failed with what the store
// shows now. A write of ours that passed unseen stands in the record; what the
// record lacks was not placed and never will be, since its guard is stale.
func (p *Part) Reread(c *Commit, key string, rec *Record, stamp uint64, now time.Time) error {
	have := map[job.Task]uint64{}
	if rec != nil {
		if err := rec.each(func(_ *RecMachine, _ RecKind, pl *Placement) { have[pl.Task] = pl.Try }); err != nil {
			return err
		}
	}
	for i := range c.Shards {
		w := &c.Shards[i]
		if w.Key != key {
			continue
		}
		w.shard.stamp = stamp
		for _, pl := range w.drop {
			if have[pl.Task] != pl.Try {
				p.dropped(w.shard, w.on[pl], pl, now)
			}
		}
		for _, pl := range w.add {
			if have[pl.Task] == pl.Try {
				p.added(w.on[pl], pl, now)
			}
		}
		if rec != nil && w.endedOf != nil {
			w.settleMoved() // the split had passed unseen
		}
	}
	return nil
}

// Refused settles a commit that was surely not carried out, as far as Reread has
// not: all of it is still wanted.
func (p *Part) Refused(c *Commit) {
	for _, w := range c.Shards {
		w.shard.inflight = false
	}
	p.tidy()
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
			// It has yet to show that it hears us.
			quiet = now.Sub(m.known)
		}
		idle := len(m.runs)+len(m.queue) == 0
		switch {
		case m.returning:
			out = append(out, id)
		case m.leaving && (m.urgent || idle), m.warning && idle,
			!m.contact.IsZero() && trust && quiet > p.cfg.SilentAway,
			quiet > 3*p.cfg.Lease:
			m.returning, m.returned = true, now
			p.touch(m)
			out = append(out, id)
		}
	}
	return out
}

// Returned notes that the cloud answered 200 to the return of machines: they
// and all on them are gone.
func (p *Part) Returned(ids []string, now time.Time) {
	for _, id := range ids {
		p.ver++
		p.gone[id] = goneAt{now, p.ver}
		m := p.machines[id]
		if m == nil {
			continue
		}
		m.gone = true
		m.queue = nil
		for _, pl := range m.runs {
			if !pl.gone {
				p.countLoss(pl, m.contact, m.returned, now)
				p.lose(m, pl)
			}
		}
		p.touch(m)
	}
	p.tidy()
}

func (p *Part) forget(m *Machine) {
	delete(p.machines, m.ID)
	p.ver++
	p.removed[m.ID] = p.ver
	if i, ok := slices.BinarySearch(p.ids, m.ID); ok {
		p.ids = slices.Delete(p.ids, i, i+1)
	}
}
