//go:build !race

package controller_test

// largeFleetMachines is the size that is served, in the tests of a large fleet.
const largeFleetMachines = 4000
