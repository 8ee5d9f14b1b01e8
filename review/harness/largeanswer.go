package main

import (
	"errors"
	"time"

	"junipershelf/protocol"
)

var errNotAccepted = errors.New("the job is not accepted")

// largeMachines is the second deployment with the machine type of the protocols page's example.
func largeMachines() params {
	p := kosa()
	p.flavors = []protocol.MachineType{{
		Name: "g8", CPUs: 96, Accelerators: 8, MemGB: 768, CacheGB: 200, PullGBPerS: 1, Price: 12, SpotPrice: 4.5, BootS: 45, Zones: p.zones,
	}}
	return p
}

// runLargeAnswer runs a job of many small tasks on one machine. The trouble: the machine loses the network for 8.5 s,
// less than its lease.
func runLargeAnswer(w *world) error {
	offer := offerKey{"g8", w.params.zones[0], false}
	w.cloud.capacity[offer] = 1
	w.setRunTimes(3*time.Second, 9*time.Second)
	if err := w.startNodes(); err != nil {
		return err
	}
	m := w.cloud.addRunning(offer)
	spec := array(412, "triage-0", 4800, 0.05)
	spec.MemGB, spec.ExpectedS = 0.96, 6
	j := w.submit(spec)
	if !j.wasAccepted() {
		return errNotAccepted
	}
	if w.trouble {
		time.AfterFunc(20*time.Second, func() {
			m.agent.mute(true)
			time.Sleep(8500 * time.Millisecond)
			m.agent.mute(false)
		})
	}
	done := j.awaitEnd(w.record.began.Add(105*time.Second), 5*time.Second)
	large, largest := w.largeAnswers()
	w.record.add("%d answers to workers above 64 KiB, the largest has %d bytes, job done: %v, %d of %d tasks have completed", large, largest, done, w.finishedCount(), spec.Tasks)
	if large > 0 && !done {
		w.rules.breaks("answers to workers of at most 64 KiB; an accepted job must run",
			"%d answers were larger, and of %d tasks only %d have completed", large, spec.Tasks, w.finishedCount())
	}
	return nil
}
