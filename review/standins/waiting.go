package main

import (
	"fmt"
	"time"

	"junipershelf/protocol"
)

const (
	// waitLimit is how long a job may wait after the troubles while a machine has room for it.
	waitLimit = 90 * time.Second
	// maxSick is the longest that a machine fails its tasks; the site file has 150 s.
	maxSick = 20 * time.Second
	// settleTimeout is how long the fleet may take until only the machine with a task is left.
	settleTimeout = 20 * time.Second
	// longRun is the run time of a task that keeps its machine busy throughout, shortRun that of others.
	longRun, shortRun = 10 * time.Minute, 4 * time.Second
	watchInterval     = time.Second
)

// failedOnce is the case of a one-task job that fails once on the only machine, which fails every task
// that it starts for a few seconds and then works again.
func failedOnce() scenario {
	s := dar()
	long := protocol.TaskName(longJob().UID, 0)
	s.runFor = func(task string) time.Duration {
		if task == long {
			return longRun
		}
		return shortRun
	}
	return scenario{site: s, run: runFailedOnce}
}

// longJob returns the job that keeps a machine: a digest, whose tasks save every 30 s.
func longJob() protocol.JobSpec {
	long := job(1, "digests", "triage-1", protocol.PriorityBestEffort, 1, 250)
	long.CheckpointIntervalS, long.CheckpointDurationS = 30, 3
	return long
}

func runFailedOnce(d *deployment) (broken []string, err error) {
	long, short := longJob(), job(2, "spike-alerts", "triage-2", protocol.PriorityUrgent, 1, shortRun.Seconds())
	d.platform.upload(long)
	d.platform.upload(short)
	if !d.users.submit(d.ctx, d.nodes[0], long) {
		return nil, errTooLate
	}
	// An idle machine is returned after some seconds.
	if !d.await(settleTimeout, func() bool { return d.platform.running(long.UID) == 1 && len(d.platform.machines()) == 1 }) {
		return nil, errTooLate
	}
	if d.trouble {
		d.setFailing(true)
	}
	if !d.users.submit(d.ctx, d.nodes[1], short) {
		return nil, errTooLate
	}
	end := taskEnd{protocol.TaskName(short.UID, 0), protocol.CauseError}
	if d.trouble && !d.await(maxSick, func() bool { return d.platform.ended(end) > 0 }) {
		return nil, errTooLate
	}
	d.setFailing(false)
	d.record.printf("the troubles are over")
	return d.watchWaiting(short), nil
}

// setFailing makes all machines fail the tasks that they start, or ends that.
func (d *deployment) setFailing(failing bool) {
	for _, w := range d.platform.machines() {
		w.set(func(w *worker) { w.failing = failing })
		d.record.printf("trouble: %s fails what it starts: %v", w.id, failing)
	}
}

// watchWaiting watches a job after the troubles, until it is done or has waited for longer than
// waitLimit while a machine had room for it.
func (d *deployment) watchWaiting(spec protocol.JobSpec) (broken []string) {
	since := time.Now()
	for polls := 0; d.ctx.Err() == nil; polls++ {
		if polls%5 == 0 {
			if _, status := d.users.poll(d.ctx, d.nodes[polls%len(d.nodes)], spec.UID); status == "done" {
				return nil
			}
		}
		room := d.machineWithRoom(spec)
		if room == "" || d.platform.running(spec.UID) > 0 {
			since = time.Now()
		}
		if waited := time.Since(since); waited > waitLimit {
			return []string{fmt.Sprintf("%s has waited for %.0f s after the troubles while %s had room for it", spec.UID, waited.Seconds(), room)}
		}
		sleep(d.ctx, watchInterval)
	}
	return nil
}

// machineWithRoom returns a machine that is up, works, and has room for a task of a job.
func (d *deployment) machineWithRoom(spec protocol.JobSpec) string {
	for _, w := range d.platform.machines() {
		if w.hasRoom(spec) {
			return w.id
		}
	}
	return ""
}
