package partition

import (
	"junipershelf/job"
	"junipershelf/protocol"
	"slices"
	"time"
)

// Commands are what a fresh report is answered with. The caller has checked its
// authority; starts are noted as sent with this report.
func (p *Partition) Commands(now time.Time, id string, shift, tick uint64) []protocol.Command {
	m := p.machines[id]
	if m == nil || m.session != shift || m.sequence != tick {
		return nil // a newer report came in meanwhile: its answer has the orders
	}
	var out []protocol.Command
	for t, pc := range m.unknown {
		if pc.Status == "ended" {
			out = append(out, protocol.Command{Kind: "forget", Task: t.String(), Attempt: pc.Attempt})
		} else {
			out = append(out, stopCommand(t, pc.Attempt, 0))
		}
	}
	slices.SortFunc(out, func(a, b protocol.Command) int { return commandRank(a.Kind) - commandRank(b.Kind) })
	mirrorOK := now.Sub(p.jobs.FreshAsOf()) < p.cfg.MirrorLimit
	for _, pl := range m.placements {
		l := p.jobs.Get(pl.Task.Job)
		// An end that is known stays true however old the mirror is, and what was
		// inherited without its job was over when the view began.
		if l == nil && (mirrorOK || pl.inherited || p.jobs.HasEnded(pl.Task.Job)) {
			pl.stopping, pl.graceS = true, 0
		}
		switch {
		case pl.ended:
		case pl.stopping && pl.status != "":
			if pl.status != "saving" || pl.graceS == 0 {
				if pl.steps.stopOrdered.IsZero() {
					pl.steps.stopOrdered = now
				}
				out = append(out, stopCommand(pl.Task, pl.Attempt, pl.graceS))
			}
		case pl.stopping && pl.isPending():
			p.endPlacement(m, pl) // never ordered: nothing to wait for
		}
	}
	if !mirrorOK || m.unaccounted() || m.lostAnswers >= 2 || m.draining || m.noticed {
		return out
	}
	room := m.room()
	for _, pl := range m.placements {
		if !pl.isPending() {
			continue
		}
		if !pl.committed || !pl.Resources.FitsIn(room) || pl.Session != m.session {
			break // they start in order
		}
		room = room.Minus(pl.Resources)
		pl.startSent, pl.startSequence = true, m.sequence
		pl.since = now
		if pl.steps.ordered.IsZero() {
			pl.steps.ordered = now
		}
		p.Counts.Started++
		p.markChanged(m)
		out = append(out, protocol.Command{Kind: "start", Task: pl.Task.String(), Attempt: pl.Attempt})
	}
	return out
}

func commandRank(v string) int {
	if v == "forget" {
		return 0
	}
	return 1
}

func stopCommand(t job.Task, try uint64, grace float64) protocol.Command {
	return protocol.Command{Kind: "kill", Task: t.String(), Attempt: try, GraceS: &grace}
}
