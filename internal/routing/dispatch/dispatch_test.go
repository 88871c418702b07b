package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/routing/dispatch"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// fakeServices implements the upstreams of one pool. Each call returns the next
// outcome of the test case: an HTTP status or the code of an error kind.
type fakeServices struct {
	count     int
	outcomes  []string
	calledIDs []fleet.UpstreamID
	budget    int
}

func (s *fakeServices) Usable(fleet.PoolID, time.Time) []upstream.Upstream {
	var list []upstream.Upstream
	for i := range s.count {
		id := fleet.UpstreamID(fmt.Sprintf("s%d", i+1))
		list = append(list, upstream.Upstream{
			Announcement:  upstream.Announcement{ID: id, Kind: upstream.Service, Pool: "desk", Slots: 4},
			LastHeartbeat: fakeclock.Start,
		})
	}
	return list
}

func (s *fakeServices) Get(fleet.UpstreamID) (upstream.Upstream, bool) {
	return upstream.Upstream{}, false
}
func (s *fakeServices) Engine(upstream.Upstream) upstream.EngineClient { return nil }

func (s *fakeServices) Service(u upstream.Upstream) upstream.ServiceClient {
	s.calledIDs = append(s.calledIDs, u.ID)
	return s
}

func (s *fakeServices) Call(context.Context, upstream.Call) (upstream.Response, error) {
	next := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	var status int
	if _, err := fmt.Sscan(next, &status); err == nil {
		return upstream.Response{Status: status}, nil
	}
	for _, k := range refusal.Kinds() {
		if k.Response().Code == next {
			return upstream.Response{}, refusal.New(k, "%s", next)
		}
	}
	panic("unknown outcome " + next)
}

func (s *fakeServices) Deposit() {}

func (s *fakeServices) Withdraw() bool {
	s.budget--
	return s.budget >= 0
}

// TestLookups guards against a lookup that is reported as not run although an
// upstream may have run it, against retries beyond the budget, and against a retry
// on an upstream that was already tried.
func TestLookups(t *testing.T) {
	datadriven.RunTest(t, "testdata/lookups.txt", func(t *testing.T, d *datadriven.TestData) string {
		s := &fakeServices{outcomes: strings.Fields(d.Input)}
		d.ScanArgs(t, "upstreams", &s.count)
		d.ScanArgs(t, "budget", &s.budget)
		dispatcher := dispatch.New(s, s, fakeclock.New(fakeclock.Start), dispatch.WithBudget(s))
		config := &document.Config{Pools: map[fleet.PoolID]document.Pool{"desk": {ID: "desk"}}}
		dispatcher.Refresh(config, 0)
		answer, err := dispatcher.Lookup(t.Context(), "r1", config.Pools["desk"], upstream.Call{})
		distinct := make(map[fleet.UpstreamID]bool)
		for _, id := range s.calledIDs {
			distinct[id] = true
		}
		result := fmt.Sprint(answer.Status)
		if err != nil {
			kind := refusal.KindOf(err).Response()
			result = fmt.Sprintf("%s notRun=%t", kind.Code, kind.NotRun)
		}
		return fmt.Sprintf("%s\ncalls=%d distinct=%d\n", result, len(s.calledIDs), len(distinct))
	})
}
