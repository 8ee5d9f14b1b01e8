//go:build !race

package controller_test

// largeFleetMachines is the number of machines in the large-fleet tests: the largest supported fleet.
const largeFleetMachines = 4000
