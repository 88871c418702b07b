package operator

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Status is the state of the fleet as known to one instance.
type Status struct {
	// Instance is the instance that reports the status.
	Instance fleet.InstanceID `json:"instance"`
	// Revision is the active configuration revision of that instance.
	Revision fleet.Revision `json:"revision"`
	// ConfirmationAge is the time since a voter last confirmed that Revision is the
	// newest. It grows while the instance is partitioned from the voters.
	ConfirmationAge Seconds          `json:"confirmedAgo"`
	Instances       []InstanceStatus `json:"instances"`
	Changes         []ChangeStatus   `json:"changes"`
	Groups          []GroupStatus    `json:"groups"`
	Upstreams       []PoolStatus     `json:"upstreams"`
}

// Seconds is a duration that is encoded as a number of seconds.
type Seconds float64

// InSeconds converts d to seconds.
func InSeconds(d time.Duration) Seconds { return Seconds(d.Seconds()) }

// InstanceStatus is the state of one instance of the fleet.
type InstanceStatus struct {
	ID         fleet.InstanceID   `json:"id"`
	DataCentre fleet.DataCentreID `json:"dataCentre"`
	Status     string             `json:"status"`
	Voter      bool               `json:"voter"`
	Revision   fleet.Revision     `json:"revision"`
	// Since is the time at which Revision became active on the instance.
	Since time.Time `json:"since"`
}

// ChangeStatus is the propagation state of a configuration revision.
type ChangeStatus struct {
	Revision fleet.Revision `json:"revision"`
	// ActiveAt is the time at which the revision was active on all reachable
	// instances. It is nil while some of them lag.
	ActiveAt *time.Time         `json:"inForce,omitempty"`
	Lagging  []fleet.InstanceID `json:"lagging,omitempty"`
}

// GroupStatus is the state of one replicated log on the reporting instance.
type GroupStatus struct {
	Group   string        `json:"group"`
	Leader  string        `json:"leader"`
	Term    uint64        `json:"term"`
	Commit  uint64        `json:"commit"`
	Applied uint64        `json:"applied"`
	Voters  []VoterStatus `json:"voters"`
	// Failure is the reason why the replica does not run, or empty.
	Failure string `json:"failure,omitempty"`
}

// VoterStatus is one member of a replicated log.
type VoterStatus struct {
	// ID identifies the data folder of the member: a new folder has a new id.
	ID       uint64 `json:"id"`
	Instance string `json:"instance"`
	// Learner reports that the member does not vote yet.
	Learner bool `json:"learner"`
	// LagEntries is the number of log entries that the member lacks. It is known only
	// on the leader.
	LagEntries uint64 `json:"behind"`
}

// PoolStatus holds the number of upstreams of a pool that may get new work.
type PoolStatus struct {
	Pool   fleet.PoolID `json:"pool"`
	Usable int          `json:"usable"`
}
