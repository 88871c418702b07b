package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/engine"
)

// Guards against log lines and decision records that are as long as what an engine
// sent instead of an answer.
func TestErrorsQuoteLittle(t *testing.T) {
	long := strings.Repeat("7", 20<<10)
	for _, c := range []struct {
		status int
		body   string
	}{
		{http.StatusConflict, `{"error":{"code":"` + long + `","message":"` + long + `"}}`},
		{http.StatusOK, `{"request":"` + long + `","epoch":2,"position":3,"output":[9]}`},
		{http.StatusOK, `{"request":"r","epoch":` + long + `,"position":3,"output":[9]}`},
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		defer server.Close()
		d := engine.NewDialer()
		defer d.Close()
		s := upstream.Step{Request: "r", Epoch: 2, Position: 3, Input: []uint64{1}}
		_, err := d.Engine(at(server.Listener.Addr().String())).Step(context.Background(), s)
		is.True(err != nil)
		is.True(len(err.Error()) < 1024)
	}
}
