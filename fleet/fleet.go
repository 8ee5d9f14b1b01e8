// Package fleet decides what to rent and what to return. It is pure: the
// divider's ledger, the cloud's lists and the time go in, hires and leaves come
// out.
package fleet

import (
	"math"
	"slices"
	"sort"
	"time"

	"junipershelf/divide"
	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
)

// Config holds the fleet's times and bounds.
type Config struct {
	IdleBoots    float64 // an idle machine goes after this part of its boot time
	BootFactor   float64 // a machine that boots this many times boot_s is given up
	BootSlack    time.Duration
	Retry        time.Duration // after a refusal
	OrdinaryRank int           // urgencies up to this may rent ordinary machines
	OrdinaryWait time.Duration // after waiting this long with no spot to be had
	Silent       time.Duration // a machine listed as running that never reports
	ListLag      time.Duration
	Settle       time.Duration // a start that ran this long stands
	Spare        float64       // room kept free when draining, as a part of what is held
}

// Offer is what can be rented.
type Offer struct {
	Flavor string
	Zone   string
	Spot   bool
}

// Hire asks for machines of an offer.
type Hire struct {
	Offer
	Count int
}

type rented struct {
	Offer
	at     time.Time
	listed bool
	seen   time.Time // last in a list
	up     time.Time // when we first saw it listed as running
	status string
}

// Planner keeps what is known of rented machines.
type Planner struct {
	cfg     Config
	Flavors []protocol.Flavor
	rented  map[string]*rented
	refused map[Offer]time.Time
	fails   map[Offer]int
	gone    map[string]time.Time
	listed  time.Time
	pending map[Offer]int // asked for, not answered
}

// New makes a planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, rented: map[string]*rented{}, refused: map[Offer]time.Time{}, fails: map[Offer]int{},
		gone: map[string]time.Time{}, pending: map[Offer]int{}}
}

// Flavor finds a type of the catalogue.
func (p *Planner) Flavor(label string) *protocol.Flavor {
	for i := range p.Flavors {
		if p.Flavors[i].Label == label {
			return &p.Flavors[i]
		}
	}
	return nil
}

// Cap is the size of a type.
func Cap(f *protocol.Flavor) job.Need {
	return job.Need{CPUs: f.CPUs, Acc: f.Accelerators, Mem: f.MemGB}
}

// Asked notes a hire that is under way; Hired, Refused and Unknown its end.
func (p *Planner) Asked(h Hire) { p.pending[h.Offer] += h.Count }

// Hired notes the machines that a hire brought.
func (p *Planner) Hired(h Hire, ids []string, now time.Time) {
	p.pending[h.Offer] -= h.Count
	for _, id := range ids {
		p.rented[id] = &rented{Offer: h.Offer, at: now, seen: now, status: "booting"}
	}
	if len(ids) < h.Count {
		p.refused[h.Offer] = now.Add(p.cfg.Retry)
	} else {
		p.fails[h.Offer] = 0
	}
}

// Refused notes that an offer has nothing to give.
func (p *Planner) Refused(h Hire, now time.Time) {
	p.pending[h.Offer] -= h.Count
	p.fails[h.Offer]++
	p.refused[h.Offer] = now.Add(p.cfg.Retry * time.Duration(min(p.fails[h.Offer], 2)))
}

// Failed notes a hire that came to nothing for another reason.
func (p *Planner) Failed(h Hire, now time.Time) {
	p.pending[h.Offer] -= h.Count
	p.refused[h.Offer] = now.Add(2 * time.Second)
}

// List takes the cloud's list.
func (p *Planner) List(now time.Time, hosts []protocol.Host) {
	p.listed = now
	in := map[string]bool{}
	for _, h := range hosts {
		in[h.UID] = true
		if _, gone := p.gone[h.UID]; gone {
			continue // the list lags
		}
		r := p.rented[h.UID]
		if r == nil {
			r = &rented{at: now.Add(-time.Duration(h.HeldS * float64(time.Second)))}
			p.rented[h.UID] = r
		}
		r.Offer = Offer{h.Flavor, h.Yard, h.Borrowed}
		r.listed, r.seen, r.status = true, now, h.Status
		if h.Status == "running" && r.up.IsZero() {
			r.up = now
		}
	}
	for id, r := range p.rented {
		if !in[id] && (r.listed && now.Sub(r.seen) > p.cfg.ListLag || now.Sub(r.seen) > 4*p.cfg.ListLag+5*time.Second) {
			delete(p.rented, id)
		}
	}
	for id, at := range p.gone {
		if now.Sub(at) > 5*time.Minute {
			delete(p.gone, id)
		}
	}
}

// Gone notes machines that are returned.
func (p *Planner) Gone(ids []string, now time.Time) {
	for _, id := range ids {
		if _, known := p.gone[id]; !known {
			p.gone[id] = now
		}
		delete(p.rented, id)
	}
}

// Listed tells whether a list has been seen.
func (p *Planner) Listed() bool { return !p.listed.IsZero() }

// maxHire is the most machines that one request may ask for.
const maxHire = 50

// pool is the room of an offer that is there or on its way.
type pool map[Offer]job.Need

func (p pool) add(o Offer, n job.Need, count int) {
	k := float64(count)
	p[o] = p[o].Plus(job.Need{CPUs: max(n.CPUs, 0) * k, Acc: max(n.Acc, 0) * k, Mem: max(n.Mem, 0) * k})
}

// take takes room for tasks and tells how many found none.
func (p pool) take(l *job.Live, offers []Offer, slots int, zoneOK func(string) bool) int {
	need := l.Need()
	for _, o := range offers {
		if slots <= 0 {
			break
		}
		// Room in a zone that may have no more of a job is none for it: replicas to be
		// spread once waited beside idle machines of the wrong zone, and none was rented.
		if !job.Allows(&l.Spec, o.Flavor, o.Zone, o.Spot) || !zoneOK(o.Zone) {
			continue
		}
		k := min(slots, need.Slots(p[o]))
		p[o] = p[o].Minus(job.Need{CPUs: need.CPUs * float64(k), Acc: need.Acc * float64(k), Mem: need.Mem * float64(k)})
		slots -= k
	}
	return slots
}

// Plan gives what to rent, which machines to drain, and which to return at once.
func (p *Planner) Plan(now time.Time, d *divide.Divider, waits []*divide.Wait) (hires []Hire, leave, drop []string) {
	have := pool{}
	for id, r := range p.rented {
		m := d.Machine(id)
		if m != nil && m.Heard {
			continue
		}
		f := p.Flavor(r.Flavor)
		if f == nil || r.status == "failed" {
			if r.status == "failed" {
				drop = append(drop, id)
			}
			continue
		}
		// A machine that is listed as running may not have found its owner yet:
		// after a change of divider that is so for the whole fleet, and its age
		// says nothing of how long it booted.
		limit := time.Duration(f.BootS*p.cfg.BootFactor*float64(time.Second)) + p.cfg.BootSlack
		if r.up.IsZero() && now.Sub(r.at) > limit || !r.up.IsZero() && now.Sub(r.up) > p.cfg.Silent {
			drop = append(drop, id)
			continue
		}
		have.add(r.Offer, Cap(f), 1)
	}
	for o, n := range p.pending {
		if f := p.Flavor(o.Flavor); f != nil && n > 0 {
			have.add(o, Cap(f), n)
		}
	}
	for _, m := range d.Order() {
		if r := p.rented[m.ID]; r != nil && r.status == "failed" || d.Sick[m.ID] {
			drop = append(drop, m.ID)
			continue
		}
		// Only what is free now: what runs there keeps its room for longer than
		// a boot, as far as anybody knows.
		if m.Open() {
			have.add(Offer{m.Flavor, m.Zone, m.Spot}, m.Free, 1)
		}
	}
	offers := make([]Offer, 0, len(have))
	for o := range have {
		offers = append(offers, o)
	}
	sort.Slice(offers, func(i, j int) bool { return less(offers[i], offers[j]) })
	want := map[Offer]int{}
	head := map[int]job.Need{}
	for _, w := range waits {
		l := w.Job
		need := l.Need()
		t := &d.Teams[w.Team]
		left, known := head[w.Team]
		if !known {
			left = t.Limit.Minus(t.Used())
			left.Mem = math.Inf(1)
			// Tasks that queue on full machines want room as well. A team at its
			// limit once held a part of it in queues, and nothing was rented for
			// those.
			left.CPUs += t.QueuedCPUs()
		}
		n := min(w.Tasks+d.Queued(l.Spec.UID), need.Slots(left))
		head[w.Team] = left.Minus(job.Need{CPUs: need.CPUs * float64(n), Acc: need.Acc * float64(n)})
		zoneOK := func(zone string) bool { return d.ZoneOK(w, zone) }
		slots := have.take(l, offers, n, zoneOK)
		for slots > 0 {
			o, c, ok := p.best(now, w, w.Rank, need, want, zoneOK)
			if !ok {
				break
			}
			k := need.Slots(c)
			count := min((slots+k-1)/k, spread)
			want[o] += count
			slots -= count * k
			if slots < 0 {
				if _, seen := have[o]; !seen {
					offers = append(offers, o)
				}
				have.add(o, need, -slots)
			}
		}
	}
	for o, n := range want {
		for ; n > 0; n -= maxHire {
			hires = append(hires, Hire{o, min(n, maxHire)})
		}
	}
	sort.Slice(hires, func(i, j int) bool {
		if hires[i].Offer != hires[j].Offer {
			return less(hires[i].Offer, hires[j].Offer)
		}
		return hires[i].Count > hires[j].Count
	})
	// An idle machine goes when nothing that waits could use it.
	for _, m := range d.Order() {
		if m.Leaving || !m.Heard || m.Idle(now) < p.idle(m.Flavor) {
			continue
		}
		useful := false
		for _, w := range waits {
			if job.Allows(&w.Job.Spec, m.Flavor, m.Zone, m.Spot) && w.Job.Need().Fits(m.Cap) && d.Within(w.Job) {
				useful = true
				break
			}
		}
		if !useful {
			leave = append(leave, m.ID)
		}
	}
	if len(waits) == 0 && len(hires) == 0 {
		leave = append(leave, p.shrink(now, d, leave)...)
	}
	sort.Strings(drop)
	return hires, leave, drop
}

// spread is how many machines of one offer are wanted before offers are compared
// anew, so that zones are asked in turn.
const spread = 4

// drainPart is the part of the fleet that may drain at a time: one machine at least.
const drainPart = 0.08

// shrink picks machines to drain when nothing waits and the others have room for
// all that they run, with some to spare. What saves its progress is moved; the
// rest ends where it is. Dear machines go first, then the emptiest. Idle ones that
// leave anyway, and machines that still boot, are no reason to wait: of a thousand
// there is always one, and once nothing was drained for that.
func (p *Planner) shrink(now time.Time, d *divide.Divider, leave []string) (out []string) {
	type load struct {
		m    *divide.Room
		used float64
		key  float64
	}
	var all []load
	free, held := 0.0, 0.0
	most := max(1, int(drainPart*float64(len(d.Order()))))
	for _, m := range d.Order() {
		used := 0.0
		young := false // has a start that would not count if it were stopped now
		for i := range m.Held {
			h := &m.Held[i]
			used += h.Need.CPUs * float64(h.Tasks.Len())
			if d.Standing(h.Job) {
				young = true // to move a replica costs more than its machine saves
			}
			if d.Saves(h.Job) && (h.Phase != part.Running || h.ForS+now.Sub(m.Shown()).Seconds() < p.cfg.Settle.Seconds()) {
				young = true
			}
		}
		held += used
		if !m.Open() {
			if m.Leaving && used > 0 {
				most--
			}
			continue
		}
		if slices.Contains(leave, m.ID) {
			continue
		}
		free += max(m.Free.CPUs, 0)
		if used == 0 || young {
			continue
		}
		key := used
		if !m.Spot {
			key -= 1e6
		}
		all = append(all, load{m, used, key})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].key < all[j].key })
	for _, l := range all {
		if len(out) >= most {
			break
		}
		// The others must have room for it, beside what was picked before.
		if free -= max(l.m.Free.CPUs, 0) + l.used; free < p.cfg.Spare*held {
			break
		}
		out = append(out, l.m.ID)
	}
	return out
}

// idle is how many seconds a machine may be idle. The longer its like takes to
// boot, the longer it is worth keeping.
func (p *Planner) idle(flavor string) float64 {
	if f := p.Flavor(flavor); f != nil {
		return f.BootS * p.cfg.IdleBoots
	}
	return 0
}

func less(a, b Offer) bool {
	if a.Flavor != b.Flavor {
		return a.Flavor < b.Flavor
	}
	if a.Zone != b.Zone {
		return a.Zone < b.Zone
	}
	return a.Spot && !b.Spot
}

// best is the cheapest offer for a waiting job, by price for each task that a
// machine holds and with its boot time counted in.
func (p *Planner) best(now time.Time, w *divide.Wait, rank int, need job.Need, want map[Offer]int, zoneOK func(string) bool) (Offer, job.Need, bool) {
	var best Offer
	var room job.Need
	cost := math.Inf(1)
	for i := range p.Flavors {
		f := &p.Flavors[i]
		c := Cap(f)
		slots := need.Slots(c)
		if slots == 0 {
			continue
		}
		for _, z := range f.Yards {
			if !zoneOK(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := Offer{f.Label, z, spot}
				if !job.Allows(&w.Job.Spec, o.Flavor, o.Zone, spot) || now.Before(p.refused[o]) {
					continue
				}
				price := f.Rate
				if spot {
					price = f.SpotPrice
				} else if w.Job.Spec.Borrowed && (rank > p.cfg.OrdinaryRank || w.Age < p.cfg.OrdinaryWait) {
					continue
				}
				if price <= 0 && spot {
					continue
				}
				// Spread over zones: one already asked for costs a little more.
				v := price / float64(slots) * (1 + f.BootS/150) * (1 + 0.02*float64(want[o]))
				if !spot {
					v += 1e3
				}
				if v < cost {
					best, room, cost = o, c, v
				}
			}
		}
	}
	return best, room, !math.IsInf(cost, 1)
}
