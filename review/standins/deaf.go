package main

import (
	"time"

	"junipershelf/protocol"
	"junipershelf/settings"
)

const (
	// deafLimit is the longest that the machines are deaf; the lease is 26.5 s.
	deafLimit = 24 * time.Second
	// lostAnswers is how many answers each machine loses: that of its owner, those of the other two
	// controllers, and that of its owner again.
	lostAnswers = 4
	// deafMachines is the number of machines, which are all that the cloud has.
	deafMachines = 3
)

// deaf is the case of machines to which answers are lost for less than a lease.
func deaf() scenario {
	zones := []string{"ruwi-rack"}
	s := site{
		timing:   timing{report: 5 * time.Second, lease: 26500 * time.Millisecond, cancel: 51500 * time.Millisecond},
		zones:    zones,
		store:    settings.StoreLimits{RPS: 300, WriteRPS: 70, ValueKB: 8, TransactionChanges: 32},
		cloudRPS: 8, listLagS: 6,
		limits: settings.Resources{CPU: 0.3, MemMB: 125, MaxSockets: 1800},
		flavors: []protocol.MachineType{
			{Name: "octa-box", CPUs: 8, MemGB: 64, CacheGB: 70, PullGBPerS: 0.5, Price: 0.63, SpotPrice: 0.2, BootS: 50, Zones: zones},
		},
		capacity: map[offer]int{{"octa-box", "ruwi-rack", true}: deafMachines},
		boot:     time.Second,
		runFor:   func(string) time.Duration { return shortRun },
	}
	for _, name := range []string{"ocr-crew", "routing", "hub-ops"} {
		s.teams = append(s.teams, settings.Team{Name: name, CPUGuarantee: 80, CPULimit: 152})
	}
	return scenario{site: s, run: runDeafMachines}
}

// deafTasks is the number of tasks of the job: as many as the machines have CPUs.
const deafTasks = 24

func runDeafMachines(d *deployment) (broken []string, err error) {
	spec := job(1, "dawn-routes", "routing", protocol.PriorityUrgent, deafTasks, shortRun.Seconds())
	d.platform.upload(spec)
	if !d.users.submit(d.ctx, d.nodes[0], spec) {
		return nil, errTooLate
	}
	if d.trouble && !d.deafen() {
		return nil, errTooLate
	}
	d.record.printf("the troubles are over")
	return d.watchWaiting(spec), nil
}

// deafen loses the answers to each machine from its first answered report on, until each has lost
// lostAnswers. It reports false if that takes too long.
func (d *deployment) deafen() bool {
	deaf := map[string]bool{}
	allDeaf := func() bool {
		for _, w := range d.platform.machines() {
			if w.token() > 0 && !deaf[w.id] {
				deaf[w.id] = true
				d.record.printf("trouble: answers to %s are lost", w.id)
				w.set(func(w *worker) { w.deaf = true })
			}
		}
		return len(deaf) == deafMachines
	}
	if !d.await(startTimeout, allDeaf) {
		return false
	}
	hear := func() bool {
		left := 0
		for _, w := range d.platform.machines() {
			if w.lostAnswers() < lostAnswers {
				left++
				continue
			}
			w.set(func(w *worker) { w.deaf = false })
		}
		return left == 0
	}
	return d.await(deafLimit, hear)
}
