//go:build race

package controller_test

// largeFleet is the size of a large fleet where the race detector makes everything some ten
// times slower.
const largeFleet = 1000
