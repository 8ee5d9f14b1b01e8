package job

import "junipershelf/protocol"

// Resources are the resources that a task takes or that a machine provides.
type Resources struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// roundingTolerance allows for rounding errors in sums of fractions.
const roundingTolerance = 1e-6

// maxFitCount is the largest result of FitCount. It exceeds the number of tasks of any job.
const maxFitCount = 1 << 20

// TaskResources returns the resources that each task of a job takes.
func TaskResources(s *protocol.JobSpec) Resources {
	return Resources{CPUs: s.CPUs, Accelerators: s.Accelerators, MemoryGB: s.MemGB}
}

// FitsIn reports whether the available resources include r.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPUs <= available.CPUs+roundingTolerance &&
		r.Accelerators <= available.Accelerators+roundingTolerance &&
		r.MemoryGB <= available.MemoryGB+roundingTolerance
}

// FitCount returns how many tasks that take r each fit in the available resources. It is at least 1 if and
// only if FitsIn reports true, unless a component that r does not need is below 0.
func (r Resources) FitCount(available Resources) int {
	count := maxFitCount
	for _, component := range []struct{ need, available float64 }{
		{r.CPUs, available.CPUs}, {r.Accelerators, available.Accelerators}, {r.MemoryGB, available.MemoryGB},
	} {
		if component.need > 0 {
			count = min(count, int(min((component.available+roundingTolerance)/component.need, maxFitCount)))
		}
	}
	return max(count, 0)
}

// Add returns the sums of the components.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPUs: r.CPUs + o.CPUs, Accelerators: r.Accelerators + o.Accelerators, MemoryGB: r.MemoryGB + o.MemoryGB}
}

// Sub returns the differences of the components, which may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPUs: r.CPUs - o.CPUs, Accelerators: r.Accelerators - o.Accelerators, MemoryGB: r.MemoryGB - o.MemoryGB}
}

// ClampToZero returns the resources with negative components set to zero.
func (r Resources) ClampToZero() Resources {
	return Resources{CPUs: max(r.CPUs, 0), Accelerators: max(r.Accelerators, 0), MemoryGB: max(r.MemoryGB, 0)}
}
