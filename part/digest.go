package part

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// State is a machine as its owner shows it to the divider.
type State struct {
	ID       string   `msgpack:"i"`
	Flavor   string   `msgpack:"f"`
	Zone     string   `msgpack:"z"`
	Spot     bool     `msgpack:"s"`
	Room     job.Need `msgpack:"r"` // after placements and queue
	Queue    int      `msgpack:"q"`
	Tasks    int      `msgpack:"t"`
	Usable   bool     `msgpack:"u"`
	Heard    bool     `msgpack:"h"`
	Leaving  bool     `msgpack:"l"`
	Warned   bool     `msgpack:"w"`
	IdleS    float64  `msgpack:"d"`
	QuietS   float64  `msgpack:"k"`
	Images   []string `msgpack:"b"`
	Fetching []string `msgpack:"g"`
}

// HeldTask is a task that an owner holds.
type HeldTask struct {
	Index   int     `msgpack:"n"`
	Machine string  `msgpack:"m"`
	Placed  bool    `msgpack:"p"`
	Running bool    `msgpack:"r"`
	ForS    float64 `msgpack:"s"` // time in its present state
	Stop    bool    `msgpack:"x"`
}

// HeldJob groups an owner's tasks.
type HeldJob struct {
	UID   string     `msgpack:"u"`
	Team  string     `msgpack:"t"`
	Need  job.Need   `msgpack:"n"`
	Tasks []HeldTask `msgpack:"k"`
}

// DoneTask is done, and not yet in its job's record.
type DoneTask struct {
	Task job.Task `msgpack:"t"`
	RanS float64  `msgpack:"r"` // 0: not known
}

// Digest is all that the divider needs to know of an owner. It is whole each
// time, so a lost or repeated one does no harm.
type Digest struct {
	N        uint64     `msgpack:"n"` // rises with each; an older one that comes late is ignored
	Ack      uint64     `msgpack:"a"`
	Machines []State    `msgpack:"m"`
	Held     []HeldJob  `msgpack:"h"`
	Done     []DoneTask `msgpack:"d"`
	Moves    []Move     `msgpack:"v"`
	Faults   []Fault    `msgpack:"f"`
	Gone     []string   `msgpack:"g"`
}

func endedPiece(pl *Placement) protocol.Piece {
	return protocol.Piece{Piece: pl.Task.String(), Try: pl.Try, Status: "ended"}
}

// Digest makes the owner's digest. Moves and faults are kept until the divider
// has answered, see Delivered.
func (p *Part) Digest(now time.Time) Digest {
	p.digests++
	d := Digest{N: p.digests, Ack: p.ack, Moves: p.moves, Faults: p.faults}
	held := map[string]*HeldJob{}
	put := func(t job.Task, team string, need job.Need, h HeldTask) {
		j := held[t.Job]
		if j == nil {
			j = &HeldJob{UID: t.Job, Team: team, Need: need}
			held[t.Job] = j
		}
		h.Index = t.Index
		j.Tasks = append(j.Tasks, h)
	}
	for _, id := range p.ids {
		m := p.machines[id]
		s := State{ID: id, Flavor: m.Flavor, Zone: m.Zone, Spot: m.Spot, Room: m.free(), Queue: len(m.queue),
			Tasks: len(m.placed) + len(m.adding), Usable: m.usable() && !m.full, Heard: !m.heard.IsZero(),
			Leaving: m.leaving || m.returning || m.gone, Warned: m.warning, Images: m.images}
		if !m.idle.IsZero() {
			s.IdleS = now.Sub(m.idle).Seconds()
		}
		if !m.contact.IsZero() {
			s.QuietS = now.Sub(m.contact).Seconds()
		} else {
			s.QuietS = now.Sub(p.seen).Seconds()
		}
		p.prune(m)
		for _, e := range m.unmerged {
			d.Done = append(d.Done, DoneTask(e))
		}
		for _, e := range m.queue {
			s.Room = s.Room.Minus(e.need)
			team := ""
			if l := p.jobs.Get(e.task.Job); l != nil {
				team = l.Spec.Owner
			}
			put(e.task, team, e.need, HeldTask{Machine: id, ForS: now.Sub(e.since).Seconds()})
		}
		for _, pl := range m.adding {
			put(pl.Task, pl.Team, pl.Need, HeldTask{Machine: id, Placed: true})
		}
		seen := map[string]bool{}
		for _, pl := range m.placed {
			if pl.status != "running" && pl.Image != "" && !seen[pl.Image] {
				seen[pl.Image] = true
				s.Fetching = append(s.Fetching, pl.Image)
			}
			put(pl.Task, pl.Team, pl.Need, HeldTask{Machine: id, Placed: true, Running: pl.status == "running",
				ForS: now.Sub(pl.since).Seconds(), Stop: pl.stop})
		}
		d.Machines = append(d.Machines, s)
	}
	for _, j := range held {
		d.Held = append(d.Held, *j)
	}
	sort.Slice(d.Held, func(i, j int) bool { return d.Held[i].UID < d.Held[j].UID })
	for id := range p.gone {
		d.Gone = append(d.Gone, id)
	}
	sort.Strings(d.Gone)
	return d
}

// Delivered drops what a delivered digest carried.
func (p *Part) Delivered(d *Digest) {
	p.moves = p.moves[len(d.Moves):]
	p.faults = p.faults[len(d.Faults):]
}
