// Package quorumtest provides implementations of quorum.Proposer and journal.Disk
// for tests. A Proposer applies commands in process, without replication:
//
//	p := quorumtest.New()
//	p.Register(quorum.ConfigGroup, machine)
//	reply, err := p.Propose(ctx, quorum.ConfigGroup, command)
//
// InjectFaults makes the next calls return errors, with or without applying the
// command, to simulate a leader change or a lost reply.
package quorumtest

import (
	"context"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// Proposer applies commands to state machines in the calling goroutine, one command
// at a time. It is safe for concurrent use.
type Proposer struct {
	mu     sync.Mutex
	groups map[quorum.GroupID]*group
}

type group struct {
	machine quorum.QueryableStateMachine
	index   quorum.Index
	faults  []Fault
}

// Fault replaces the outcome of one call of Propose.
type Fault struct {
	// Err is returned in place of the reply.
	Err error
	// Applied is set if the command is applied nevertheless.
	Applied bool
}

var _ quorum.Proposer = (*Proposer)(nil)

// New returns a Proposer without groups.
func New() *Proposer {
	return &Proposer{groups: make(map[quorum.GroupID]*group)}
}

// Register makes m the state machine of a group.
func (p *Proposer) Register(id quorum.GroupID, m quorum.QueryableStateMachine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[id] = &group{machine: m}
}

// InjectFaults adds faults to the next calls of Propose for a group, one fault per
// call.
func (p *Proposer) InjectFaults(id quorum.GroupID, faults ...Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[id]
	g.faults = append(g.faults, faults...)
}

// Propose applies a command and returns its reply.
func (p *Proposer) Propose(ctx context.Context, id quorum.GroupID, command []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, err := p.group(ctx, id)
	if err != nil {
		return nil, err
	}
	fault := g.nextFault()
	if fault.Err != nil && !fault.Applied {
		return nil, fault.Err
	}
	g.index++
	reply := g.machine.Apply(g.index, command)
	if fault.Err != nil {
		return nil, fault.Err
	}
	return reply, nil
}

// Read returns the reply of a group's state machine to a query.
func (p *Proposer) Read(ctx context.Context, id quorum.GroupID, query []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, err := p.group(ctx, id)
	if err != nil {
		return nil, err
	}
	return g.machine.Query(query), nil
}

func (p *Proposer) group(ctx context.Context, id quorum.GroupID) (*group, error) {
	if err := ctx.Err(); err != nil {
		return nil, refusal.WithCause(refusal.NotReady, err, "group %q did not receive the request", id)
	}
	g, ok := p.groups[id]
	if !ok {
		return nil, refusal.New(refusal.NotReady, "group %q is not registered", id)
	}
	return g, nil
}

// nextFault removes and returns the first injected fault, or the zero value.
func (g *group) nextFault() Fault {
	if len(g.faults) == 0 {
		return Fault{}
	}
	f := g.faults[0]
	g.faults = g.faults[1:]
	return f
}
