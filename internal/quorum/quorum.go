// Package quorum defines the types and interfaces of the replicated log.
//
// A group is one replicated log with its own leader. On every voter, a
// StateMachine applies the committed commands of the group in log order. Other
// packages submit commands through a Proposer, which forwards them to the leader:
//
//	reply, err := proposer.Propose(ctx, quorum.ConfigGroup, command)
package quorum

import "context"

// GroupID identifies a replicated log.
type GroupID string

// ConfigGroup is the log for the configuration document, fencing tokens and
// leases.
const ConfigGroup GroupID = "config"

// VoterID identifies a replica for the lifetime of its data folder. A replica
// that lost its folder rejoins under a new VoterID.
type VoterID uint64

// Term is the election term of a group. It increases with every election.
type Term uint64

// Index is the position of an entry in the log, starting at 1.
type Index uint64

// StateMachine applies the committed commands of one group. Its methods are
// called from one goroutine, in log order. Their results must depend on nothing
// but the commands, so that all replicas reach the same state.
type StateMachine interface {
	// Apply executes one command and returns its reply.
	Apply(index Index, command []byte) (reply []byte)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Proposer submits commands and queries to the leader of a group.
type Proposer interface {
	// Propose returns the reply of the state machine once the command is
	// committed and applied. An error of kind refusal.OutcomeUnknown means that
	// the command may still be applied later; refusal.NotReady means that it was
	// not applied and never will be.
	Propose(ctx context.Context, group GroupID, command []byte) (reply []byte, err error)
	// Read returns the reply of the state machine to a read-only query. The reply
	// reflects at least all commands whose replies were returned before the call.
	Read(ctx context.Context, group GroupID, query []byte) (reply []byte, err error)
}

// QueryableStateMachine is a StateMachine that also answers queries.
type QueryableStateMachine interface {
	StateMachine
	// Query returns the reply to a query. It must not change the state.
	Query(query []byte) (reply []byte)
}
