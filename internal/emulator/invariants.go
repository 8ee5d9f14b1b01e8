package emulator

import (
	"fmt"
	"time"

	"junipershelf/protocol"
)

// Invariants are what the cloud checks of a deployment.
type Invariants struct {
	LeaseDuration        time.Duration      // of an agent's lease, by which its tasks end
	HeartbeatInterval    time.Duration      // mean time between two heartbeats of an agent
	CancellationDeadline time.Duration      // from the reply to the user until no task of the job is left
	TeamCPULimits        map[string]float64 // CPUs by team
}

// Rule names an invariant, in the operators' words.
type Rule string

// The rules that a violation names.
const (
	RuleRunsOnce   Rule = "ran_twice"     // no task runs on two machines at a time
	RuleCancelled  Rule = "ran_cancelled" // no task of a cancelled job is left past the deadline
	RuleQuota      Rule = "quota"         // no team uses more CPUs than its limit
	RuleConstraint Rule = "wrong_place"   // a task runs only where its job's constraints allow it
)

// Violation is a broken invariant.
type Violation struct {
	Rule   Rule
	Detail string
}

// String returns the rule and the detail in one line.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Rule, v.Detail) }

// cpuTolerance is what sums of CPUs may be off by.
const cpuTolerance = 1e-9

// jobZone is a job in a zone.
type jobZone struct{ job, zone string }

// runningUsage counts what runs, so that the checks at a start do not look at the whole fleet.
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

// add counts a task of a job that began to run in a zone.
func (u *runningUsage) add(task string, spec *protocol.JobSpec, zone string) {
	u.machinesByTask[task]++
	u.cpusByTeam[spec.Team] += spec.CPUs
	u.tasksByJobZone[jobZone{spec.UID, zone}]++
	u.tasksByJob[spec.UID]++
}

// remove counts a task of a job that no longer runs in a zone.
func (u *runningUsage) remove(task string, spec *protocol.JobSpec, zone string) {
	u.machinesByTask[task]--
	u.cpusByTeam[spec.Team] -= spec.CPUs
	u.tasksByJobZone[jobZone{spec.UID, zone}]--
	u.tasksByJob[spec.UID]--
}

// violation records a violation. The caller holds c.mu.
func (c *Cloud) violation(rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// checkInvariants checks the invariants as a task begins to run. The caller holds c.mu.
func (c *Cloud) checkInvariants(a *agent, task *agentTask, spec *protocol.JobSpec) {
	c.Starts++
	if c.running.machinesByTask[task.name] > 1 {
		c.violation(RuleRunsOnce, "%s on %s and elsewhere", task.name, a.id)
	}
	if used := c.running.cpusByTeam[spec.Team]; used > c.invariants.TeamCPULimits[spec.Team]+cpuTolerance {
		c.violation(RuleQuota, "%s uses %v", spec.Team, used)
	}
	if !c.mayRunOn(a, spec) {
		c.violation(RuleConstraint, "%s on %s", task.name, a.id)
	}
	if at, ok := c.cancelledAt[spec.UID]; ok {
		c.StartsAfterCancel++
		if time.Since(at) > c.invariants.CancellationDeadline {
			c.violation(RuleCancelled, "%s", task.name)
		}
	}
}

// mayRunOn reports whether a job's constraints allow its tasks, as they run now, on a machine.
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

// RecordCancellation records that a user was informed that a job is cancelled. No task of it may be
// left at the deadline.
func (c *Cloud) RecordCancellation(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, again := c.cancelledAt[job]; again {
		return
	}
	c.cancelledAt[job] = time.Now()
	time.AfterFunc(c.invariants.CancellationDeadline, func() { c.checkCancelled(job) })
}

// checkCancelled checks that no task of a cancelled job is left.
func (c *Cloud) checkCancelled(job string) {
	if c.ctx.Err() != nil {
		return
	}
	if left := c.ActiveTasks(job); left > 0 {
		c.WithLock(func() { c.violation(RuleCancelled, "%d tasks of %s are left", left, job) })
	}
}
