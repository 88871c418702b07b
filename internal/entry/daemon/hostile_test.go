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
	// hung bounds what would otherwise hang a test.
	hung = 30 * time.Second
	// short is the limit of reads and writes in tests of slow peers. A limit of
	// 100 ms could end a healthy read on a busy machine.
	short = time.Second
	auth  = "Authorization: Bearer " + processes.APIKey + "\r\n"
)

// flood is a courier that emits large tokens until the request ends, a gate, and
// a service with a large answer.
type flood struct{ ended chan error }

func (f flood) Run(ctx context.Context, _ pipeline.Generation, emit func(pipeline.Piece) error) (pipeline.FinishReason, error) {
	text := strings.Repeat("t", 64<<10)
	for {
		if err := emit(pipeline.Piece{Text: text}); err != nil {
			f.ended <- err
			return 0, err
		}
		if ctx.Err() != nil {
			f.ended <- ctx.Err()
			return 0, ctx.Err()
		}
	}
}

func (f flood) Enter(context.Context, admission.Request) (admission.Ticket, error) { return f, nil }

// Done reports the end of a call to the service, too.
func (f flood) Done() { f.ended <- nil }

func (f flood) Lookup(context.Context, fleet.RequestID, document.Pool, upstream.Call) (upstream.Response, error) {
	return upstream.Response{Status: http.StatusOK, Body: make([]byte, 64<<20)}, nil
}

// open starts a callers' listener with short limits and returns its address.
func open(t *testing.T, f flood, l entry.Limits) string {
	t.Helper()
	config := &document.Config{
		Models:   map[fleet.ModelID]document.Model{"m": {ID: "m", Team: "alpha", Layers: 4, Pool: "e", MaxTokens: 100}},
		Accounts: map[fleet.AccountID]document.Account{"acc": {ID: "acc", Team: "alpha", Weight: 1}},
		Keys:     map[string]fleet.AccountID{processes.Digest(processes.APIKey): "acc"},
		Pools:    map[fleet.PoolID]document.Pool{"desk": {ID: "desk", Team: "alpha", Kind: document.ServicePool}},
	}
	api := caller.New(caller.Parts{
		Config: func() *document.Config { return config }, Gate: f, Courier: f, Lookups: f,
		Trail: trail.New(), Clock: systemclock.Clock{}, Log: zap.NewNop(),
	}, caller.WithLimits(l))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	s, err := startServer("callers", address, api.Handler(), l, "", "", systemclock.Clock{}, zap.NewNop(), make(chan error, 1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.Stop(ctx) // cuts off what is open
	})
	return address
}

// dial connects and sends raw bytes.
func dial(t *testing.T, address, raw string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(hung))
	go func() {
		// The server may answer and close before it has read everything.
		_, _ = io.WriteString(c, raw)
	}()
	return c
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, auth, len(body), body)
}

const stream = `{"model":"m","prompt":"x","max_tokens":9,"stream":true}`

var shortLimits = entry.Limits{MaxBody: 4096, MaxHeader: 4096, ReadTimeout: short, WriteTimeout: short}

// TestHostileInput guards against input that crashes a listener, is answered
// with the wrong status, or holds a connection without end.
func TestHostileInput(t *testing.T) {
	prompt := shortLimits
	prompt.ReadTimeout, prompt.WriteTimeout = hung, hung
	addresses := map[bool]string{
		false: open(t, flood{make(chan error, 9)}, prompt),
		true:  open(t, flood{make(chan error, 9)}, shortLimits),
	}
	for name, c := range map[string]struct {
		raw    string
		status int // 0: the connection is closed without an answer
	}{
		"huge body":         {post("/v1/completions", strings.Repeat("x", 1<<20)), 413},
		"huge chunked body": {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("x", 4096)+"\r\n", 3) + "0\r\n\r\n", 413},
		"huge header":       {"GET /v1/models HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", 431},
		"slow header":       {"GET /v1/models HTTP/1.1\r\nHost:", 0},
		"slow body":         {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 100\r\n\r\n{", 400},
		"slow body, no key": {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", 401},
		"broken JSON":       {post("/v1/completions", `{"model":"m",`), 400},
		"bad UTF-8":         {post("/v1/completions", "{\"model\":\"m\",\"prompt\":\"\xff\"}"), 400},
		"not HTTP":          {"\x16\x03\x01\x00\x00\r\n\r\n", 400},
		"two lengths":       {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn := dial(t, addresses[strings.HasPrefix(name, "slow")], c.raw)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if c.status == 0 {
				is.True(err != nil)
				is.True(!timedOut(err)) // the server closed the connection
				return
			}
			is.NoErr(err)
			is.Equal(answer.StatusCode, c.status)
		})
	}
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// TestReaderThatStops guards against a caller that stops reading and so holds an
// engine, a place in the queue and memory without end.
func TestReaderThatStops(t *testing.T) {
	for name, raw := range map[string]string{
		"stream": post("/v1/completions", stream),
		"answer": "GET /services/desk/x HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := flood{make(chan error, 9)}
			dial(t, open(t, f, shortLimits), raw)
			awaitEnd(t, f)
		})
	}
}

// TestCallerThatLeaves guards against a generation that goes on without its
// caller.
func TestCallerThatLeaves(t *testing.T) {
	f := flood{make(chan error, 9)}
	// The write timeout is too long to end the request.
	conn := dial(t, open(t, f, entry.Limits{WriteTimeout: time.Hour}), post("/v1/completions", stream))
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	awaitEnd(t, f)
}

func awaitEnd(t *testing.T, f flood) {
	t.Helper()
	select {
	case <-f.ended:
	case <-time.After(hung):
		t.Fatal("the request did not end")
	}
}

// TestIdleConnections guards against idle connections that shut callers out for
// good, and against more open connections than the limit.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	const bound = 500
	address := open(t, flood{make(chan error, 9)}, entry.Limits{MaxConnections: bound, ReadTimeout: short, IdleTimeout: short})
	for range 2000 {
		dial(t, address, "")
	}
	// The listener closes the idle ones in groups of the bound, until it is the
	// turn of this one.
	conn := dial(t, address, "GET /v1/models HTTP/1.1\r\nHost: x\r\n"+auth+"\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
}
