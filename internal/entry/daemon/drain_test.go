package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/trial/processes"
)

// TestDrain guards against a connection that is kept open after a response during a
// graceful stop. The client could send a request on it just as it is closed.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f, err := processes.New("", t.TempDir())
	is.NoErr(err)
	address, err := f.FreeAddress()
	is.NoErr(err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s, err := startServer("callers", address, h, entry.Limits{}, "", "", nil, systemclock.Clock{}, zap.NewNop(), make(chan error, 1))
	is.NoErr(err)
	closes := func() bool {
		response, err := http.Get("http://" + address)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.Close
	}
	is.True(!closes())
	s.Drain()
	is.True(closes())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(s.Stop(ctx))
}
