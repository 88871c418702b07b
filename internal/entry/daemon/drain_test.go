package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestDrain guards against a connection that is kept after an answer during a
// graceful stop. The client could use it in the moment in which it is closed.
func TestDrain(t *testing.T) {
	is := is.New(t)
	s := &server{name: "callers"}
	h := s.closing(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	answer := func() string {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Header().Get("Connection")
	}
	is.Equal(answer(), "")
	s.drain()
	is.Equal(answer(), "close")
}
