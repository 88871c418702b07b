//go:build !race

package routing_test

const raceEnabled = false
