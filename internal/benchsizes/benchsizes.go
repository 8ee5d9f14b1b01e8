// Package benchsizes runs benchmarks at the fleet sizes that docs/scale.md compares.
package benchsizes

import (
	"fmt"
	"testing"
)

// Sizes are the fleet sizes, in machines: those of the two real deployments, the largest supported
// size, and 1.5 times that size.
var Sizes = []int{600, 1200, 4000, 6000}

// Properties of the benchmarked fleets, the same at each size.
const (
	SlotsPerMachine = 8 // concurrent tasks per machine
	Owners          = 3 // controllers that own the fleet's machines
)

// Run runs a benchmark at each size, as a sub-benchmark named after the size.
func Run(b *testing.B, run func(b *testing.B, machines int)) {
	b.Helper()
	for _, machines := range Sizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			b.Helper()
			run(b, machines)
		})
	}
}
