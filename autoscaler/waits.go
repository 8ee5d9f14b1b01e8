package autoscaler

import (
	"fmt"
	"strings"
	"time"
)

// JobWait tells how many unassigned or queued tasks of a job wait for what, as of a plan.
type JobWait struct {
	Job       string
	Age       time.Duration // since its submission
	TeamLimit int           // tasks that exceed the limit of their team
	Place     int           // tasks with a place on a machine that is free, requested or booting
	Requested int           // tasks for which the plan requests machines
	NoMachine int           // tasks that fit on no machine, and for which none may be requested now
	Obstacle  Obstacle      // why none may be requested; empty if NoMachine is 0
}

// Obstacle is a reason for which no machine may be requested for a task. The texts appear in the log and in
// the output of `show`.
type Obstacle string

// The obstacles, from the one that passes soonest to the one that lasts.
const (
	NoCapacity     Obstacle = "no_capacity"      // the cloud had none of the machines that fit, or a request failed
	OnDemandLater  Obstacle = "on_demand_later"  // the policy allows on-demand machines once the job has waited longer
	OnDemandDenied Obstacle = "on_demand_denied" // the policy allows spot machines only at this priority, and there are none
	ZoneClosed     Obstacle = "zone_closed"      // the job's other tasks leave no zone open in which there are machines that fit
	NoTypeFits     Obstacle = "no_type_fits"     // the catalogue has no machine that fits
)

// String returns the wait in the form in which `show` prints it.
func (w JobWait) String() string {
	var parts []string
	for _, part := range []struct {
		tasks int
		text  string
	}{{w.TeamLimit, "team_limit"}, {w.Place, "place"}, {w.Requested, "requested"}, {w.NoMachine, "no_machine (" + string(w.Obstacle) + ")"}} {
		if part.tasks > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.tasks, part.text))
		}
	}
	return fmt.Sprintf("%.0f s: %s", w.Age.Seconds(), strings.Join(parts, ", "))
}

// TotalWaits returns the sums of the counts of all waits.
func TotalWaits(waits []JobWait) (total JobWait) {
	for _, w := range waits {
		total.TeamLimit += w.TeamLimit
		total.Place += w.Place
		total.Requested += w.Requested
		total.NoMachine += w.NoMachine
	}
	return total
}

// obstacleTo returns why no machine may be requested for a job: the obstacle of the offer that is closest to
// being requested.
func (p *scaleOutPlan) obstacleTo(d *demand) Obstacle {
	order := []Obstacle{NoCapacity, OnDemandLater, OnDemandDenied, ZoneClosed, NoTypeFits}
	found := map[Obstacle]bool{NoTypeFits: true}
	for i := range p.catalogue {
		found[p.obstacleOf(&p.catalogue[i], d)] = true
	}
	for _, obstacle := range order {
		if found[obstacle] {
			return obstacle
		}
	}
	return NoTypeFits
}

// obstacleOf returns why an offer may not be requested for a job.
func (p *scaleOutPlan) obstacleOf(offer *catalogueOffer, d *demand) Obstacle {
	switch {
	case d.need.FitCount(offer.capacity) == 0 || !offer.allows(d.Job) || offer.Spot && offer.machineType.SpotPrice <= 0:
		return NoTypeFits
	case p.zoneRoom(d, offer.Zone) <= 0:
		return ZoneClosed
	case !p.policyAllows(offer, d) && d.PriorityRank > p.cfg.OnDemandRank:
		return OnDemandDenied
	case !p.policyAllows(offer, d):
		return OnDemandLater
	}
	return NoCapacity
}
