package job

import (
	"slices"

	"junipershelf/protocol"
)

// MachineKind holds the properties of a machine that a job can constrain: its type, its zone, and
// whether it is a spot instance.
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

// MayOverflow reports whether a job's tasks may be forwarded to other machines as overflow. They may
// not if the placement of one task depends on that of the others, which only the leader knows.
func MayOverflow(s *protocol.JobSpec) bool {
	return s.Shape != protocol.ShapeGang && !s.SameZone && !s.SpreadZones
}
