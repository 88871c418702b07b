// Package order holds the types of calls that may not be repeated, such as a
// reprint order, and the Ledger that keeps them.
//
// An order runs at most once over all instances. Before the first byte goes to
// an upstream, the Ledger holds a claim on every synced copy of a majority. A
// claim ends with the recorded answer, or with a release when it is certain that
// nothing was sent.
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

// AttemptID identifies one try of one instance to run an order.
type AttemptID string

// State is the state of a key in the ledger.
type State int

// The states of a key.
const (
	// Free means that there is no claim.
	Free State = iota // free
	// Claimed means that an attempt may have run, or may be running.
	Claimed // claimed
	// Done means that the answer is recorded.
	Done // done
)

// Claim asks for the right to run an order.
type Claim struct {
	Key     Key       `json:"key"`
	Attempt AttemptID `json:"attempt"`
	// Digest is the SHA-256 of method, path and body. A key that is used with
	// another Digest is refused.
	Digest   [32]byte         `json:"digest"`
	Request  fleet.RequestID  `json:"request"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

// Record is what the ledger holds for a key.
type Record struct {
	State    State            `json:"state"`
	Claim    Claim            `json:"claim"`
	Response *upstream.Answer `json:"answer,omitempty"`
	// HeldByCaller tells that the claim of the caller's attempt holds.
	HeldByCaller bool `json:"mine"`
	// DigestMismatch tells that the key was used before with another digest.
	DigestMismatch bool `json:"reused"`
}

// Ledger keeps claims and answers. Its methods are safe to repeat with the same
// attempt. Errors of kind refusal.LedgerUnreachable mean that the call may or may
// not have taken effect.
type Ledger interface {
	// Claim claims the key of c, unless it is claimed or done already, and
	// returns the record.
	Claim(ctx context.Context, c Claim) (Record, error)
	// Finish records the answer of an attempt.
	Finish(ctx context.Context, k Key, a AttemptID, response upstream.Answer) error
	// Release gives up a claim whose attempt has certainly sent nothing.
	Release(ctx context.Context, k Key, a AttemptID) error
}
