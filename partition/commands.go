package partition

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// commands computes the commands for the replies to heartbeats.
type commands struct {
	*shared
}

// reply returns the commands for the reply to a machine's last heartbeat, and records starts as sent.
func (c *commands) reply(now time.Time, m *Machine) []protocol.Command {
	out := c.withoutStarts(now, m)
	return append(out, c.startCommands(c.startable(m, now), m, now)...)
}

// withoutStarts returns the commands for the reply to a machine's last heartbeat that start nothing.
func (c *commands) withoutStarts(now time.Time, m *Machine) []protocol.Command {
	return append(m.unknownTaskCommands(now), c.stopCommands(m, now)...)
}

// unknownTaskCommands returns the commands to forget or stop the tasks that a machine reports without
// a placement.
func (m *Machine) unknownTaskCommands(now time.Time) (out []protocol.Command) {
	for task, reported := range m.unknown {
		if reported.Status == protocol.TaskEnded {
			if m.starts.mayArrive(reported.Attempt, now) {
				continue
			}
			out = append(out, protocol.Command{Kind: protocol.CommandForget, Task: task.String(), Attempt: reported.Attempt})
		} else {
			out = append(out, stopCommand(task, reported.Attempt, 0))
		}
	}
	slices.SortFunc(out, func(a, b protocol.Command) int { return cmp.Compare(a.Kind, b.Kind) })
	return out
}

// stopCommands returns the commands that stop tasks, and ends the placements to be stopped whose
// start was never sent.
func (c *commands) stopCommands(m *Machine, now time.Time) (out []protocol.Command) {
	for _, pl := range m.placements {
		if c.jobIsOver(pl, now) {
			pl.requestStop(0)
		}
		switch {
		case pl.hasEnded() || !pl.stopping:
		case pl.isPending():
			c.markLost(m, pl) // never started, so there is no end to wait for
		case pl.status != "" && (pl.status != protocol.TaskCheckpointing || pl.graceS == 0):
			if pl.timestamps.stopSent.IsZero() {
				pl.timestamps.stopSent = now
			}
			out = append(out, stopCommand(pl.Task, pl.Attempt, pl.graceS))
		}
	}
	return out
}

// jobIsOver reports whether the job of a placement is known to have ended. An end that the cache has
// recorded counts even if the cache is stale. If the job of a restored placement is not in the cache,
// it ended before the view began.
func (c *commands) jobIsOver(pl *Placement, now time.Time) bool {
	return c.jobs.Get(pl.Task.Job) == nil && (pl.start == startRestored || c.cacheFresh(now) || c.jobs.HasEnded(pl.Task.Job))
}

// startable returns the committed placements that fit and may be started now, in order.
func (c *commands) startable(m *Machine, now time.Time) (out []*Placement) {
	if !c.cacheFresh(now) || m.hasUnaccountedTasks() || m.replies.tooManyUnacknowledged() || m.mustMoveTasks() {
		return nil
	}
	free := m.freeResources()
	for _, pl := range m.placements {
		if !pl.isPending() {
			continue
		}
		if !pl.committed || !pl.Resources.FitsIn(free) || pl.AgentEpoch != m.agentEpoch || m.keepsOtherAttempt(pl, now) {
			break
		}
		free = free.Sub(pl.Resources)
		out = append(out, pl)
	}
	return out
}

// keepsOtherAttempt reports whether the agent still has an earlier attempt at a placement's task that it may not
// be told to forget yet. It would refuse the start.
func (m *Machine) keepsOtherAttempt(pl *Placement, now time.Time) bool {
	reported, kept := m.unknown[pl.Task]
	return kept && m.starts.mayArrive(reported.Attempt, now)
}

// startCommands returns the commands that start placements, and records them as sent.
func (c *commands) startCommands(placements []*Placement, m *Machine, now time.Time) (out []protocol.Command) {
	for _, pl := range placements {
		pl.sendStart(m.sequence, now)
		m.starts.record(pl.Attempt, now)
		c.Counts.Started++
		c.machines.markChanged(m)
		out = append(out, protocol.Command{Kind: protocol.CommandStart, Task: pl.Task.String(), Attempt: pl.Attempt})
	}
	return out
}

func stopCommand(task job.Task, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Kind: protocol.CommandStop, Task: task.String(), Attempt: attempt, GraceS: &graceS}
}
