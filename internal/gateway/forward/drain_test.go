package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDrain guards against responses that keep their connection open although the
// gateway is draining, against streams that would be lost at the end of the grace
// period, and against clients that get a long Retry-After although other gateways would
// serve them at once. Each case starts the drain before a request or while an upstream
// handles it, and prints the response and the number of attempts.
func TestDrain(t *testing.T) {
	datadriven.RunTest(t, "testdata/drain.txt", func(t *testing.T, d *datadriven.TestData) string {
		var path, key, when string
		d.ScanArgs(t, "path", &path)
		d.ScanArgs(t, "key", &key)
		d.ScanArgs(t, "drain", &when)
		var w *testGateway
		w = newTestGateway(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
			if when == "during" {
				w.handler.StartDrain()
			}
			respond(rw, "id: 1\ndata: 1\n\n")
		})
		if when == "before" {
			w.handler.StartDrain()
		}
		status, header, _, complete := w.post(t, path, key)
		connection := "kept"
		if w.connectionClosed {
			connection = "closed"
		}
		retryAfter := "none"
		if value := header.Get("Retry-After"); value != "" {
			seconds, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			retryAfter = "later"
			if seconds <= 0.1 {
				retryAfter = "at once"
			}
		}
		return fmt.Sprintf("%d, complete %t, connection %s, retry %s, attempts %d\n",
			status, complete, connection, retryAfter, len(w.receivedHeaders()))
	})
}
