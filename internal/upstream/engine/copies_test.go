package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
)

func responseWithID(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Call-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func responseWithoutID(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// duplicatingServer responds to each call with its path. When the next call arrives on
// the same connection, it first sends the previous response again.
type duplicatingServer struct {
	mu           sync.Mutex
	lastResponse map[net.Conn]string
	// respond returns the raw response to a call with the given id.
	respond func(id, body string) string
}

func (k *duplicatingServer) serve(c net.Conn, r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	text := k.respond(r.Header.Get("X-Call-Id"), r.URL.Path)
	_, _ = fmt.Fprint(c, k.lastResponse[c]+text)
	k.lastResponse[c] = text
	return true
}

// Guards against a duplicate of a response that arrives after its connection was reused
// and is returned to the next caller.
func TestLateDuplicateIsNotResponseToNextCall(t *testing.T) {
	responders := map[string]func(id, body string) string{
		"with call id":    responseWithID,
		"without call id": func(_, body string) string { return responseWithoutID(body) },
	}
	for name, respond := range responders {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := &duplicatingServer{lastResponse: make(map[net.Conn]string), respond: respond}
			d := engine.NewDialer()
			defer d.Close()
			s := d.Service(upstreamAt(serveRaw(t, k.serve)))
			for i := range 4 {
				call := upstream.Call{Method: http.MethodPost, Path: fmt.Sprint("/orders/", i)}
				a, err := s.Call(context.Background(), call)
				if err != nil {
					// The call may have run, but its response is lost.
					is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
					continue
				}
				is.Equal(string(a.Body), call.Path)
				is.Equal(a.Header.Get("X-Call-Id"), "")
			}
		})
	}
}

// Guards against a duplicate of the response to an earlier call that is taken as the
// acceptance of a command.
func TestLateDuplicateDoesNotAcceptCommand(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Call-Id")
		if calls.Add(1) == 1 {
			_, _ = fmt.Fprint(c, responseWithID(id, "{}"))
			return true
		}
		_, _ = fmt.Fprint(c, responseWithID("of the first call", "{}"))
		return true
	})
	d := engine.NewDialer()
	defer d.Close()
	e := d.Engine(upstreamAt(address))
	is.NoErr(e.Cancel(context.Background(), "r"))
	err := e.Command(context.Background(), upstream.Command{ID: "c1", Fence: 1, Kind: upstream.LoadModel})
	is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
	is.Equal(calls.Load(), int32(2))
}

// Guards against a new connection for each call to upstreams that echo the call id, and
// against reused connections to upstreams that don't.
func TestConnectionsAreReusedForResponsesWithCallID(t *testing.T) {
	is := is.New(t)
	for _, reused := range []bool{true, false} {
		var conns sync.Map
		address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
			conns.Store(c, true)
			if reused {
				_, _ = fmt.Fprint(c, responseWithID(r.Header.Get("X-Call-Id"), ""))
				return true
			}
			_, _ = fmt.Fprint(c, responseWithoutID(""))
			return true
		})
		d := engine.NewDialer()
		s := d.Service(upstreamAt(address))
		for range 4 {
			_, err := s.Call(context.Background(), upstream.Call{Method: http.MethodGet, Path: "/"})
			is.NoErr(err)
		}
		d.Close()
		// The first call finds out whether the upstream echoes call ids, and its
		// connection is not reused.
		n := 0
		conns.Range(func(any, any) bool { n++; return true })
		is.Equal(n, map[bool]int{true: 2, false: 4}[reused])
	}
}
