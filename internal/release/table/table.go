// Package table looks up the route, service and account of a request. A Table is built
// once for a release and does not change.
package table

import (
	"sort"
	"strings"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

// Table indexes one release.
type Table struct {
	Release  *release.Release
	hosts    map[string][]*release.Route
	accounts map[string]*release.Account
	services map[fleet.PoolID]*release.Service
	levels   levels
}

// New indexes a release, which must not change afterwards.
func New(r *release.Release) *Table {
	t := &Table{
		Release:  r,
		hosts:    make(map[string][]*release.Route),
		accounts: make(map[string]*release.Account),
		services: make(map[fleet.PoolID]*release.Service),
	}
	for i := range r.Routes {
		o := &r.Routes[i]
		t.hosts[o.Host] = append(t.hosts[o.Host], o)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range r.Accounts {
		a := &r.Accounts[i]
		for _, k := range a.Keys {
			t.accounts[k] = a
		}
	}
	for i := range r.Services {
		t.services[r.Services[i].Pool] = &r.Services[i]
	}
	t.levels = newLevels(t)
	return t
}

// Route returns the route of a host with the longest prefix that matches a path. A port
// in host is ignored.
func (t *Table) Route(host, path string) (*release.Route, bool) {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	for _, o := range t.hosts[host] {
		if strings.HasPrefix(path, o.Prefix) {
			return o, true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (t *Table) Account(key string) (*release.Account, bool) {
	if key == "" {
		return nil, false // the request has no key
	}
	a, ok := t.accounts[key]
	return a, ok
}

// NeedsKey reports whether requests of a route must carry an account key.
func (t *Table) NeedsKey(o *release.Route) bool {
	return len(t.Release.Accounts) > 0 && !o.Public
}

// Service returns the service of a pool.
func (t *Table) Service(p fleet.PoolID) (*release.Service, bool) {
	s, ok := t.services[p]
	return s, ok
}

// Pick selects a service of a route at random, by the weights of its split. draw returns
// a random number below its argument.
func Pick(o *release.Route, draw func(int) int) fleet.PoolID {
	total := 0
	for _, s := range o.Split {
		total += s.Weight
	}
	n := draw(total)
	for _, s := range o.Split {
		if n < s.Weight {
			return s.Pool
		}
		n -= s.Weight
	}
	return o.Split[len(o.Split)-1].Pool
}
