// Package configgroup joins the state machines that share the config group: the
// register of the document and the fencing leases.
//
// The first byte of a command or query selects the state machine. Select returns
// a proposer that adds it:
//
//	machine := configgroup.New(register.New(), fencing.NewMachine())
//	client := register.NewClient(configgroup.Select(proposer, configgroup.Register), quorum.ConfigGroup, clock)
package configgroup

import (
	"context"
	"encoding/binary"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// Part selects a state machine of the config group.
type Part byte

// The parts of the config group.
const (
	Register Part = 'r'
	Fencing  Part = 'f'
)

const snapshotVersion = 1

// Machine passes commands and queries on to the state machine that their first
// byte selects. A command without a known first byte changes nothing and has an
// empty reply.
type Machine struct {
	register quorum.Reader
	fencing  quorum.Reader
}

var _ quorum.Reader = (*Machine)(nil)

// New returns the state machine of the config group.
func New(register, fencing quorum.Reader) *Machine {
	return &Machine{register: register, fencing: fencing}
}

func (m *Machine) part(data []byte) (quorum.Reader, []byte) {
	if len(data) == 0 {
		return nil, nil
	}
	switch Part(data[0]) {
	case Register:
		return m.register, data[1:]
	case Fencing:
		return m.fencing, data[1:]
	}
	return nil, nil
}

// Apply runs a command.
func (m *Machine) Apply(i quorum.Index, command []byte) []byte {
	r, rest := m.part(command)
	if r == nil {
		return nil
	}
	return r.Apply(i, rest)
}

// Query answers a query.
func (m *Machine) Query(query []byte) []byte {
	r, rest := m.part(query)
	if r == nil {
		return nil
	}
	return r.Query(rest)
}

// Snapshot returns the version, the length of the register's snapshot in 8
// bytes, and the two snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	first, err := m.register.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "snapshot of the register")
	}
	second, err := m.fencing.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "snapshot of the leases")
	}
	data := []byte{snapshotVersion}
	data = binary.BigEndian.AppendUint64(data, uint64(len(first)))
	data = append(data, first...)
	return append(data, second...), nil
}

// Restore replaces the state of both state machines.
func (m *Machine) Restore(snapshot []byte) error {
	const header = 1 + 8
	if len(snapshot) < header || snapshot[0] != snapshotVersion {
		return errors.New("snapshot of the config group has an unknown form")
	}
	length := binary.BigEndian.Uint64(snapshot[1:header])
	rest := snapshot[header:]
	if length > uint64(len(rest)) {
		return errors.New("snapshot of the config group is too short")
	}
	if err := m.register.Restore(rest[:length]); err != nil {
		return err
	}
	return m.fencing.Restore(rest[length:])
}

// Select returns a proposer whose commands and queries go to one part of the
// group.
func Select(p quorum.Proposer, part Part) quorum.Proposer {
	return selector{proposer: p, part: part}
}

type selector struct {
	proposer quorum.Proposer
	part     Part
}

func (s selector) Propose(ctx context.Context, g quorum.GroupID, command []byte) ([]byte, error) {
	return s.proposer.Propose(ctx, g, s.mark(command))
}

func (s selector) Read(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, error) {
	return s.proposer.Read(ctx, g, s.mark(query))
}

func (s selector) mark(data []byte) []byte {
	return append([]byte{byte(s.part)}, data...)
}
