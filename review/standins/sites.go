package main

import (
	"fmt"
	"time"

	"junipershelf/protocol"
	"junipershelf/settings"
)

// dar returns the site of Kosa Error Tracking Cluster, Dar, at its first size.
func dar() site {
	zones := []string{"msasani", "kariakoo", "mbezi"}
	s := site{
		timing:   timing{report: 1500 * time.Millisecond, lease: 10 * time.Second, cancel: 30 * time.Second},
		zones:    zones,
		store:    settings.StoreLimits{RPS: 250, WriteRPS: 20, ValueKB: 16, TransactionChanges: 16},
		cloudRPS: 8, listLagS: 8,
		limits: settings.Resources{CPU: 0.18, MemMB: 125, MaxSockets: 1200},
		flavors: []protocol.MachineType{
			{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 70, PullGBPerS: 0.12, Price: 0.3, SpotPrice: 0.11, BootS: 15, Zones: zones},
			{Name: "octa", CPUs: 8, MemGB: 32, CacheGB: 70, PullGBPerS: 0.15, Price: 0.52, SpotPrice: 0.21, BootS: 25, Zones: []string{"msasani", "mbezi"}},
		},
		capacity: map[offer]int{
			{"quad", "msasani", false}: 2, {"quad", "msasani", true}: 9,
			{"quad", "kariakoo", false}: 1, {"quad", "kariakoo", true}: 8,
			{"quad", "mbezi", false}: 1, {"quad", "mbezi", true}: 7,
			{"octa", "msasani", false}: 2, {"octa", "msasani", true}: 4,
			{"octa", "mbezi", false}: 2, {"octa", "mbezi", true}: 4,
		},
		boot: 1500 * time.Millisecond,
	}
	for i := range 8 {
		s.teams = append(s.teams, settings.Team{Name: fmt.Sprintf("triage-%d", i+1), CPUGuarantee: 24, CPULimit: 64})
	}
	return s
}

// job returns a job of a class of Dar.
func job(number int, class, team string, priority protocol.Priority, tasks int, expectedS float64) protocol.JobSpec {
	return protocol.JobSpec{
		UID: fmt.Sprintf("wk-%06d", number), Class: class, Team: team, Shape: protocol.ShapeArray, Priority: priority,
		Tasks: tasks, CPUs: 1, MemGB: 2.7, Image: "img-" + class, ImageGB: 0.1, SpotAllowed: true, ExpectedS: expectedS,
	}
}
