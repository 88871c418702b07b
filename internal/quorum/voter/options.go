package voter

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/systemclock"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// Default values of options.
const (
	DefaultTickInterval    = 50 * time.Millisecond
	DefaultSnapshotEntries = 10000
	DefaultRetainedEntries = 1000
	DefaultFaultTolerance  = 1
	// DefaultAttemptTimeout limits one attempt to propose or read. It is longer than
	// an election, so that a caller does not give up on a leader that is running.
	DefaultAttemptTimeout = 1500 * time.Millisecond
	// DefaultTimeout limits a call whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes = 8 << 20
)

const (
	// maxMessageBytes is the maximum size of a gRPC message. A batch of maxBatchBytes
	// and one more command fit in.
	maxMessageBytes   = 32 << 20
	keepaliveTime     = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	connectTimeout    = time.Second
	maxConnectBackoff = 500 * time.Millisecond
)

// Peer is an initial voter, or an address to which a Client sends requests.
type Peer struct {
	ID       quorum.VoterID
	Instance fleet.InstanceID
	// Address is the host and port of the listener for peers.
	Address string
}

// Option sets one property of a Voter or a Client.
type Option func(*config)

type config struct {
	instance         fleet.InstanceID
	address          string
	folder           string
	disk             journal.Disk
	clock            fleet.Clock
	initial          []Peer
	contacts         []Peer
	allowJoin        bool
	faultTolerance   int
	stateMachines    map[quorum.GroupID]quorum.QueryableStateMachine
	groupOrder       []quorum.GroupID
	tickInterval     time.Duration
	replicaOptions   replica.Options
	snapshotEntries  int
	retainedEntries  int
	attemptTimeout   time.Duration
	cut              func(from, to fleet.InstanceID) bool
	extraDialOptions []grpc.DialOption
	logger           *zap.Logger
}

// Instance sets the id of this instance and the address of its listener for peers.
func Instance(id fleet.InstanceID, address string) Option {
	return func(c *config) { c.instance, c.address = id, address }
}

// Folder sets the data folder of a Voter.
func Folder(dir string) Option { return func(c *config) { c.folder = dir } }

// Disk replaces the file system. The default is journal.OS.
func Disk(d journal.Disk) Option { return func(c *config) { c.disk = d } }

// Clock replaces the system clock.
func Clock(clk fleet.Clock) Option { return func(c *config) { c.clock = clk } }

// InitialVoters sets the first voters of all groups. It must be the same on all of
// them. Later changes of the members are read from the log.
func InitialVoters(ps ...Peer) Option { return func(c *config) { c.initial = ps } }

// Contacts sets addresses at which voters may be found, in addition to the initial
// voters and to those that have sent messages to this one. They need not be
// reachable.
func Contacts(ps ...Peer) Option { return func(c *config) { c.contacts = ps } }

// AllowJoin lets instances without a voter join the groups as additional voters. Members
// leave when they stop, and the leader removes those that stay unreachable, see
// FaultTolerance.
func AllowJoin() Option { return func(c *config) { c.allowJoin = true } }

// FaultTolerance sets the number of voters whose simultaneous loss a group must
// survive. With AllowJoin, the leader removes a voter that stops or stays unreachable if
// the group can survive as many losses without it. The default is DefaultFaultTolerance.
func FaultTolerance(n int) Option { return func(c *config) { c.faultTolerance = n } }

// Group adds a group and its state machine.
func Group(id quorum.GroupID, m quorum.QueryableStateMachine) Option {
	return func(c *config) {
		c.stateMachines[id] = m
		c.groupOrder = append(c.groupOrder, id)
	}
}

// TickInterval sets the duration of a tick, the unit of election timeouts and
// heartbeat intervals.
func TickInterval(d time.Duration) Option { return func(c *config) { c.tickInterval = d } }

// ReplicaOptions sets the options of the replicas. The Voter sets ID, and also Seed
// if it is 0.
func ReplicaOptions(o replica.Options) Option { return func(c *config) { c.replicaOptions = o } }

// SnapshotEntries sets the number of entries between snapshots, and the number of
// entries before a snapshot that the log keeps for members that lag.
func SnapshotEntries(between, keep int) Option {
	return func(c *config) { c.snapshotEntries, c.retainedEntries = between, keep }
}

// AttemptTimeout limits one attempt to propose or read. When it has passed, a
// proposal ends with refusal.OutcomeUnknown and a read is sent to another voter.
func AttemptTimeout(d time.Duration) Option { return func(c *config) { c.attemptTimeout = d } }

// Cut drops messages from one instance to another while f returns true. It is used
// in tests of one-way network partitions.
func Cut(f func(from, to fleet.InstanceID) bool) Option { return func(c *config) { c.cut = f } }

// DialOptions adds gRPC options for connections to other voters, such as
// credentials.
func DialOptions(options ...grpc.DialOption) Option {
	return func(c *config) { c.extraDialOptions = append(c.extraDialOptions, options...) }
}

// Logger sets the logger.
func Logger(l *zap.Logger) Option { return func(c *config) { c.logger = l } }

// ServerOptions returns the options that a gRPC server needs to serve a Voter.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveTime / 2, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
}

func newConfig(options []Option) (*config, error) {
	c := &config{
		disk: journal.OS{}, clock: systemclock.Clock{}, tickInterval: DefaultTickInterval,
		stateMachines:   make(map[quorum.GroupID]quorum.QueryableStateMachine),
		snapshotEntries: DefaultSnapshotEntries, retainedEntries: DefaultRetainedEntries,
		faultTolerance: DefaultFaultTolerance,
		attemptTimeout: DefaultAttemptTimeout,
		cut:            func(_, _ fleet.InstanceID) bool { return false },
		logger:         zap.NewNop(),
	}
	for _, o := range options {
		o(c)
	}
	if c.replicaOptions.ElectionTicks == 0 {
		c.replicaOptions.ElectionTicks = replica.DefaultElectionTicks
	}
	if c.instance == "" {
		return nil, errors.New("voter has no instance id")
	}
	c.logger = c.logger.Named("quorum")
	return c, nil
}

// validate checks the options of a Voter. With a wrong list of initial voters, this
// voter would form a different group than the others.
func (c *config) validate() error {
	if c.folder == "" {
		return errors.Errorf("voter of instance %q has no data folder", c.instance)
	}
	if c.address == "" {
		return errors.Errorf("voter of instance %q has no address", c.instance)
	}
	ids := make(map[quorum.VoterID]bool)
	instances := make(map[fleet.InstanceID]bool)
	for _, p := range c.initial {
		if p.ID == 0 || p.Instance == "" || p.Address == "" {
			return errors.Errorf("initial voter %d of instance %q must have an id, an instance and an address", p.ID, p.Instance)
		}
		if ids[p.ID] || instances[p.Instance] {
			return errors.Errorf("initial voter %d of instance %q is listed twice", p.ID, p.Instance)
		}
		ids[p.ID], instances[p.Instance] = true, true
	}
	return nil
}

// dialOptions returns the gRPC options of connections. Those of the caller come
// last, so that they take precedence.
func (c *config) dialOptions() []grpc.DialOption {
	return append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: maxConnectBackoff / 10, Multiplier: 2, Jitter: 0.2, MaxDelay: maxConnectBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
	}, c.extraDialOptions...)
}
