package table

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

// urgency determines the service level of a stream. Smaller values are more urgent, and
// earlier fields take precedence.
type urgency struct {
	// account is the priority of the account, or of the route for a stream without one.
	account int
	route   int
	target  time.Duration
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.account, o.account), cmp.Compare(u.route, o.route), cmp.Compare(u.target, o.target))
}

func urgencyOf(o *release.Route, a *release.Account) urgency {
	u := urgency{account: o.Priority, route: o.Priority, target: o.TargetLatency}
	if a != nil {
		u.account = a.Priority
	}
	return u
}

// levels holds the service levels of the streams of each service. Services that share a
// route have their levels in common, so that the level of a stream does not depend on the
// service that is drawn for it.
type levels struct {
	// ranked holds the different urgencies in ascending order.
	ranked map[fleet.PoolID][]urgency
}

func newLevels(t *Table) levels {
	l := levels{ranked: make(map[fleet.PoolID][]urgency)}
	groups := connectedPools(t.Release)
	ranked := make(map[fleet.PoolID][]urgency) // by the representative of a group
	priorities := accountPriorities(t.Release)
	for i := range t.Release.Routes {
		o := &t.Release.Routes[i]
		if o.Type != release.Stream {
			continue
		}
		if len(o.Split) == 0 {
			continue
		}
		g := groups[o.Split[0].Pool]
		if !t.NeedsKey(o) {
			ranked[g] = append(ranked[g], urgencyOf(o, nil))
			continue
		}
		for _, p := range priorities {
			ranked[g] = append(ranked[g], urgencyOf(o, &release.Account{Priority: p}))
		}
	}
	for g, us := range ranked {
		slices.SortFunc(us, urgency.compare)
		ranked[g] = slices.Compact(us)
	}
	for p, g := range groups {
		l.ranked[p] = ranked[g]
	}
	return l
}

// accountPriorities returns the different priorities of the accounts.
func accountPriorities(r *release.Release) []int {
	ps := make([]int, len(r.Accounts))
	for i, a := range r.Accounts {
		ps[i] = a.Priority
	}
	slices.Sort(ps)
	return slices.Compact(ps)
}

// connectedPools maps each pool of a streaming route to a representative of all pools that
// are connected with it by streaming routes.
func connectedPools(r *release.Release) map[fleet.PoolID]fleet.PoolID {
	parent := make(map[fleet.PoolID]fleet.PoolID)
	find := func(p fleet.PoolID) fleet.PoolID {
		if _, ok := parent[p]; !ok {
			parent[p] = p
		}
		for parent[p] != p {
			p = parent[p]
		}
		return p
	}
	for _, o := range r.Routes {
		if o.Type != release.Stream {
			continue
		}
		for _, s := range o.Split {
			parent[find(s.Pool)] = find(o.Split[0].Pool)
		}
	}
	groups := make(map[fleet.PoolID]fleet.PoolID, len(parent))
	for p := range parent {
		groups[p] = find(p)
	}
	return groups
}

// Level returns the service level of the requests of a route and an account, which is nil
// for requests without one. Level 0 is the most urgent. The level is the rank among the
// streams of the services of the route.
func (t *Table) Level(o *release.Route, a *release.Account) int {
	if len(o.Split) == 0 {
		return 0
	}
	us, u := t.levels.ranked[o.Split[0].Pool], urgencyOf(o, a)
	return sort.Search(len(us), func(i int) bool { return us[i].compare(u) >= 0 })
}

// Differentiated reports whether a service has engines and streaming routes that differ in
// priority or target latency.
func (t *Table) Differentiated(p fleet.PoolID) bool {
	s, ok := t.services[p]
	return ok && t.Release.Differentiated(s)
}
