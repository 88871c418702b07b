//go:build race

package pool_test

const raceEnabled = true
