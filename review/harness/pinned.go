package main

import (
	"errors"
	"strings"
	"time"
)

var errNotStarted = errors.New("a job that has to run first does not")

// runPinned runs a service on a spot machine and an array on an ordinary one, and submits a job whose tasks have to
// be in one zone while both machines are full. The trouble: the cloud takes the spot machine back, with notice. There
// is room for two ordinary machines and for 26 spot ones, as at the first operator's.
func runPinned(w *world) error {
	zone := w.params.zones[0]
	ordinary, spot := offerKey{"octa-box", zone, false}, offerKey{"octa-box", zone, true}
	w.cloud.capacity[ordinary], w.cloud.capacity[spot] = 2, 26
	w.runTimes = func(task string) time.Duration {
		if strings.HasPrefix(task, "wk-000501/") {
			return 30 * time.Second
		}
		return 5 * time.Second
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	taken := w.cloud.addRunning(spot)
	service := array(502, "hub-ops", 8, 1)
	service.Shape, service.Priority, service.ExpectedS = "daemon", "critical", 0
	time.Sleep(6 * time.Second) // the machine is up and known to the leader
	w.submit(service)
	if !w.awaitStarts(8) {
		return errNotStarted
	}
	w.cloud.addRunning(ordinary)
	time.Sleep(6 * time.Second)
	batch := array(501, "routing", 8, 1)
	batch.Priority, batch.SpotAllowed, batch.ExpectedS = "best_effort", false, 20
	batchJob := w.submit(batch)
	if !w.awaitStarts(16) {
		return errNotStarted
	}
	w.cloud.setBoot(30 * time.Second) // 0.6 of its nominal time
	pinned := array(503, "ocr-crew", 2, 1)
	pinned.Priority, pinned.SameZone, pinned.SpotAllowed = "normal", true, false
	pinnedJob := w.submit(pinned)
	time.Sleep(3 * time.Second)
	w.takeBack(taken)
	batchDone := batchJob.awaitEnd(w.record.began.Add(100*time.Second), 3*time.Second)
	done := pinnedJob.awaitEnd(w.record.began.Add(110*time.Second), 3*time.Second)
	w.record.add("the array is done: %v; the job in one zone is done: %v; machines up: %d", batchDone, done, len(w.cloud.up()))
	if batchDone && !done {
		w.rules.breaks("an accepted job must run", "%s does not run, although its array of %d tasks waits for nothing but room and other work ran since",
			pinned.UID, pinned.Tasks)
	}
	return nil
}

// takeBack is the trouble of two cases: the cloud takes a spot machine back, 10 s after a notice.
func (w *world) takeBack(m *machine) {
	if !w.trouble {
		return
	}
	m.agent.notify(10 * time.Second)
	time.AfterFunc(10*time.Second, func() { w.cloud.remove(m.id) })
}

// awaitStarts waits for up to 30 s until a number of tasks have come to be on a machine.
func (w *world) awaitStarts(count int) bool {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.rules.startCount() >= count {
			return true
		}
	}
	w.record.add("only %d starts of %d", w.rules.startCount(), count)
	return false
}

// notify lets the worker report that the cloud takes its machine back.
func (a *agent) notify(left time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seconds := left.Seconds()
	a.w.record.add("%s gets notice: %v", a.m.id, left)
	a.notice = &seconds
	a.changed()
}
