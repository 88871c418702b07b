package table_test

import (
	"math/rand/v2"
	"testing"

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
