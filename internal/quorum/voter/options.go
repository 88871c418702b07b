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
	DefaultTick            = 50 * time.Millisecond
	DefaultSnapshotEntries = 10000
	DefaultKeepEntries     = 1000
	// DefaultAttemptTimeout bounds one attempt to propose or read. It is longer
	// than an election, so that a caller does not give up on a live leader.
	DefaultAttemptTimeout = 1500 * time.Millisecond
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 8 << 20
)

const (
	// maxMessageBytes holds a batch of batchBytes and one more command.
	maxMessageBytes  = 32 << 20
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	connectTimeout   = time.Second
	maxConnectDelay  = 500 * time.Millisecond
)

// Peer is one voter of the initial set, or one address that a Client asks.
type Peer struct {
	ID       quorum.VoterID
	Instance fleet.InstanceID
	// Address is the host and port of the peers listener.
	Address string
}

// Option sets one property of a Voter or a Client.
type Option func(*config)

type config struct {
	instance        fleet.InstanceID
	address         string
	folder          string
	disk            journal.Disk
	clock           fleet.Clock
	initial         []Peer
	contacts        []Peer
	open            bool
	machines        map[quorum.GroupID]quorum.Reader
	order           []quorum.GroupID
	tick            time.Duration
	replica         replica.Options
	snapshotEntries int
	keepEntries     int
	attemptTimeout  time.Duration
	cut             func(from, to fleet.InstanceID) bool
	dial            []grpc.DialOption
	logger          *zap.Logger
}

// Instance names the own daemon and the address of its peers listener.
func Instance(id fleet.InstanceID, address string) Option {
	return func(c *config) { c.instance, c.address = id, address }
}

// Folder sets the data folder of a Voter.
func Folder(dir string) Option { return func(c *config) { c.folder = dir } }

// Disk replaces the access to files.
func Disk(d journal.Disk) Option { return func(c *config) { c.disk = d } }

// Clock replaces the clock of the system.
func Clock(k fleet.Clock) Option { return func(c *config) { c.clock = k } }

// Initial sets the first voters of all groups. It must be the same on all of
// them. Later changes come from the log.
func Initial(ps ...Peer) Option { return func(c *config) { c.initial = ps } }

// Contacts sets addresses at which voters may be found, besides the initial ones
// and those that the log names. They need not be up.
func Contacts(ps ...Peer) Option { return func(c *config) { c.contacts = ps } }

// Open lets instances that are no voters join the groups. A new instance takes
// the place of a voter that is gone, or becomes an additional voter.
func Open() Option { return func(c *config) { c.open = true } }

// Group adds a group and its state machine.
func Group(id quorum.GroupID, m quorum.Reader) Option {
	return func(c *config) {
		c.machines[id] = m
		c.order = append(c.order, id)
	}
}

// Tick sets the unit of election timeouts and heartbeats.
func Tick(d time.Duration) Option { return func(c *config) { c.tick = d } }

// Replica sets the options of the replicas. ID and Seed are set by the Voter,
// unless Seed is given.
func Replica(o replica.Options) Option { return func(c *config) { c.replica = o } }

// SnapshotEntries sets the number of entries between snapshots, and the number
// that the log keeps before a snapshot for members that lag.
func SnapshotEntries(between, keep int) Option {
	return func(c *config) { c.snapshotEntries, c.keepEntries = between, keep }
}

// AttemptTimeout bounds one attempt to propose or read. After it, a proposal
// ends with refusal.OutcomeUnknown and a read is tried elsewhere.
func AttemptTimeout(d time.Duration) Option { return func(c *config) { c.attemptTimeout = d } }

// Cut drops what is sent from one instance to another while f returns true. It
// is for tests of one-way partitions.
func Cut(f func(from, to fleet.InstanceID) bool) Option { return func(c *config) { c.cut = f } }

// Dial adds options for connections to other voters, such as credentials.
func Dial(os ...grpc.DialOption) Option {
	return func(c *config) { c.dial = append(c.dial, os...) }
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
		disk: journal.OS{}, clock: systemclock.Clock{}, tick: DefaultTick,
		machines:        make(map[quorum.GroupID]quorum.Reader),
		snapshotEntries: DefaultSnapshotEntries, keepEntries: DefaultKeepEntries,
		attemptTimeout: DefaultAttemptTimeout,
		cut:            func(_, _ fleet.InstanceID) bool { return false },
		logger:         zap.NewNop(),
	}
	for _, o := range options {
		o(c)
	}
	if c.replica.ElectionTicks == 0 {
		c.replica.ElectionTicks = replica.DefaultElectionTicks
	}
	if c.instance == "" {
		return nil, errors.New("voter has no instance id")
	}
	c.logger = c.logger.Named("quorum")
	return c, nil
}

// validate checks the settings of a Voter. A wrong list of initial voters would
// form another group than the one that the others form.
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
			return errors.Errorf("initial voter %d of instance %q is incomplete", p.ID, p.Instance)
		}
		if ids[p.ID] || instances[p.Instance] {
			return errors.Errorf("initial voter %d of instance %q is listed twice", p.ID, p.Instance)
		}
		ids[p.ID], instances[p.Instance] = true, true
	}
	return nil
}

// dialOptions come before those of the caller, which thus take precedence.
func (c *config) dialOptions() []grpc.DialOption {
	return append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: maxConnectDelay / 10, Multiplier: 2, Jitter: 0.2, MaxDelay: maxConnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
	}, c.dial...)
}
