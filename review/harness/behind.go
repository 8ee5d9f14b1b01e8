package main

import (
	"strings"
	"time"
)

// runBehind is runPinned for an ordinary array: its task is queued on the only ordinary machine. The cloud has room for
// another one all the time.
func runBehind(w *world) error {
	zone := w.params.zones[0]
	ordinary, spot := offerKey{"octa-box", zone, false}, offerKey{"octa-box", zone, true}
	w.cloud.capacity[ordinary], w.cloud.capacity[spot] = 2, 26
	w.runTimes = func(task string) time.Duration {
		if strings.HasPrefix(task, "wk-000601/") {
			return 25 * time.Second
		}
		return 5 * time.Second
	}
	if err := w.startNodes(); err != nil {
		return err
	}
	taken := w.cloud.addRunning(spot)
	time.Sleep(6 * time.Second) // the machine is up and known to the leader
	service := array(602, "hub-ops", 2, 4)
	service.Shape, service.Priority, service.ExpectedS = "daemon", "critical", 0
	w.submit(service)
	if !w.awaitStarts(2) {
		return errNotStarted
	}
	w.cloud.addRunning(ordinary)
	time.Sleep(6 * time.Second)
	batch := array(601, "routing", 2, 4)
	batch.Priority, batch.SpotAllowed, batch.ExpectedS = "critical", false, 5
	batchJob := w.submit(batch)
	if !w.awaitStarts(4) {
		return errNotStarted
	}
	behind := array(603, "ocr-crew", 1, 4)
	behind.Priority, behind.SpotAllowed = "normal", true
	behindJob := w.submit(behind)
	time.Sleep(3 * time.Second)
	w.takeBack(taken)
	batchDone := batchJob.awaitEnd(w.record.began.Add(100*time.Second), 3*time.Second)
	done := behindJob.awaitEnd(w.record.began.Add(110*time.Second), 3*time.Second)
	w.record.add("the first array is done: %v; the second is done: %v; machines up: %d", batchDone, done, len(w.cloud.up()))
	if batchDone && !done {
		w.rules.breaks("an accepted job must run", "%s has one task and waits for nothing but a machine; the cloud has them and is not asked", behind.UID)
	}
	return nil
}
