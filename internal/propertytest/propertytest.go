// Package propertytest runs a package's property tests, which use rapid, with a fixed seed.
package propertytest

import (
	"flag"
	"testing"
)

const (
	seedFlag = "rapid.seed"
	// unsetSeed is the flag's default, by which rapid takes another seed for each run.
	unsetSeed = "0"
	fixedSeed = "20261202"
)

// Main runs a package's tests and returns their exit code; it is called from TestMain. Unless the
// flag rapid.seed asks for another seed, each run draws the same histories, so that a test's result
// does not change from run to run.
func Main(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup(seedFlag); seed != nil && seed.Value.String() == unsetSeed {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
