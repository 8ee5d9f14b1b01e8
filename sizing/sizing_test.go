package sizing_test

import (
	"strings"
	"testing"

	"junipershelf/settings"
	"junipershelf/sizing"
)

// densestDeployment returns the facts of the deployment with the least memory per machine.
func densestDeployment() settings.Facts {
	f := settings.Facts{Nodes: 3}
	f.Workers.HeartbeatIntervalS = 5
	f.Store = settings.StoreLimits{RPS: 300, WriteRPS: 70, ValueKB: 8, TransactionChanges: 32}
	f.Cloud.RPS = 8
	f.Resources = settings.Resources{CPU: 0.5, MemMB: 125, MaxSockets: 3003}
	return f
}

// The memory of the densest deployment allows at least 6,000 machines. No limit falls below its fixed minimum,
// and the limits of the cancellation log grow with the rate of changes.
func TestLimitsAllowTheLargestFleet(t *testing.T) {
	limits := sizing.LimitsFor(densestDeployment())
	if limits.Machines < 6000 {
		t.Errorf("limit of %d machines, want at least 6000", limits.Machines)
	}
	if limits.Connections != 1436 || limits.PeerConnections != 300 || limits.ConnectionsPerPeer != 150 {
		t.Errorf("limits %+v, want 1436 connections, 300 peer connections and 150 connections per peer", limits)
	}
	small := sizing.LimitsFor(settings.Facts{Resources: settings.Resources{MemMB: 1, MaxSockets: 10}})
	if small.Machines < 1 || small.Connections < 1 || small.StatusReads < 512 || small.LogEntries < 4096 || small.MessageEntries < 256 || small.ReplyBytes < 4<<20 {
		t.Errorf("limits below their minimums: %+v", small)
	}
	fast := densestDeployment()
	fast.Store.WriteRPS = 2000
	if limits := sizing.LimitsFor(fast); limits.LogEntries < 60*1000 || limits.MessageEntries < 1000 {
		t.Errorf("limits with 2,000 changes per second: %+v, want at least 60000 log entries and 1000 message entries", limits)
	}
}

// Check reports each insufficient setting with the required value, and that value is sufficient.
func TestCheckReportsInsufficientSettingsWithRequiredValues(t *testing.T) {
	fleet := sizing.Fleet{Machines: 4000, TasksPerMachine: 8}
	if short := sizing.Check(densestDeployment(), fleet); len(short) != 0 {
		t.Errorf("Check reports %v for the densest deployment, want nothing", short)
	}
	for _, c := range []struct {
		field        string
		set          func(f *settings.Facts, to float64)
		insufficient float64
		fatal        bool
	}{
		{"facts.resources.mem_mb", func(f *settings.Facts, to float64) { f.Resources.MemMB = to }, 60, false},
		{"facts.resources.mem_mb", func(f *settings.Facts, to float64) { f.Resources.MemMB = to }, 8, true},
		{"facts.resources.max_sockets", func(f *settings.Facts, to float64) { f.Resources.MaxSockets = int(to) }, 400, false},
		{"facts.resources.max_sockets", func(f *settings.Facts, to float64) { f.Resources.MaxSockets = int(to) }, 8, true},
		{"facts.resources.cpu", func(f *settings.Facts, to float64) { f.Resources.CPU = to }, 0.05, false},
		{"facts.state.write_rps", func(f *settings.Facts, to float64) { f.Store.WriteRPS = to }, 1, false},
		{"facts.state.value_kb", func(f *settings.Facts, to float64) { f.Store.ValueKB = to }, 0.5, true},
		{"facts.state.rps", func(f *settings.Facts, to float64) { f.Store.RPS = to }, 10, false},
		{"facts.cloud.rps", func(f *settings.Facts, to float64) { f.Cloud.RPS = to }, 0.1, false},
	} {
		f := densestDeployment()
		c.set(&f, c.insufficient)
		short := sizing.Check(f, fleet)
		if len(short) != 1 || short[0].Field != c.field || short[0].Fatal != c.fatal || !strings.Contains(short[0].Error(), c.field) {
			t.Errorf("%s = %v: Check reports %v, want only this field with fatal %v", c.field, c.insufficient, short, c.fatal)
			continue
		}
		c.set(&f, short[0].Need)
		if c.fatal {
			continue // the minimum for any fleet may be insufficient for this one
		}
		if again := sizing.Check(f, fleet); len(again) != 0 {
			t.Errorf("%s: Check reports %v with the required value, want nothing", c.field, again)
		}
	}
}

// Announced lower limits of the store apply as if already in force, and lower the rate of task starts.
func TestAnnouncedLimitsLowerStartRate(t *testing.T) {
	f := densestDeployment()
	lowered := 2.0
	f.Store.Next = &settings.NextStoreLimits{ValueKB: &lowered}
	fleet := sizing.Fleet{Machines: 4000, TasksPerMachine: 8}
	now, later := sizing.StartsPerSecond(f.Store, fleet), sizing.StartsPerSecond(f.Store.Effective(), fleet)
	if ratio := now / later; ratio < 3.9 || ratio > 4.1 {
		t.Errorf("%.0f starts per second with values of 8 KiB, %.0f with 2 KiB; want a ratio of about 4", now, later)
	}
	f.Store.WriteRPS = 5
	if short := sizing.Check(f, fleet); len(short) != 1 || short[0].Field != "facts.state.write_rps" {
		t.Errorf("with small values and few changes Check reports %v, want only facts.state.write_rps", short)
	}
}
