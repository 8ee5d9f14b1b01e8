package scheduler

import (
	"maps"
	"slices"

	"junipershelf/job"
	"junipershelf/partition"
)

// ownerModel is a simple model of an owner: the tasks that it holds, and the version of the last
// change of each machine.
type ownerModel struct {
	index         int // of the owner in the view
	machines      []string
	held          map[job.Task]string // machine, by task
	changed       map[string]uint64   // version of the last change, by machine
	completed     []partition.CompletedTask
	sequence      uint64
	version       uint64
	leaderVersion uint64 // the version that the leader confirmed
	ackSequence   uint64 // of the last assignment applied
	sent          []partition.Update
}

func newOwnerModel(index int, machines ...string) *ownerModel {
	o := &ownerModel{index: index, machines: machines, held: map[job.Task]string{}, changed: map[string]uint64{}}
	for _, id := range machines {
		o.bumpVersion(id)
	}
	return o
}

// bumpVersion gives a machine a new version.
func (o *ownerModel) bumpVersion(id string) {
	o.version++
	o.changed[id] = o.version
}

// update returns an update with the changes that the leader has not confirmed.
func (o *ownerModel) update(sched *Scheduler) partition.Update {
	o.sequence++
	update := partition.Update{Sequence: o.sequence, BaseVersion: o.leaderVersion, Version: o.version, AckedAssignment: o.ackSequence, Completed: o.completed}
	for _, id := range o.machines {
		if o.changed[id] > o.leaderVersion {
			update.Machines = append(update.Machines, o.machineState(sched, id))
		}
	}
	o.sent = append(o.sent, update)
	return update
}

func (o *ownerModel) machineState(sched *Scheduler, id string) partition.MachineState {
	state := machine(id)
	for task, on := range o.held {
		if on != id {
			continue
		}
		live := sched.Job(task.Job)
		state.Free.CPUs -= live.Spec.CPUs
		state.Held = append(state.Held, partition.HeldTasks{Job: task.Job, Team: live.Spec.Team, Resources: live.Resources(), Tasks: tasks(task.Index), Phase: partition.PhaseStarting})
	}
	return state
}

// applyAssignments applies new assignments and returns their tasks.
func (o *ownerModel) applyAssignments(assignments []Assignment) (started []job.Task) {
	for _, a := range assignments {
		if a.Seq <= o.ackSequence {
			continue
		}
		o.ackSequence = a.Seq
		o.bumpVersion(a.Machine)
		for i := range a.Tasks.All() {
			task := job.Task{Job: a.Job, Index: i}
			o.held[task] = a.Machine
			started = append(started, task)
		}
	}
	return started
}

// release removes a held task.
func (o *ownerModel) release(task job.Task) {
	o.bumpVersion(o.held[task])
	delete(o.held, task)
}

// complete removes a held task and records it as completed.
func (o *ownerModel) complete(task job.Task) {
	o.release(task)
	o.completed = append(o.completed, partition.CompletedTask{Task: task})
}

// heldTasks lists the tasks that the owner holds, in order.
func (o *ownerModel) heldTasks() []job.Task {
	return slices.SortedFunc(maps.Keys(o.held), job.Task.Compare)
}
