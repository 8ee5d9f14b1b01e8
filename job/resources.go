package job

import "junipershelf/protocol"

// Resources is what a task takes of its machine, or what a machine has to give.
type Resources struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// roundingError is how far sums of fractions may miss the whole.
const roundingError = 1e-6

// maxCount is more tasks than any job has.
const maxCount = 1 << 20

// TaskResources returns what each task of a job takes.
func TaskResources(s *protocol.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, Accelerators: s.Accelerators, MemoryGB: s.MemGB}
}

// FitsIn reports whether a room has all of these resources.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPUs <= room.CPUs+roundingError &&
		r.Accelerators <= room.Accelerators+roundingError &&
		r.MemoryGB <= room.MemoryGB+roundingError
}

// Count returns how many tasks that take these resources a room has space for.
func (r Resources) Count(room Resources) int {
	count := maxCount
	for _, part := range []struct{ need, room float64 }{
		{r.CPUs, room.CPUs}, {r.Accelerators, room.Accelerators}, {r.MemoryGB, room.MemoryGB},
	} {
		if part.need > 0 {
			count = min(count, int(min(part.room/part.need+roundingError, maxCount)))
		}
	}
	return max(count, 0)
}

// Add returns the sum by component.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPUs: r.CPUs + o.CPUs, Accelerators: r.Accelerators + o.Accelerators, MemoryGB: r.MemoryGB + o.MemoryGB}
}

// Sub returns the difference by component, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPUs: r.CPUs - o.CPUs, Accelerators: r.Accelerators - o.Accelerators, MemoryGB: r.MemoryGB - o.MemoryGB}
}

// ClampToZero returns the resources with zero in place of what is negative.
func (r Resources) ClampToZero() Resources {
	return Resources{CPUs: max(r.CPUs, 0), Accelerators: max(r.Accelerators, 0), MemoryGB: max(r.MemoryGB, 0)}
}
