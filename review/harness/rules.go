package main

import (
	"fmt"
	"sync"
	"time"
)

// rules checks the rules of the protocols page that concern tasks on machines.
type rules struct {
	w *world

	mu        sync.Mutex
	on        map[string]map[string]bool // machines by task
	zones     map[string]map[string]int  // tasks on machines by job and zone
	used      map[string]float64         // CPUs by team
	starts    int
	cancelled map[string]time.Time // when the user was told
	broken    []string
}

func newRules(w *world) *rules {
	return &rules{
		w: w, on: map[string]map[string]bool{}, zones: map[string]map[string]int{}, used: map[string]float64{}, cancelled: map[string]time.Time{},
	}
}

// breaks records a broken rule.
func (r *rules) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.w.record.add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// violations returns the broken rules.
func (r *rules) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.broken...)
}

// startCount returns the number of tasks that came to be on a machine.
func (r *rules) startCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// started checks the start of a task.
func (r *rules) started(m *machine, t *task) {
	r.w.record.add("%s: %s/%d starts", m.id, t.name, t.attempt)
	r.mu.Lock()
	r.starts++
	if r.on[t.name] == nil {
		r.on[t.name] = map[string]bool{}
	}
	others := len(r.on[t.name])
	r.on[t.name][m.id] = true
	uid := t.spec.UID
	if r.zones[uid] == nil {
		r.zones[uid] = map[string]int{}
	}
	r.zones[uid][m.offer.zone]++
	inZone, all := r.zones[uid][m.offer.zone], 0
	for _, n := range r.zones[uid] {
		all += n
	}
	r.used[t.spec.Team] += t.spec.CPUs
	used := r.used[t.spec.Team]
	told, cancelled := r.cancelled[uid]
	r.mu.Unlock()
	if others > 0 {
		r.breaks("ran_twice", "%s starts on %s while it is on another machine", t.name, m.id)
	}
	for _, team := range r.w.params.teams {
		if team.name == t.spec.Team && used > team.limit+1e-6 {
			r.breaks("quota", "team %s uses %.3f CPUs of %.3f", team.name, used, team.limit)
		}
	}
	if m.offer.spot && !t.spec.SpotAllowed || t.spec.Zone != "" && t.spec.Zone != m.offer.zone ||
		t.spec.SameZone && inZone != all || t.spec.SpreadZones && inZone > (t.spec.Tasks+1)/2 {
		r.breaks("wrong_place", "%s starts on %s in %s, %d of %d tasks are there", t.name, m.id, m.offer.zone, inZone, all)
	}
	if cancelled && time.Since(told) > r.w.params.cancel {
		r.breaks("ran_cancelled", "%s starts on %s %.1f s after its user was told", t.name, m.id, time.Since(told).Seconds())
	}
}

// left records that a task is no longer on a machine.
func (r *rules) left(m *machine, t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.on[t.name], m.id)
	r.zones[t.spec.UID][m.offer.zone]--
	r.used[t.spec.Team] -= t.spec.CPUs
}

// tellCancelled records that a user was told that a job is cancelled, and checks the job when cancel_s has passed.
func (r *rules) tellCancelled(uid string) {
	r.mu.Lock()
	_, known := r.cancelled[uid]
	if !known {
		r.cancelled[uid] = time.Now()
	}
	r.mu.Unlock()
	if known {
		return
	}
	time.AfterFunc(r.w.params.cancel, func() {
		r.mu.Lock()
		var left []string
		for name, machines := range r.on {
			if jobOf(name) == uid && len(machines) > 0 {
				left = append(left, name)
			}
		}
		r.mu.Unlock()
		if len(left) > 0 {
			r.breaks("ran_cancelled", "%v are on machines %v after the user was told", left, r.w.params.cancel)
		}
	})
}
