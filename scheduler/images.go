package scheduler

import (
	"time"

	"junipershelf/job"
)

func (s *Scheduler) countImages(m *Machine, by int) {
	for _, i := range m.images {
		s.imageCount[i] += by
	}
}

func (s *Scheduler) imageIndices(names []string) []int32 {
	out := make([]int32, len(names))
	for i, n := range names {
		out[i] = s.imageIndex(n)
	}
	return out
}

func (s *Scheduler) imageIndex(name string) int32 {
	i, ok := s.images[name]
	if !ok {
		i = int32(len(s.images))
		s.images[name] = i
	}
	return i
}

// waitsForImage tells that a job leaves rooms without its image to others for now: the
// fetch would hold the room idle for longer than another is likely to take to
// fall free where the image is.
func (s *Scheduler) waitsForImage(e *jobEntry, now time.Time) bool {
	fetch := s.fetchSeconds(e.live)
	if s.cfg.ImagePatience <= 0 || fetch <= 0 || s.machinesWithImage(e.live.Spec.Image) < e.freeCount/4 {
		return false
	}
	since := e.live.FirstSeen
	if e.servedAt.After(since) {
		since = e.servedAt
	}
	return now.Sub(since).Seconds() < s.cfg.ImagePatience*fetch
}

// fetchSeconds is how long a job's image takes to fetch, in seconds.
func (s *Scheduler) fetchSeconds(l *job.CachedJob) float64 {
	if s.cfg.PullGBPerS == nil {
		return 0
	}
	if rate := s.cfg.PullGBPerS(); rate > 0 {
		return l.Spec.ImageGB / rate
	}
	return 0
}

// machinesWithImage counts the machines that have an image.
func (s *Scheduler) machinesWithImage(image string) int { return s.imageCount[s.imageIndex(image)] }
