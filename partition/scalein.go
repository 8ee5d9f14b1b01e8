package partition

import (
	"slices"
	"time"
)

// Evict makes machines drain and go; urgent ones do not wait for their tasks.
func (p *Partition) Evict(ids []string, urgent bool, now time.Time) {
	for _, id := range ids {
		if _, was := p.terminated[id]; was {
			continue
		}
		m := p.machine(id, "", "", false, now)
		if !m.evicting || urgent && !m.terminateNow {
			m.evicting = true
			m.terminateNow = m.terminateNow || urgent
			p.markChanged(m)
		}
	}
}

// MachinesToTerminate lists machines to give back to the cloud now.
func (p *Partition) MachinesToTerminate(now time.Time) []string {
	silent, heard := 0, 0
	for _, m := range p.machines {
		if m.lastContact.IsZero() {
			continue
		}
		if now.Sub(m.lastContact) > 2*p.cfg.HeartbeatInterval {
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
		if m.terminated {
			continue
		}
		silence := now.Sub(m.lastContact)
		if m.lastContact.IsZero() {
			// It has yet to show that it hears us.
			silence = now.Sub(m.firstKnown)
		}
		idle := len(m.placements)+len(m.queue) == 0
		switch {
		case m.terminating:
			out = append(out, id)
		case m.evicting && (m.terminateNow || idle), m.preemptionNotice && idle,
			!m.lastContact.IsZero() && trust && silence > p.cfg.SilentLimit,
			silence > 3*p.cfg.Lease:
			m.terminating, m.terminatingSince = true, now
			p.markChanged(m)
			out = append(out, id)
		}
	}
	return out
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
		m.terminated = true
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
