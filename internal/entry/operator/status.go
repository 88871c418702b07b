package operator

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Status is the state of the fleet as one instance sees it.
type Status struct {
	// Instance is the instance that answered.
	Instance fleet.InstanceID `json:"instance"`
	// Revision is the configuration in force on it.
	Revision fleet.Revision `json:"revision"`
	// ConfirmedAgo is the time since a voter last confirmed that Revision is
	// the newest. It grows while the instance is cut off.
	ConfirmedAgo Seconds          `json:"confirmedAgo"`
	Instances    []InstanceStatus `json:"instances"`
	Changes      []ChangeStatus   `json:"changes"`
	Groups       []GroupStatus    `json:"groups"`
	Upstreams    []PoolStatus     `json:"upstreams"`
}

// Seconds is a duration that is written as a number of seconds.
type Seconds float64

// InSeconds converts d.
func InSeconds(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// InstanceStatus is one instance of the fleet.
type InstanceStatus struct {
	ID         fleet.InstanceID   `json:"id"`
	DataCentre fleet.DataCentreID `json:"dataCentre"`
	Status     string             `json:"status"`
	Voter      bool               `json:"voter"`
	Revision   fleet.Revision     `json:"revision"`
	// Since is the time at which Revision came into force there.
	Since time.Time `json:"since"`
}

// ChangeStatus tells how far a revision has spread.
type ChangeStatus struct {
	Revision fleet.Revision `json:"revision"`
	// InForce is the time at which all reachable instances had the revision.
	// It is missing while some lag.
	InForce *time.Time         `json:"inForce,omitempty"`
	Lagging []fleet.InstanceID `json:"lagging,omitempty"`
}

// GroupStatus is the state of one replicated log on the answering instance.
type GroupStatus struct {
	Group   string        `json:"group"`
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit"`
	Applied uint64        `json:"applied"`
	Voters  []VoterStatus `json:"voters"`
	// Failure says why the replica does not run.
	Failure string `json:"failure,omitempty"`
}

// VoterStatus is one member of a replicated log.
type VoterStatus struct {
	// ID is new for every data folder.
	ID       uint64 `json:"id"`
	Instance string `json:"instance"`
	// Learner tells that the member does not vote yet.
	Learner bool `json:"learner"`
	// Behind is the number of entries that the member lacks. Only the leader
	// knows it.
	Behind uint64 `json:"behind"`
}

// PoolStatus counts the upstreams of a pool that may get new work.
type PoolStatus struct {
	Pool   fleet.PoolID `json:"pool"`
	Usable int          `json:"usable"`
}
