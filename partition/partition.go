// Package partition decides for the machines of one owner: their queues, the overflow
// between them, their leases and placements. It is pure: time, reports and assignments go in,
// commands and commits come out.
//
// report.go takes workers' reports, commands.go answers them, queue.go keeps the queues,
// overflow.go moves what is over the threshold to buddies, shard.go, record.go and split.go
// lay placements out in the records of the state service, commit.go writes them, return.go
// gives machines back, and update.go shows the leader what has changed.
package partition

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// Config holds the times and sizes; none is a constant of the code.
type Config struct {
	Lease              time.Duration // of a worker, with drift and margin
	OwnershipLease     time.Duration // of an owner, after its last confirmation
	HeartbeatInterval  time.Duration
	MaxCacheStaleness  time.Duration // oldest mirror that still starts work
	Buddies            int
	Threshold          int
	LocalWait          time.Duration
	MaxPreCommitted    int           // queued tasks of a full machine that are committed before they have room
	SilentLimit        time.Duration // a silent machine is returned after this
	TransactionChanges int
	ValueBytes         int
	BucketOf           func(machine string) int
	CacheGB            func(machineType string) float64 // what a machine keeps of images; nil: all
	MaxMachines        int                              // that the memory can hold; 0: any number
}

// CapacityOf gives the size of a machine type.
type CapacityOf func(machineType string) (job.Resources, bool)

// Failure is a task that failed.
type Failure struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	Machine  string
	Cause    protocol.EndCause
}

// Counts are the design's ordinary path at work. The tags are the names that `show` prints.
type Counts struct {
	Queued                uint64 `msgpack:"Queued"`
	Overflowed            uint64 `msgpack:"Overflowed"`
	Forwarded             uint64 `msgpack:"SentOn"`
	FallbackBeyondBuddies uint64 `msgpack:"WalkedOn"`
	PreCommitted          uint64 `msgpack:"CommittedAhead"`
	Started               uint64 `msgpack:"Started"`
	Done                  uint64 `msgpack:"Done"`
	Lost                  uint64 `msgpack:"Lost"`
	Stopped               uint64 `msgpack:"Stopped"`
	Unreachable           uint64 `msgpack:"Unreachable"`
}

// Partition is all that an owner decides on.
type Partition struct {
	cfg        Config
	view       uint64
	index      int
	viewSeenAt time.Time
	capacityOf CapacityOf
	jobs       *job.Cache
	commits    uint64

	machines map[string]*Machine
	ids      []string // sorted
	shards   []*shard
	fleet    []Buddy // all machines of all owners, sorted by id
	position map[string]int
	masks    []uint32
	maskDim  int
	maskRank []uint32 // the place of each mask in masks
	targets  []int    // of this moment: numbers of the machines that may take overflow

	shardsByBucket map[int][]*shard // in the order of their chunks
	unknownTasks   int              // on all machines
	Limits         limits.Counts

	ackedAssignment uint64
	version         uint64
	leaderVersion   uint64 // what the leader has
	updates         uint64
	commitHalvings  int // halvings of the next commit's size
	forwards        []ForwardRequest
	failures        []Failure
	removed         map[string]uint64
	terminated      map[string]terminatedMachine
	Counts          Counts
	Replicas        ReplicaTimes
}

// terminatedMachine is one that the cloud has taken back.
type terminatedMachine struct {
	at      time.Time
	version uint64
}

// uncompacted is a task that is done and stands so in its shard's record, but not yet
// in its job's.
type uncompacted struct {
	task    job.Task
	runS    float64
	version uint64
}

// New makes the partition of a member in a view.
func New(cfg Config, view uint64, index int, seen time.Time, capacityOf CapacityOf, jobs *job.Cache) *Partition {
	return &Partition{
		cfg: cfg, view: view, index: index, viewSeenAt: seen, capacityOf: capacityOf, jobs: jobs,
		machines: map[string]*Machine{}, position: map[string]int{}, maskDim: -1,
		removed: map[string]uint64{}, terminated: map[string]terminatedMachine{}, shardsByBucket: map[int][]*shard{}, Limits: limits.Counts{},
	}
}

// View is the view that the partition belongs to.
func (p *Partition) View() uint64 { return p.view }

// attemptNumber names an attempt. Tasks that one commit places share it: a task is never
// placed twice by one commit, and a number that repeats keeps records small.
func (p *Partition) attemptNumber(gang uint64) uint64 {
	number := p.view << (attemptCountBits + attemptOwnerBits)
	if gang > 0 {
		return number | gangOwner<<attemptCountBits | gang&attemptCountMask
	}
	return number | uint64(p.index)<<attemptCountBits | p.commits&attemptCountMask
}

// An attempt number is the view, the owner, and a count; gangs, which the leader numbers,
// have an owner's number that no member has.
const (
	attemptCountBits = 22
	attemptOwnerBits = 6
	attemptCountMask = 1<<attemptCountBits - 1
	gangOwner        = 1<<attemptOwnerBits - 1
)

// markChanged notes that a machine's update has changed.
func (p *Partition) markChanged(m *Machine) {
	p.version++
	m.version = p.version
}

// LoadShard takes a shard's record as the view's first reading shows it.
func (p *Partition) LoadShard(key string, rec Record, revision uint64, now time.Time) error {
	bucket, chunk, err := ParseShardKey(key)
	if err != nil {
		return err
	}
	s := &shard{bucket: bucket, chunk: chunk, key: key, revision: revision, bytes: rec.Bytes(), completedBytes: rec.completedBytes()}
	p.addShard(s)
	err = rec.eachPlacement(func(rm *RecordMachine, k RecordKind, pl *Placement) {
		m := p.machine(rm.ID, k.MachineType, k.Zone, k.Spot, now)
		m.shard, pl.shard = s, s
		pl.restore(now)
		if l := p.jobs.Get(pl.Task.Job); l != nil {
			pl.Image, pl.ImageGB = l.Spec.Image, l.Spec.ImageGB
		}
		m.placements = append(m.placements, pl)
		// Of a machine that stands in two records the later row counts.
		if rm.AgentEpoch > m.agentEpoch || rm.AgentEpoch == m.agentEpoch && rm.Sequence > m.sequence {
			m.agentEpoch, m.sequence = rm.AgentEpoch, rm.Sequence
		}
	})
	if err != nil {
		return err
	}
	return rec.eachCompleted(func(t job.Task) { s.uncompacted = append(s.uncompacted, uncompacted{task: t, version: p.version}) })
}

// machine finds or makes a machine.
func (p *Partition) machine(id, machineType, zone string, spot bool, now time.Time) *Machine {
	m := p.machines[id]
	if m == nil {
		m = &Machine{ID: id, MachineType: machineType, Zone: zone, Spot: spot, firstKnown: now, unknown: map[job.Task]protocol.ReportedTask{}}
		p.machines[id] = m
		i, _ := slices.BinarySearch(p.ids, id)
		p.ids = slices.Insert(p.ids, i, id)
		delete(p.removed, id)
		p.markChanged(m)
	}
	m.capacity, _ = p.capacityOf(m.MachineType)
	return m
}

// AckedAssignment is the last assignment taken.
func (p *Partition) AckedAssignment() uint64 { return p.ackedAssignment }
