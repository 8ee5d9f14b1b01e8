// Package propertytest runs a package's property tests, which use the library rapid, with a fixed
// seed.
package propertytest

import (
	"flag"
	"testing"
)

const (
	seedFlag = "rapid.seed"
	// unsetSeed is the flag's default, with which rapid uses a random seed for each run.
	unsetSeed = "0"
	fixedSeed = "20261202"
)

// Main runs a package's tests and returns the exit code for TestMain. Unless the flag rapid.seed
// is set, each run uses the same seed, so that a test's result does not vary between runs of the
// same code.
func Main(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup(seedFlag); seed != nil && seed.Value.String() == unsetSeed {
		if err := flag.Set(seedFlag, fixedSeed); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
