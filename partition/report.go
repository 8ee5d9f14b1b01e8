package partition

import (
	"junipershelf/job"
	"junipershelf/protocol"
	"slices"
	"time"
)

// Report takes a worker's report. Fresh is false for one that is older than
// what is known: it changes nothing and gets no orders.
func (p *Partition) Report(now time.Time, b *protocol.Report) (fresh bool) {
	if _, was := p.returned[b.Machine]; was {
		// The cloud said that it is gone: a late copy.
		return false
	}
	m := p.machine(b.Machine, b.MachineType, b.Zone, b.Spot, now)
	if b.Session < m.session || b.Session == m.session && b.Sequence <= m.sequence {
		return false
	}
	changed := m.lastReport.IsZero() || m.MachineType != b.MachineType || m.Zone != b.Zone || m.Spot != b.Spot ||
		m.noticed != (b.NoticeS != nil) || m.leaseOver || m.refusedStart || b.Session != m.session
	if b.Session > m.session {
		// The answers of a whole lease were given and not one came through: it
		// reports, but cannot hear. Reports that were held back come all at once
		// and prove nothing of the kind.
		if first, last := m.answeredReports[0], m.answeredReports[1]; !first.IsZero() && m.lastReport.Equal(last) && now.Sub(last) < p.cfg.Lease && last.Sub(first) > p.cfg.Lease*2/3 {
			m.draining, m.discard, changed = true, true, true
			p.Counts.Unreachable++
		}
		m.answeredReports = [2]time.Time{}
		for _, pl := range m.placements {
			if pl.Session < b.Session && !pl.ended && pl.committed {
				p.countLoss(pl, m.lastReport, now, now)
				p.endPlacement(m, pl)
			}
		}
	}
	m.MachineType, m.Zone, m.Spot, m.Endpoint = b.MachineType, b.Zone, b.Spot, b.Endpoint
	m.capacity, _ = p.capacityOf(m.MachineType)
	m.session, m.sequence, m.token, m.lastReport, m.leaseOver = b.Session, b.Sequence, b.Token, now, false
	m.noticed, m.refusedStart = b.NoticeS != nil, false
	m.overflowTaken, m.overflowSpent = 0, false
	if b.Token >= p.view {
		changed = changed || m.lastContact.IsZero()
		m.lastContact = now
	}
	clear(m.unknown)
	missed, met := false, false
	for _, pl := range m.placements {
		pl.reported = false
	}
	for _, pc := range b.Tasks {
		uid, idx, err := protocol.ParseTaskName(pc.Task)
		if err != nil {
			continue
		}
		t := job.Task{Job: uid, Index: idx}
		pl := m.find(t)
		if pl == nil || pl.Attempt != pc.Attempt {
			m.unknown[t] = pc
			continue
		}
		pl.reported = true
		met = met || pl.status == "" && pl.startSent
		fresher := pc.Status != pl.status
		if fresher {
			if pl.status == "running" {
				pl.runS = now.Sub(pl.since).Seconds()
			}
			pl.since = now
			changed = true
		}
		pl.status = pc.Status
		switch pc.Status {
		case "fetching":
			pl.steps.fetching = now
		case "running":
			p.countStart(pl, now)
		}
		if fresher && pc.Status == "running" && pl.Image != "" {
			changed = p.noteImage(m, pl.Image, pl.ImageGB) || changed
		}
		if pc.Status == "ended" && !pl.ended {
			p.countLoss(pl, now, pl.steps.stopOrdered, now)
			pl.ended, pl.completed = true, pc.Cause == "done"
			if l := p.jobs.Get(uid); l != nil && l.IsService() {
				// A replica is never done: it has to run again, and one that ends
				// everywhere counts as failed, so that it backs off.
				pl.completed = false
			}
			if pc.Cause == "full" {
				m.refusedStart = true
			}
			if !pl.completed && pc.Cause != "halted" {
				p.failures = append(p.failures, Failure{Task: t, Machine: m.ID, Cause: pc.Cause})
			}
		}
	}
	for _, pl := range m.placements {
		if pl.reported || pl.ended {
			continue
		}
		switch {
		case pl.Session < b.Session && pl.committed:
			p.endPlacement(m, pl) // committed for a session that is over
		case pl.inherited && b.Token >= p.view:
			// No start of an older view can reach the worker any more.
			p.endPlacement(m, pl)
		case !pl.inherited && pl.startSent && b.Token >= p.view && b.Sequence > pl.startSequence:
			pl.startSent = false // that response was dropped: order it again
			missed = true
		}
		if pl.status != "" {
			changed = true
		}
		pl.status = ""
	}
	switch {
	case met:
		m.lostAnswers = 0
	case missed:
		m.lostAnswers++
		changed = true
	}
	if changed {
		p.markChanged(m)
	}
	return true
}

// noteImage notes that an image was just used on a machine, which keeps those used
// last as far as its cache holds them.
func (p *Partition) noteImage(m *Machine, image string, sizeGB float64) (fresh bool) {
	i := slices.IndexFunc(m.images, func(c cachedImage) bool { return c.name == image })
	if fresh = i < 0; !fresh {
		m.images = slices.Delete(m.images, i, i+1)
	}
	m.images = append(m.images, cachedImage{image, sizeGB})
	if p.cfg.CacheGB == nil {
		return fresh
	}
	room := p.cfg.CacheGB(m.MachineType)
	for i := len(m.images) - 1; i >= 0; i-- {
		if room -= m.images[i].gb; room < 0 && i < len(m.images)-1 {
			m.images = slices.Delete(m.images, 0, i+1)
			return true
		}
	}
	return fresh
}

func (p *Partition) endPlacement(m *Machine, pl *Placement) {
	pl.ended = true
	p.Counts.Lost++
	p.markChanged(m)
}

// ReportAnswered notes that a report gets a 200.
func (p *Partition) ReportAnswered(id string, now time.Time) {
	m := p.machines[id]
	if m == nil {
		return
	}
	if m.answeredReports[0].IsZero() {
		m.answeredReports[0] = m.lastReport
	}
	m.answeredReports[1] = m.lastReport
}

// NoteContact notes a report that could not be taken for want of authority: the
// machine is not silent, whatever becomes of its lease.
func (p *Partition) NoteContact(b *protocol.Report, now time.Time) {
	if m := p.machines[b.Machine]; m != nil && b.Token >= p.view && !m.lastContact.IsZero() && (b.Session > m.session || b.Session == m.session && b.Sequence > m.sequence) {
		m.lastContact = now
	}
}
