// Package report defines the decision records that operators can query.
//
// Each request has one Record. Components add an Entry for each decision: the state
// it was based on and the age of that state, the alternatives, the choice and its
// reason.
package report

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Entry describes one decision.
type Entry struct {
	At time.Time `json:"at"`
	// Component is the component that decided, such as "routing" or "admission".
	Component string `json:"part"`
	// Known describes the state that the decision is based on, and its age.
	Known string `json:"known,omitempty"`
	// Alternatives lists the alternatives that were considered.
	Alternatives string `json:"weighed,omitempty"`
	Chosen       string `json:"chosen"`
	Reason       string `json:"reason,omitempty"`
	// Next describes the step that would have followed.
	Next string `json:"next,omitempty"`
}

// Record is the list of decisions on one request or change.
type Record struct {
	ID      string          `json:"id"`
	Account fleet.AccountID `json:"account,omitempty"`
	Team    fleet.TeamID    `json:"team,omitempty"`
	Entries []Entry         `json:"entries"`
}

// Trail stores records. Implementations are safe for concurrent use and bound their
// memory.
type Trail interface {
	// Open creates the record of id for an account of a team.
	Open(id string, account fleet.AccountID, team fleet.TeamID)
	// Add appends e to the record of id.
	Add(id string, e Entry)
	// Find returns the record of id.
	Find(id string) (Record, bool)
}
