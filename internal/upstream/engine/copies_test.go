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

func named(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Call-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func unnamed(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// copier answers each call with its path. Once the next call on the connection has
// come, it sends the answer before again, ahead of the right one.
type copier struct {
	mu   sync.Mutex
	last map[net.Conn]string
	// answer returns an answer to a call with an id.
	answer func(id, body string) string
}

func (k *copier) serve(c net.Conn, r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	text := k.answer(r.Header.Get("X-Call-Id"), r.URL.Path)
	_, _ = fmt.Fprint(c, k.last[c]+text)
	k.last[c] = text
	return true
}

// Guards against a second copy of an answer that comes late, on a connection that is in
// use again, and goes to the next caller.
func TestLateCopyIsNoAnswerToNextCall(t *testing.T) {
	answers := map[string]func(id, body string) string{
		"named":   named,
		"unnamed": func(_, body string) string { return unnamed(body) },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := &copier{last: make(map[net.Conn]string), answer: answer}
			d := engine.NewDialer()
			defer d.Close()
			s := d.Service(at(serveRaw(t, k.serve)))
			for i := range 4 {
				call := upstream.Call{Method: http.MethodPost, Path: fmt.Sprint("/orders/", i)}
				a, err := s.Call(context.Background(), call)
				if err != nil {
					// The order may have run, and nobody learns of its answer.
					is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
					continue
				}
				is.Equal(string(a.Body), call.Path)
				is.Equal(a.Header.Get("X-Call-Id"), "")
			}
		})
	}
}

// Guards against a copy of the answer to one call that counts as the acceptance of a
// command.
func TestLateCopyIsNoAcceptance(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Call-Id")
		if calls.Add(1) == 1 {
			_, _ = fmt.Fprint(c, named(id, "{}"))
			return true
		}
		_, _ = fmt.Fprint(c, named("of the first call", "{}"))
		return true
	})
	d := engine.NewDialer()
	defer d.Close()
	e := d.Engine(at(address))
	is.NoErr(e.Cancel(context.Background(), "r"))
	err := e.Command(context.Background(), upstream.Command{ID: "c1", Fence: 1, Kind: upstream.LoadModel})
	is.Equal(refusal.KindOf(err), refusal.UpstreamFailed)
	is.Equal(calls.Load(), int32(2))
}

// Guards against a connection for each call to upstreams that name the call in their
// answers, and against kept ones to others.
func TestConnectionsAreKeptForNamedAnswers(t *testing.T) {
	is := is.New(t)
	for _, kept := range []bool{true, false} {
		var conns sync.Map
		address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
			conns.Store(c, true)
			if kept {
				_, _ = fmt.Fprint(c, named(r.Header.Get("X-Call-Id"), ""))
				return true
			}
			_, _ = fmt.Fprint(c, unnamed(""))
			return true
		})
		d := engine.NewDialer()
		s := d.Service(at(address))
		for range 4 {
			_, err := s.Call(context.Background(), upstream.Call{Method: http.MethodGet, Path: "/"})
			is.NoErr(err)
		}
		d.Close()
		// The first call finds out whether the upstream names calls.
		n := 0
		conns.Range(func(any, any) bool { n++; return true })
		is.Equal(n, map[bool]int{true: 2, false: 4}[kept])
	}
}
