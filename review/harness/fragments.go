package main

import "time"

// runFragments runs two replicas on two machines, which leaves three CPUs free on each, and a task of four CPUs on a
// spot machine. The trouble: the cloud takes the spot machine back, with notice. It has room for more all the time.
func runFragments(w *world) error {
	zone := w.params.zones[0]
	ordinary, spot := offerKey{"octa-box", zone, false}, offerKey{"octa-box", zone, true}
	w.cloud.capacity[ordinary], w.cloud.capacity[spot] = 2, 26
	w.runTimes = func(string) time.Duration { return 25 * time.Second }
	if err := w.startNodes(); err != nil {
		return err
	}
	w.cloud.addRunning(ordinary)
	w.cloud.addRunning(ordinary)
	time.Sleep(6 * time.Second) // the machines are up and known to the leader
	service := array(702, "hub-ops", 2, 5)
	service.Shape, service.Priority, service.ExpectedS, service.SpotAllowed = "daemon", "critical", 0, false
	w.submit(service)
	if !w.awaitStarts(2) {
		return errNotStarted
	}
	taken := w.cloud.addRunning(spot)
	time.Sleep(6 * time.Second)
	wide := array(703, "ocr-crew", 1, 4)
	wide.Priority, wide.ExpectedS = "urgent", 25
	wideJob := w.submit(wide)
	if !w.awaitStarts(3) {
		return errNotStarted
	}
	time.Sleep(2 * time.Second)
	w.takeBack(taken)
	done := wideJob.awaitEnd(w.record.began.Add(110*time.Second), 3*time.Second)
	w.record.add("the job is done: %v; machines up: %d", done, len(w.cloud.up()))
	if !done {
		w.rules.breaks("an accepted job must run", "%s has one task and waits for nothing but a machine; the cloud has them and is not asked", wide.UID)
	}
	return nil
}
