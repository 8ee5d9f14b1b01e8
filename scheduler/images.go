package scheduler

import (
	"junipershelf/job"
	"time"
)

func (d *Scheduler) countImages(m *Machine, by int) {
	for _, i := range m.images {
		d.imageCount[i] += by
	}
}

func (d *Scheduler) imageIndices(names []string) []int32 {
	out := make([]int32, len(names))
	for i, n := range names {
		out[i] = d.imageIndex(n)
	}
	return out
}

func (d *Scheduler) imageIndex(name string) int32 {
	i, ok := d.images[name]
	if !ok {
		i = int32(len(d.images))
		d.images[name] = i
	}
	return i
}

// waitsForImage tells that a job leaves rooms without its image to others for now: the
// fetch would hold the room idle for longer than another is likely to take to
// fall free where the image is.
func (d *Scheduler) waitsForImage(e *jobEntry, now time.Time) bool {
	fetch := d.fetchSeconds(e.live)
	if d.cfg.ImagePatience <= 0 || fetch <= 0 || d.machinesWithImage(e.live.Spec.Image) < e.freeCount/4 {
		return false
	}
	since := e.live.FirstSeen
	if e.servedAt.After(since) {
		since = e.servedAt
	}
	return now.Sub(since).Seconds() < d.cfg.ImagePatience*fetch
}

// fetchSeconds is how long a job's image takes to fetch, in seconds.
func (d *Scheduler) fetchSeconds(l *job.Live) float64 {
	if d.cfg.PullGBPerS == nil {
		return 0
	}
	if rate := d.cfg.PullGBPerS(); rate > 0 {
		return l.Spec.ImageGB / rate
	}
	return 0
}

// machinesWithImage counts the machines that have an image.
func (d *Scheduler) machinesWithImage(image string) int { return d.imageCount[d.imageIndex(image)] }
