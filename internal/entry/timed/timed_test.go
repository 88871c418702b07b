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
	// limit is the time for a body. A much shorter one could end a healthy read on a
	// busy machine.
	limit = time.Second
	// hung bounds what would otherwise hang a test.
	hung = 30 * time.Second
)

// handle reads a body unless it should not, and then works until after the limit.
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
	case <-time.After(2 * limit):
	}
}

// Guards against a body that does not come and holds its connection without end,
// whether the handler reads it or not, and against a deadline that ends a request
// whose body has come.
func TestBody(t *testing.T) {
	s := httptest.NewServer(timed.Body(http.HandlerFunc(handle), limit))
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
			k, err := net.Dial("tcp", s.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = k.Close() }()
			is.NoErr(k.SetDeadline(time.Now().Add(hung)))
			_, err = io.WriteString(k, "POST "+c.path+" HTTP/1.1\r\nHost: h\r\n"+c.text)
			is.NoErr(err)
			p, err := http.ReadResponse(bufio.NewReader(k), nil)
			is.NoErr(err)
			is.Equal(p.StatusCode, c.status)
		})
	}
}
