// Package configgroup combines the state machines that the config group of the
// controllers replicates: the releases and the departures of upstreams.
//
//	machine := configgroup.New(releases, departures)
//	command, err := configgroup.DepartureCommand(entry)
//	reply, err := proposer.Propose(ctx, quorum.ConfigGroup, command)
//
// Commands of package store select the releases, and so do all queries.
package configgroup

import (
	"bytes"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/departure"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
)

// departureMark precedes the commands for departures, and the snapshots that contain some.
// It is a release of version 0, which no operator can submit. Daemons that know only
// releases ignore such a command.
var departureMark = make([]byte, 8)

// lengthBytes is the size of the length of the releases in a snapshot.
const lengthBytes = 8

// Machine dispatches commands to the releases or the departures.
type Machine struct {
	releases   *store.Store
	departures *departure.Log
}

var _ quorum.QueryableStateMachine = (*Machine)(nil)

// New returns the state machine of the config group.
func New(releases *store.Store, departures *departure.Log) *Machine {
	return &Machine{releases: releases, departures: departures}
}

// DepartureCommand returns the command that records the departure of an upstream.
func DepartureCommand(e registry.Entry) ([]byte, error) {
	c, err := departure.Command(e)
	return append(bytes.Clone(departureMark), c...), err
}

// Apply runs a command.
func (m *Machine) Apply(i quorum.Index, command []byte) []byte {
	if c, ok := bytes.CutPrefix(command, departureMark); ok {
		return m.departures.Apply(i, c)
	}
	return m.releases.Apply(i, command)
}

// Query returns the version of the current release.
func (m *Machine) Query(query []byte) []byte { return m.releases.Query(query) }

// Snapshot returns departureMark, the length of the releases in 8 bytes (big-endian), the
// releases and the departures. Without departures it returns the releases alone.
func (m *Machine) Snapshot() ([]byte, error) {
	releases, err := m.releases.Snapshot()
	if err != nil || m.departures.Len() == 0 {
		return releases, err
	}
	departures, err := m.departures.Snapshot()
	if err != nil {
		return nil, err
	}
	b := bytes.Clone(departureMark)
	b = binary.BigEndian.AppendUint64(b, uint64(len(releases)))
	b = append(b, releases...)
	return append(b, departures...), nil
}

// Restore replaces the releases and the departures.
func (m *Machine) Restore(snapshot []byte) error {
	releases, departures, err := split(snapshot)
	if err != nil {
		return err
	}
	if err := m.releases.Restore(releases); err != nil {
		return err
	}
	return m.departures.Restore(departures)
}

// split returns the releases and the departures of a snapshot.
func split(snapshot []byte) (releases, departures []byte, err error) {
	rest, ok := bytes.CutPrefix(snapshot, departureMark)
	if !ok || len(rest) == 0 {
		return snapshot, nil, nil
	}
	if len(rest) < lengthBytes {
		return nil, nil, errors.Errorf("snapshot of %d bytes has no length of the releases", len(snapshot))
	}
	length := binary.BigEndian.Uint64(rest)
	rest = rest[lengthBytes:]
	if length > uint64(len(rest)) {
		return nil, nil, errors.Errorf("snapshot of %d bytes is truncated", len(snapshot))
	}
	return rest[:length], rest[length:], nil
}
