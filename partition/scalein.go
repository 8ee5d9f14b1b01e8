package partition

import (
	"slices"
	"time"
)

// Evict makes machines drain and go; urgent ones do not wait for their tasks.
func (p *Partition) Evict(ids []string, urgent bool, now time.Time) {
	to := evictingGracefully
	if urgent {
		to = evictingAtOnce
	}
	for _, id := range ids {
		if _, was := p.terminated[id]; was {
			continue
		}
		m := p.machine(id, "", "", false, now)
		if m.evict(to) {
			p.markChanged(m)
		}
	}
}

// MachinesToTerminate lists the machines to give back to the cloud now, until it has confirmed
// each by HandleTerminated.
func (p *Partition) MachinesToTerminate(now time.Time) []string {
	limit := p.silenceLimit(now)
	var out []string
	for _, id := range p.ids {
		m := p.machines[id]
		if m.termination == notTerminating && (m.mayTerminate() || p.isSilent(m, limit, now)) {
			m.startTermination(now)
			p.markChanged(m)
		}
		if m.termination == terminating {
			out = append(out, id)
		}
	}
	return out
}

// certainSilenceLeases is after how many leases of silence a machine is terminated whatever
// the others do, and also if it has never been heard of in this view.
const certainSilenceLeases = 3

// silenceLimit is how long a machine that was heard of in this view may be silent. When most
// machines are silent the fault is more likely here than there, and none is given up early.
func (p *Partition) silenceLimit(now time.Time) time.Duration {
	silent, heard := 0, 0
	for _, m := range p.machines {
		switch {
		case m.lastContact.IsZero():
		case m.silence(now) > 2*p.cfg.HeartbeatInterval:
			silent++
		default:
			heard++
		}
	}
	limit := certainSilenceLeases * p.cfg.Lease
	if heard >= silent || silent <= 1 {
		return min(limit, p.cfg.SilentLimit)
	}
	return limit
}

// isSilent reports whether a machine has been silent for longer than a limit, or, if it has yet
// to show that it receives replies, for certainSilenceLeases.
func (p *Partition) isSilent(m *Machine, limit time.Duration, now time.Time) bool {
	if m.lastContact.IsZero() {
		limit = certainSilenceLeases * p.cfg.Lease
	}
	return m.silence(now) > limit
}

// HandleTerminated notes that the cloud answered 200 to the return of machines: they
// and all on them are gone.
func (p *Partition) HandleTerminated(ids []string, now time.Time) {
	for _, id := range ids {
		p.version++
		p.terminated[id] = terminatedMachine{now, p.version}
		m := p.machines[id]
		if m == nil {
			continue
		}
		m.confirmTermination()
		m.queue = nil
		for _, pl := range m.placements {
			if !pl.hasEnded() {
				p.countLoss(pl, m.lastContact, m.terminatingSince, now)
				p.endPlacement(m, pl)
			}
		}
		p.markChanged(m)
	}
	p.tidy()
}

func (p *Partition) removeMachine(m *Machine) {
	p.forgetUnknown(m)
	delete(p.machines, m.ID)
	p.version++
	p.removed[m.ID] = p.version
	if i, ok := slices.BinarySearch(p.ids, m.ID); ok {
		p.ids = slices.Delete(p.ids, i, i+1)
	}
}
