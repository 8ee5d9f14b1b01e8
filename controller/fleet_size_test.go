//go:build !race

package controller_test

// largeFleet is the size that is served, in the tests of a large fleet.
const largeFleet = 4000
