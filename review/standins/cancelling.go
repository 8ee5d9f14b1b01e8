package main

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"junipershelf/protocol"
)

const (
	// inFlight is how long a start command may be on its way on loopback, when it was sent before its
	// job's user was told of the cancellation.
	inFlight = 250 * time.Millisecond
	// cutAfter is how long the machines are busy before the cut, and cutFor how long the cut is watched;
	// the site files have 30 to 46.5 s.
	cutAfter, cutFor = 14 * time.Second, 25 * time.Second
	busyRun          = 10 * time.Second // of a task on average
	busyTasks        = 120
	busyMachines     = 12
)

// cancelAfter is how long after the cut the users cancel.
const cancelAfter = 300 * time.Millisecond

// startLog notes the starts that workers carry out.
type startLog struct {
	mu     sync.Mutex
	starts []startedTask
}

// startedTask is a start that a worker carried out.
type startedTask struct {
	at      time.Time
	task    string
	machine string
}

func (l *startLog) add(w *worker, task string, _ uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, startedTask{time.Now(), task, w.id})
}

// after returns the starts of a job after a time.
func (l *startLog) after(uid string, at time.Time) []startedTask {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.starts), func(s startedTask) bool {
		job, _, err := protocol.ParseTaskName(s.task)
		return err != nil || job != uid || !s.at.After(at)
	})
}

// spreadRun returns how long a task runs: 0.4 to 1.6 times busyRun, the same on each machine.
func spreadRun(task string) time.Duration {
	hash := fnv.New32a()
	hash.Write([]byte(task)) // never fails
	return busyRun*2/5 + busyRun*6/5*time.Duration(hash.Sum32()%1000)/1000
}

// cutLeader is the case of a leader that loses the state service and the other controllers, not its
// workers, while users cancel through another controller.
func cutLeader() scenario {
	s := dar()
	s.runFor = spreadRun
	// A small fleet that is full, so that more work waits than has room.
	s.capacity = map[offer]int{
		{"octa", "msasani", true}: busyMachines / 2, {"octa", "mbezi", true}: busyMachines / 2,
	}
	return scenario{site: s, run: runCutLeader}
}

func runCutLeader(d *deployment) (broken []string, err error) {
	log := &startLog{}
	d.platform.onStart = log.add
	jobs := []protocol.JobSpec{
		job(1, "crash-groups", "triage-1", protocol.PriorityNormal, busyTasks, busyRun.Seconds()),
		job(2, "crash-groups", "triage-2", protocol.PriorityNormal, busyTasks, busyRun.Seconds()),
		job(3, "crash-groups", "triage-3", protocol.PriorityNormal, busyTasks, busyRun.Seconds()),
	}
	for i, spec := range jobs {
		d.platform.upload(spec)
		if !d.users.submit(d.ctx, d.nodes[i], spec) {
			return nil, errTooLate
		}
	}
	full := func() bool { return len(d.platform.machines()) == busyMachines && d.platform.running(jobs[0].UID) > 0 }
	if !d.await(settleTimeout, full) {
		return nil, errTooLate
	}
	sleep(d.ctx, cutAfter)
	leader := d.leader()
	if d.trouble {
		d.cut(leader)
	}
	other := d.nodes[(leader+1)%len(d.nodes)]
	sleep(d.ctx, cancelAfter)
	told, err := d.cancelAll(other, jobs)
	if err != nil {
		return nil, err
	}
	sleep(d.ctx, cutFor)
	for _, spec := range jobs {
		late := log.after(spec.UID, told[spec.UID].Add(inFlight))
		d.record.printf("%s: %d starts after its user was told that it is cancelled", spec.UID, len(late))
		for _, s := range late {
			broken = append(broken, fmt.Sprintf("%s was started on %s %.3f s after its user was told that the job is cancelled",
				s.task, s.machine, s.at.Sub(told[spec.UID]).Seconds()))
		}
	}
	return broken, nil
}

// cancelAll cancels jobs at a node at the same time, and returns when each user was told.
func (d *deployment) cancelAll(at node, jobs []protocol.JobSpec) (told map[string]time.Time, err error) {
	var mu sync.Mutex
	var users sync.WaitGroup
	told = map[string]time.Time{}
	for _, spec := range jobs {
		users.Go(func() {
			status, answered := d.users.cancel(d.ctx, at, spec.UID)
			mu.Lock()
			defer mu.Unlock()
			told[spec.UID] = answered
			if status != "cancelled" {
				err = fmt.Errorf("%s is not cancelled but %q", spec.UID, status)
			}
		})
	}
	users.Wait()
	return told, err
}

// cut cuts a controller from the state service and the other controllers.
func (d *deployment) cut(i int) {
	d.record.printf("trouble: %s loses the state service and the other controllers", d.nodes[i].name)
	for _, link := range d.links[d.nodes[i].name] {
		link.hold()
	}
}
