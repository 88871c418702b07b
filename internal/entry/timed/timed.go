// Package timed limits the time that a server spends on reading a request body:
//
//	server := &http.Server{Handler: timed.Body(handler, limit), ReadHeaderTimeout: limit}
package timed

import (
	"io"
	"net/http"
	"time"
)

// Body returns a handler that limits the time for reading a request's body. Before
// net/http sends a response it reads the rest of a small body, so the deadline also
// applies to a handler that does not read the body or failed to read it.
//
// The deadline is removed at the end of the body: if it passed while the response is
// still being prepared, net/http would cancel the request's context. For this reason
// ReadTimeout of http.Server can't be used.
func Body(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(timeout))
			r.Body = &body{ReadCloser: r.Body, controller: controller}
		}
		h.ServeHTTP(w, r)
	})
}

// body is a request body that removes the read deadline at EOF.
type body struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
