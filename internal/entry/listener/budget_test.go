package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
)

// headLimit and bodyLimit are the limits of the deployments in bytes, smallMemory the
// memory of their smallest machine.
const (
	headLimit   = 16384
	bodyLimit   = 4 << 20
	smallMemory = 112 << 20
)

// serveBudget starts a server whose handler reads the body and responds 200, or 503 if the
// body does not fit, and returns its address. The path /hold waits for release.
func serveBudget(t *testing.T, b *Budget, release <-chan struct{}) string {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0")
	is.NoErr(err)
	s := New("test", l, &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/hold" {
			<-release
		}
		if refusal.KindOf(err) == refusal.Overloaded {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, n)
	})}, make(clock), zap.NewNop(), WithBudget(b), WithLimits(func() Limits { return Limits{HeadBytes: headLimit} }))
	t.Cleanup(func() { _ = s.http.Close() })
	return l.Addr().String()
}

func connect(t *testing.T, address, sent string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(c, sent) }() // the server may refuse before it has read everything
	return c
}

// status returns the status of the response on a connection, or 0 if there is none, and
// closes the connection.
func status(c net.Conn) int {
	defer func() { _ = c.Close() }()
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const ordinaryRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestLargestLegalRequests guards against limits that refuse a request which the
// configuration allows, on the smallest machine.
func TestLargestLegalRequests(t *testing.T) {
	const first = "POST / HTTP/1.1\r\nHost: h\r\n"
	fill := func(line string) string {
		return first + strings.Repeat(line, (headLimit-len(first)-2)/len(line)) + "\r\n"
	}
	for name, request := range map[string]string{
		"shortest lines":  fill("a:\n"),
		"repeated name":   fill("a:\r\n"),
		"different names": first + distinctLines(headLimit-len(first)-2) + "\r\n",
		"long name":       first + strings.Repeat("n", headLimit-len(first)-5) + ":\r\n\r\n",
		"long value":      first + "N: " + strings.Repeat("v", headLimit-len(first)-7) + "\r\n\r\n",
		"body":            first + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit) + strings.Repeat("x", bodyLimit),
		"chunked body":    first + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", bodyLimit) + strings.Repeat("x", bodyLimit) + "\r\n0\r\n\r\n",
		"trailers":        first + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + strings.Repeat("a: b\r\n", 500) + "\r\n",
		"pipelined heads": strings.Repeat(fill("a:\r\n"), 3),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(smallMemory, 0, systemclock.Clock{}, zap.NewNop())
			c := connect(t, serveBudget(t, b, nil), request)
			is.Equal(status(c), http.StatusOK)
			for r := range reasonCount {
				is.Equal(b.counts[r], uint64(0))
			}
		})
	}
}

// TestHeadLimits guards against heads that are read without end, and against a missing
// response to the client.
func TestHeadLimits(t *testing.T) {
	for name, tc := range map[string]struct {
		sent   string
		reason Reason
	}{
		"bytes":       {"GET / HTTP/1.1\r\nN: " + strings.Repeat("v", headLimit+headMargin), HeadBytes},
		"empty lines": {strings.Repeat("\r\n", maxEmptyLines+1), EmptyLines},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(smallMemory, 0, systemclock.Clock{}, zap.NewNop())
			status := status(connect(t, serveBudget(t, b, nil), tc.sent))
			is.True(status == http.StatusRequestHeaderFieldsTooLarge || status == 0) // 0 if the rest resets the connection
			is.Equal(b.counts[tc.reason], uint64(1))
		})
	}
}

// TestHeadMemory guards against incomplete heads that together take more than the budget,
// and against ordinary requests that are not answered meanwhile.
func TestHeadMemory(t *testing.T) {
	is := is.New(t)
	b := NewBudget(smallMemory, 0, systemclock.Clock{}, zap.NewNop())
	b.maxHeads = 4 << 20
	address := serveBudget(t, b, nil)
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + distinctLines(headLimit-100)
	const held = 40 // each is charged 0.55 MB
	conns := make([]net.Conn, 0, held)
	for range held {
		conns = append(conns, connect(t, address, head))
		is.Equal(status(connect(t, address, ordinaryRequest)), http.StatusOK)
	}
	await(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.counts[HeadMemory] > held/2
	})
	b.mu.Lock()
	is.True(b.heads <= b.maxHeads)
	b.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
	await(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 0 && b.heads == 0 && b.closing == 0 && len(b.waiting) == 0
	})
	is.True(testutil.CollectAndCount(b) > 0)
}

// TestActiveRequestsStay guards against closing a connection whose request is in progress.
func TestActiveRequestsStay(t *testing.T) {
	is := is.New(t)
	b := NewBudget(smallMemory, 0, systemclock.Clock{}, zap.NewNop())
	b.maxConnections = 4
	release := make(chan struct{})
	address := serveBudget(t, b, release)
	active := connect(t, address, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	await(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.open == 1 && len(b.waiting) == 0
	})
	for range 20 {
		connect(t, address, "GET / HTTP/1.1\r\n")
	}
	is.Equal(status(connect(t, address, ordinaryRequest)), http.StatusOK)
	b.mu.Lock()
	is.True(b.counts[Connections] > 0)
	is.True(b.open <= 4+4/closingShare)
	b.mu.Unlock()
	close(release)
	is.Equal(status(active), http.StatusOK)
}

// TestBodyMemory guards against bodies that together take more than the budget, and
// against a charge that remains after a request.
func TestBodyMemory(t *testing.T) {
	is := is.New(t)
	b := NewBudget(smallMemory, 0, systemclock.Clock{}, zap.NewNop())
	b.maxBodies = 3 * bodyLimit
	release := make(chan struct{})
	address := serveBudget(t, b, release)
	post := func(path string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, bodyLimit) + strings.Repeat("x", bodyLimit)
	}
	held := connect(t, address, post("/hold"))
	await(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.bodies == bodyCost*bodyLimit
	})
	refused := status(connect(t, address, post("/")))
	is.True(refused == http.StatusServiceUnavailable || refused == 0) // 0 if the rest resets the connection
	close(release)
	is.Equal(status(held), http.StatusOK)
	await(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.bodies == 0
	})
	is.Equal(status(connect(t, address, post("/"))), http.StatusOK)
}
