package divide

import (
	"time"

	"junipershelf/job"
	"junipershelf/part"
)

// times compares how long a class's tasks ran with what their owners expected.
type times struct{ ran, expected float64 }

// prior is how many tasks' worth of belief the owners' own estimates have.
const prior = 8

// estimate is how long a job's tasks are likely to run. Owners' estimates are
// often wrong, and on some days mostly on one side.
func (d *Divider) estimate(l *job.Live) float64 {
	e := max(l.Spec.ExpectedS, 1) // of a replica, that never ends: its turn comes as if it were short
	if r := d.rates[l.Spec.Queue]; r != nil {
		e *= min(max(r.ran/r.expected, 0.25), 4)
	}
	return e
}

// completed notes a finished task; a second time changes nothing.
func (d *Divider) completed(done part.DoneTask) {
	t := done.Task
	l := d.jobs.Get(t.Job)
	if l == nil {
		return
	}
	fresh := !l.Finished.Has(t.Index)
	if fresh && done.RanS > 0 && l.Spec.ExpectedS > 0 {
		r := d.rates[l.Spec.Queue]
		if r == nil {
			r = &times{prior * l.Spec.ExpectedS, prior * l.Spec.ExpectedS}
			d.rates[l.Spec.Queue] = r
		}
		r.ran += done.RanS
		r.expected += l.Spec.ExpectedS
	}
	e := d.entry(t.Job)
	if fresh {
		l.Finished.Add(t.Index)
		e.finish(t.Index)
	}
	e.completed = true
}

// fault notes a failed task. Most failures are the machine's; a job submitted
// with a mistake fails on every machine and pauses for longer and longer.
func (d *Divider) fault(f part.Fault, now time.Time) {
	e := d.entry(f.Task.Job)
	switch f.Cause {
	case "full", "busy":
		return
	case "no_such":
		e.pauseUntil = now.Add(d.cfg.FaultPause)
		return
	}
	if e.failedOn == nil {
		e.failedOn, e.shunned = map[string]bool{}, map[int]string{}
	}
	e.shunned[f.Task.Index] = f.Machine
	e.failedOn[f.Machine] = true
	e.faults++
	if len(e.failedOn) >= 2 && !e.completed {
		pause := d.cfg.FaultPause << min(e.faults, 10)
		e.pauseUntil = now.Add(min(pause, d.cfg.FaultMax))
	}
	s := d.sick[f.Machine]
	if s == nil {
		s = map[job.Task]bool{}
		d.sick[f.Machine] = s
	}
	s[f.Task] = true
	d.judge(f.Machine)
}

// judge calls a machine sick when enough tasks failed on it whose jobs have not
// failed elsewhere.
func (d *Divider) judge(machine string) {
	n := 0
	for t := range d.sick[machine] {
		if e := d.entries[t.Job]; e != nil && (e.completed || len(e.failedOn) < 2) {
			n++
		}
	}
	if n >= d.cfg.SickAfter {
		d.Sick[machine] = true
	}
}
