//go:build race

package controller_test

// largeFleetMachines is the number of machines in the large-fleet tests. It is smaller with the race
// detector, which makes them about ten times slower.
const largeFleetMachines = 1000
