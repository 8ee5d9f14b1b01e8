package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// plainWorker is a machine that does what it is told: a list of its tasks.
type plainWorker struct {
	id       string
	sequence uint64
	token    uint64
	tasks    map[string]*protocol.ReportedTask
	notice   bool
	silent   bool
}

func (w *plainWorker) report() *protocol.Heartbeat {
	w.sequence++
	b := &protocol.Heartbeat{Machine: w.id, Endpoint: w.id, MachineType: "quad", Zone: "z", AgentEpoch: 1, Sequence: w.sequence, FencingToken: w.token}
	if w.notice {
		left := 20.0
		b.PreemptionNoticeS = &left
	}
	for _, p := range w.tasks {
		b.Tasks = append(b.Tasks, *p)
	}
	return b
}

// obey carries the answer to a report out.
func (w *plainWorker) obey(orders []protocol.Command) {
	w.token = 7
	for _, o := range orders {
		p := w.tasks[o.Task]
		switch {
		case o.Kind == "start" && p == nil:
			w.tasks[o.Task] = &protocol.ReportedTask{Task: o.Task, Attempt: o.Attempt, Status: "fetching"}
		case o.Kind == "kill" && p != nil && p.Attempt == o.Attempt && p.Status != "ended":
			p.Status, p.Cause = "ended", "halted"
		case o.Kind == "forget" && p != nil && p.Attempt == o.Attempt && p.Status == "ended":
			delete(w.tasks, o.Task)
		}
	}
}

// exists tells whether a task may do something there.
func exists(p *protocol.ReportedTask) bool { return p.Status != "ended" }

// plainService is a slow and plain model of a service's world: one owner, the leader, and
// workers, with the state service taken as one that always answers.
type plainService struct {
	t         *rapid.T
	now       time.Time
	jobs      *job.Cache
	partition *partition.Partition
	scheduler *Scheduler
	workers   map[string]*plainWorker
	revision  uint64
	known     uint64
	cancelled map[string]time.Time // cancelled jobs
}

func newPlainService(t *rapid.T, machines int, specs []protocol.JobSpec) *plainService {
	s := &plainService{t: t, now: t0, jobs: mirror(specs...), workers: map[string]*plainWorker{}, revision: 1, cancelled: map[string]time.Time{}}
	cfg := partition.Config{
		Lease: 10 * time.Second, OwnershipLease: 6 * time.Second, HeartbeatInterval: time.Second, MaxCacheStaleness: time.Hour, Buddies: 10,
		LocalWait: 10 * time.Second, SilentLimit: 4 * time.Second, TransactionChanges: 16, ValueBytes: 8192, MaxPreCommitted: 2,
	}
	s.partition = partition.New(cfg, 7, 0, t0, capacityOf, s.jobs)
	s.scheduler = New(testConfig, teams(), 1, capacityOf, s.jobs)
	for i := range machines {
		id := fmt.Sprintf("i-%02d", i)
		s.workers[id] = &plainWorker{id: id, tasks: map[string]*protocol.ReportedTask{}}
	}
	s.jobs.SetSyncedAt(t0.Add(time.Hour))
	return s
}

func (s *plainService) ids() []string {
	var out []string
	for id := range s.workers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// step lets a second pass: every worker reports, and all that follows from it is done.
func (s *plainService) step() {
	s.now = s.now.Add(time.Second)
	for _, id := range s.ids() {
		w := s.workers[id]
		for _, p := range w.tasks {
			if p.Status == "fetching" {
				p.Status = "running"
			}
		}
		if w.silent {
			continue
		}
		b := w.report()
		s.partition.HandleHeartbeat(s.now, b)
		s.partition.TickMachine(s.now, id)
		s.partition.RecordReply(id)
		w.obey(s.partition.Commands(s.now, id, b.AgentEpoch, b.Sequence))
	}
	s.partition.Tick(s.now)
	if c := s.partition.NextCommit(s.now, 16); c != nil {
		s.revision++
		s.partition.CommitApplied(c, s.revision, s.now)
	}
	if gone := s.partition.MachinesToTerminate(s.now); len(gone) > 0 {
		s.partition.HandleTerminated(gone, s.now)
		for _, id := range gone {
			delete(s.workers, id) // and all that ran on it
		}
	}
	g := s.partition.Update(s.now)
	s.known = s.scheduler.ApplyUpdate(0, g, s.now)
	s.partition.UpdateDelivered(&g, s.known)
	s.scheduler.RunCycle(s.now)
	for _, a := range s.scheduler.Unacknowledged(0) {
		s.partition.ApplyAssignments(s.now, []partition.Assigned{{Seq: a.Seq, Job: a.Job, Tasks: a.Tasks, Machine: a.Machine, Gang: a.Gang}})
	}
	s.partition.Stop(s.scheduler.Preemptions(0))
	s.check()
}

// check holds the rules: no replica is on two machines, no team is beyond its limit, and a
// cancelled service is gone within a few reports.
func (s *plainService) check() {
	at := map[string]string{}
	used := map[string]float64{}
	for _, id := range s.ids() {
		for piece, p := range s.workers[id].tasks {
			if !exists(p) {
				continue
			}
			if on, twice := at[piece]; twice {
				s.t.Fatalf("%s is on %s and on %s", piece, on, id)
			}
			at[piece] = id
			uid, _, err := protocol.ParseTaskName(piece)
			if err != nil {
				s.t.Fatal(err)
			}
			if when, over := s.cancelled[uid]; over {
				if s.now.Sub(when) > 3*time.Second && !s.workers[id].silent {
					s.t.Fatalf("%s runs %v after its cancellation", piece, s.now.Sub(when))
				}
				continue
			}
			l := s.jobs.Get(uid)
			used[l.Spec.Team] += l.Spec.CPUs
		}
	}
	for _, tm := range teams() {
		if used[tm.Name] > tm.Limit.CPUs {
			s.t.Fatalf("%s uses %v of %v", tm.Name, used[tm.Name], tm.Limit.CPUs)
		}
	}
}

// running counts the replicas of a service, and the most of them on one machine.
func (s *plainService) running(uid string) (n, most int) {
	for _, w := range s.workers {
		here := 0
		for piece, p := range w.tasks {
			if u, _, _ := protocol.ParseTaskName(piece); u == uid && p.Status == "running" {
				here++
			}
		}
		n, most = n+here, max(most, here)
	}
	return n, most
}

// Services against the plain model: replicas end by themselves, machines get a notice, fall
// silent or fail what they run, services are cancelled. At no time does a replica exist
// twice or a team exceed its limit; once it is quiet all replicas that the limits lease id
// run again, those of a service on different machines.
func TestServicesAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var specs []protocol.JobSpec
		for i := range rapid.IntRange(1, 4).Draw(t, "services") {
			specs = append(specs, protocol.JobSpec{
				UID: fmt.Sprintf("wk-%d", i), Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Priority: "critical", Shape: protocol.ShapeService, CPUs: 1, MemGB: 1, Image: "img", Tasks: rapid.IntRange(1, 4).Draw(t, "replicas"),
			})
		}
		// Room for all of it even when the troubles have taken six machines.
		s := newPlainService(t, 14, specs)
		for range 5 {
			s.step()
		}
		lost := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			ids := s.ids()
			w := s.workers[rapid.SampledFrom(ids).Draw(t, "machine")]
			switch rapid.SampledFrom([]string{"end", "error", "notice", "silence", "cancel", "nothing"}).Draw(t, "trouble") {
			case "end", "error":
				for _, p := range w.tasks {
					if p.Status == "running" {
						p.Status, p.Cause = "ended", rapid.SampledFrom([]protocol.EndCause{protocol.CauseDone, protocol.CauseError}).Draw(t, "cause")
						break
					}
				}
			case "notice":
				if lost < 6 && !w.notice && !w.silent {
					w.notice = true
					lost++
				}
			case "silence":
				if lost < 6 && !w.silent && !w.notice {
					w.silent = true
					lost++
				}
			case "cancel":
				uid := specs[rapid.IntRange(0, len(specs)-1).Draw(t, "which")].UID
				if s.jobs.Get(uid) != nil && rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					s.jobs.Remove(uid, s.now)
					s.cancelled[uid] = s.now
				}
			}
			s.step()
		}
		for range 200 { // a failing replica pauses for a minute at the most
			s.step()
		}
		wanted := map[string]int{}
		for _, spec := range specs {
			n, most := s.running(spec.UID)
			if _, over := s.cancelled[spec.UID]; over {
				if n > 0 {
					t.Fatalf("%d replicas of %s are left", n, spec.UID)
				}
				continue
			}
			wanted[spec.Team] += spec.Tasks
			if most > 1 {
				t.Fatalf("%d replicas of %s on one machine", most, spec.UID)
			}
		}
		for _, tm := range teams() {
			got := 0
			for _, spec := range specs {
				if spec.Team == tm.Name {
					n, _ := s.running(spec.UID)
					got += n
				}
			}
			if want := min(wanted[tm.Name], int(tm.Limit.CPUs)); got != want {
				t.Fatalf("%s runs %d replicas, want %d", tm.Name, got, want)
			}
		}
	})
}
