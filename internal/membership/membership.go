// Package membership holds the types of the instances that know each other.
package membership

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Status is the status of a member.
type Status int

// The statuses of a member. Left is final for an incarnation.
const (
	Alive   Status = iota // alive
	Suspect               // suspect
	Dead                  // dead
	Left                  // left
)

// Member is one instance as another sees it.
type Member struct {
	ID          fleet.InstanceID   `json:"id"`
	Incarnation fleet.Incarnation  `json:"incarnation"`
	Status      Status             `json:"status"`
	DataCentre  fleet.DataCentreID `json:"dataCentre"`
	// Gossip and Peers are the addresses, IP address and port, of the UDP and
	// gRPC listeners.
	Gossip string `json:"gossip"`
	Peers  string `json:"peers"`
	// Voter tells that the instance keeps durable state and votes.
	Voter bool `json:"voter"`
	// Revision is the configuration in force and Since when it got there.
	Revision fleet.Revision `json:"revision"`
	Since    time.Time      `json:"since"`
}

// View is what other parts read of the membership.
type View interface {
	// Self returns this instance.
	Self() Member
	// Members returns the known members, this instance included, ordered by ID.
	Members() []Member
}
