package job

import (
	"slices"

	"junipershelf/protocol"
)

// MachineKind is what a job may ask of a machine: its type, its zone, and whether it is a spot
// instance.
type MachineKind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// AllowsMachine reports whether a job may run on machines of a kind.
func AllowsMachine(s *protocol.JobSpec, kind MachineKind) bool {
	if kind.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != kind.Zone {
		return false
	}
	return len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, kind.MachineType)
}

// MayOverflow reports whether a job's tasks may move to another machine by overflow. They may
// not where the place of one depends on the places of the others, which only the leader knows.
func MayOverflow(s *protocol.JobSpec) bool {
	return s.Shape != protocol.ShapeGang && !s.SameZone && !s.SpreadZones
}
