// Package report holds the records of decisions that operators can ask for.
//
// Each request has one Record. Parts add an Entry for each decision: what was
// known and how old it was, what was weighed, what was chosen and why.
package report

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Entry is one decision.
type Entry struct {
	At time.Time `json:"at"`
	// Part is the part that decided, such as "routing" or "admission".
	Part string `json:"part"`
	// Known says what was known and how old it was.
	Known string `json:"known,omitempty"`
	// Weighed lists the alternatives.
	Weighed string `json:"weighed,omitempty"`
	Chosen  string `json:"chosen"`
	Reason  string `json:"reason,omitempty"`
	// Next says what would have been done next.
	Next string `json:"next,omitempty"`
}

// Record is the list of decisions on one request or change.
type Record struct {
	ID      string          `json:"id"`
	Account fleet.AccountID `json:"account,omitempty"`
	Team    fleet.TeamID    `json:"team,omitempty"`
	Entries []Entry         `json:"entries"`
}

// Trail keeps records. Implementations are safe for concurrent use and bounded.
type Trail interface {
	// Open starts the record of id for an account of a team.
	Open(id string, account fleet.AccountID, team fleet.TeamID)
	// Add appends e to the record of id.
	Add(id string, e Entry)
	// Find returns the record of id.
	Find(id string) (Record, bool)
}
