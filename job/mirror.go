package job

import (
	"time"

	"junipershelf/protocol"
)

// Live is a job of the mirror.
type Live struct {
	Record
	Stamp    uint64
	Merged   Ranges // finished, as the job's record has it
	Finished Ranges // and what machines' records have beyond
	Rank     int
	Team     int // dense index of the team, -1 if the settings have none
	Seen     time.Time
	// Unreadable says that the job's record cannot be decoded and nothing else of it is
	// known: its tasks are neither started nor stopped.
	Unreadable bool
}

// Need is what a task takes of its machine.
type Need struct {
	_msgpack struct{} `msgpack:",as_array"`
	CPUs     float64
	Acc      float64
	Mem      float64
}

const slack = 1e-6

// Fits tells whether a need has room.
func (n Need) Fits(room Need) bool {
	return n.CPUs <= room.CPUs+slack && n.Acc <= room.Acc+slack && n.Mem <= room.Mem+slack
}

// Minus and Plus are by component.
func (n Need) Minus(o Need) Need {
	return Need{CPUs: n.CPUs - o.CPUs, Acc: n.Acc - o.Acc, Mem: n.Mem - o.Mem}
}
func (n Need) Plus(o Need) Need {
	return Need{CPUs: n.CPUs + o.CPUs, Acc: n.Acc + o.Acc, Mem: n.Mem + o.Mem}
}

// Slots is how many tasks of a need fit into room.
func (n Need) Slots(room Need) int {
	k := 1 << 20
	for _, p := range [][2]float64{{n.CPUs, room.CPUs}, {n.Acc, room.Acc}, {n.Mem, room.Mem}} {
		if p[0] > 0 {
			k = min(k, int(min(p[1]/p[0]+slack, 1<<20)))
		}
	}
	return max(k, 0)
}

// NeedOf is what each task of a job takes.
func NeedOf(s *protocol.Spec) Need { return Need{CPUs: s.CPUs, Acc: s.Accelerators, Mem: s.MemGB} }

// Need is what each task takes.
func (l *Live) Need() Need { return NeedOf(&l.Spec) }

// Standing tells that a job's tasks run until it is cancelled.
func (l *Live) Standing() bool { return l.Spec.Shape == protocol.Daemon }

// Allows tells whether a machine's type, zone and kind are allowed.
func Allows(s *protocol.Spec, flavor, zone string, spot bool) bool {
	if spot && !s.Borrowed || s.Yard != "" && s.Yard != zone {
		return false
	}
	if len(s.Flavors) == 0 {
		return true
	}
	for _, f := range s.Flavors {
		if f == flavor {
			return true
		}
	}
	return false
}

// Mirror is a node's copy of the live jobs.
type Mirror struct {
	Jobs  map[string]*Live
	teams map[string]int
	fresh time.Time
	over  map[string]time.Time
}

// NewMirror makes an empty mirror; teams gives their dense indices.
func NewMirror(teams map[string]int) *Mirror {
	return &Mirror{Jobs: map[string]*Live{}, teams: teams, over: map[string]time.Time{}}
}

// Get finds a live job.
func (m *Mirror) Get(uid string) *Live { return m.Jobs[uid] }

// Set takes a record as read at a stamp; one that is older than what is known
// changes nothing.
func (m *Mirror) Set(uid string, rec Record, stamp uint64, now time.Time) error {
	done, err := ParseRanges(rec.Done)
	if err != nil {
		return err
	}
	if _, over := m.over[uid]; over {
		return nil // a late copy: a job that ended never lives again
	}
	l := m.Jobs[uid]
	if l == nil || l.Unreadable {
		l = &Live{Seen: now}
		m.Jobs[uid] = l
	} else if stamp <= l.Stamp {
		return nil
	}
	l.Record, l.Stamp, l.Merged = rec, stamp, done
	l.Finished.Merge(done) // what is done stays done
	l.Rank = max(0, protocol.Rank(rec.Spec.Urgency))
	l.Team = -1
	if t, ok := m.teams[rec.Spec.Owner]; ok {
		l.Team = t
	}
	return nil
}

// SetUnreadable notes a live job whose record cannot be decoded. What was known of it
// stays; a job that was not known is kept without a stamp, so that no poll is answered
// from it.
func (m *Mirror) SetUnreadable(uid string, now time.Time) {
	if _, over := m.over[uid]; over || m.Jobs[uid] != nil {
		return
	}
	m.Jobs[uid] = &Live{Record: Record{Spec: protocol.Spec{UID: uid}}, Team: -1, Seen: now, Unreadable: true}
}

// Drop takes a job out that has ended.
func (m *Mirror) Drop(uid string, now time.Time) {
	delete(m.Jobs, uid)
	m.over[uid] = now
	if len(m.over) > 10000 {
		for u, at := range m.over {
			if now.Sub(at) > 10*time.Minute {
				delete(m.over, u)
			}
		}
	}
}

// Over tells whether a job is known to have ended.
func (m *Mirror) Over(uid string) bool {
	_, over := m.over[uid]
	return over
}

// Refreshed notes that the mirror shows all that happened before a time.
func (m *Mirror) Refreshed(at time.Time) {
	if at.After(m.fresh) {
		m.fresh = at
	}
}

// Fresh is the last such time.
func (m *Mirror) Fresh() time.Time { return m.fresh }
