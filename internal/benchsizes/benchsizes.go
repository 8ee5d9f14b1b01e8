// Package benchsizes runs benchmarks at the fleet sizes that docs/scale.md compares.
package benchsizes

import (
	"fmt"
	"testing"
)

// Sizes are the numbers of machines: of the two deployments, of the largest fleet that is served,
// and 1.5 times as many.
var Sizes = []int{600, 1200, 4000, 6000}

// The fleet that benchmarks use at each size.
const (
	SlotsPerMachine = 8 // tasks that run on a machine at a time
	Owners          = 3 // controllers that own its machines
)

// Run runs a benchmark at each size, as a sub-benchmark named after it.
func Run(b *testing.B, run func(b *testing.B, machines int)) {
	b.Helper()
	for _, machines := range Sizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			b.Helper()
			run(b, machines)
		})
	}
}
