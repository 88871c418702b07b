// Package registry holds the types of the roster that upstreams keep current by
// heartbeats to any controller.
//
// Package catalog merges what was heard, and package feed carries it from the
// controllers to the gateways.
package registry

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

//go:generate ../../bin/stringer -type=State -linecomment -output=names_string.go

// State is what an upstream last said of itself. The values are those of
// peerv1.UpstreamState.
type State int

// The states of an upstream. Leaving and Gone are final for an incarnation.
const (
	Unknown State = iota // unknown
	Ready                // ready
	Leaving              // leaving
	Gone                 // gone
)

// Entry is what is known of one upstream.
type Entry struct {
	ID fleet.UpstreamID
	// Born is the start of the process in Unix milliseconds. An upstream that
	// starts again under its id has a higher one.
	Born fleet.Incarnation
	// Sequence grows with each heartbeat of one incarnation.
	Sequence   uint64
	Pool       fleet.PoolID
	Address    string // IP address and port
	DataCentre fleet.DataCentreID
	Slots      int
	State      State
	// Card is the kind of accelerator, or empty for a plain service.
	Card   string
	Layers upstream.LayerRange
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
	// Heard is the time of the last heartbeat by the own clock.
	Heard time.Time
}

// Sign is a heartbeat that tells nothing but that an upstream is alive.
type Sign struct {
	ID       fleet.UpstreamID
	Born     fleet.Incarnation
	Sequence uint64
	// Digest is that of the entry that the sign belongs to.
	Digest uint64
	Heard  time.Time // by the own clock
}

// Digest returns a hash of what Same compares.
func (e Entry) Digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %d %q %q %d %d %d %q %q",
		e.Born, e.State, e.Address, e.Pool, e.Layers.From, e.Layers.To, e.Slots, e.Card, e.DataCentre))
}

// Newer reports whether e replaces o, which has the same id.
func (e Entry) Newer(o Entry) bool {
	if e.Born != o.Born {
		return e.Born > o.Born
	}
	if o.State == Gone {
		return false
	}
	if e.State == Gone {
		return true
	}
	return e.Sequence > o.Sequence
}

// Same reports whether e tells nothing new beside being alive.
func (e Entry) Same(o Entry) bool {
	return e.Born == o.Born && e.State == o.State && e.Address == o.Address && e.Pool == o.Pool &&
		e.Layers == o.Layers && e.Slots == o.Slots && e.Card == o.Card && e.DataCentre == o.DataCentre
}
