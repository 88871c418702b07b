// Package fencing keeps commands of different instances to one engine apart.
//
// The Machine is part of the config group. It grants a lease on an engine to one
// Holder at a time, each with a higher fencing token than every lease before. A
// Commander sends a command to an engine only under a valid lease and with its
// token:
//
//	holder := fencing.NewHolder(proposer, quorum.ConfigGroup, clock, instance, fencing.DefaultTerms)
//	report, err := fencing.NewCommander(holder, dialer).Send(ctx, upstream, command)
//
// The Machine decides without a clock. A holder counts its lease from the time before it
// sent the request. A successor first sees the lease of the holder, waits for its
// whole duration, the time that a command may be under way and the clock error
// bound, and takes the lease over only if it was not renewed meanwhile. Engines
// that refuse old tokens need no wait.
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
	// MaxLeases bounds the leases that are kept. When it is reached, those that
	// were not used for StaleAfter are dropped: their engines are gone.
	MaxLeases = 50_000
	// StaleAfter is far longer than any lease with its wait.
	StaleAfter = 24 * time.Hour

	maxName = 256 // bytes of a holder or an upstream id
)

// Session names one life of a Holder. A restarted instance has another Session.
type Session string

// Lease is the right to send commands to one engine.
type Lease struct {
	Upstream fleet.UpstreamID `json:"upstream"`
	Session  Session          `json:"session"`
	Fence    fleet.Fence      `json:"fence"`
	// Renewals counts the renewals under this Fence.
	Renewals uint64 `json:"renewals"`
	// Duration is the time for which the lease holds after it was requested,
	// UnderWay the time that a command may need after it was sent.
	Duration time.Duration `json:"duration"`
	UnderWay time.Duration `json:"underWay"`
	// Policy is what the holder assumes about the engine.
	Policy upstream.FencePolicy `json:"policy"`
}

// Machine is the state machine of the leases. It is safe for concurrent use.
type Machine struct {
	mu     sync.RWMutex
	last   fleet.Fence
	time   timeline.Timeline
	leases map[fleet.UpstreamID]granted
}

// granted is a lease and the time of its last grant or renewal. The time decides
// only whether the lease is stale.
type granted struct {
	Lease
	Used time.Time `json:"used"`
}

var _ quorum.Reader = (*Machine)(nil)

// NewMachine returns a Machine without leases.
func NewMachine() *Machine {
	return &Machine{leases: make(map[fleet.UpstreamID]granted)}
}

type kind string

const (
	acquireKind kind = "acquire"
	renewKind   kind = "renew"
	releaseKind kind = "release"
)

// command asks for a change of one lease.
type command struct {
	Version int  `json:"version"`
	Kind    kind `json:"kind"`
	// Lease holds the wanted terms. Its Fence is that of the lease to renew or
	// release.
	Lease Lease `json:"lease"`
	// Over is a lease of another session that the sender has waited for. An
	// acquire takes it over when it is still the same.
	Over *Lease `json:"over,omitempty"`
	// Instance and At are the sender and its time.
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// reply answers a command and, with Lease only, a query for an upstream.
type reply struct {
	Version int    `json:"version"`
	Error   string `json:"error,omitempty"`
	Granted bool   `json:"granted,omitempty"`
	// Lease is the lease after the command, if there is one.
	Lease *Lease `json:"lease,omitempty"`
}

// Apply runs one command.
func (m *Machine) Apply(_ quorum.Index, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return encode(reply{Error: "command does not decode"})
	}
	l := c.Lease
	if c.Version != version || l.Upstream == "" || l.Session == "" || len(l.Upstream)+len(l.Session) > maxName {
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

// acquire grants the lease with a new token. A session that acquires again gets
// a new token too, so that a late release of the old one has no effect.
func (m *Machine) acquire(c command) reply {
	old, taken := m.leases[c.Lease.Upstream]
	if taken && !mayTake(old.Lease, c) {
		return reply{Lease: &old.Lease}
	}
	if !taken && len(m.leases) >= MaxLeases {
		m.sweep()
	}
	if !taken && len(m.leases) >= MaxLeases {
		return reply{Error: "too many leases"}
	}
	m.last++
	l := c.Lease
	l.Fence, l.Renewals = m.last, 0
	m.leases[l.Upstream] = granted{Lease: l, Used: m.time.From(c.At)}
	return reply{Granted: true, Lease: &l}
}

// sweep drops the leases that were not used for StaleAfter.
func (m *Machine) sweep() {
	for id, g := range m.leases {
		if !g.Used.Add(StaleAfter).After(m.time.Now()) {
			delete(m.leases, id)
		}
	}
}

// mayTake reports whether c may replace the lease of old.
func mayTake(old Lease, c command) bool {
	switch {
	case old.Session == c.Lease.Session:
		return true
	case old.Policy == upstream.RefusesOld && c.Lease.Policy == upstream.RefusesOld:
		// The engine refuses the token of the old holder once it has seen the
		// new one.
		return true
	}
	return c.Over != nil && *c.Over == old
}

func (m *Machine) renew(c command) reply {
	l, ok := m.held(c)
	if !ok {
		return reply{}
	}
	l.Renewals++
	m.leases[l.Upstream] = granted{Lease: l, Used: m.time.From(c.At)}
	return reply{Granted: true, Lease: &l}
}

func (m *Machine) release(c command) reply {
	if l, ok := m.held(c); ok {
		delete(m.leases, l.Upstream)
	}
	return reply{Granted: true}
}

// held returns the lease that c names, if it is still in place.
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
	Version int                          `json:"version"`
	Last    fleet.Fence                  `json:"last"`
	Time    timeline.Timeline            `json:"time"`
	Leases  map[fleet.UpstreamID]granted `json:"leases"`
}

// Snapshot returns the whole state in JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return json.Marshal(snapshot{Version: version, Last: m.last, Time: m.time, Leases: m.leases})
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot of the leases")
	}
	if s.Version != version {
		return errors.Errorf("snapshot version %d of the leases is not supported", s.Version)
	}
	if s.Leases == nil {
		s.Leases = make(map[fleet.UpstreamID]granted)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last, m.time, m.leases = s.Last, s.Time, s.Leases
	return nil
}

// encode returns p in JSON. A reply always encodes.
func encode(p reply) []byte {
	p.Version = version
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "fencing: encode reply"))
	}
	return data
}
