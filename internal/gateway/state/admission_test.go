package state_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/state"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// modelDecoder returns a release with the services "model", whose streams differ in
// priority, "alike", whose streams do not, and "plain", which has no engines.
type modelDecoder struct{}

func (modelDecoder) Decode([]byte) (*release.Release, error) {
	route := func(p fleet.PoolID, priority int) release.Route {
		return release.Route{Type: release.Stream, Priority: priority, Split: []release.Share{{Pool: p, Weight: 1}}}
	}
	return &release.Release{
		Version:  1,
		Routes:   []release.Route{route("model", 0), route("model", 1), route("alike", 1), route("plain", 0), route("plain", 1)},
		Services: []release.Service{{Pool: "model", Engine: &release.Engine{Layers: 1}}, {Pool: "alike", Engine: &release.Engine{Layers: 1}}, {Pool: "plain"}},
	}, nil
}

func newModelState(t *testing.T, os ...state.Option) (*state.State, bootClock, func(feed.Update)) {
	is := is.New(t)
	c := bootClock{fakeclock.New(fakeclock.Start)}
	s := state.New(c, "dc1", modelDecoder{}, state.Limits{HeartbeatTimeout: time.Hour, Retries: budget.Limit{Window: time.Second}}, exchange.New(c), zap.NewNop(), os...)
	command, err := store.Command(1, nil)
	is.NoErr(err)
	log := store.New()
	log.Apply(1, command)
	held, _ := log.Current()
	receive := func(u feed.Update) {
		u.Release = held
		is.NoErr(s.Receive(u))
	}
	receive(feed.Update{})
	return s, c, receive
}

// Guards against admission control at services to which the mode does not apply, and
// against a mode that is ignored.
func TestAdmissionApplies(t *testing.T) {
	for m, want := range map[quota.Mode]string{quota.Auto: "model", quota.Always: "model alike", quota.Never: ""} {
		s, _, _ := newModelState(t, state.WithAdmission(m))
		var got []string
		for _, id := range []fleet.PoolID{"model", "alike", "plain"} {
			if p, ok := s.Pool(id); ok && p.Admission != nil {
				got = append(got, string(id))
			}
		}
		is.New(t).Equal(strings.Join(got, " "), want)
		is.New(t).Equal(len(s.Report().Demands), len(got))
	}
}

// Guards against a gateway that was paused and takes the sums that were waiting for it as
// new ones, and against sums that are lost at a refresh of the pool.
func TestAgeOfSums(t *testing.T) {
	is := is.New(t)
	s, c, receive := newModelState(t)
	status := func() quota.Status {
		p, _ := s.Pool("model")
		return p.Admission.Status()
	}
	is.True(status().Stale)
	c.Advance(time.Second)
	receive(feed.Update{Sums: &usage.Report{Gateways: 3}, Received: c.Boot() - 300*time.Millisecond})
	is.Equal(status().Age, 300*time.Millisecond)
	c.Advance(700 * time.Millisecond)
	receive(feed.Update{})
	is.Equal(status().Age, time.Second)
	reading := c.Boot()
	c.Advance(5 * time.Second)
	receive(feed.Update{Sums: &usage.Report{Gateways: 3}, Received: reading})
	is.True(status().Stale)
	receive(feed.Update{Sums: &usage.Report{Gateways: 3}}) // an older controller does not tell
	is.Equal(status().Age, time.Duration(0))
}

// Guards against metrics that are missing, or that have client accounts as labels.
func TestAdmissionMetrics(t *testing.T) {
	is := is.New(t)
	s, _, _ := newModelState(t)
	p, _ := s.Pool("model")
	for range 3 {
		p.Admission.Offer(quota.Pair{Account: "acme", Level: 1})
	}
	p.Admission.Offer(quota.Pair{Level: 12})
	is.NoErr(testutil.CollectAndCompare(s.AdmissionCollector(), strings.NewReader(`
# HELP bilberryrock_gateway_admission_offered_total Streams offered to the admission control of a service, by level.
# TYPE bilberryrock_gateway_admission_offered_total counter
bilberryrock_gateway_admission_offered_total{level="1",service="model"} 3
bilberryrock_gateway_admission_offered_total{level="9",service="model"} 1
# HELP bilberryrock_gateway_admission_refused_total Streams refused at a service under admission control, by level.
# TYPE bilberryrock_gateway_admission_refused_total counter
bilberryrock_gateway_admission_refused_total{level="1",service="model"} 0
bilberryrock_gateway_admission_refused_total{level="9",service="model"} 0
# HELP bilberryrock_gateway_admission_fraction Fraction of the streams of a level that all gateways together admit.
# TYPE bilberryrock_gateway_admission_fraction gauge
bilberryrock_gateway_admission_fraction{level="1",service="model"} 1
bilberryrock_gateway_admission_fraction{level="9",service="model"} 1
`), "bilberryrock_gateway_admission_offered_total", "bilberryrock_gateway_admission_refused_total", "bilberryrock_gateway_admission_fraction"))
}
