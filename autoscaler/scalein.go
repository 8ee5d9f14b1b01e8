package autoscaler

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// idleMachines lists those that have been idle for long enough and that nothing that waits
// could use.
func (p *Autoscaler) idleMachines(now time.Time, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) (idle []string) {
	useful := map[Offer]bool{}
	for _, m := range s.Machines() {
		idleS, isIdle := m.IdleSeconds(now)
		if m.Evicting || !m.Reported || !isIdle || idleS < p.idleLimitS(m.MachineType) {
			continue
		}
		offer := Offer{m.MachineType, m.Zone, m.Spot}
		wanted, known := useful[offer]
		if !known {
			wanted = isUseful(offer, m.Capacity, s, waiting)
			useful[offer] = wanted
		}
		if !wanted {
			idle = append(idle, m.ID)
		}
	}
	return idle
}

// isUseful tells whether anything that waits could use machines of an offer.
func isUseful(o Offer, capacity job.Resources, s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) bool {
	return slices.ContainsFunc(waiting, func(w *scheduler.WaitingJob) bool {
		return job.AllowsMachine(&w.Job.Spec, o.MachineType, o.Zone, o.Spot) && w.Job.Resources().FitsIn(capacity) && s.WithinLimit(w.Job)
	})
}

// maxEvictingShare is the part of the fleet that may drain at a time: one machine at least.
const maxEvictingShare = 0.08

// evictionCandidates picks machines to drain when nothing waits and the others have room for
// all that they run, with some to spare. What saves its progress is moved; the
// rest ends where it is. Dear machines go first, then the emptiest. Idle ones that
// leave anyway, and machines that still boot, are no reason to wait: of a thousand
// there is always one, and once nothing was drained for that.
func (p *Autoscaler) evictionCandidates(now time.Time, s *scheduler.Scheduler, leave []string) (out []string) {
	type load struct {
		m        *scheduler.Machine
		used     float64
		dearness float64
	}
	leaves := map[string]bool{}
	for _, id := range leave {
		leaves[id] = true
	}
	var all []load
	free, held := 0.0, 0.0
	most := max(1, int(maxEvictingShare*float64(len(s.Machines()))))
	for _, m := range s.Machines() {
		used := 0.0
		young := false // has a start that would not count if it were stopped now
		for i := range m.Held {
			h := &m.Held[i]
			used += h.Resources.CPUs * float64(h.Tasks.Len())
			if s.IsService(h.Job) {
				young = true // to move a replica costs more than its machine saves
			}
			if s.HasCheckpoints(h.Job) && (h.Phase != partition.PhaseRunning || h.PhaseS+now.Sub(m.LastSeen()).Seconds() < p.cfg.MinRunBeforeStop.Seconds()) {
				young = true
			}
		}
		held += used
		if !m.Open() {
			if m.Evicting && used > 0 {
				most--
			}
			continue
		}
		if leaves[m.ID] {
			continue
		}
		free += max(m.FreeNow.CPUs, 0)
		if used == 0 || young {
			continue
		}
		dearness := used
		if !m.Spot {
			dearness -= 1e6
		}
		all = append(all, load{m, used, dearness})
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].dearness < all[j].dearness })
	for _, l := range all {
		if len(out) >= most {
			break
		}
		// The others must have room for it, beside what was picked before.
		if free -= max(l.m.FreeNow.CPUs, 0) + l.used; free < p.cfg.EvictionHeadroom*held {
			break
		}
		out = append(out, l.m.ID)
	}
	return out
}

// idleLimitS is how many seconds a machine may be idle. The longer its like takes to
// boot, the longer it is worth keeping.
func (p *Autoscaler) idleLimitS(flavor string) float64 {
	if f := p.MachineType(flavor); f != nil {
		return f.BootS * p.cfg.IdleFactor
	}
	return 0
}
