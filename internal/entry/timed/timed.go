// Package timed bounds the time in which a listener reads a request:
//
//	server := &http.Server{Handler: timed.Body(handler, limit), ReadHeaderTimeout: limit}
package timed

import (
	"io"
	"net/http"
	"time"
)

// Body returns a handler that bounds the time of a request's body. Before
// net/http sends an answer it reads the rest of a small body, so the deadline
// also holds for a handler that does not read the body, or failed to.
//
// The deadline is removed at the end of the body: net/http cancels the request's
// context when it passes while the answer is still being prepared, which is why
// ReadTimeout of http.Server is of no use.
func Body(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &body{ReadCloser: r.Body, control: control}
		}
		h.ServeHTTP(w, r)
	})
}

// body removes the read deadline at its end.
type body struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
