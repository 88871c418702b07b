//go:build !race

package caller_test

// cancelledRequests is the number of requests of TestCancelledRequests.
const cancelledRequests = 10000
