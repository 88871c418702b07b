package timed_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/entry/timed"
)

const (
	// bodyTimeout is the timeout for bodies. With a much shorter one, a healthy read could
	// time out on a busy machine.
	bodyTimeout = time.Second
	// testTimeout limits waits that would otherwise hang a test.
	testTimeout = 30 * time.Second
)

// handle reads the body, unless the path is /unread, and then works for longer than
// bodyTimeout.
func handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	select {
	case <-r.Context().Done():
		w.WriteHeader(http.StatusInternalServerError)
	case <-time.After(2 * bodyTimeout):
	}
}

// TestBody guards against an incomplete body that occupies its connection indefinitely,
// whether the handler reads it or not, and against a deadline that aborts a request
// whose body is complete.
func TestBody(t *testing.T) {
	s := httptest.NewServer(timed.Body(http.HandlerFunc(handle), bodyTimeout))
	t.Cleanup(s.Close)
	for _, c := range []struct {
		name, path, text string
		status           int
	}{
		{"unread", "/unread", "Content-Length: 5\r\n\r\nx", http.StatusOK},
		{"unread chunks", "/unread", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", http.StatusOK},
		{"slow", "/read", "Content-Length: 5\r\n\r\nx", http.StatusRequestTimeout},
		{"slow chunks", "/read", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", http.StatusRequestTimeout},
		{"whole", "/read", "Content-Length: 1\r\n\r\nx", http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\n"+c.text)
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
}
