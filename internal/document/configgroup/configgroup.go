// Package configgroup combines the state machines that the config group
// replicates: the register of the configuration document and the fencing leases.
//
// The first byte of a command or query selects the state machine. Select returns
// a proposer that prepends it:
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

// MachineID selects a state machine of the config group.
type MachineID byte

// The state machines of the config group.
const (
	Register MachineID = 'r'
	Fencing  MachineID = 'f'
)

const snapshotVersion = 1

// Machine dispatches commands and queries to the state machine that their first
// byte selects. A command without a known first byte changes nothing and has an
// empty reply.
type Machine struct {
	register quorum.QueryableStateMachine
	fencing  quorum.QueryableStateMachine
}

var _ quorum.QueryableStateMachine = (*Machine)(nil)

// New returns the state machine of the config group.
func New(register, fencing quorum.QueryableStateMachine) *Machine {
	return &Machine{register: register, fencing: fencing}
}

func (m *Machine) route(data []byte) (quorum.QueryableStateMachine, []byte) {
	if len(data) == 0 {
		return nil, nil
	}
	switch MachineID(data[0]) {
	case Register:
		return m.register, data[1:]
	case Fencing:
		return m.fencing, data[1:]
	}
	return nil, nil
}

// Apply runs a command.
func (m *Machine) Apply(i quorum.Index, command []byte) []byte {
	machine, rest := m.route(command)
	if machine == nil {
		return nil
	}
	return machine.Apply(i, rest)
}

// Query answers a query.
func (m *Machine) Query(query []byte) []byte {
	machine, rest := m.route(query)
	if machine == nil {
		return nil
	}
	return machine.Query(rest)
}

// Snapshot returns the version in one byte, the length of the register's
// snapshot in 8 bytes (big-endian), the register's snapshot and the snapshot of
// the leases.
func (m *Machine) Snapshot() ([]byte, error) {
	registerData, err := m.register.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "snapshot of the register")
	}
	fencingData, err := m.fencing.Snapshot()
	if err != nil {
		return nil, errors.Wrap(err, "snapshot of the leases")
	}
	data := []byte{snapshotVersion}
	data = binary.BigEndian.AppendUint64(data, uint64(len(registerData)))
	data = append(data, registerData...)
	return append(data, fencingData...), nil
}

// Restore replaces the state of both state machines.
func (m *Machine) Restore(snapshot []byte) error {
	const headerBytes = 1 + 8
	if len(snapshot) < headerBytes || snapshot[0] != snapshotVersion {
		return errors.New("snapshot of the config group has an unsupported version or an incomplete header")
	}
	length := binary.BigEndian.Uint64(snapshot[1:headerBytes])
	rest := snapshot[headerBytes:]
	if length > uint64(len(rest)) {
		return errors.New("snapshot of the config group is truncated")
	}
	if err := m.register.Restore(rest[:length]); err != nil {
		return err
	}
	return m.fencing.Restore(rest[length:])
}

// Select returns a proposer whose commands and queries go to one state machine
// of the group.
func Select(p quorum.Proposer, id MachineID) quorum.Proposer {
	return prefixProposer{proposer: p, id: id}
}

type prefixProposer struct {
	proposer quorum.Proposer
	id       MachineID
}

func (s prefixProposer) Propose(ctx context.Context, g quorum.GroupID, command []byte) ([]byte, error) {
	return s.proposer.Propose(ctx, g, s.withPrefix(command))
}

func (s prefixProposer) Read(ctx context.Context, g quorum.GroupID, query []byte) ([]byte, error) {
	return s.proposer.Read(ctx, g, s.withPrefix(query))
}

func (s prefixProposer) withPrefix(data []byte) []byte {
	return append([]byte{byte(s.id)}, data...)
}
