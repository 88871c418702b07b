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
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

const (
	// silence is the time without a message after which a controller counts as
	// unreachable. It covers a few intervals and a slow controller.
	silence = 4 * Interval
	// unconfirmed is the time without a confirmation by a majority after which a
	// gateway turns to another controller. It is longer than an election.
	unconfirmed = 1100 * time.Millisecond
	// stay is the least time to follow a controller of another data centre while one
	// of the own data centre is known.
	stay = 5 * time.Second
	// firstMessage bounds the time to connect and get the first message.
	firstMessage = 1200 * time.Millisecond
	// pause is the wait before the next controller is tried.
	pause = 60 * time.Millisecond
)

// Update is one message of a controller in the types of the system.
type Update struct {
	From    string // peer address of the controller
	Held    store.Held
	Entries []registry.Entry
	// Signs belong to entries that came before.
	Signs []registry.Sign
	// Confirmed is the own clock at a time after which a majority confirmed that
	// ConfirmedVersion was the newest release, or 0.
	Confirmed        time.Duration
	ConfirmedVersion release.Version
	Controllers      []Controller
	// Sums add up what all gateways say, or those of one controller. They are nil in
	// messages between two intervals.
	Sums *usage.Report
}

// Renew merges the signs of life into a catalog that has the entries of the stream. An
// error tells that it has another content of one.
func (u *Update) Renew(c *catalog.Catalog) error {
	var failed error
	for _, s := range u.Signs {
		if !c.Renew(s) {
			failed = errors.Errorf("a sign of life of upstream %s is not that of the entry known", s.ID)
		}
	}
	return failed
}

// Receiver gets the updates of a Client from one goroutine.
type Receiver interface {
	// Stamp reads a clock that goes on while the machine is suspended.
	Stamp() time.Duration
	// Receive takes an update. An error ends the stream, and all entries come anew with
	// the next one.
	Receive(u Update) error
	// Report returns the own requests in progress and the sends.
	Report() usage.Report
	// Version returns the newest release that the receiver has.
	Version() release.Version
}

// Client follows one controller at a time and turns to another one when it goes
// silent.
type Client struct {
	instance fleet.InstanceID
	clock    fleet.Clock
	receiver Receiver
	logger   *zap.Logger
	dial     []grpc.DialOption
	// fixed is the only controller to follow, or empty.
	fixed  string
	cancel context.CancelFunc
	wait   sync.WaitGroup

	home  fleet.DataCentreID
	mu    sync.Mutex
	known []Controller
}

// ClientOption sets one property of a Client.
type ClientOption func(*Client)

// Only makes a controller follow one other controller and nothing else.
func Only(address string) ClientOption { return func(c *Client) { c.fixed = address } }

// Seeds sets the controllers that are known from the start.
func Seeds(addresses ...string) ClientOption {
	return func(c *Client) { c.Learn(seeds(addresses)) }
}

func seeds(addresses []string) []Controller {
	ks := make([]Controller, len(addresses))
	for i, a := range addresses {
		ks[i].Address = a
	}
	return ks
}

// Home sets the data centre whose controllers go first.
func Home(d fleet.DataCentreID) ClientOption { return func(c *Client) { c.home = d } }

// Dial adds options for connections.
func Dial(os ...grpc.DialOption) ClientOption {
	return func(c *Client) { c.dial = append(c.dial, os...) }
}

// NewClient starts to follow. Stop ends it.
func NewClient(id fleet.InstanceID, clock fleet.Clock, r Receiver, l *zap.Logger, os ...ClientOption) *Client {
	c := &Client{instance: id, clock: clock, receiver: r, logger: l.Named("feed")}
	for _, o := range os {
		o(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wait.Go(func() {
		last := ""
		for ctx.Err() == nil {
			address := c.next(last)
			last = address
			if address != "" {
				err := c.follow(ctx, address)
				if ctx.Err() == nil {
					c.logger.Warn("The feed of a controller ended.", zap.String("controller", address), zap.Error(err))
				}
			}
			select {
			case <-ctx.Done():
			case <-c.clock.After(pause):
			}
		}
	})
	return c
}

// Stop ends the stream and waits for it.
func (c *Client) Stop() {
	c.cancel()
	c.wait.Wait()
}

// next returns the controller to try after last.
func (c *Client) next(last string) string {
	if c.fixed != "" {
		return c.fixed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(c.known), func(k Controller) bool { return k.Address == last })
	if len(others) == 0 {
		return last
	}
	near := slices.DeleteFunc(slices.Clone(others), func(k Controller) bool { return k.DataCentre != c.home })
	if len(near) > 0 && !c.isNear(last) {
		return near[rand.IntN(len(near))].Address
	}
	return others[rand.IntN(len(others))].Address
}

func (c *Client) isNear(address string) bool {
	return slices.Contains(c.known, Controller{Address: address, DataCentre: c.home})
}

// mayReturn reports whether a controller of the own data centre is known while
// another one is followed.
func (c *Client) mayReturn(address string) bool {
	if c.fixed != "" || c.home == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isNear(address) && slices.ContainsFunc(c.known, func(k Controller) bool { return k.DataCentre == c.home })
}

// Learn adds controllers to those that may be followed.
func (c *Client) Learn(ks []Controller) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range ks {
		i := slices.IndexFunc(c.known, func(o Controller) bool { return o.Address == k.Address })
		switch {
		case i < 0:
			c.known = append(c.known, k)
		case k.DataCentre != "":
			c.known[i] = k
		}
	}
}

// LearnSeeds adds the controllers at some addresses.
func (c *Client) LearnSeeds(addresses []string) { c.Learn(seeds(addresses)) }

// follow reads one stream until it fails or goes silent.
func (c *Client) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address, c.dial...)
	if err != nil {
		return errors.Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close() }()
	began := c.clock.Now()
	progress, confirmed := began, time.Duration(0)
	timer := time.AfterFunc(firstMessage, cancel)
	defer timer.Stop()
	s, err := peerv1.NewFeedClient(conn).Follow(ctx)
	if err != nil {
		return errors.Wrapf(err, "follow %s", address)
	}
	ask := &peerv1.FollowRequest{
		Instance: string(c.instance), Controller: c.fixed != "", Version: uint64(c.receiver.Version()),
		Stamp: uint64(c.receiver.Stamp().Microseconds()),
	}
	if err := s.Send(ask); err != nil {
		return errors.Wrapf(err, "follow %s", address)
	}
	first := true
	for {
		p, err := s.Recv()
		if err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
		timer.Reset(silence)
		if first {
			c.logger.Info("Following a controller.", zap.String("controller", address))
			first = false
		}
		u, err := c.decode(address, p)
		if err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
		c.Learn(u.Controllers)
		if err := c.receiver.Receive(u); err != nil {
			return errors.Wrapf(err, "follow %s", address)
		}
		if u.Confirmed > confirmed {
			progress, confirmed = c.clock.Now(), u.Confirmed
		}
		if c.clock.Now().Sub(began) > stay && c.mayReturn(address) {
			return errors.Errorf("controller %s is in another data centre", address)
		}
		if c.fixed == "" && c.clock.Now().Sub(progress) > unconfirmed {
			return errors.Errorf("controller %s is cut off from the majority", address)
		}
		ask := &peerv1.FollowRequest{Stamp: uint64(c.receiver.Stamp().Microseconds()), Bare: u.Sums == nil}
		if u.Sums != nil {
			report := c.receiver.Report()
			ask.Uses, ask.Sends = usesToProto(report.Uses), sendsToProto(report.Sends)
		}
		if err := s.Send(ask); err != nil {
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
		Held:             store.Held{Version: release.Version(p.GetVersion()), Packed: p.GetRelease()},
		Confirmed:        time.Duration(p.GetConfirmedStamp()) * time.Microsecond,
		ConfirmedVersion: release.Version(p.GetConfirmedVersion()),
		Sums:             sums,
	}
	for _, k := range p.GetControllers() {
		u.Controllers = append(u.Controllers, Controller{Address: k.GetAddress(), DataCentre: fleet.DataCentreID(k.GetDataCentre())})
	}
	now := c.clock.Now()
	for _, e := range p.GetEntries() {
		u.Entries = append(u.Entries, fromProto(e, now))
	}
	for _, g := range p.GetSigns() {
		u.Signs = append(u.Signs, signFromProto(g, now))
	}
	return u, nil
}
