// Package settings reads the INI file of a daemon. The file is checked whole:
// Load returns either complete Settings or one error that names file, section
// and key.
//
//	s, err := settings.Load("/etc/bilberryrock/a.ini")
//
// Durations carry a unit (300ms, 3s), sizes too (64KiB, 4MiB). Secrets are read
// from files that the settings name, so that the settings hold none.
package settings

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Instance   Instance
	Listeners  Listeners
	Membership Membership
	Quorum     Quorum
	Operators  Operators
	Peers      Peers
	Upstreams  Upstreams
	Limits     entry.Limits
	Requests   Requests
	Orders     Orders
	Repair     Repair
	Log        Log
	Faults     Faults
}

// Instance says who the daemon is.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentreID
	// DataFolder holds the durable state. An empty one means that the instance
	// keeps none.
	DataFolder string
	// Votes tells whether the instance is a member of the replicated logs.
	Votes bool
	// FleetSize is the greatest number of instances in a data centre. An
	// instance that does not know the others divides shared bounds by it.
	FleetSize int
	// DrainDelay is the time between the loss of readiness and the first refusal in
	// a graceful stop.
	DrainDelay time.Duration
	// StopTimeout bounds the time of a graceful stop.
	StopTimeout time.Duration
}

// Listeners are the addresses, IP address and port, that the daemon listens on.
type Listeners struct {
	Callers, Operators, Upstreams, Peers, Gossip, Platform string
}

// Membership says how the instances find each other.
type Membership struct {
	// Seeds are gossip addresses of other instances.
	Seeds []string
	// Secret authenticates the messages between instances.
	Secret []byte
}

// Voter is one member of the first voter set.
type Voter struct {
	ID       quorum.VoterID
	Instance fleet.InstanceID
	// Address is the peers' listener of the instance.
	Address string
}

// Quorum says how the replicated logs run.
type Quorum struct {
	// Voters is the first voter set. Later changes are kept in the log.
	Voters []Voter
	// Tick is the unit of election and heartbeat times.
	Tick time.Duration
	// SnapshotEntries is the number of entries after which the log is compacted.
	SnapshotEntries int
	// ProposalTimeout bounds the wait for a commit.
	ProposalTimeout time.Duration
}

// Operators says who may submit.
type Operators struct {
	// Tokens maps the SHA-256 of a token, in lower-case hexadecimal, to its
	// team.
	Tokens map[string]fleet.TeamID
	// Certificate and Key are PEM files. Empty ones mean plain HTTP.
	Certificate, Key string
}

// Peers says how the daemons protect their connections.
type Peers struct {
	// Certificate, Key and Authority are PEM files for mutual TLS. Empty ones
	// mean plain TCP.
	Certificate, Key, Authority string
}

// Upstreams says how announcements are checked.
type Upstreams struct {
	// Token authenticates announcements. An empty one admits all.
	Token []byte
	// ConfirmationAge is the greatest age of a confirmation for new work.
	ConfirmationAge time.Duration
	// StepTimeout bounds one step of an engine.
	StepTimeout time.Duration
}

// Requests says how requests of callers are treated.
type Requests struct {
	// Deadline is the time for an answer if the caller names none.
	Deadline time.Duration
	// MaxDeadline bounds the time that a caller may ask for.
	MaxDeadline time.Duration
	// QueueLength bounds the waiting requests.
	QueueLength int
}

// Orders says how orders that may not be repeated are kept.
type Orders struct {
	// Shards is the number of groups. It must be the same on all instances and
	// must not change while keys are kept.
	Shards int
	// Retention is the time that a key is kept.
	Retention time.Duration
	// MaxRecords bounds the kept keys of a shard. At the bound new orders are
	// refused.
	MaxRecords int
	// MaxBytes bounds the kept answers of a shard, MaxAnswer one of them.
	MaxBytes, MaxAnswer int64
}

// Log says how the daemon logs.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
}

// Faults says which faults can be brought about from outside, for tests.
type Faults struct {
	// Injection lets the platform listener accept POST /faults.
	Injection bool
}

// Repair says how engines are told to load weights.
type Repair struct {
	// LayerBytes is the size of the weights of one layer.
	LayerBytes int64
	// WeightRate bounds what the engines of a data centre load from the weight
	// store, in bytes a second.
	WeightRate int64
}
