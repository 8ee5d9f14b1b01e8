package emulator

import (
	"fmt"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
)

// Invariants are the parameters of the invariants that the cloud checks.
type Invariants struct {
	LeaseDuration        time.Duration      // of an agent's lease, at whose expiry its tasks end
	HeartbeatInterval    time.Duration      // mean time between two heartbeats of an agent
	CancellationDeadline time.Duration      // after the reply to the user, by which all tasks of the job must have ended
	TeamCPULimits        map[string]float64 // in CPUs, by team
}

// Rule names an invariant. The values are the names that operators use.
type Rule string

// The rules that a violation names.
const (
	RuleRunsOnce   Rule = "ran_twice"     // a task runs on at most one machine at a time, and an attempt at it once
	RuleCancelled  Rule = "ran_cancelled" // no task of a cancelled job is active after the cancellation deadline
	RuleQuota      Rule = "quota"         // a team uses at most its limit of CPUs
	RuleConstraint Rule = "wrong_place"   // a task runs only where its job's constraints allow it
)

// Violation is a broken invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// cpuTolerance is the allowed rounding error in sums of CPUs.
const cpuTolerance = 1e-9

// jobZone is the key of a job's tasks in a zone.
type jobZone struct{ job, zone string }

// runningUsage counts running tasks and their CPUs, so that the checks at a task's start need not
// iterate over the whole fleet.
type runningUsage struct {
	machinesByTask map[string]int
	cpusByTeam     map[string]float64
	tasksByJobZone map[jobZone]int
	tasksByJob     map[string]int
}

func newRunningUsage() runningUsage {
	return runningUsage{
		machinesByTask: map[string]int{},
		cpusByTeam:     map[string]float64{},
		tasksByJobZone: map[jobZone]int{},
		tasksByJob:     map[string]int{},
	}
}

// add counts a task that starts to run in a zone.
func (u *runningUsage) add(task string, spec *protocol.JobSpec, zone string) {
	u.machinesByTask[task]++
	u.cpusByTeam[spec.Team] += spec.CPUs
	u.tasksByJobZone[jobZone{spec.UID, zone}]++
	u.tasksByJob[spec.UID]++
}

// remove reverses add for a task that no longer runs.
func (u *runningUsage) remove(task string, spec *protocol.JobSpec, zone string) {
	u.machinesByTask[task]--
	u.cpusByTeam[spec.Team] -= spec.CPUs
	u.tasksByJobZone[jobZone{spec.UID, zone}]--
	u.tasksByJob[spec.UID]--
}

// recordViolation adds to Violations. The caller holds c.mu.
func (c *Cloud) recordViolation(rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkInvariants checks the invariants when a task starts to run. The caller holds c.mu.
func (c *Cloud) checkInvariants(a *agent, task *agentTask, spec *protocol.JobSpec) {
	c.Starts++
	if c.running.machinesByTask[task.name] > 1 {
		c.recordViolation(RuleRunsOnce, "task %s started on machine %s while it runs on another", task.name, a.id)
	}
	used, limit := c.running.cpusByTeam[spec.Team], c.invariants.TeamCPULimits[spec.Team]
	if used > limit+cpuTolerance {
		c.recordViolation(RuleQuota, "team %s uses %v CPUs, its limit is %v", spec.Team, used, limit)
	}
	if !c.mayRunOn(a, spec) {
		c.recordViolation(RuleConstraint, "task %s runs on machine %s, which its job's constraints exclude", task.name, a.id)
	}
	if at, ok := c.cancelledAt[spec.UID]; ok {
		c.StartsAfterCancel++
		if time.Since(at) > c.invariants.CancellationDeadline {
			c.recordViolation(RuleCancelled, "task %s started after the cancellation deadline", task.name)
		}
	}
}

// mayRunOn reports whether a job's constraints allow a task on a machine, given the zones of the job's
// running tasks. The caller holds c.mu.
func (c *Cloud) mayRunOn(a *agent, spec *protocol.JobSpec) bool {
	inZone, inAll := c.running.tasksByJobZone[jobZone{spec.UID, a.zone}], c.running.tasksByJob[spec.UID]
	switch {
	case a.spot && !spec.SpotAllowed:
		return false
	case spec.Zone != "" && spec.Zone != a.zone:
		return false
	case spec.SameZone && inZone != inAll:
		return false
	case spec.SpreadZones && inZone > (spec.Tasks+1)/2:
		return false
	}
	return true
}

// RecordCancellation records that a user was informed of a job's cancellation, and checks at the
// deadline that no task of the job is active.
func (c *Cloud) RecordCancellation(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, recorded := c.cancelledAt[job]; recorded {
		return
	}
	c.cancelledAt[job] = time.Now()
	ctxtime.AfterFunc(c.invariants.CancellationDeadline, func() { c.checkCancelled(job) })
}

// checkCancelled checks that no task of a cancelled job is active.
func (c *Cloud) checkCancelled(job string) {
	if c.ctx.Err() != nil {
		return
	}
	if left := c.ActiveTasks(job); left > 0 {
		c.WithLock(func() {
			c.recordViolation(RuleCancelled, "%d tasks of job %s are active at the cancellation deadline", left, job)
		})
	}
}
