//go:build race

package caller_test

// The race detector makes a request about ten times slower.
const cancelledRequests = 1000
