package partition

import (
	"maps"
	"time"
)

// replyLifetime is the time after which an agent drops a reply, measured from when it sent the heartbeat. A copy
// of a reply cannot take effect later than this after the reply was sent.
const replyLifetime = 4 * time.Second

// sentStarts records when start commands were last sent to a machine, by attempt, for as long as a copy of the
// reply may arrive. An agent ignores a start that it has carried out, until it is told to forget the
// task: so it must not be told while a copy may arrive, which would start the task again. A new owner need
// not know: agents ignore what earlier owners sent.
type sentStarts map[uint64]time.Time

// record records that the start of an attempt is sent.
func (s *sentStarts) record(attempt uint64, now time.Time) {
	if *s == nil {
		*s = sentStarts{}
	}
	maps.DeleteFunc(*s, func(_ uint64, sent time.Time) bool { return now.Sub(sent) >= replyLifetime })
	(*s)[attempt] = now
}

// mayArrive reports whether a copy of the reply with the start of an attempt may still take effect.
func (s sentStarts) mayArrive(attempt uint64, now time.Time) bool {
	sent, recorded := s[attempt]
	return recorded && now.Sub(sent) < replyLifetime
}
