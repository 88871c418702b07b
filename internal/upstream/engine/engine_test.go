package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
)

func upstreamAt(address string) upstream.Upstream {
	return upstream.Upstream{Announcement: upstream.Announcement{ID: fleet.UpstreamID(address), Address: address}}
}

// TestStepResponses guards against a response to another step that is accepted, and
// against an error with a wrong kind.
func TestStepResponses(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		kind       refusal.Kind
	}{
		{"right", `{"request":"r","epoch":2,"position":3,"output":[9]}`, 200, -1},
		{"other request", `{"request":"x","epoch":2,"position":3,"output":[9]}`, 200, refusal.UpstreamFailed},
		{"old epoch", `{"request":"r","epoch":1,"position":3,"output":[9]}`, 200, refusal.UpstreamFailed},
		{"other position", `{"request":"r","epoch":2,"position":2,"output":[9]}`, 200, refusal.UpstreamFailed},
		{"too few outputs", `{"request":"r","epoch":2,"position":3,"output":[]}`, 200, refusal.UpstreamFailed},
		{"truncated", `{"request":"r","epoch":2`, 200, refusal.UpstreamFailed},
		{"too large", strings.Repeat(" ", 1001), 200, refusal.UpstreamFailed},
		{"stale", `{"error":{"code":"staleEpoch"}}`, 409, refusal.Conflict},
		{"overloaded", `{"error":{"code":"overloaded"}}`, 503, refusal.Overloaded},
		{"stopping", `{"error":{"code":"stopping"}}`, 503, refusal.Stopping},
		{"unavailable", `<html>`, 503, refusal.UpstreamFailed},
		{"failed", ``, 500, refusal.UpstreamFailed},
		{"missing", ``, 404, refusal.NotFound},
		{"redirect", ``, 302, refusal.UpstreamFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			d := engine.NewDialer(engine.WithMaxResponseBytes(1000))
			defer d.Close()
			s := upstream.Step{Request: "r", Epoch: 2, Position: 3, Input: []uint64{1}}
			_, err := d.Engine(upstreamAt(server.Listener.Addr().String())).Step(context.Background(), s)
			if c.kind < 0 {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(refusal.KindOf(err), c.kind)
		})
	}
}

// TestSentOnce guards against a call that is sent again after its connection was lost,
// and against a call that may have run but is reported as not run.
func TestSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "kit"} {
			t.Run(method+body, func(t *testing.T) {
				is := is.New(t)
				var calls atomic.Int32
				// The second call on a reused connection reaches the server, which
				// closes the connection without a response.
				address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
					if calls.Add(1) == 1 {
						// Connections are reused only if the response has the call id.
						fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Call-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Call-Id"))
						return true
					}
					return false
				})
				d := engine.NewDialer()
				defer d.Close()
				s := d.Service(upstreamAt(address))
				call := upstream.Call{Method: method, Path: "/orders", Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}}}
				_, err := s.Call(context.Background(), call)
				is.NoErr(err)
				_, err = s.Call(context.Background(), call)
				is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
				is.Equal(calls.Load(), int32(2))
			})
		}
	}
}

// TestNotSent guards against a failed connection that is reported as a call with an
// unknown outcome.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	d := engine.NewDialer()
	_, err = d.Service(upstreamAt(address)).Call(context.Background(), upstream.Call{Method: "POST", Path: "/orders"})
	is.Equal(refusal.KindOf(err), refusal.NoUpstream)
	is.Equal(refusal.KindOf(d.Engine(upstreamAt(address)).Cancel(context.Background(), "r")), refusal.NoUpstream)
}

// TestCallTimeout guards against a call to an unresponsive upstream that never returns.
func TestCallTimeout(t *testing.T) {
	is := is.New(t)
	frozen := make(chan struct{})
	address := serveRaw(t, func(net.Conn, *http.Request) bool {
		<-frozen
		return false
	})
	defer close(frozen)
	d := engine.NewDialer(engine.WithCallTimeout(20 * time.Millisecond))
	defer d.Close()
	_, err := d.Engine(upstreamAt(address)).Describe(context.Background())
	is.Equal(refusal.KindOf(err), refusal.Deadline)
}

// serveRaw parses HTTP/1.1 requests and passes them to respond, which writes the raw
// response and returns whether to keep the connection open. It returns the address of
// the server.
func serveRaw(t *testing.T, respond func(net.Conn, *http.Request) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body := make([]byte, max(r.ContentLength, 0))
					_, _ = r.Body.Read(body)
					if !respond(c, r) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}
