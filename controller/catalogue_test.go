package controller

import (
	"testing"

	"junipershelf/protocol"
)

func TestCatalogueIgnoresPriceChanges(t *testing.T) {
	small := protocol.MachineType{Name: "small", CPUs: 8, MemGB: 32, Price: 1, SpotPrice: 0.4, Zones: []string{"a"}}
	repriced := small
	repriced.Price, repriced.SpotPrice = 2, 0.9
	larger := small
	larger.CPUs = 16
	c := newCatalogue()
	if !c.empty() {
		t.Error("a new catalogue is not empty")
	}
	for _, step := range []struct {
		name    string
		types   []protocol.MachineType
		changed bool
	}{
		{"first types", []protocol.MachineType{small}, true},
		{"the same again", []protocol.MachineType{small}, false},
		{"other prices", []protocol.MachineType{repriced}, false},
		{"another size", []protocol.MachineType{larger}, true},
		{"one more type", []protocol.MachineType{larger, {Name: "tiny"}}, true},
	} {
		if got := c.set(step.types); got != step.changed {
			t.Errorf("%s: changed %v, want %v", step.name, got, step.changed)
		}
		if got := c.list(); len(got) != len(step.types) || got[0].Price != step.types[0].Price {
			t.Errorf("%s: list returned %+v", step.name, got)
		}
	}
	if c.empty() {
		t.Error("a catalogue with types is empty")
	}
}

func TestCatalogueFitRespectsJobConstraints(t *testing.T) {
	c := newCatalogue()
	c.set([]protocol.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, Zones: []string{"a"}},
		{Name: "large", CPUs: 64, MemGB: 256, Zones: []string{"a", "b"}},
	})
	for _, job := range []struct {
		name string
		spec protocol.JobSpec
		fits bool
	}{
		{"small", protocol.JobSpec{CPUs: 4, MemGB: 16}, true},
		{"needs the large type", protocol.JobSpec{CPUs: 32, MemGB: 16}, true},
		{"larger than all types", protocol.JobSpec{CPUs: 65, MemGB: 16}, false},
		{"only on a type that is too small", protocol.JobSpec{CPUs: 32, MemGB: 16, MachineTypes: []string{"small"}}, false},
		{"in a zone that only the large type has", protocol.JobSpec{CPUs: 4, MemGB: 16, Zone: "b"}, true},
		{"in a zone that the type does not have", protocol.JobSpec{CPUs: 4, MemGB: 16, Zone: "b", MachineTypes: []string{"small"}}, false},
		{"in a zone that no type has", protocol.JobSpec{CPUs: 4, MemGB: 16, Zone: "c"}, false},
	} {
		if got := c.fitsAnyMachine(&job.spec); got != job.fits {
			t.Errorf("%s: fits %v, want %v", job.name, got, job.fits)
		}
	}
}
