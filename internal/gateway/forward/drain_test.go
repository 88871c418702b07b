package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDrain guards against answers that keep their connection though the gateway has
// begun to drain, against streams that the end of the grace time would lose, and
// against clients that wait though other gateways would serve them at once.
// Each case makes the gateway drain before a request, or while an upstream works on
// it, and tells the answer and the sends.
func TestDrain(t *testing.T) {
	datadriven.RunTest(t, "testdata/drain.txt", func(t *testing.T, d *datadriven.TestData) string {
		var path, key, when string
		d.ScanArgs(t, "path", &path)
		d.ScanArgs(t, "key", &key)
		d.ScanArgs(t, "drain", &when)
		var w *world
		w = newWorld(t, 1, func(_ int, rw http.ResponseWriter, _ *http.Request) {
			if when == "during" {
				w.handler.Close()
			}
			ok(rw, "id: 1\ndata: 1\n\n")
		})
		if when == "before" {
			w.handler.Close()
		}
		status, header, _, complete := w.call(t, path, key)
		connection := "kept"
		if w.closes {
			connection = "closed"
		}
		back := "no"
		if after := header.Get("Retry-After"); after != "" {
			seconds, err := strconv.ParseFloat(after, 64)
			if err != nil {
				t.Fatal(err)
			}
			back = "later"
			if seconds <= 0.1 {
				back = "at once"
			}
		}
		return fmt.Sprintf("%d, complete %t, connection %s, may come back: %s, sends %d\n",
			status, complete, connection, back, len(w.headers()))
	})
}
