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

// TestDrain guards against a connection that is kept after an answer during a
// graceful stop. The client could use it in the moment in which it is closed.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f, err := processes.New("", t.TempDir())
	is.NoErr(err)
	address, err := f.Address()
	is.NoErr(err)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s, err := startServer("callers", address, h, entry.Limits{}, "", "", systemclock.Clock{}, zap.NewNop(), make(chan error, 1))
	is.NoErr(err)
	closes := func() bool {
		p, err := http.Get("http://" + address)
		is.NoErr(err)
		is.NoErr(p.Body.Close())
		return p.Close
	}
	is.True(!closes())
	s.Drain()
	is.True(closes())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(s.Stop(ctx))
}
