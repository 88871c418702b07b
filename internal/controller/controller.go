// Package controller runs one member of the control plane: it accepts releases
// into the replicated log, keeps the roster from heartbeats, streams both to the
// gateways, and places layers while it leads.
//
//	c, err := controller.New(settings, decoder, commander, clock, logger)
//	err = c.Submit(ctx, content)
//	content, err := c.Read(ctx)
//	err = c.Heartbeat(entry)
//	err = c.Stop(ctx)
package controller

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/controller/tenure"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/placement/placer"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/voter"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

const (
	// confirmEvery is the pause between two confirmations by a majority.
	confirmEvery = 200 * time.Millisecond
	// confirmOften is the pause in the time confirmSoon after the start. All gateways
	// wait for a confirmation then if the power was lost.
	confirmOften = 50 * time.Millisecond
	confirmSoon  = 5 * time.Second
	// confirmLate is the time after which a confirmation waited for a leader and is
	// followed by the next one at once.
	confirmLate = 100 * time.Millisecond
	// confirmTimeout bounds one confirmation. It is longer than an election.
	confirmTimeout = 1500 * time.Millisecond
	// membersEvery is the time between two looks at the members of the group.
	membersEvery = 300 * time.Millisecond
)

// Settings are what a controller is told at its start.
type Settings struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentreID
	// Address is the host and port for other daemons.
	Address string
	Folder  string
	// Found tells that the fleet starts for the first time. The instances at
	// Seeds are then the first voters.
	Found bool
	Seeds []string
	// Alive is the age of the last heartbeat up to which an upstream is used.
	Alive time.Duration
	// Dial are options for connections to other daemons.
	Dial []grpc.DialOption
}

// Controller is one member of the control plane. It is safe for concurrent use.
type Controller struct {
	settings Settings
	decoder  release.Decoder
	clock    fleet.Clock
	logger   *zap.Logger
	store    *store.Store
	catalog  *catalog.Catalog
	voter    *voter.Voter
	feed     *feed.Server
	placer   *placer.Placer
	server   *grpc.Server
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	tenure *tenure.Tenure

	mu       sync.Mutex
	members  []string
	places   map[string]fleet.DataCentreID // data centres of the other controllers
	peers    map[string]*feed.Client
	inForce  *release.Release
	stopping bool
}

// New opens the data folder, listens for other daemons and starts.
func New(s Settings, d release.Decoder, m placement.Commander, clock fleet.Clock, l *zap.Logger) (*Controller, error) {
	c := &Controller{
		settings: s, decoder: d, clock: clock, logger: l.Named("controller"),
		store: store.New(), catalog: catalog.New(clock), peers: make(map[string]*feed.Client),
		places: make(map[string]fleet.DataCentreID),
	}
	v, err := voter.New(c.voterOptions(l)...)
	if err != nil {
		return nil, err
	}
	c.voter, c.tenure = v, tenure.New(v, clock)
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		_ = v.Stop(context.Background())
		return nil, errors.Wrap(err, "listen for other daemons")
	}
	c.feed = feed.NewServer(clock, c.catalog, c.store, c, l)
	c.server = grpc.NewServer(voter.ServerOptions()...)
	v.Register(c.server)
	peerv1.RegisterFeedServer(c.server, c.feed)
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.wait.Go(func() {
		if err := c.server.Serve(listener); err != nil {
			c.logger.Error("The listener for other daemons ended.", zap.Error(err))
		}
	})
	c.wait.Go(func() {
		first := c.clock.Now()
		for ctx.Err() == nil {
			start := c.clock.Now()
			c.confirm(ctx)
			switch now := c.clock.Now(); {
			case now.Sub(start) > confirmLate:
				// What followers said in the meantime is not confirmed yet.
			case now.Sub(first) < confirmSoon:
				c.sleep(ctx, confirmOften)
			default:
				c.sleep(ctx, confirmEvery)
			}
		}
	})
	c.wait.Go(func() {
		for ctx.Err() == nil {
			c.lookAtMembers(ctx)
			c.sleep(ctx, membersEvery)
		}
	})
	c.wait.Go(func() {
		for ctx.Err() == nil {
			c.follow(ctx)
		}
	})
	c.placer = placer.New(clock, c.catalog, c.tenure, c, m, c.feed, s.Alive, l)
	return c, nil
}

func (c *Controller) voterOptions(l *zap.Logger) []voter.Option {
	s := c.settings
	os := []voter.Option{
		voter.Instance(s.Instance, s.Address), voter.Folder(s.Folder), voter.Clock(c.clock),
		voter.Group(quorum.ConfigGroup, c.store), voter.Dial(s.Dial...), voter.Logger(l),
		voter.Contacts(contacts(s.Seeds)...), voter.Open(),
	}
	if s.Found {
		os = append(os, voter.Initial(founders(s.Seeds)...))
	}
	return os
}

// founders returns the first voters. All instances derive the same ones from the
// same seeds.
func founders(seeds []string) []voter.Peer {
	sorted := slices.Sorted(slices.Values(seeds))
	var ps []voter.Peer
	for i, a := range sorted {
		ps = append(ps, voter.Peer{ID: quorum.VoterID(i + 1), Instance: InstanceAt(a), Address: a})
	}
	return ps
}

func contacts(seeds []string) []voter.Peer {
	var ps []voter.Peer
	for _, a := range seeds {
		ps = append(ps, voter.Peer{Instance: InstanceAt(a), Address: a})
	}
	return ps
}

// InstanceAt returns the instance that listens at an address. An instance keeps
// its host over restarts.
func InstanceAt(address string) fleet.InstanceID {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fleet.InstanceID(address)
	}
	return fleet.InstanceID(host)
}

func (c *Controller) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.clock.After(d):
	}
}

// Submit offers a release. A nil error means that a majority has stored it or a
// higher version. An error of kind refusal.BadRequest means that it is invalid,
// and any other that it may or may not be accepted later.
func (c *Controller) Submit(ctx context.Context, content []byte) error {
	r, err := c.decoder.Decode(content)
	if err != nil {
		c.logger.Info("A release is invalid.", zap.Error(err))
		return err
	}
	command, err := store.Command(r.Version, content)
	if err != nil {
		return err
	}
	reply, err := c.voter.Propose(ctx, quorum.ConfigGroup, command)
	if err != nil {
		c.logger.Warn("A release has no clear outcome.", zap.Uint64("version", uint64(r.Version)), zap.Error(err))
		return err
	}
	held, err := store.VersionOf(reply)
	c.logger.Info("A release was accepted.", zap.Uint64("version", uint64(r.Version)),
		zap.Uint64("held", uint64(held)), zap.Int("bytes", len(content)))
	return err
}

// Read returns the newest accepted release as the operator sent it. It is empty
// while there is none.
func (c *Controller) Read(ctx context.Context) ([]byte, error) {
	newest, err := c.newest(ctx)
	if err != nil {
		return nil, err
	}
	for {
		held, newer := c.store.Current()
		if held.Version >= newest {
			if held.Version == 0 {
				return nil, nil
			}
			return held.Unpack()
		}
		select {
		case <-newer:
		case <-ctx.Done():
			return nil, refusal.Because(refusal.NotReady, ctx.Err(), "release %d has not arrived here", newest)
		}
	}
}

// Heartbeat takes what an upstream says of itself. An error of kind
// refusal.NotReady asks the upstream to tell another controller.
func (c *Controller) Heartbeat(e registry.Entry) error {
	e.Heard = c.clock.Now()
	if c.catalog.Put(e, true) {
		c.logger.Info("An upstream changed.", zap.String("upstream", string(e.ID)), zap.Stringer("state", e.State),
			zap.String("pool", string(e.Pool)), zap.String("address", e.Address), zap.Uint64("sequence", e.Sequence),
			zap.Uint64("born", uint64(e.Born)), zap.Int("from", int(e.Layers.From)), zap.Int("to", int(e.Layers.To)))
	}
	if e.State == registry.Ready {
		return nil
	}
	return c.inTouch()
}

// Leave takes the last word of an upstream. born is 0 if it is not named.
func (c *Controller) Leave(id fleet.UpstreamID, born fleet.Incarnation) error {
	known := c.catalog.Remove(id, born)
	c.logger.Info("An upstream left.", zap.String("upstream", string(id)), zap.Bool("known", known))
	return c.inTouch()
}

// inTouch returns an error of kind refusal.NotReady if this controller is cut off
// from the majority. Most gateways would then not learn that an upstream leaves.
func (c *Controller) inTouch() error {
	if age := c.tenure.Age(); age > tenure.Limit {
		return refusal.New(refusal.NotReady, "the majority last answered %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// confirm asks a majority for the newest version and the leadership.
func (c *Controller) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.tenure.Confirm(ctx); err != nil {
		c.logger.Debug("The newest release is not confirmed.", zap.Error(err))
	}
}

// newest asks the leader for the version that a majority confirms as the newest.
func (c *Controller) newest(ctx context.Context) (release.Version, error) {
	reply, err := c.voter.Read(ctx, quorum.ConfigGroup, nil)
	if err != nil {
		return 0, err
	}
	v, err := store.VersionOf(reply)
	if err != nil {
		c.logger.Error("The newest release is not known.", zap.Error(err))
	}
	return v, err
}

// Confirmation implements feed.Source.
func (c *Controller) Confirmation() feed.Confirmation { return c.tenure.Confirmation() }

// Controllers implements feed.Source.
func (c *Controller) Controllers() []feed.Controller {
	c.mu.Lock()
	defer c.mu.Unlock()
	ks := []feed.Controller{{Address: c.settings.Address, DataCentre: c.settings.DataCentre}}
	for _, a := range c.members {
		if a != c.settings.Address {
			ks = append(ks, feed.Controller{Address: a, DataCentre: c.places[a]})
		}
	}
	return ks
}

// notePlace records where another controller is, as it says itself.
func (c *Controller) notePlace(u feed.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range u.Controllers {
		if k.Address == u.From {
			c.places[k.Address] = k.DataCentre
		}
	}
}

// InForce implements placer.Releases.
func (c *Controller) InForce() *release.Release {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce
}

// follow reads each release as the log brings it.
func (c *Controller) follow(ctx context.Context) {
	held, newer := c.store.Current()
	if held.Version > 0 {
		c.takeRelease(held)
	}
	select {
	case <-ctx.Done():
	case <-newer:
	}
}

func (c *Controller) takeRelease(h store.Held) {
	r, err := h.Read(c.decoder)
	if err != nil {
		c.logger.Error("A release could not be read.", zap.Uint64("version", uint64(h.Version)), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce = r
}

// lookAtMembers follows the controllers that are members of the group.
func (c *Controller) lookAtMembers(ctx context.Context) {
	var members []string
	for _, g := range c.voter.Status(ctx) {
		for _, m := range g.Members {
			members = append(members, m.Address)
		}
	}
	if len(members) == 0 {
		members = c.settings.Seeds
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
	if c.stopping {
		return
	}
	for _, a := range members {
		if a != c.settings.Address && c.peers[a] == nil {
			c.peers[a] = feed.NewClient(c.settings.Instance, c.clock, &peer{c}, c.logger,
				feed.Only(a), feed.Dial(c.settings.Dial...))
		}
	}
	for a, p := range c.peers {
		if !slices.Contains(members, a) {
			delete(c.peers, a)
			c.feed.DropPeer(a)
			c.wait.Go(p.Stop)
		}
	}
}

// peer receives the roster of another controller.
type peer struct{ controller *Controller }

// Stamp implements feed.Receiver. Controllers confirm releases themselves.
func (p *peer) Stamp() time.Duration { return 0 }

// Version implements feed.Receiver.
func (p *peer) Version() release.Version { return 0 }

// Report implements feed.Receiver.
func (p *peer) Report() usage.Report { return usage.Report{} }

// Receive implements feed.Receiver.
func (p *peer) Receive(u feed.Update) error {
	for _, e := range u.Entries {
		p.controller.catalog.Put(e, false)
	}
	p.controller.feed.NotePeer(u)
	p.controller.notePlace(u)
	return u.Renew(p.controller.catalog)
}

// Collector returns the metrics of the replicated log.
func (c *Controller) Collector() prometheus.Collector { return c.voter.Collector() }

// Failed returns a channel that receives the error after which the controller
// can't continue.
func (c *Controller) Failed() <-chan error { return c.voter.Failed() }

// Stop hands over the leadership and closes all connections.
func (c *Controller) Stop(ctx context.Context) error {
	c.mu.Lock()
	c.stopping = true
	peers := c.peers
	c.peers = make(map[string]*feed.Client)
	c.mu.Unlock()
	c.placer.Stop()
	c.feed.Stop()
	for _, p := range peers {
		p.Stop()
	}
	err := c.voter.Stop(ctx)
	c.cancel()
	c.server.Stop()
	c.wait.Wait()
	return err
}
