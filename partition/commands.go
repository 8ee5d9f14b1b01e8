package partition

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// maxUnacknowledgedReplies: a machine that misses so many answers in a row gets no work until one has
// had an effect.
const maxUnacknowledgedReplies = 2

// Commands are what a fresh report is answered with. The caller has checked its authority;
// starts are noted as sent with this report.
func (p *Partition) Commands(now time.Time, id string, session, sequence uint64) []protocol.Command {
	m := p.machines[id]
	if m == nil || m.agentEpoch != session || m.sequence != sequence {
		return nil // a newer report came in meanwhile: its answer has the commands
	}
	out := m.commandsForUnknown()
	mirrorFresh := p.cacheFresh(now)
	out = append(out, p.stopCommands(m, mirrorFresh, now)...)
	if !mirrorFresh || m.unaccounted() || m.unacknowledgedReplies >= maxUnacknowledgedReplies || m.mustMoveTasks() {
		return out
	}
	return append(out, p.startCommands(m, now)...)
}

// cacheFresh tells whether what is known of the jobs is young enough to start work on it.
func (p *Partition) cacheFresh(now time.Time) bool {
	return now.Sub(p.jobs.SyncedAt()) < p.cfg.MaxCacheStaleness
}

// commandsForUnknown forgets and stops what a machine has without a placement.
func (m *Machine) commandsForUnknown() (out []protocol.Command) {
	for task, tr := range m.unknown {
		if tr.Status == protocol.TaskEnded {
			out = append(out, protocol.Command{Kind: protocol.CommandForget, Task: task.String(), Attempt: tr.Attempt})
		} else {
			out = append(out, stopCommand(task, tr.Attempt, 0))
		}
	}
	slices.SortFunc(out, func(a, b protocol.Command) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// stopCommands stops what is not to run any more. A cancellation that is known stays true
// however old the mirror is, and what was inherited without its job was over when the view
// began.
func (p *Partition) stopCommands(m *Machine, mirrorFresh bool, now time.Time) (out []protocol.Command) {
	for _, pl := range m.placements {
		if p.jobs.Get(pl.Task.Job) == nil && (mirrorFresh || pl.start == startRestored || p.jobs.HasEnded(pl.Task.Job)) {
			pl.requestStop(0)
		}
		switch {
		case pl.hasEnded() || !pl.stopping:
		case pl.isPending():
			p.endPlacement(m, pl) // never ordered: nothing to wait for
		case pl.status != "" && (pl.status != protocol.TaskCheckpointing || pl.graceS == 0):
			if pl.steps.stopOrdered.IsZero() {
				pl.steps.stopOrdered = now
			}
			out = append(out, stopCommand(pl.Task, pl.Attempt, pl.graceS))
		}
	}
	return out
}

// startCommands starts what is committed and has room, in order.
func (p *Partition) startCommands(m *Machine, now time.Time) (out []protocol.Command) {
	room := m.room()
	for _, pl := range m.placements {
		if !pl.isPending() {
			continue
		}
		if !pl.committed || !pl.Resources.FitsIn(room) || pl.AgentEpoch != m.agentEpoch {
			break
		}
		room = room.Sub(pl.Resources)
		pl.sendStart(m.sequence, now)
		p.Counts.Started++
		p.markChanged(m)
		out = append(out, protocol.Command{Kind: protocol.CommandStart, Task: pl.Task.String(), Attempt: pl.Attempt})
	}
	return out
}

func stopCommand(task job.Task, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Kind: protocol.CommandStop, Task: task.String(), Attempt: attempt, GraceS: &graceS}
}
