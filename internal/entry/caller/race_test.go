//go:build race

package caller_test

// cancelledRequests is the number of requests of TestCancelledRequests. It is a
// tenth of the number without the race detector, which makes a request about ten
// times slower.
const cancelledRequests = 1000
