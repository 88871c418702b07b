package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/entry/caller"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/report/trail"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// testTimeout limits waits that would otherwise hang a test.
	testTimeout = 30 * time.Second
	// shortTimeout is the read and write timeout in tests of slow clients. With 100 ms, a
	// healthy read could time out on a busy machine.
	shortTimeout = time.Second
	authHeader   = "Authorization: Bearer " + processes.APIKey + "\r\n"
)

// floodingFake implements the parts of the callers' API that a test needs: an executor
// that emits large tokens until the request ends, a gate that admits everything, and a
// service with a large response. It sends to ended when a request has ended.
type floodingFake struct{ ended chan error }

func (f floodingFake) Run(ctx context.Context, _ pipeline.GenerationRequest, emit func(pipeline.Token) error) (pipeline.FinishReason, error) {
	text := strings.Repeat("t", 64<<10)
	for {
		if err := emit(pipeline.Token{Text: text}); err != nil {
			f.ended <- err
			return 0, err
		}
		if ctx.Err() != nil {
			f.ended <- ctx.Err()
			return 0, ctx.Err()
		}
	}
}

func (f floodingFake) Enter(context.Context, admission.Request) (admission.Ticket, error) {
	return f, nil
}

// Done implements admission.Ticket. It also reports the end of a call to the service.
func (f floodingFake) Done() { f.ended <- nil }

func (f floodingFake) Lookup(context.Context, fleet.RequestID, document.Pool, upstream.Call) (upstream.Response, error) {
	return upstream.Response{Status: http.StatusOK, Body: make([]byte, 64<<20)}, nil
}

// startCallers starts a callers' listener with the given limits and returns its address.
func startCallers(t *testing.T, f floodingFake, l entry.Limits) string {
	t.Helper()
	config := &document.Config{
		Models:   map[fleet.ModelID]document.Model{"m": {ID: "m", Team: "alpha", Layers: 4, Pool: "e", MaxTokens: 100}},
		Accounts: map[fleet.AccountID]document.Account{"acc": {ID: "acc", Team: "alpha", Weight: 1}},
		Keys:     map[string]fleet.AccountID{processes.Digest(processes.APIKey): "acc"},
		Pools:    map[fleet.PoolID]document.Pool{"desk": {ID: "desk", Team: "alpha", Kind: document.ServicePool}},
	}
	api := caller.New(caller.Dependencies{
		Config: func() *document.Config { return config }, Gate: f, Executor: f, Lookups: f,
		Trail: trail.New(), Clock: systemclock.Clock{}, Log: zap.NewNop(),
	}, caller.WithLimits(l))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	s, err := startServer("callers", address, api.Handler(), l, "", "", nil, systemclock.Clock{}, zap.NewNop(), make(chan error, 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx) // closes the open connections
	})
	return address
}

// dial opens a connection and sends raw on it.
func dial(t *testing.T, address, raw string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	go func() {
		// The server may respond and close before it has read everything.
		_, _ = io.WriteString(c, raw)
	}()
	return c
}

func postRequest(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, authHeader, len(body), body)
}

const streamRequest = `{"model":"m","prompt":"x","max_tokens":9,"stream":true}`

var shortLimits = entry.Limits{MaxBodyBytes: 4096, MaxHeaderBytes: 4096, ReadTimeout: shortTimeout, WriteTimeout: shortTimeout}

// TestHostileInput guards against input that crashes a listener, gets a response with
// the wrong status, or occupies a connection indefinitely.
func TestHostileInput(t *testing.T) {
	longLimits := shortLimits
	longLimits.ReadTimeout, longLimits.WriteTimeout = testTimeout, testTimeout
	addresses := map[bool]string{
		false: startCallers(t, floodingFake{make(chan error, 9)}, longLimits),
		true:  startCallers(t, floodingFake{make(chan error, 9)}, shortLimits),
	}
	for name, c := range map[string]struct {
		raw    string
		status int // 0: the connection is closed without a response
	}{
		"huge body":         {postRequest("/v1/completions", strings.Repeat("x", 1<<20)), 413},
		"huge chunked body": {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + authHeader + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 3) + "0\r\n\r\n", 413},
		"huge header":       {"GET /v1/models HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		"slow header":       {"GET /v1/models HTTP/1.1\r\nHost:", 0},
		"slow body":         {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + authHeader + "Content-Length: 100\r\n\r\n{", 400},
		"slow body, no key": {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", 401},
		"broken JSON":       {postRequest("/v1/completions", `{"model":"m",`), 400},
		"bad UTF-8":         {postRequest("/v1/completions", "{\"model\":\"m\",\"prompt\":\"\xff\"}"), 400},
		"not HTTP":          {"\x16\x03\x01\x00\x00\r\n\r\n", 400},
		"two lengths":       {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dial(t, addresses[strings.HasPrefix(name, "slow")], c.raw)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.status == 0 {
				is.True(err != nil)
				is.True(!timedOut(err)) // the server closed the connection
				return
			}
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// TestStalledReader guards against a caller that stops reading and thereby occupies an
// engine, a place in the queue and memory indefinitely.
func TestStalledReader(t *testing.T) {
	for name, raw := range map[string]string{
		"stream": postRequest("/v1/completions", streamRequest),
		"answer": "GET /services/desk/x HTTP/1.1\r\nHost: x\r\n" + authHeader + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := floodingFake{make(chan error, 9)}
			dial(t, startCallers(t, f, shortLimits), raw)
			awaitEnd(t, f)
		})
	}
}

// TestCallerDisconnects guards against a generation that continues after its caller
// has disconnected.
func TestCallerDisconnects(t *testing.T) {
	f := floodingFake{make(chan error, 9)}
	// The write timeout is too long to end the request within the test.
	conn := dial(t, startCallers(t, f, entry.Limits{WriteTimeout: time.Hour}), postRequest("/v1/completions", streamRequest))
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	awaitEnd(t, f)
}

func awaitEnd(t *testing.T, f floodingFake) {
	t.Helper()
	select {
	case <-f.ended:
	case <-time.After(testTimeout):
		t.Fatal("the request did not end")
	}
}

// TestIdleConnections guards against idle connections that lock callers out
// permanently, and against more open connections than the limit.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	const maxConnections = 500
	address := startCallers(t, floodingFake{make(chan error, 9)}, entry.Limits{MaxConnections: maxConnections, ReadTimeout: shortTimeout, IdleTimeout: shortTimeout})
	for range 2000 {
		dial(t, address, "")
	}
	// The listener closes the idle connections in batches of up to maxConnections until
	// it accepts this one.
	conn := dial(t, address, "GET /v1/models HTTP/1.1\r\nHost: x\r\n"+authHeader+"\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
}
