package controller

import (
	"errors"
	"net/http"

	"junipershelf/api"
	"junipershelf/protocol"
	"junipershelf/settings"
)

// quotaTolerance is the rounding error allowed when a job's resources are compared with its team's
// limit.
const quotaTolerance = 1e-6

// The reasons for refusing a job. Their texts are sent to users.
var (
	errUnknownTeam          = errors.New("unknown team")
	errAboveTeamLimit       = errors.New("the job needs more than the team's limit")
	errUnknownMachineTypes  = errors.New("machine types are not known yet")
	errNoMachineTypeFitsJob = errors.New("a task fits no allowed machine type")
)

// feasibilityCheck detects jobs that can never run.
type feasibilityCheck struct {
	teams     map[string]int // index of each team's quota
	quotas    []settings.Team
	catalogue *catalogue
}

// check returns why a job can never run, errUnknownMachineTypes if that cannot be decided yet, or nil if
// the job can run.
func (f feasibilityCheck) check(spec *protocol.JobSpec) error {
	team, ok := f.teams[spec.Team]
	if !ok {
		return errUnknownTeam
	}
	if exceedsQuota(spec, &f.quotas[team]) {
		return errAboveTeamLimit
	}
	if f.catalogue.empty() {
		return errUnknownMachineTypes
	}
	if !f.catalogue.fitsAnyMachine(spec) {
		return errNoMachineTypeFitsJob
	}
	return nil
}

// exceedsQuota reports whether the tasks of a job that must run concurrently need more than its
// team's limit.
func exceedsQuota(spec *protocol.JobSpec, quota *settings.Team) bool {
	concurrent := 1.0 // tasks of an array may run one at a time
	if spec.Shape != protocol.ShapeArray {
		concurrent = float64(spec.Tasks)
	}
	return spec.CPUs*concurrent > quota.CPULimit+quotaTolerance || spec.Accelerators*concurrent > quota.GPULimit+quotaTolerance
}

// infeasibleResponse refuses a job permanently, or asks for a retry if machine types are not known
// yet.
func infeasibleResponse(err error) api.Response {
	if errors.Is(err, errUnknownMachineTypes) {
		return api.ErrorResponse(http.StatusServiceUnavailable, err.Error())
	}
	return api.ErrorResponse(http.StatusUnprocessableEntity, err.Error())
}
