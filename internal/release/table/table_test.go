package table_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/table"
)

func sample() *table.Table {
	return table.New(&release.Release{
		Version: 1,
		Routes: []release.Route{
			{Name: "short", Host: "h", Prefix: "/a/", Split: []release.Share{{Pool: "p", Weight: 1}}},
			{Name: "long", Host: "h", Prefix: "/a/b/", Public: true, Split: []release.Share{{Pool: "p", Weight: 0}, {Pool: "q", Weight: 3}}},
			{Name: "other", Host: "g", Prefix: "/"},
		},
		Accounts: []release.Account{{ID: "acme", Keys: []string{"k1", "k2", ""}}},
	})
}

// Guards against a shorter prefix that takes precedence over a longer one, and against a
// route of another host.
func TestRoute(t *testing.T) {
	for _, c := range []struct{ host, path, name string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h:8080", "/a/b/", "long"},
		{"h", "/a", ""},
		{"g", "/a/b/x", "other"},
		{"x", "/a/", ""},
	} {
		o, ok := sample().Route(c.host, c.path)
		is := is.New(t)
		is.Equal(ok, c.name != "")
		if ok {
			is.Equal(o.Name, c.name)
		}
	}
}

// Guards against keys of one account that are accepted for another, and against public
// routes that require a key. An empty key in the configuration must not admit requests
// without a key.
func TestAccounts(t *testing.T) {
	is := is.New(t)
	s := sample()
	a, ok := s.Account("k2")
	is.True(ok)
	is.Equal(a.ID, fleet.AccountID("acme"))
	_, ok = s.Account("")
	is.True(!ok)
	long, _ := s.Route("h", "/a/b/")
	short, _ := s.Route("h", "/a/")
	is.True(!s.NeedsKey(long))
	is.True(s.NeedsKey(short))
}

// Guards against requests for a service whose weight is 0.
func TestPickFollowsWeights(t *testing.T) {
	is := is.New(t)
	long, _ := sample().Route("h", "/a/b/")
	r := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		is.Equal(table.Pick(long, r.IntN), fleet.PoolID("q"))
	}
}

func streams(rs ...release.Route) *table.Table {
	engine := &release.Engine{Layers: 4}
	for i := range rs {
		rs[i].Name, rs[i].Prefix, rs[i].Type = string(rune('a'+i)), "/"+string(rune('a'+i))+"/", release.Stream
	}
	return table.New(&release.Release{
		Version: 1, Routes: rs,
		Services: []release.Service{{Pool: "p", Engine: engine}, {Pool: "q", Engine: engine}, {Pool: "plain"}},
		Accounts: []release.Account{{ID: "high", Priority: 0}, {ID: "low", Priority: 3}, {ID: "low2", Priority: 3}},
	})
}

// Guards against levels that rank the priority of the route above that of the account, or
// the target latency above the priority, and against levels that depend on other services.
func TestLevels(t *testing.T) {
	is := is.New(t)
	p, q := []release.Share{{Pool: "p", Weight: 1}}, []release.Share{{Pool: "q", Weight: 1}}
	s := streams(
		release.Route{Priority: 1, TargetLatency: time.Second, Split: p},
		release.Route{Priority: 1, TargetLatency: 500 * time.Millisecond, Split: p},
		release.Route{Priority: 0, TargetLatency: 2 * time.Second, Split: p},
		release.Route{Priority: 2, TargetLatency: time.Second, Split: p, Public: true},
		release.Route{Priority: 5, TargetLatency: time.Second, Split: q},
	)
	level := func(i int, a *release.Account) int { return s.Level(&s.Release.Routes[i], a) }
	high, low, low2 := &s.Release.Accounts[0], &s.Release.Accounts[1], &s.Release.Accounts[2]
	is.Equal([]int{level(2, high), level(1, high), level(0, high)}, []int{0, 1, 2})
	is.Equal(level(3, nil), 3)
	is.Equal([]int{level(2, low), level(1, low), level(0, low2)}, []int{4, 5, 6})
	is.Equal([]int{level(4, high), level(4, low)}, []int{0, 1})
}

// Guards against levels that differ between the services of one route, since the service is
// drawn for each request.
func TestLevelsOfSplitRoutes(t *testing.T) {
	is := is.New(t)
	s := streams(
		release.Route{Priority: 1, Split: []release.Share{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 1}}, Public: true},
		release.Route{Priority: 0, Split: []release.Share{{Pool: "q", Weight: 1}}, Public: true},
	)
	is.Equal(s.Level(&s.Release.Routes[0], nil), 1)
	is.Equal(s.Level(&s.Release.Routes[1], nil), 0)
}

// Guards against admission control at services that have no engines or whose streams are
// all alike.
func TestDifferentiated(t *testing.T) {
	share := func(p fleet.PoolID) []release.Share { return []release.Share{{Pool: p, Weight: 1}} }
	for _, c := range []struct {
		routes []release.Route
		want   bool
	}{
		{nil, false},
		{[]release.Route{{Split: share("p")}}, false},
		{[]release.Route{{Split: share("p"), Priority: 1}, {Split: share("p"), Priority: 1}}, false},
		{[]release.Route{{Split: share("p"), Priority: 1}, {Split: share("p"), Priority: 2}}, true},
		{[]release.Route{{Split: share("p"), TargetLatency: 1}, {Split: share("p"), TargetLatency: 2}}, true},
		{[]release.Route{{Split: share("p"), Priority: 1}, {Split: share("q"), Priority: 2}}, false},
		{[]release.Route{{Split: share("p"), Priority: 1}, {Split: []release.Share{{Pool: "p"}, {Pool: "q", Weight: 1}}, Priority: 2}}, false},
	} {
		is.New(t).Equal(streams(c.routes...).Differentiated("p"), c.want)
	}
	plain := streams(release.Route{Split: share("plain"), Priority: 1}, release.Route{Split: share("plain"), Priority: 2})
	is.New(t).True(!plain.Differentiated("plain"))
}
