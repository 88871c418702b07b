// Package settings reads the INI file of a daemon. Load validates the whole file and
// returns either complete Settings or one error that names the file, section and key.
//
//	s, err := settings.Load("/etc/bilberryrock/a.ini")
//
// Durations and sizes are written with a unit (300ms, 3s; 64KiB, 4MiB). The settings
// file contains no secrets, only the paths of the files that hold them.
package settings

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/entry"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// Settings are the validated settings of one daemon.
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

// Instance describes the daemon itself.
type Instance struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentreID
	// DataFolder is the folder of the durable state. If it is empty, the instance
	// keeps no durable state.
	DataFolder string
	// Votes tells whether the instance is a member of the replicated logs.
	Votes bool
	// FleetSize is the maximum number of instances in a data centre. An instance
	// that does not know the others divides shared limits by it.
	FleetSize int
	// DrainDelay is the time between reporting not ready and rejecting the first
	// request in a graceful stop.
	DrainDelay time.Duration
	// StopTimeout is the maximum duration of a graceful stop.
	StopTimeout time.Duration
}

// Listeners holds the addresses on which the daemon listens, each an IP address and a
// port.
type Listeners struct {
	Callers, Operators, Upstreams, Peers, Gossip, Platform string
}

// Membership configures how the instances discover each other.
type Membership struct {
	// Seeds are gossip addresses of other instances.
	Seeds []string
	// Secret authenticates the gossip messages between instances.
	Secret []byte
}

// Voter is one member of the initial voter set.
type Voter struct {
	ID       quorum.VoterID
	Instance fleet.InstanceID
	// Address is the address of the instance's peers listener.
	Address string
}

// Quorum configures the replicated logs.
type Quorum struct {
	// InitialVoters is the initial voter set. Later changes are stored in the log.
	InitialVoters []Voter
	// TickInterval is the duration of a tick, the unit of election and heartbeat timeouts.
	TickInterval time.Duration
	// SnapshotEntries is the number of log entries after which the log is compacted.
	SnapshotEntries int
	// ProposalTimeout is the maximum wait for a commit.
	ProposalTimeout time.Duration
}

// Operators configures the HTTP API for operators.
type Operators struct {
	// Tokens maps the SHA-256 of each token, in lower-case hexadecimal, to the team
	// that may submit with it.
	Tokens map[string]fleet.TeamID
	// Certificate and Key are the paths of PEM files. If they are empty, the API uses
	// plain HTTP.
	Certificate, Key string
}

// Peers configures the security of the connections between daemons.
type Peers struct {
	// Certificate, Key and Authority are the paths of PEM files for mutual TLS. If
	// they are empty, the connections use plain TCP.
	Certificate, Key, Authority string
}

// Upstreams configures how upstreams are authenticated and monitored.
type Upstreams struct {
	// Token authenticates announcements. If it is empty, all announcements are
	// accepted.
	Token []byte
	// HeartbeatTimeout is the maximum age of the last heartbeat of an upstream that is
	// given new work.
	HeartbeatTimeout time.Duration
	// StepTimeout is the maximum duration of one step of an engine.
	StepTimeout time.Duration
}

// Requests configures the handling of callers' requests.
type Requests struct {
	// DefaultDeadline is the time limit for a response if the caller does not set one.
	DefaultDeadline time.Duration
	// MaxDeadline is the maximum time limit that a caller may set.
	MaxDeadline time.Duration
	// QueueLength is the maximum number of queued requests.
	QueueLength int
}

// Orders configures the ledger of orders, which must not be executed twice.
type Orders struct {
	// Shards is the number of ledger groups. It must be the same on all instances and
	// must not change while the ledger holds keys.
	Shards int
	// Retention is the time for which the key of an order is kept.
	Retention time.Duration
	// MaxRecords is the maximum number of keys in a shard. When it is reached, new
	// orders are rejected.
	MaxRecords int
	// MaxBytes is the maximum total size of the responses kept in a shard,
	// MaxResponseBytes the maximum size of one of them, both in bytes.
	MaxBytes, MaxResponseBytes int64
}

// Log configures the log output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
	// Format is json or console.
	Format string
}

// Faults configures fault injection for tests.
type Faults struct {
	// Injection tells whether the platform listener accepts POST /faults.
	Injection bool
}

// Repair configures the commands by which engines load weights.
type Repair struct {
	// LayerBytes is the size of the weights of one layer.
	LayerBytes int64
	// WeightBytesPerSecond is the maximum rate at which the engines of a data centre load
	// weights from the weight store, in bytes per second.
	WeightBytesPerSecond int64
}
