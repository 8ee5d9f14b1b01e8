package controller

import (
	"log/slog"
	"time"

	"junipershelf/autoscaler"
)

// logWaitAfter is how long tasks of a job have no place before this is logged.
const logWaitAfter = 30 * time.Second

// waitLog logs the jobs of which tasks fit on no machine for long while none may be requested. It is not safe
// for concurrent use.
type waitLog struct {
	log *slog.Logger

	waiting map[string]*loggedWait // by job
}

// loggedWait is a wait that has begun.
type loggedWait struct {
	since  time.Time
	logged bool
}

func newWaitLog(log *slog.Logger) *waitLog {
	return &waitLog{log: log, waiting: map[string]*loggedWait{}}
}

// observe takes the waits of a plan, and logs those that have lasted for logWaitAfter, each once.
func (l *waitLog) observe(now time.Time, waits []autoscaler.JobWait) {
	observed := make(map[string]*loggedWait, len(l.waiting))
	for i := range waits {
		w := &waits[i]
		if w.NoMachine == 0 {
			continue
		}
		wait := l.waiting[w.Job]
		if wait == nil {
			wait = &loggedWait{since: now}
		}
		observed[w.Job] = wait
		if !wait.logged && now.Sub(wait.since) >= logWaitAfter {
			wait.logged = true
			l.log.Info("tasks fit on no machine", "job", w.Job, "tasks", w.NoMachine, "obstacle", w.Obstacle, "age_s", int(w.Age.Seconds()))
		}
	}
	l.waiting = observed
}
