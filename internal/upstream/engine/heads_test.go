package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
)

// TestInvalidResponses guards against responses that are no valid HTTP and are returned to a
// caller. The input is a response with the escapes of Go, in which line ends are written out
// and ID stands for the id of the call. Commands:
//
//	respond  the results of a call on a new and on a reused connection
//	cuts     the results if the response ends after each number of bytes but the last
func TestInvalidResponses(t *testing.T) {
	datadriven.RunTest(t, "testdata/heads.txt", func(t *testing.T, d *datadriven.TestData) string {
		response, err := strconv.Unquote(`"` + strings.ReplaceAll(strings.ReplaceAll(d.Input, `"`, `\"`), "\n", "") + `"`)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		if d.Cmd == "respond" {
			return callResult(t, response, false) + callResult(t, response, true)
		}
		for n := range len(response) {
			if r := callResult(t, response[:n], false); r != "new connection: upstreamFailed\n" {
				return fmt.Sprintf("after %d bytes: %s", n, r)
			}
		}
		return "upstreamFailed\n"
	})
}

// callResult calls a service that writes response and closes the connection. If reused is
// set, the connection has carried another call before.
func callResult(t *testing.T, response string, reused bool) string {
	// The first call finds out whether the service echoes the ids of calls, and its
	// connection is not reused.
	warmups, connection := int32(0), "new"
	if reused {
		warmups, connection = 2, "reused"
	}
	var calls atomic.Int32
	address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Call-Id")
		if calls.Add(1) <= warmups {
			_, _ = io.WriteString(c, responseWithID(id, ""))
			return true
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", id))
		return false
	})
	d := engine.NewDialer()
	defer d.Close()
	s := d.Service(upstreamAt(address))
	for range warmups {
		if _, err := s.Call(context.Background(), upstream.Call{Method: http.MethodGet, Path: "/"}); err != nil {
			t.Fatal(err)
		}
	}
	r, err := s.Call(context.Background(), upstream.Call{Method: http.MethodPost, Path: "/"})
	if err != nil {
		return fmt.Sprintf("%s connection: %s\n", connection, refusal.KindOf(err).Response().Code)
	}
	return fmt.Sprintf("%s connection: %d %q\n", connection, r.Status, r.Body)
}
