// Package order defines the types of at-most-once calls, such as a reprint
// order, and the Ledger that stores their claims and responses.
//
// An order runs at most once across all instances. Before the first byte is sent
// to an upstream, a majority of the Ledger's replicas have synced the claim to
// disk. A claim ends when its response is recorded, or when it is released
// because it is certain that nothing was sent.
package order

import (
	"context"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Key identifies an order of a client account.
type Key struct {
	Account fleet.AccountID `json:"account"`
	// Name is the value of the Idempotency-Key header.
	Name string `json:"name"`
}

// AttemptID identifies one attempt by one instance to run an order.
type AttemptID string

// State is the state of a key in the Ledger.
type State int

// The states of a key.
const (
	// Free means that there is no claim.
	Free State = iota // free
	// Claimed means that an attempt may be running or may have run.
	Claimed // claimed
	// Done means that the outcome is recorded.
	Done // done
)

// Claim is a request for the exclusive right to run an order.
type Claim struct {
	Key     Key       `json:"key"`
	Attempt AttemptID `json:"attempt"`
	// Digest is the SHA-256 of method, path and body. Reusing a key with a
	// different Digest is refused.
	Digest   [32]byte         `json:"digest"`
	Request  fleet.RequestID  `json:"request"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// Record is the Ledger's entry for a key.
type Record struct {
	State    State              `json:"state"`
	Claim    Claim              `json:"claim"`
	Response *upstream.Response `json:"answer,omitempty"`
	// HeldByCaller reports whether the calling attempt made the recorded claim.
	HeldByCaller bool `json:"mine"`
	// DigestMismatch reports whether the key was used before with another digest.
	DigestMismatch bool `json:"reused"`
}

// Ledger stores claims and responses. Its methods are idempotent for the same
// attempt. An error of kind refusal.LedgerUnreachable means that the call may or
// may not have taken effect.
type Ledger interface {
	// Claim claims the key of c, unless it is already claimed or done, and
	// returns the record.
	Claim(ctx context.Context, c Claim) (Record, error)
	// Finish records the response of an attempt.
	Finish(ctx context.Context, k Key, a AttemptID, response upstream.Response) error
	// Release gives up the claim of an attempt that has certainly sent nothing.
	Release(ctx context.Context, k Key, a AttemptID) error
}
