// Package quorum holds the types and interfaces of the replicated log.
//
// A Group is one replicated log with its own leader. A StateMachine receives
// the committed commands of a group in log order on every voter. Other parts
// hand in commands through a Proposer, which forwards them to the leader:
//
//	reply, err := proposer.Propose(ctx, quorum.ConfigGroup, command)
package quorum

import "context"

// GroupID names a replicated log.
type GroupID string

// ConfigGroup is the log of the configuration document, of fencing numbers and
// of leases.
const ConfigGroup GroupID = "config"

// VoterID names a replica for the life of its data folder. A replica that lost
// its folder comes back under another VoterID.
type VoterID uint64

// Term numbers the elections of a group.
type Term uint64

// Index is the position of an entry in the log, starting at 1.
type Index uint64

// StateMachine is fed with the committed commands of one group. The calls come
// from one goroutine, in log order, and must not depend on anything but the
// commands.
type StateMachine interface {
	// Apply runs one command and returns its reply.
	Apply(index Index, command []byte) (reply []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Proposer hands commands to the leader of a group.
type Proposer interface {
	// Propose returns the reply of the state machine once the command is
	// committed and applied. An error with kind refusal.OutcomeUnknown means
	// that the command may still be applied later; refusal.NotReady means that
	// it was not and never will be.
	Propose(ctx context.Context, group GroupID, command []byte) (reply []byte, err error)
	// Read returns the reply of the state machine to a query that changes
	// nothing, at least as new as every command that was answered before the
	// call.
	Read(ctx context.Context, group GroupID, query []byte) (reply []byte, err error)
}

// Reader is a StateMachine that also answers queries.
type Reader interface {
	StateMachine
	// Query answers without changing the state.
	Query(query []byte) (reply []byte)
}
