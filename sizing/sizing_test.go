package sizing_test

import (
	"strings"
	"testing"

	"junipershelf/settings"
	"junipershelf/sizing"
)

// densest is the deployment with the most machines so far, at the smallest memory.
func densest() settings.Facts {
	f := settings.Facts{Nodes: 3}
	f.Workers.ReportS = 5
	f.State = settings.StateLimits{RPS: 300, WriteRPS: 70, ValueKB: 8, TxnOps: 32}
	f.Cloud.RPS = 8
	f.Resources = settings.Resources{CPU: 0.5, MemMB: 125, MaxSockets: 3003}
	return f
}

// No limit is below 6,000 machines at the smallest memory, nor below what was held when limits were fixed,
// however small the settings are.
func TestLimitsAllowTheLargestFleet(t *testing.T) {
	limits := sizing.LimitsFor(densest())
	if limits.Machines < 6000 {
		t.Errorf("%d machines", limits.Machines)
	}
	if limits.Connections != 1436 || limits.PeerConnections != 300 || limits.ConnectionsPerPeer != 150 {
		t.Errorf("%+v", limits)
	}
	small := sizing.LimitsFor(settings.Facts{Resources: settings.Resources{MemMB: 1, MaxSockets: 10}})
	if small.Machines < 1 || small.Connections < 1 || small.StatusReads < 512 || small.LogEntries < 4096 || small.MessageEntries < 256 || small.ReplyBytes < 4<<20 {
		t.Errorf("the smallest limits: %+v", small)
	}
	fast := densest()
	fast.State.WriteRPS = 2000
	if limits := sizing.LimitsFor(fast); limits.LogEntries < 60*1000 || limits.MessageEntries < 1000 {
		t.Errorf("with 2,000 changes a second: %+v", limits)
	}
}

// Each setting that cannot serve a fleet is named with the figure that is needed, and that
// figure is enough.
func TestEachShortSettingIsNamedWithWhatIsNeeded(t *testing.T) {
	fleet := sizing.Fleet{Machines: 4000, TasksPerMachine: 8}
	if short := sizing.Check(densest(), fleet); len(short) != 0 {
		t.Errorf("the densest deployment is refused: %v", short)
	}
	for _, c := range []struct {
		field string
		set   func(f *settings.Facts, to float64)
		few   float64
		fatal bool
	}{
		{"facts.resources.mem_mb", func(f *settings.Facts, to float64) { f.Resources.MemMB = to }, 60, false},
		{"facts.resources.mem_mb", func(f *settings.Facts, to float64) { f.Resources.MemMB = to }, 8, true},
		{"facts.resources.max_sockets", func(f *settings.Facts, to float64) { f.Resources.MaxSockets = int(to) }, 400, false},
		{"facts.resources.max_sockets", func(f *settings.Facts, to float64) { f.Resources.MaxSockets = int(to) }, 8, true},
		{"facts.resources.cpu", func(f *settings.Facts, to float64) { f.Resources.CPU = to }, 0.05, false},
		{"facts.state.write_rps", func(f *settings.Facts, to float64) { f.State.WriteRPS = to }, 1, false},
		{"facts.state.value_kb", func(f *settings.Facts, to float64) { f.State.ValueKB = to }, 0.5, true},
		{"facts.state.rps", func(f *settings.Facts, to float64) { f.State.RPS = to }, 10, false},
		{"facts.cloud.rps", func(f *settings.Facts, to float64) { f.Cloud.RPS = to }, 0.1, false},
	} {
		f := densest()
		c.set(&f, c.few)
		short := sizing.Check(f, fleet)
		if len(short) != 1 || short[0].Field != c.field || short[0].Fatal != c.fatal || !strings.Contains(short[0].Error(), c.field) {
			t.Errorf("%s = %v: %v", c.field, c.few, short)
			continue
		}
		c.set(&f, short[0].Need)
		if c.fatal {
			continue // what is needed to serve anything need not serve this fleet
		}
		if again := sizing.Check(f, fleet); len(again) != 0 {
			t.Errorf("%s: with the figure that was named: %v", c.field, again)
		}
	}
}

// Limits that are to fall count as fallen, and what a fleet can start follows from them.
func TestStartsFollowFromTheLimitsToCome(t *testing.T) {
	f := densest()
	fallen := 2.0
	f.State.Next = &settings.NextLimits{ValueKB: &fallen}
	fleet := sizing.Fleet{Machines: 4000, TasksPerMachine: 8}
	now, later := sizing.StartsPerSecond(f.State, fleet), sizing.StartsPerSecond(f.State.Effective(), fleet)
	if ratio := now / later; ratio < 3.9 || ratio > 4.1 {
		t.Errorf("%.0f starts a second in values of 8 KiB, %.0f in values of 2 KiB", now, later)
	}
	f.State.WriteRPS = 5
	if short := sizing.Check(f, fleet); len(short) != 1 || short[0].Field != "facts.state.write_rps" {
		t.Errorf("small values and few changes: %v", short)
	}
}
