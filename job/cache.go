package job

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/protocol"
)

// noTeam is the dense index of a team that the settings do not list.
const noTeam = -1

// CachedJob is a job of the mirror.
type CachedJob struct {
	Record
	Revision  uint64
	Compacted Ranges // finished, as the job's record has it
	Finished  Ranges // and what machines' records have beyond
	Rank      int
	Team      int // dense index of the team; meaningless unless HasTeam
	FirstSeen time.Time
	// Unreadable says that the job's record cannot be decoded and nothing else of it is
	// known: its tasks are neither started nor stopped.
	Unreadable bool
}

// Resources is what a task takes of its machine.
type Resources struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

const roundingError = 1e-6

// FitsIn tells whether a need has room.
func (n Resources) FitsIn(room Resources) bool {
	return n.CPUs <= room.CPUs+roundingError && n.Accelerators <= room.Accelerators+roundingError && n.MemoryGB <= room.MemoryGB+roundingError
}

// Sub subtracts by component.
func (n Resources) Sub(o Resources) Resources {
	return Resources{CPUs: n.CPUs - o.CPUs, Accelerators: n.Accelerators - o.Accelerators, MemoryGB: n.MemoryGB - o.MemoryGB}
}

// Add adds by component.
func (n Resources) Add(o Resources) Resources {
	return Resources{CPUs: n.CPUs + o.CPUs, Accelerators: n.Accelerators + o.Accelerators, MemoryGB: n.MemoryGB + o.MemoryGB}
}

// ClampToZero takes what is below zero as zero.
func (n Resources) ClampToZero() Resources {
	return Resources{CPUs: max(n.CPUs, 0), Accelerators: max(n.Accelerators, 0), MemoryGB: max(n.MemoryGB, 0)}
}

// maxCount is more tasks than any job has.
const maxCount = 1 << 20

// Count is how many tasks of a need fit into room.
func (n Resources) Count(room Resources) int {
	count := maxCount
	for _, part := range []struct{ need, room float64 }{{n.CPUs, room.CPUs}, {n.Accelerators, room.Accelerators}, {n.MemoryGB, room.MemoryGB}} {
		if part.need > 0 {
			count = min(count, int(min(part.room/part.need+roundingError, maxCount)))
		}
	}
	return max(count, 0)
}

// TaskResources is what each task of a job takes.
func TaskResources(s *protocol.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, Accelerators: s.Accelerators, MemoryGB: s.MemGB}
}

// Resources is what each task takes.
func (l *CachedJob) Resources() Resources { return TaskResources(&l.Spec) }

// HasTeam reports whether the settings list the job's team. A job without one is never
// scheduled, and its Team indexes nothing.
func (l *CachedJob) HasTeam() bool { return l.Team != noTeam }

// IsService tells that a job's tasks run until it is cancelled.
func (l *CachedJob) IsService() bool { return l.Spec.Shape == protocol.ShapeService }

// MayOverflow tells whether overflow may carry a job's tasks: not where they must be depends
// on where the others are.
func MayOverflow(s *protocol.JobSpec) bool {
	return s.Shape != protocol.ShapeGang && !s.SameZone && !s.SpreadZones
}

// MachineKind is what a job may ask of a machine: its type, its zone, and whether it is a spot
// instance.
type MachineKind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// AllowsMachine reports whether a job may run on machines of a kind.
func AllowsMachine(s *protocol.JobSpec, kind MachineKind) bool {
	if kind.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != kind.Zone {
		return false
	}
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, kind.MachineType)
}

// Cache is a node's copy of the live jobs.
type Cache struct {
	Jobs      map[string]*CachedJob
	teams     map[string]int
	syncedAt  time.Time
	ended     map[string]time.Time
	thinnedAt time.Time // when ended was last thinned out
	Limits    limits.Counts
}

// NewCache makes an empty mirror; teams gives their dense indices.
func NewCache(teams map[string]int) *Cache {
	return &Cache{Jobs: map[string]*CachedJob{}, teams: teams, ended: map[string]time.Time{}, Limits: limits.Counts{}}
}

// Get finds a live job.
func (m *Cache) Get(uid string) *CachedJob { return m.Jobs[uid] }

// Set takes a record as read at a revision; one that is older than what is known
// changes nothing.
func (m *Cache) Set(uid string, rec Record, stamp uint64, now time.Time) error {
	done, err := ParseRanges(rec.Done)
	if err != nil {
		return err
	}
	if _, over := m.ended[uid]; over {
		return nil // a late copy: a job that ended never lives again
	}
	l := m.Jobs[uid]
	if l == nil || l.Unreadable {
		l = &CachedJob{FirstSeen: now}
		m.Jobs[uid] = l
	} else if stamp <= l.Revision {
		return nil
	}
	l.Record, l.Revision, l.Compacted = rec, stamp, done
	l.Finished.Merge(done) // what is done stays done
	l.Rank = max(0, protocol.PriorityRank(rec.Spec.Priority))
	l.Team = noTeam
	if t, ok := m.teams[rec.Spec.Team]; ok {
		l.Team = t
	}
	return nil
}

// SetUnreadable notes a live job whose record cannot be decoded. What was known of it
// stays; a job that was not known is kept without a revision, so that no poll is answered
// from it.
func (m *Cache) SetUnreadable(uid string, now time.Time) {
	if _, over := m.ended[uid]; over || m.Jobs[uid] != nil {
		return
	}
	m.Jobs[uid] = &CachedJob{Record: Record{Spec: protocol.JobSpec{UID: uid}}, Team: noTeam, FirstSeen: now, Unreadable: true}
}

// What is remembered of jobs that have ended: more than so many are thinned out to those of
// the last minutes.
const (
	maxEndedJobs = 10000
	endedMemory  = 10 * time.Minute
	thinInterval = time.Minute // the fewest ends are looked at for each that comes
)

// Remove takes a job out that has ended.
func (m *Cache) Remove(uid string, now time.Time) {
	delete(m.Jobs, uid)
	m.ended[uid] = now
	if len(m.ended) > maxEndedJobs && now.Sub(m.thinnedAt) >= thinInterval {
		m.thinnedAt = now
		m.Limits.Record(limits.EndedJobs)
		for u, at := range m.ended {
			if now.Sub(at) > endedMemory {
				delete(m.ended, u)
			}
		}
	}
}

// HasEnded tells whether a job is known to have ended.
func (m *Cache) HasEnded(uid string) bool {
	_, over := m.ended[uid]
	return over
}

// SetSyncedAt notes that the mirror shows all that happened before a time.
func (m *Cache) SetSyncedAt(at time.Time) {
	if at.After(m.syncedAt) {
		m.syncedAt = at
	}
}

// SyncedAt is the last such time.
func (m *Cache) SyncedAt() time.Time { return m.syncedAt }
