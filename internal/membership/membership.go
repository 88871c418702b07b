// Package membership defines the types that describe the instances of the fleet
// and their status.
package membership

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Status is the status of a member.
type Status int

// The statuses of a member. Left is final for an incarnation: only a higher
// incarnation replaces it.
const (
	Alive   Status = iota // alive
	Suspect               // suspect
	Dead                  // dead
	Left                  // left
)

// Member is the state of one instance as known to another.
type Member struct {
	ID          fleet.InstanceID   `json:"id"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Status      Status             `json:"status"`
	DataCentre  fleet.DataCentreID `json:"dataCentre"`
	// Gossip and Peers are the addresses, IP address and port, of the UDP and
	// gRPC listeners.
	Gossip string `json:"gossip"`
	Peers  string `json:"peers"`
	// Voter reports whether the instance keeps durable state and votes.
	Voter bool `json:"voter"`
	// Revision is the active revision of the configuration, and Since the time
	// at which it became active.
	Revision fleet.Revision `json:"revision"`
	Since    time.Time      `json:"since"`
}

// View gives other packages read access to the membership.
type View interface {
	// Self returns this instance.
	Self() Member
	// Members returns the known members, this instance included, ordered by ID.
	Members() []Member
}
