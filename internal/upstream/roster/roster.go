// Package roster implements upstream.Roster: the upstreams of one data centre, the
// time of the last heartbeat of each, and which of them may get new work.
//
// An announcement to this instance counts as a heartbeat of the upstream. Heartbeats
// from announcements to other instances of the data centre arrive by gossip:
//
//	r, err := roster.New(roster.WithDataCentre("midlands-1"))
//	router.Method(http.MethodPost, "/v1/announcements", roster.NewHandler(r, clock))
//	candidates := r.Usable("transcription", clock.Now())
//
// Gossip reads changed announcements with Updates and heartbeats with Renewals, and
// delivers those of other instances with Merge and Renew. Both carry the age of the
// last heartbeat, never a wall-clock time, so that instances need no synchronised
// clocks.
//
// These rules hold for every source:
//
//   - A higher incarnation replaces a lower one; a lower one is rejected.
//   - Leaving is final for an incarnation, whatever its sequence number is.
//   - Of other announcements of one incarnation the highest sequence number
//     counts.
//   - An upstream gets new work only if its last heartbeat is not older than the
//     heartbeat timeout. An instance that receives no heartbeats therefore stops
//     sending without further action.
//   - An upstream is removed once its last heartbeat, or its first leaving
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

// MaxHeartbeatTimeout is the default and the maximum of the heartbeat timeout. An
// instance that does not learn that an upstream is leaving sends it no new work after
// this time.
const MaxHeartbeatTimeout = 3 * time.Second

// DefaultRetention is the default time for which an upstream is kept after its last
// heartbeat. It is much longer than an announcement can be delayed in transit, so a
// delayed announcement can't bring back an upstream that has left.
const DefaultRetention = time.Hour

// resumeHoldOff is the time after a pause of this process during which announcements
// don't count as heartbeats, because they may have waited in a socket buffer during
// the pause. It is half of the interval between two announcements.
const resumeHoldOff = 500 * time.Millisecond

// maxTickAge is the time since the last tick after which the process is considered
// paused.
const maxTickAge = 500 * time.Millisecond

// AgedAnnouncement is an announcement and the age of the last heartbeat of the
// upstream. A negative Age means that there was no heartbeat.
type AgedAnnouncement struct {
	upstream.Announcement
	Age time.Duration
}

// Renewal is a heartbeat of an upstream whose announcement is known.
type Renewal struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
	Age         time.Duration
}

// Roster stores the upstreams of one data centre. It is safe for concurrent use.
type Roster struct {
	dataCentre       fleet.DataCentreID
	heartbeatTimeout time.Duration
	retention        time.Duration
	entries          board.ShardedMap[fleet.UpstreamID, *entry]
	pools            board.ShardedMap[fleet.PoolID, *pool]
	revision         atomic.Uint64
	conflicts        atomic.Uint64
	lastResume       atomic.Pointer[time.Time]
	lastTick         atomic.Pointer[time.Time]
	onAnnouncement   func(a upstream.Announcement, heartbeat, now time.Time)
}

// entry is one upstream. Writes are guarded by the lock of its shard, except for those
// of renew.
type entry struct {
	state atomic.Pointer[state]
}

// state is the known state of one upstream. It is immutable once stored.
type state struct {
	upstream.Upstream
	// storedAt is the time at which the announcement was recorded. The first leaving
	// announcement is not replaced by later ones.
	storedAt time.Time
	// revision is the revision of the roster at which the announcement last changed,
	// not counting its sequence and load.
	revision uint64
}

// pool lists the serving upstreams of a pool, ordered by id. A change replaces the
// slice (copy on write).
type pool struct {
	mu      sync.Mutex
	entries atomic.Pointer[[]*entry]
}

var _ upstream.Roster = (*Roster)(nil)

// Option changes a setting of a Roster.
type Option func(*Roster)

// WithHeartbeatTimeout sets the maximum age of the last heartbeat at which an upstream
// may get new work.
func WithHeartbeatTimeout(d time.Duration) Option {
	return func(r *Roster) { r.heartbeatTimeout = d }
}

// WithRetention sets the time for which an upstream is kept after its last heartbeat.
func WithRetention(d time.Duration) Option {
	return func(r *Roster) { r.retention = d }
}

// WithDataCentre makes the roster reject upstreams of other data centres.
func WithDataCentre(id fleet.DataCentreID) Option {
	return func(r *Roster) { r.dataCentre = id }
}

// New returns an empty Roster. It fails unless the heartbeat timeout is positive and at
// most MaxHeartbeatTimeout, and the retention is longer than the heartbeat timeout.
func New(options ...Option) (*Roster, error) {
	r := &Roster{heartbeatTimeout: MaxHeartbeatTimeout, retention: DefaultRetention}
	for _, o := range options {
		o(r)
	}
	if r.heartbeatTimeout <= 0 || r.heartbeatTimeout > MaxHeartbeatTimeout {
		return nil, errors.Errorf("heartbeat timeout %v is not between 0 and %v", r.heartbeatTimeout, MaxHeartbeatTimeout)
	}
	if r.retention <= r.heartbeatTimeout {
		return nil, errors.Errorf("retention %v is not above the heartbeat timeout %v", r.retention, r.heartbeatTimeout)
	}
	return r, nil
}

// Announce records an announcement that this instance received from an upstream at
// now. The error has kind refusal.BadRequest for an invalid announcement and
// refusal.Conflict for one that is out of date or contradicts a known one.
func (r *Roster) Announce(a upstream.Announcement, now time.Time) error {
	if err := r.validate(a); err != nil {
		return err
	}
	a.Load.At = now
	heartbeat := now
	if r.mayBeDelayed(now) {
		heartbeat = time.Time{}
	}
	if err := r.store(a, heartbeat, now, false); err != nil {
		return err
	}
	if r.onAnnouncement != nil {
		r.onAnnouncement(a, heartbeat, now)
	}
	return nil
}

// mayBeDelayed reports whether an announcement that is read at now may have waited in
// a socket buffer while the process was paused.
func (r *Roster) mayBeDelayed(now time.Time) bool {
	if lastTick := r.lastTick.Load(); lastTick != nil && now.Sub(*lastTick) > maxTickAge {
		return true
	}
	lastResume := r.lastResume.Load()
	return lastResume != nil && now.Sub(*lastResume) < resumeHoldOff
}

// Tick records that the process is running at now. Once it has been called, an
// announcement counts as a heartbeat only if the last call is recent, because after a
// pause an announcement may be read before the pause is detected. Membership calls it
// about every 50 ms.
func (r *Roster) Tick(now time.Time) {
	r.lastTick.Store(&now)
}

// OnAnnouncement makes the roster call f for every announcement that this instance
// receives and accepts. heartbeat is zero if the announcement does not count as a
// heartbeat. OnAnnouncement must be called before the first announcement.
func (r *Roster) OnAnnouncement(f func(a upstream.Announcement, heartbeat, now time.Time)) {
	r.onAnnouncement = f
}

// Merge records announcements that other instances received and returns the number
// that were invalid or contradicted a known one. An out-of-date announcement can
// still carry a newer heartbeat of the same incarnation.
func (r *Roster) Merge(announcements []AgedAnnouncement, now time.Time) int {
	rejected := 0
	for i := range announcements {
		c := &announcements[i]
		if r.validate(c.Announcement) != nil {
			rejected++
			continue
		}
		if r.store(c.Announcement, heartbeatTime(c.Age, now), now, true) != nil {
			rejected++
		}
	}
	return rejected
}

// Renew records heartbeats that other instances received. A renewal of an unknown
// upstream, of another incarnation, or of a leaving upstream has no effect.
func (r *Roster) Renew(renewals []Renewal, now time.Time) {
	for i := range renewals {
		r.renew(&renewals[i], now)
	}
}

func (r *Roster) renew(n *Renewal, now time.Time) {
	if n.Age < 0 || n.Age > r.heartbeatTimeout {
		return
	}
	e, ok := r.entries.Get(n.ID)
	if !ok {
		return
	}
	e.renew(n.Incarnation, now.Add(-n.Age))
}

// renew records a heartbeat unless a newer one is known. It takes no lock, so it may
// run while an announcement is recorded.
func (e *entry) renew(incarnation fleet.Incarnation, heartbeat time.Time) {
	for {
		s := e.state.Load()
		if s.Incarnation != incarnation || s.State == upstream.Leaving {
			return
		}
		if !heartbeat.After(s.LastHeartbeat) {
			return
		}
		next := *s
		next.LastHeartbeat = heartbeat
		if e.state.CompareAndSwap(s, &next) {
			return
		}
	}
}

// RecordResume records that the process was paused until now. Messages that waited in
// its socket buffers may be old, so for resumeHoldOff announcements don't count as
// heartbeats.
func (r *Roster) RecordResume(now time.Time) {
	r.lastResume.Store(&now)
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

// All returns all known upstreams, ordered by id.
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

// Updates returns the announcements that changed after revision since, ordered by id,
// and the revision up to which changes are included. A change of only the sequence or
// the load does not count. A since of zero returns all announcements.
func (r *Roster) Updates(since uint64, now time.Time) ([]AgedAnnouncement, uint64) {
	revision := r.revision.Load()
	if revision == since {
		return nil, revision
	}
	var changed []AgedAnnouncement
	r.entries.Range(func(_ fleet.UpstreamID, e *entry) bool {
		if s := e.state.Load(); s.revision > since {
			changed = append(changed, AgedAnnouncement{Announcement: s.Announcement, Age: heartbeatAge(s.LastHeartbeat, now)})
		}
		return true
	})
	slices.SortFunc(changed, func(a, b AgedAnnouncement) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return changed, revision
}

// Renewals calls f for every upstream that may get new work at now.
func (r *Roster) Renewals(now time.Time, f func(Renewal)) {
	r.entries.Range(func(id fleet.UpstreamID, e *entry) bool {
		if s := e.state.Load(); r.mayGetWork(s, now) {
			f(Renewal{ID: id, Incarnation: s.Incarnation, Age: now.Sub(s.LastHeartbeat)})
		}
		return true
	})
}

// Conflicts returns the number of announcements that contradicted a known one of
// the same id and incarnation, usually two upstreams that share an id.
func (r *Roster) Conflicts() uint64 { return r.conflicts.Load() }

// Sweep removes the upstreams whose retention has ended at now and returns their
// number. It should be called about once a minute.
func (r *Roster) Sweep(now time.Time) int {
	var expired []fleet.UpstreamID
	r.entries.Range(func(id fleet.UpstreamID, e *entry) bool {
		if r.expired(e.state.Load(), now) {
			expired = append(expired, id)
		}
		return true
	})
	for _, id := range expired {
		r.remove(id, now)
	}
	return len(expired)
}

func (r *Roster) remove(id fleet.UpstreamID, now time.Time) {
	r.entries.Update(id, func(e *entry, ok bool) (*entry, bool) {
		if !ok || !r.expired(e.state.Load(), now) {
			return e, ok
		}
		r.removeFromPool(e, e.state.Load().Pool)
		return e, false
	})
}

func (r *Roster) expired(s *state, now time.Time) bool {
	since := s.storedAt
	if s.State == upstream.Serving && s.LastHeartbeat.After(since) {
		since = s.LastHeartbeat
	}
	return now.Sub(since) > r.retention
}

func (r *Roster) mayGetWork(s *state, now time.Time) bool {
	if s.State != upstream.Serving {
		return false
	}
	return now.Sub(s.LastHeartbeat) <= r.heartbeatTimeout
}

func heartbeatTime(age time.Duration, now time.Time) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

func heartbeatAge(heartbeat, now time.Time) time.Duration {
	if heartbeat.IsZero() {
		return -1
	}
	return max(0, now.Sub(heartbeat))
}
