//go:build race

package controller_test

// largeFleetMachines is the size of a large fleet where the race detector makes everything some ten
// times slower.
const largeFleetMachines = 1000
