//go:build !race

package caller_test

const cancelledRequests = 10000
