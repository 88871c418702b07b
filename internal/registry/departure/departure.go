// Package departure is the replicated state machine of the upstreams that announced
// their shutdown. A departure that a majority has stored survives the loss of the
// controller that acknowledged it.
//
//	l := departure.New(clock, func(e registry.Entry) { catalog.Put(e, true) })
//	command, err := departure.Command(entry)
//	l.Contains(entry) // true once the command is applied
package departure

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
)

// maxEntries is the number of departures that are kept. Replicas have no common clock by
// which departures could expire, so the oldest one makes room for a new one.
const maxEntries = 4096

// renewalAge is the age from which a departure without an incarnation is recorded again.
const renewalAge = catalog.Retention / 2

// Log holds the newest departures. It is safe for concurrent use.
type Log struct {
	clock       fleet.Clock
	onDeparture func(registry.Entry)

	mu      sync.Mutex
	entries map[process]registry.Entry
	order   []process // from the oldest departure to the newest
}

// process is one incarnation of an upstream.
type process struct {
	id          fleet.UpstreamID
	incarnation fleet.Incarnation
}

var _ quorum.StateMachine = (*Log)(nil)

// New returns an empty Log. It calls f for each departure that is applied or restored, in
// the goroutine of the replica. The LastHeartbeat of the entry is the current time.
//
// Without an incarnation, a departure can't be told from that of a later process with the same
// ID. LastHeartbeat is then the time of the departure, and f is not called once a catalog
// would have dropped the entry.
func New(clock fleet.Clock, f func(registry.Entry)) *Log {
	return &Log{clock: clock, onDeparture: f, entries: make(map[process]registry.Entry)}
}

// Command returns the command that records an entry whose state is registry.Leaving or
// registry.Gone. Its LastHeartbeat is the time of the departure, by which that of a process
// without an incarnation expires.
func Command(e registry.Entry) ([]byte, error) {
	b, err := proto.Marshal(entryToProto(e))
	return b, errors.Wrapf(err, "departure of upstream %s", e.ID)
}

func entryToProto(e registry.Entry) *peerv1.UpstreamEntry {
	p := feed.EntryToProto(e, e.LastHeartbeat)
	if e.Incarnation == 0 {
		p.DepartedMs = e.LastHeartbeat.UnixMilli()
	}
	return p
}

func entryFromProto(p *peerv1.UpstreamEntry) registry.Entry {
	e := feed.EntryFromProto(p, time.Time{})
	if e.Incarnation == 0 {
		e.LastHeartbeat = time.UnixMilli(p.GetDepartedMs())
	}
	return e
}

// Apply records a departure. Leaving is replaced by gone, and never the reverse. A command
// that is no departure changes nothing.
func (l *Log) Apply(_ quorum.Index, command []byte) []byte {
	var p peerv1.UpstreamEntry
	if proto.Unmarshal(command, &p) == nil {
		l.record(&p)
	}
	return nil
}

// Contains reports whether the departure of an upstream is recorded, in the state of e or
// a later one. Without an incarnation it must be recent: it expires, and e may belong to a
// later process.
func (l *Log) Contains(e registry.Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.entries[processOf(e)]
	recent := e.Incarnation != 0 || e.LastHeartbeat.Sub(known.LastHeartbeat) < renewalAge
	return ok && recent && known.State >= e.State
}

// Len returns the number of departures.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.order)
}

// Snapshot returns the departures as an encoded peerv1.Departures.
func (l *Log) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ps := &peerv1.Departures{}
	for _, k := range l.order {
		e := l.entries[k]
		ps.Entries = append(ps.Entries, entryToProto(e))
	}
	b, err := proto.Marshal(ps)
	return b, errors.Wrap(err, "departures")
}

// Restore replaces the departures by those of a snapshot.
func (l *Log) Restore(snapshot []byte) error {
	var ps peerv1.Departures
	if err := proto.Unmarshal(snapshot, &ps); err != nil {
		return errors.Wrap(err, "departures")
	}
	l.mu.Lock()
	clear(l.entries)
	l.order = nil
	l.mu.Unlock()
	for _, p := range ps.GetEntries() {
		l.record(p)
	}
	return nil
}

func (l *Log) record(p *peerv1.UpstreamEntry) {
	e := entryFromProto(p)
	if e.State != registry.Leaving && e.State != registry.Gone || l.Contains(e) {
		return
	}
	l.mu.Lock()
	k := processOf(e)
	if _, ok := l.entries[k]; ok {
		l.order = slices.DeleteFunc(l.order, func(o process) bool { return o == k })
	}
	l.entries[k] = e
	l.order = append(l.order, k)
	if len(l.order) > maxEntries {
		delete(l.entries, l.order[0])
		l.order = slices.Delete(l.order, 0, 1)
	}
	l.mu.Unlock()
	now := l.clock.Now()
	if e.Incarnation == 0 && now.Sub(e.LastHeartbeat) > catalog.Retention {
		return
	}
	if e.Incarnation != 0 || e.LastHeartbeat.After(now) {
		e.LastHeartbeat = now
	}
	l.onDeparture(e)
}

func processOf(e registry.Entry) process { return process{id: e.ID, incarnation: e.Incarnation} }
