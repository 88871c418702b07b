package engine_test

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
)

// endlessBytes is more than the socket buffers of a connection hold. If an upstream could
// write this much, the client read its response without a limit.
const endlessBytes = 64 << 20

// Guards against a daemon that runs out of memory, or waits until its deadline, while an
// upstream sends an endless response. The call was sent, so it may have run.
func TestEndlessResponse(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, start, more string }{
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"no status line", "", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"chunks", chunked, "1\r\nx\r\n"},
		{"chunk extension", chunked + "1;", "x"},
		{"trailer lines", chunked + "0\r\n", "A: x\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			writeFailed := make(chan bool, 1)
			address := serveRaw(t, func(k net.Conn, _ *http.Request) bool {
				block := strings.Repeat(c.more, 1+(64<<10)/len(c.more))
				_, err := io.WriteString(k, c.start)
				for n := 0; n < endlessBytes && err == nil; n += len(block) {
					_, err = io.WriteString(k, block)
				}
				writeFailed <- err != nil
				return false
			})
			d := engine.NewDialer(engine.WithMaxResponseBytes(1000))
			defer d.Close()
			_, err := d.Service(upstreamAt(address)).Call(context.Background(), upstream.Call{Method: "POST", Path: "/orders"})
			is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
			is.True(len(err.Error()) < 512)
			is.True(<-writeFailed)
		})
	}
}

// Guards against calls that each use megabytes of memory for a response header.
func TestLargeResponseHeader(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("a", 128<<10))
	}))
	defer server.Close()
	d := engine.NewDialer()
	defer d.Close()
	_, err := d.Service(upstreamAt(server.Listener.Addr().String())).Call(context.Background(), upstream.Call{Method: "GET", Path: "/"})
	is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
}

// Guards against log lines and decision records that contain the whole of an oversized
// error or malformed response.
func TestErrorExcerptsAreShort(t *testing.T) {
	long := strings.Repeat("7", 20<<10)
	for _, c := range []struct {
		status int
		body   string
	}{
		{http.StatusConflict, `{"error":{"code":"` + long + `","message":"` + long + `"}}`},
		{http.StatusOK, `{"request":"` + long + `","epoch":2,"position":3,"output":[9]}`},
		{http.StatusOK, `{"request":"r","epoch":` + long + `,"position":3,"output":[9]}`},
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		defer server.Close()
		d := engine.NewDialer()
		defer d.Close()
		s := upstream.Step{Request: "r", Epoch: 2, Position: 3, Input: []uint64{1}}
		_, err := d.Engine(upstreamAt(server.Listener.Addr().String())).Step(context.Background(), s)
		is.True(err != nil)
		is.True(len(err.Error()) < 1024)
	}
}

// Guards against steps and commands that each read up to 64 MiB although a valid response
// has a few bytes, and against a limit that the response to a long prompt exceeds.
func TestResponseLimitDependsOnCall(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("x", 128<<10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var s upstream.Step
		if r.Method == http.MethodPost {
			_ = json.NewDecoder(r.Body).Decode(&s)
		}
		result := upstream.StepResult{Request: s.Request, Epoch: s.Epoch, Position: s.Position, Output: s.Input}
		if len(s.Input) < 2 {
			result.Token = text
		}
		_ = json.NewEncoder(w).Encode(result)
	}))
	defer server.Close()
	d := engine.NewDialer()
	defer d.Close()
	c := d.Client(upstreamAt(server.Listener.Addr().String()))
	_, err := c.Step(context.Background(), upstream.Step{Request: "r", Input: []uint64{1}})
	is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
	_, err = c.Describe(context.Background())
	is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
	is.Equal(refusal.KindOf(c.Cancel(context.Background(), "r")), refusal.UpstreamFailed)
	is.Equal(refusal.KindOf(c.Command(context.Background(), upstream.Command{})), refusal.UpstreamFailed)
	long := make([]uint64, 100_000)
	for i := range long {
		long[i] = math.MaxUint64
	}
	r, err := c.Step(context.Background(), upstream.Step{Request: "r", Input: long})
	is.NoErr(err)
	is.Equal(len(r.Output), len(long))
}
