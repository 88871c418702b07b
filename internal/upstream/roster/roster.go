// Package roster implements upstream.Roster: the upstreams of one data centre,
// when each was last confirmed, and which may get new work.
//
// An upstream is confirmed directly, by an announcement to this instance, or by
// gossip, by an announcement to another instance of the data centre:
//
//	r, err := roster.New(roster.WithDataCentre("midlands-1"))
//	router.Method(http.MethodPost, "/v1/announcements", roster.NewHandler(r, clock))
//	candidates := r.Usable("transcription", clock.Now())
//
// Gossip reads the changed announcements with Updates and the confirmations with
// Renewals, and delivers those of other instances with Merge and Renew. Both
// carry the age of the last confirmation, never a wall-clock time, so that
// instances need no synchronised clocks.
//
// These rules hold for every source:
//
//   - A higher incarnation replaces a lower one; a lower one is refused.
//   - Leaving is final for an incarnation, whatever its sequence number is.
//   - Of other announcements of one incarnation the highest sequence number
//     counts.
//   - New work needs a confirmation that is not older than the freshness. An
//     instance without news therefore stops sending by itself.
//   - An upstream is forgotten once its last confirmation, or its first leaving
//     announcement, is older than the retention.
package roster

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// MaxFreshness is the default and the highest age of a confirmation that allows
// new work. A leaving upstream that an instance can't hear of gets no new work
// from it after this time.
const MaxFreshness = 3 * time.Second

// DefaultRetention is the default time for which an upstream is remembered. It
// exceeds by far the time that an announcement can be delayed on its way, so a
// late announcement can't bring back an upstream that has left.
const DefaultRetention = time.Hour

// resumeGuard is the time after a pause of this process in which announcements
// don't confirm, because they may have waited in a socket during the pause. It
// is half of the time between two announcements.
const resumeGuard = 500 * time.Millisecond

// tickLimit is the time since the last tick after which the process counts as
// paused.
const tickLimit = 500 * time.Millisecond

// Confirmation is an announcement and the time since the upstream was last
// confirmed. A negative Age means that there is no confirmation.
type Confirmation struct {
	upstream.Announcement
	Age time.Duration
}

// Renewal confirms an upstream whose announcement is known.
type Renewal struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
	Age         time.Duration
}

// Roster holds the upstreams of one data centre. It is safe for concurrent use.
type Roster struct {
	dataCentre fleet.DataCentreID
	freshness  time.Duration
	retention  time.Duration
	entries    board.Shards[fleet.UpstreamID, *entry]
	pools      board.Shards[fleet.PoolID, *pool]
	version    atomic.Uint64
	conflicts  atomic.Uint64
	resumed    atomic.Pointer[time.Time]
	ticked     atomic.Pointer[time.Time]
	listener   func(a upstream.Announcement, confirmed, now time.Time)
}

// entry is one upstream. The lock of its shard guards writes.
type entry struct {
	state atomic.Pointer[state]
}

// state is the knowledge of one upstream. It is not changed after it was stored.
type state struct {
	upstream.Upstream
	// stored is the time at which the announcement was recorded. Later
	// announcements don't replace the first leaving one.
	stored time.Time
	// version is the version of the roster at which the announcement, its
	// sequence and load aside, last changed.
	version uint64
}

// pool lists the serving upstreams of a pool, ordered by id. The slice is
// replaced on change.
type pool struct {
	mu      sync.Mutex
	entries atomic.Pointer[[]*entry]
}

var _ upstream.Roster = (*Roster)(nil)

// Option changes a setting of a Roster.
type Option func(*Roster)

// WithFreshness sets the highest age of a confirmation that allows new work.
func WithFreshness(d time.Duration) Option {
	return func(r *Roster) { r.freshness = d }
}

// WithRetention sets the time for which an upstream is remembered.
func WithRetention(d time.Duration) Option {
	return func(r *Roster) { r.retention = d }
}

// WithDataCentre makes the roster refuse upstreams of other data centres.
func WithDataCentre(id fleet.DataCentreID) Option {
	return func(r *Roster) { r.dataCentre = id }
}

// New returns an empty Roster. It fails for a freshness that is not between 0
// and MaxFreshness and for a retention that is not above the freshness.
func New(options ...Option) (*Roster, error) {
	r := &Roster{freshness: MaxFreshness, retention: DefaultRetention}
	for _, o := range options {
		o(r)
	}
	if r.freshness <= 0 || r.freshness > MaxFreshness {
		return nil, errors.Errorf("freshness %v is not between 0 and %v", r.freshness, MaxFreshness)
	}
	if r.retention <= r.freshness {
		return nil, errors.Errorf("retention %v is not above the freshness %v", r.retention, r.freshness)
	}
	return r, nil
}

// Announce records an announcement that an upstream made to this instance at
// now. The error has kind refusal.BadRequest for an announcement that makes no
// sense and refusal.Conflict for one that is out of date or contradicts a known
// one.
func (r *Roster) Announce(a upstream.Announcement, now time.Time) error {
	if err := r.check(a); err != nil {
		return err
	}
	a.Load.At = now
	confirmed := now
	if r.mayBeOld(now) {
		confirmed = time.Time{}
	}
	if err := r.store(a, confirmed, now, false); err != nil {
		return err
	}
	if r.listener != nil {
		r.listener(a, confirmed, now)
	}
	return nil
}

// mayBeOld reports whether an announcement that is read at now may have waited
// in a socket while the process was paused.
func (r *Roster) mayBeOld(now time.Time) bool {
	if ticked := r.ticked.Load(); ticked != nil && now.Sub(*ticked) > tickLimit {
		return true
	}
	resumed := r.resumed.Load()
	return resumed != nil && now.Sub(*resumed) < resumeGuard
}

// Tick tells that the process runs. Once it was called, an announcement confirms
// only if the last call is recent: after a pause an announcement may be read
// before the pause is noticed. Membership calls it about every 50 ms.
func (r *Roster) Tick(now time.Time) {
	r.ticked.Store(&now)
}

// Listen makes the roster call f for every announcement that this instance
// received and accepted. The time of confirmation is zero when the announcement
// does not confirm. Listen must be called before the first announcement.
func (r *Roster) Listen(f func(a upstream.Announcement, confirmed, now time.Time)) {
	r.listener = f
}

// Merge records announcements that other instances received and returns the
// number of those that contradict a known one. An out-of-date announcement can
// still carry a newer confirmation of the same incarnation.
func (r *Roster) Merge(confirmations []Confirmation, now time.Time) int {
	refused := 0
	for i := range confirmations {
		c := &confirmations[i]
		if r.check(c.Announcement) != nil {
			refused++
			continue
		}
		if r.store(c.Announcement, confirmedAt(c.Age, now), now, true) != nil {
			refused++
		}
	}
	return refused
}

// Renew records confirmations that other instances received. A renewal of an
// unknown upstream, of another incarnation, or of one that leaves has no effect.
func (r *Roster) Renew(renewals []Renewal, now time.Time) {
	for i := range renewals {
		r.renew(&renewals[i], now)
	}
}

func (r *Roster) renew(n *Renewal, now time.Time) {
	if n.Age < 0 || n.Age > r.freshness {
		return
	}
	e, ok := r.entries.Get(n.ID)
	if !ok {
		return
	}
	e.renew(n.Incarnation, now.Add(-n.Age))
}

// renew records a confirmation unless a newer one is known. It takes no lock, so
// it may run while an announcement is recorded.
func (e *entry) renew(incarnation fleet.Incarnation, confirmed time.Time) {
	for {
		s := e.state.Load()
		if s.Incarnation != incarnation || s.State == upstream.Leaving {
			return
		}
		if !confirmed.After(s.Confirmed) {
			return
		}
		next := *s
		next.Confirmed = confirmed
		if e.state.CompareAndSwap(s, &next) {
			return
		}
	}
}

// Resume tells that the process did not run for some time before now. Messages
// that waited in its sockets may be old, so announcements don't confirm for a
// short time.
func (r *Roster) Resume(now time.Time) {
	r.resumed.Store(&now)
}

// Usable returns the upstreams of pool p that may get new work at now, ordered
// by id.
func (r *Roster) Usable(p fleet.PoolID, now time.Time) []upstream.Upstream {
	index, ok := r.pools.Get(p)
	if !ok {
		return nil
	}
	entries := *index.entries.Load()
	usable := make([]upstream.Upstream, 0, len(entries))
	for _, e := range entries {
		s := e.state.Load()
		if s.Pool == p && r.mayGetWork(s, now) {
			usable = append(usable, s.Upstream)
		}
	}
	return usable
}

// Get returns one upstream, whether or not it may get new work.
func (r *Roster) Get(id fleet.UpstreamID) (upstream.Upstream, bool) {
	e, ok := r.entries.Get(id)
	if !ok {
		return upstream.Upstream{}, false
	}
	return e.state.Load().Upstream, true
}

// All returns every remembered upstream, ordered by id.
func (r *Roster) All() []upstream.Upstream {
	all := make([]upstream.Upstream, 0, r.entries.Len())
	r.entries.Range(func(_ fleet.UpstreamID, e *entry) bool {
		all = append(all, e.state.Load().Upstream)
		return true
	})
	slices.SortFunc(all, func(a, b upstream.Upstream) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all
}

// Counts returns the number of upstreams of each pool that may get new work at
// now.
func (r *Roster) Counts(now time.Time) map[fleet.PoolID]int {
	counts := make(map[fleet.PoolID]int)
	r.entries.Range(func(_ fleet.UpstreamID, e *entry) bool {
		if s := e.state.Load(); r.mayGetWork(s, now) {
			counts[s.Pool]++
		}
		return true
	})
	return counts
}

// Updates returns the announcements that changed after version since, ordered by
// id, and the version up to which they are included. Sequence and load don't count as a
// change. It starts with a since of zero.
func (r *Roster) Updates(since uint64, now time.Time) ([]Confirmation, uint64) {
	version := r.version.Load()
	if version == since {
		return nil, version
	}
	var changed []Confirmation
	r.entries.Range(func(_ fleet.UpstreamID, e *entry) bool {
		if s := e.state.Load(); s.version > since {
			changed = append(changed, Confirmation{Announcement: s.Announcement, Age: age(s.Confirmed, now)})
		}
		return true
	})
	slices.SortFunc(changed, func(a, b Confirmation) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return changed, version
}

// Renewals calls f for every upstream with a confirmation that still allows new
// work at now.
func (r *Roster) Renewals(now time.Time, f func(Renewal)) {
	r.entries.Range(func(id fleet.UpstreamID, e *entry) bool {
		if s := e.state.Load(); r.mayGetWork(s, now) {
			f(Renewal{ID: id, Incarnation: s.Incarnation, Age: now.Sub(s.Confirmed)})
		}
		return true
	})
}

// Conflicts returns the number of announcements that contradicted a known one of
// the same id and incarnation, usually two upstreams that share an id.
func (r *Roster) Conflicts() uint64 { return r.conflicts.Load() }

// Sweep forgets the upstreams whose retention has ended at now. It is meant to
// be called about once a minute.
func (r *Roster) Sweep(now time.Time) int {
	var expired []fleet.UpstreamID
	r.entries.Range(func(id fleet.UpstreamID, e *entry) bool {
		if r.expired(e.state.Load(), now) {
			expired = append(expired, id)
		}
		return true
	})
	for _, id := range expired {
		r.forget(id, now)
	}
	return len(expired)
}

func (r *Roster) forget(id fleet.UpstreamID, now time.Time) {
	r.entries.Update(id, func(e *entry, ok bool) (*entry, bool) {
		if !ok || !r.expired(e.state.Load(), now) {
			return e, ok
		}
		r.unlist(e, e.state.Load().Pool)
		return e, false
	})
}

func (r *Roster) expired(s *state, now time.Time) bool {
	since := s.stored
	if s.State == upstream.Serving && s.Confirmed.After(since) {
		since = s.Confirmed
	}
	return now.Sub(since) > r.retention
}

func (r *Roster) mayGetWork(s *state, now time.Time) bool {
	if s.State != upstream.Serving {
		return false
	}
	return now.Sub(s.Confirmed) <= r.freshness
}

func confirmedAt(age time.Duration, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

func age(confirmed, now time.Time) time.Duration {
	if confirmed.IsZero() {
		return -1
	}
	return max(0, now.Sub(confirmed))
}
