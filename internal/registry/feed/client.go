package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

const (
	// messageTimeout is the time without a message after which a controller counts as
	// unreachable. It covers a few intervals and a slow controller.
	messageTimeout = 4 * Interval
	// confirmationTimeout is the time without a confirmation by a majority after which a
	// gateway switches to another controller. It is longer than an election.
	confirmationTimeout = 1100 * time.Millisecond
	// minFollowTime is the least time for which a controller of another data centre is
	// followed while one of the local data centre is known.
	minFollowTime = 5 * time.Second
	// firstMessageTimeout limits the time to connect and receive the first message.
	firstMessageTimeout = 1200 * time.Millisecond
	// retryBackoff is the pause before the next controller is tried.
	retryBackoff = 60 * time.Millisecond
)

// Update is a decoded message of a controller.
type Update struct {
	From    string // peer address of the controller
	Release store.CompressedRelease
	Entries []registry.Entry
	// Renewals belong to entries that the stream has sent before.
	Renewals []registry.Renewal
	// Confirmed is a reading of the clock of the Receiver, or 0. After that time a
	// majority confirmed that ConfirmedVersion was the newest release.
	Confirmed        time.Duration
	ConfirmedVersion release.Version
	// Received is the newest reading of the clock of the Receiver that the controller had
	// received when it composed the message, or 0 if it does not tell.
	Received    time.Duration
	Controllers []Controller
	// Sums are the sums of all gateways, or of those of the sending controller if a
	// controller follows it. They are nil in messages between two intervals.
	Sums *usage.Report
	// Prompts holds the changed prompt records.
	Prompts []quarantine.Record
}

// Renew merges the renewals into a catalog that has the entries of the stream. It fails
// if the catalog lacks one of the entries or has it with other content.
func (u *Update) Renew(c *catalog.Catalog) error {
	var mismatch error
	for _, r := range u.Renewals {
		if !c.Renew(r) {
			mismatch = errors.Errorf("renewal of upstream %s does not match the known entry", r.ID)
		}
	}
	return mismatch
}

// Receiver handles the updates of a Client. It is called from one goroutine.
type Receiver interface {
	// ClockReading reads a clock that keeps running while the machine is suspended.
	ClockReading() time.Duration
	// Receive handles an update. An error ends the stream, and the next stream sends all
	// entries again.
	Receive(u Update) error
	// Report returns the requests in progress and the attempts of this instance.
	Report() usage.Report
	// Version returns the newest release that the receiver has.
	Version() release.Version
}

// Client follows one controller at a time and switches to another one when it stops
// sending.
type Client struct {
	instance    fleet.InstanceID
	clock       fleet.Clock
	receiver    Receiver
	logger      *zap.Logger
	dialOptions []grpc.DialOption
	// onlyController is the only controller to follow, or empty.
	onlyController string
	prompts        *quarantine.Table
	cancel         context.CancelFunc
	wg             sync.WaitGroup

	dataCentre  fleet.DataCentreID
	mu          sync.Mutex
	controllers []Controller
}

// ClientOption sets one property of a Client.
type ClientOption func(*Client)

// WithOnlyController makes the client of a controller follow a single other controller.
func WithOnlyController(address string) ClientOption {
	return func(c *Client) { c.onlyController = address }
}

// WithSeeds sets the controllers that are known initially.
func WithSeeds(addresses ...string) ClientOption {
	return func(c *Client) { c.AddControllers(seedControllers(addresses)) }
}

func seedControllers(addresses []string) []Controller {
	ks := make([]Controller, len(addresses))
	for i, a := range addresses {
		ks[i].Address = a
	}
	return ks
}

// WithDataCentre sets the local data centre, whose controllers are preferred.
func WithDataCentre(d fleet.DataCentreID) ClientOption { return func(c *Client) { c.dataCentre = d } }

// WithDialOptions adds gRPC dial options.
func WithDialOptions(os ...grpc.DialOption) ClientOption {
	return func(c *Client) { c.dialOptions = append(c.dialOptions, os...) }
}

// WithPrompts sets the table whose prompt records are exchanged with the controller.
func WithPrompts(t *quarantine.Table) ClientOption { return func(c *Client) { c.prompts = t } }

// NewClient starts a client that follows controllers until Stop is called.
func NewClient(id fleet.InstanceID, clock fleet.Clock, r Receiver, l *zap.Logger, os ...ClientOption) *Client {
	c := &Client{instance: id, clock: clock, receiver: r, logger: l.Named("feed"), prompts: quarantine.New(clock, l)}
	for _, o := range os {
		o(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wg.Go(func() {
		last := ""
		for ctx.Err() == nil {
			address := c.nextController(last)
			last = address
			if address != "" {
				err := c.follow(ctx, address)
				if ctx.Err() == nil {
					c.logger.Warn("Feed stream ended.", zap.String("controller", address), zap.Error(err))
				}
			}
			select {
			case <-ctx.Done():
			case <-c.clock.After(retryBackoff):
			}
		}
	})
	return c
}

// Stop ends the stream and waits until it is closed.
func (c *Client) Stop() {
	c.cancel()
	c.wg.Wait()
}

// nextController returns the controller to try after last. It prefers the local data
// centre unless last was in it.
func (c *Client) nextController(last string) string {
	if c.onlyController != "" {
		return c.onlyController
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(c.controllers), func(k Controller) bool { return k.Address == last })
	if len(others) == 0 {
		return last
	}
	local := slices.DeleteFunc(slices.Clone(others), func(k Controller) bool { return k.DataCentre != c.dataCentre })
	if len(local) > 0 && !c.isLocal(last) {
		return local[rand.IntN(len(local))].Address
	}
	return others[rand.IntN(len(others))].Address
}

func (c *Client) isLocal(address string) bool {
	return slices.Contains(c.controllers, Controller{Address: address, DataCentre: c.dataCentre})
}

// canFollowLocal reports whether a controller of the local data centre is known while
// address is in another one.
func (c *Client) canFollowLocal(address string) bool {
	if c.onlyController != "" || c.dataCentre == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isLocal(address) && slices.ContainsFunc(c.controllers, func(k Controller) bool { return k.DataCentre == c.dataCentre })
}

// AddControllers adds controllers that may be followed, and updates the data centre of
// known ones.
func (c *Client) AddControllers(ks []Controller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range ks {
		i := slices.IndexFunc(c.controllers, func(o Controller) bool { return o.Address == k.Address })
		switch {
		case i < 0:
			c.controllers = append(c.controllers, k)
		case k.DataCentre != "":
			c.controllers[i] = k
		}
	}
}

// AddSeeds adds controllers by address, without a data centre.
func (c *Client) AddSeeds(addresses []string) { c.AddControllers(seedControllers(addresses)) }

// follow reads the stream of one controller until it fails or times out, or until
// another controller should be followed.
func (c *Client) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address, c.dialOptions...)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close() }()
	started := c.clock.Now()
	lastConfirmed, confirmed := started, time.Duration(0)
	timer := time.AfterFunc(firstMessageTimeout, cancel)
	defer timer.Stop()
	s, err := peerv1.NewFeedClient(conn).Follow(ctx)
	if err != nil {
		return errors.Wrapf(err, "follow %s", address)
	}
	request := &peerv1.FollowRequest{
		Instance: string(c.instance), Controller: c.onlyController != "", Version: uint64(c.receiver.Version()),
		Stamp: uint64(c.receiver.ClockReading().Microseconds()),
	}
	if err := s.Send(request); err != nil {
		return errors.Wrapf(err, "follow %s", address)
	}
	promptRevision := uint64(0)
	firstUpdate := true
	for {
		p, err := s.Recv()
		if err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
		timer.Reset(messageTimeout)
		if firstUpdate {
			c.logger.Info("Following a controller.", zap.String("controller", address))
			firstUpdate = false
		}
		u, err := c.decode(address, p)
		if err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
		c.AddControllers(u.Controllers)
		c.prompts.Merge(u.Prompts)
		if err := c.receiver.Receive(u); err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
		if u.Confirmed > confirmed {
			lastConfirmed, confirmed = c.clock.Now(), u.Confirmed
		}
		if c.clock.Now().Sub(started) > minFollowTime && c.canFollowLocal(address) {
			return errors.Errorf("controller %s is in another data centre and a local one is known", address)
		}
		if c.onlyController == "" && c.clock.Now().Sub(lastConfirmed) > confirmationTimeout {
			return errors.Errorf("controller %s sent no new confirmation by a majority in time", address)
		}
		request := &peerv1.FollowRequest{Stamp: uint64(c.receiver.ClockReading().Microseconds()), Bare: u.Sums == nil}
		if u.Sums != nil {
			report := c.receiver.Report()
			request.Uses, request.Sends = statsToProto(report.Upstreams), attemptsToProto(report.Attempts)
			request.Demands = demandsToProto(report.Demands)
		}
		var prompts []quarantine.Record
		prompts, promptRevision = c.prompts.Delta(promptRevision)
		request.Prompts = promptsToProto(prompts, c.clock.Now())
		if err := s.Send(request); err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
	}
}

func (c *Client) decode(address string, p *peerv1.FeedUpdate) (Update, error) {
	sums, err := decodeSums(p.GetSums())
	if err != nil {
		return Update{}, err
	}
	u := Update{
		From:             address,
		Release:          store.CompressedRelease{Version: release.Version(p.GetVersion()), Gzipped: p.GetRelease()},
		Confirmed:        time.Duration(p.GetConfirmedStamp()) * time.Microsecond,
		ConfirmedVersion: release.Version(p.GetConfirmedVersion()),
		Received:         time.Duration(p.GetReceivedStamp()) * time.Microsecond,
		Sums:             sums,
	}
	for _, k := range p.GetControllers() {
		u.Controllers = append(u.Controllers, Controller{Address: k.GetAddress(), DataCentre: fleet.DataCentreID(k.GetDataCentre())})
	}
	now := c.clock.Now()
	for _, e := range p.GetEntries() {
		u.Entries = append(u.Entries, EntryFromProto(e, now))
	}
	for _, r := range p.GetSigns() {
		u.Renewals = append(u.Renewals, renewalFromProto(r, now))
	}
	u.Prompts = promptsFromProto(p.GetPrompts(), now)
	return u, nil
}
