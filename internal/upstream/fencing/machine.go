// Package fencing prevents commands of different instances to one engine from
// overlapping.
//
// The Machine is part of the config group. It grants a lease on an engine to one
// Holder at a time, each with a higher fencing token than all leases before. A
// Commander sends a command to an engine only under a valid lease and with its
// token:
//
//	holder := fencing.NewHolder(proposer, quorum.ConfigGroup, clock, instance, fencing.DefaultTiming)
//	result, err := fencing.NewCommander(holder, dialer).Send(ctx, upstream, command)
//
// The Machine decides without a clock. A holder counts the duration of its lease from
// the time before it sent the request. A successor first observes the lease of the
// holder, waits for its whole duration, the command timeout and the maximum clock
// drift, and takes the lease over only if it was not renewed in the meantime. For
// engines that reject stale tokens no wait is needed.
package fencing

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/timeline"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/pkg/errors"
)

const (
	version = 1
	// MaxLeases bounds the number of stored leases. When it is reached, leases that
	// have not been used for MaxUnusedAge are dropped, because their engines are gone.
	MaxLeases = 50_000
	// MaxUnusedAge is far longer than the duration of any lease plus its takeover delay.
	MaxUnusedAge = 24 * time.Hour

	maxIDBytes = 256 // upstream id and session together
)

// Session identifies one incarnation of a Holder. A restarted instance has a new
// Session.
type Session string

// Lease is the right to send commands to one engine.
type Lease struct {
	Upstream fleet.UpstreamID   `json:"upstream"`
	Session  Session            `json:"session"`
	Fence    fleet.FencingToken `json:"fence"`
	// Renewals counts the renewals under this Fence.
	Renewals uint64 `json:"renewals"`
	// Duration is the validity of the lease, counted from the request.
	// CommandTimeout is the maximum time from the check of the lease until the engine
	// has executed a command.
	Duration       time.Duration `json:"duration"`
	CommandTimeout time.Duration `json:"underWay"`
	// Policy is the fencing policy that the holder assumes for the engine.
	Policy upstream.FencePolicy `json:"policy"`
}

// Machine is the replicated state machine of the leases. It is safe for concurrent
// use.
type Machine struct {
	mu        sync.RWMutex
	lastFence fleet.FencingToken
	time      timeline.Timeline
	leases    map[fleet.UpstreamID]grant
}

// grant is a lease and the time of its last grant or renewal. The time is used only to
// find stale leases.
type grant struct {
	Lease
	LastUsed time.Time `json:"used"`
}

var _ quorum.QueryableStateMachine = (*Machine)(nil)

// NewMachine returns a Machine without leases.
func NewMachine() *Machine {
	return &Machine{leases: make(map[fleet.UpstreamID]grant)}
}

type kind string

const (
	acquireKind kind = "acquire"
	renewKind   kind = "renew"
	releaseKind kind = "release"
)

// command requests a change of one lease.
type command struct {
	Version int  `json:"version"`
	Kind    kind `json:"kind"`
	// Lease holds the requested values. Its Fence is that of the lease to renew or
	// release.
	Lease Lease `json:"lease"`
	// Replaces is a lease of another session whose takeover delay has passed for the
	// sender. An acquire replaces the current lease if it still equals Replaces.
	Replaces *Lease `json:"over,omitempty"`
	// Instance is the sender, and At the time on its clock.
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// reply is the reply to a command. The reply to a query for an upstream has only
// Lease.
type reply struct {
	Version int    `json:"version"`
	Error   string `json:"error,omitempty"`
	Granted bool   `json:"granted,omitempty"`
	// Lease is the lease after the command, if there is one.
	Lease *Lease `json:"lease,omitempty"`
}

// Apply applies one command.
func (m *Machine) Apply(_ quorum.Index, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return encode(reply{Error: "command does not decode"})
	}
	l := c.Lease
	if c.Version != version || l.Upstream == "" || l.Session == "" || len(l.Upstream)+len(l.Session) > maxIDBytes {
		return encode(reply{Error: "command is not valid"})
	}
	m.time.Observe(c.Instance, c.At)
	switch c.Kind {
	case acquireKind:
		return encode(m.acquire(c))
	case renewKind:
		return encode(m.renew(c))
	case releaseKind:
		return encode(m.release(c))
	}
	return encode(reply{Error: "unknown kind of command"})
}

// acquire grants the lease with a new token. A session that acquires its own lease
// again also gets a new token, so that a delayed release of the old one has no effect.
func (m *Machine) acquire(c command) reply {
	old, held := m.leases[c.Lease.Upstream]
	if held && !mayReplace(old.Lease, c) {
		return reply{Lease: &old.Lease}
	}
	if !held && len(m.leases) >= MaxLeases {
		m.sweep()
	}
	if !held && len(m.leases) >= MaxLeases {
		return reply{Error: "too many leases"}
	}
	m.lastFence++
	l := c.Lease
	l.Fence, l.Renewals = m.lastFence, 0
	m.leases[l.Upstream] = grant{Lease: l, LastUsed: m.time.PeriodStart(c.At)}
	return reply{Granted: true, Lease: &l}
}

// sweep drops the leases that have not been used for MaxUnusedAge.
func (m *Machine) sweep() {
	for id, g := range m.leases {
		if !g.LastUsed.Add(MaxUnusedAge).After(m.time.Now()) {
			delete(m.leases, id)
		}
	}
}

// mayReplace reports whether c may replace the lease old.
func mayReplace(old Lease, c command) bool {
	switch {
	case old.Session == c.Lease.Session:
		return true
	case old.Policy == upstream.RejectsStaleToken && c.Lease.Policy == upstream.RejectsStaleToken:
		// The engine rejects the token of the old holder once it has seen the
		// new one.
		return true
	}
	return c.Replaces != nil && *c.Replaces == old
}

func (m *Machine) renew(c command) reply {
	l, ok := m.held(c)
	if !ok {
		return reply{}
	}
	l.Renewals++
	m.leases[l.Upstream] = grant{Lease: l, LastUsed: m.time.PeriodStart(c.At)}
	return reply{Granted: true, Lease: &l}
}

func (m *Machine) release(c command) reply {
	if l, ok := m.held(c); ok {
		delete(m.leases, l.Upstream)
	}
	return reply{Granted: true}
}

// held returns the lease that c refers to, and whether it is still the current one.
func (m *Machine) held(c command) (Lease, bool) {
	g, ok := m.leases[c.Lease.Upstream]
	l := g.Lease
	return l, ok && l.Session == c.Lease.Session && l.Fence == c.Lease.Fence
}

// Query returns the lease on the upstream whose id is the query.
func (m *Machine) Query(query []byte) []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	l, ok := m.leases[fleet.UpstreamID(query)]
	if !ok {
		return encode(reply{})
	}
	return encode(reply{Lease: &l.Lease})
}

type snapshot struct {
	Version   int                        `json:"version"`
	LastFence fleet.FencingToken         `json:"last"`
	Time      timeline.Timeline          `json:"time"`
	Leases    map[fleet.UpstreamID]grant `json:"leases"`
}

// Snapshot returns the complete state as JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return json.Marshal(snapshot{Version: version, LastFence: m.lastFence, Time: m.time, Leases: m.leases})
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot of the leases")
	}
	if s.Version != version {
		return errors.Errorf("snapshot version %d of the leases is not supported", s.Version)
	}
	if s.Leases == nil {
		s.Leases = make(map[fleet.UpstreamID]grant)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastFence, m.time, m.leases = s.LastFence, s.Time, s.Leases
	return nil
}

// encode returns r as JSON. Encoding a reply can't fail.
func encode(r reply) []byte {
	r.Version = version
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "fencing: encode reply"))
	}
	return data
}
