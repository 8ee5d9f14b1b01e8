package controller

import (
	"errors"
	"net/http"
	"testing"

	"junipershelf/protocol"
	"junipershelf/settings"
)

func TestInfeasibleJobsAreRefusedWithReason(t *testing.T) {
	types := newCatalogue()
	types.set([]protocol.MachineType{{Name: "m8", CPUs: 8, MemGB: 32, Zones: []string{"a"}}})
	quotas := []settings.Team{{Name: "blue", CPULimit: 16, GPULimit: 1}}
	teams := map[string]int{"blue": 0}
	for _, c := range []struct {
		name      string
		spec      protocol.JobSpec
		catalogue *catalogue
		reason    error
		status    int
	}{
		{"feasible", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeArray, Tasks: 100, CPUs: 8}, types, nil, 0},
		{"unknown team", protocol.JobSpec{Team: "red", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 1}, types, errUnknownTeam, http.StatusUnprocessableEntity},
		{"task above the limit", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 17}, types, errAboveTeamLimit, http.StatusUnprocessableEntity},
		{"gang above the limit", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeGang, Tasks: 3, CPUs: 8}, types, errAboveTeamLimit, http.StatusUnprocessableEntity},
		{"accelerators above the limit", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeGang, Tasks: 2, Accelerators: 1}, types, errAboveTeamLimit, http.StatusUnprocessableEntity},
		{"no machine types", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 1}, newCatalogue(), errUnknownMachineTypes, http.StatusServiceUnavailable},
		{"no machine type fits", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 9}, types, errNoMachineTypeFitsJob, http.StatusUnprocessableEntity},
		{"wrong zone", protocol.JobSpec{Team: "blue", Shape: protocol.ShapeArray, Tasks: 1, CPUs: 1, Zone: "b"}, types, errNoMachineTypeFitsJob, http.StatusUnprocessableEntity},
	} {
		reason := feasibilityCheck{teams: teams, quotas: quotas, catalogue: c.catalogue}.check(&c.spec)
		if !errors.Is(reason, c.reason) {
			t.Errorf("%s: got error %v, want %v", c.name, reason, c.reason)
			continue
		}
		if reason == nil {
			continue
		}
		response := infeasibleResponse(reason)
		if body := (protocol.ErrorBody{Error: c.reason.Error()}); response.Code != c.status || response.Body != body {
			t.Errorf("%s: response %+v, want code %d with body %+v", c.name, response, c.status, body)
		}
	}
}
