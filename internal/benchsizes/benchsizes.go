// Package benchsizes runs benchmarks at the fleet sizes that are compared in docs/scale.md.
package benchsizes

import (
	"fmt"
	"testing"
)

// Sizes are the deployments so far, the largest fleet that is served, and half as many again.
var Sizes = []int{600, 1200, 4000, 6000}

// The fleet that is measured: three owners, with so many tasks on each machine.
const (
	SlotsPerMachine = 8
	Owners          = 3
)

// Run runs a benchmark at each size.
func Run(b *testing.B, run func(b *testing.B, machines int)) {
	for _, machines := range Sizes {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) { run(b, machines) })
	}
}
