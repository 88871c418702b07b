// Package registry defines the entries of the upstream registry. Upstreams keep their
// entries current by sending heartbeats to any controller.
//
// Package catalog merges the entries of several sources, and package feed streams
// them from the controllers to the gateways.
package registry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

//go:generate ../../bin/stringer -type=State -linecomment -output=names_string.go

// State is the state that an upstream last reported. The values are those of
// peerv1.UpstreamState.
type State int

// The states of an upstream. Leaving and Gone are final for an incarnation.
const (
	Unknown State = iota // unknown
	Ready                // ready
	Leaving              // leaving
	Gone                 // gone
)

// Entry is the registration of one upstream.
type Entry struct {
	ID fleet.UpstreamID
	// Incarnation is the start time of the process in Unix milliseconds. An upstream that
	// restarts under the same id has a higher one.
	Incarnation fleet.Incarnation
	// Sequence increases with each heartbeat of one incarnation.
	Sequence   uint64
	Pool       fleet.PoolID
	Address    string // IP address and port
	DataCentre fleet.DataCentreID
	Slots      int
	State      State
	// Card is the kind of accelerator, or empty for a plain service.
	Card   string
	Layers upstream.LayerRange
	// WarmUpRemaining is the time for which the upstream will still be slow after its start.
	WarmUpRemaining time.Duration
	// LastHeartbeat is the time of the last heartbeat by the local clock.
	LastHeartbeat time.Time
}

// Renewal is a heartbeat that leaves the entry of an upstream unchanged, so that only
// the digest of the entry is sent.
type Renewal struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
	Sequence    uint64
	// Digest is the digest of the entry that is renewed.
	Digest        uint64
	LastHeartbeat time.Time // by the local clock
}

// Digest returns a hash of the fields that SameContent compares.
func (e Entry) Digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %d %q %q %d %d %d %q %q",
		e.Incarnation, e.State, e.Address, e.Pool, e.Layers.From, e.Layers.To, e.Slots, e.Card, e.DataCentre))
}

// Newer reports whether e replaces o, an entry with the same id.
func (e Entry) Newer(o Entry) bool {
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	if o.State == Gone {
		return false
	}
	if e.State == Gone {
		return true
	}
	return e.Sequence > o.Sequence
}

// SameContent reports whether e and o differ at most in the fields that each heartbeat
// renews.
func (e Entry) SameContent(o Entry) bool {
	return e.Incarnation == o.Incarnation && e.State == o.State && e.Address == o.Address && e.Pool == o.Pool &&
		e.Layers == o.Layers && e.Slots == o.Slots && e.Card == o.Card && e.DataCentre == o.DataCentre
}
