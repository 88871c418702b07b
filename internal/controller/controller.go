// Package controller runs one member of the control plane: it appends releases to
// the replicated log, maintains the registry of upstreams from their heartbeats,
// streams both to the gateways, and places layers on engines while it is the leader.
//
//	c, err := controller.New(settings, decoder, commander, clock, logger)
//	err = c.Submit(ctx, content)
//	content, err := c.Read(ctx)
//	err = c.Heartbeat(ctx, entry)
//	err = c.Stop(ctx)
package controller

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/controller/configgroup"
	"github.com/bilberryrock/bilberryrock/internal/controller/tenure"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/placement/placer"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/voter"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/departure"
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
	// confirmInterval is the pause between two confirmations by a majority.
	confirmInterval = 200 * time.Millisecond
	// startupConfirmInterval is the pause during startupPeriod after the start. After a
	// loss of power all gateways wait for a confirmation at that time.
	startupConfirmInterval = 50 * time.Millisecond
	startupPeriod          = 5 * time.Second
	// slowConfirmationThreshold is the duration above which a confirmation is assumed to have
	// waited for a leader. The next one then follows without a pause.
	slowConfirmationThreshold = 100 * time.Millisecond
	// confirmTimeout bounds one confirmation. It is longer than an election.
	confirmTimeout = 1500 * time.Millisecond
	// membersInterval is the pause between two updates of the group members.
	membersInterval = 300 * time.Millisecond
)

// Settings configure a Controller.
type Settings struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentreID
	// Address is the host and port on which other daemons connect.
	Address string
	// Folder is the data folder of the replicated log.
	Folder string
	// Bootstrap indicates that the fleet starts for the first time. The instances at
	// Seeds are then the initial voters.
	Bootstrap bool
	Seeds     []string
	// FaultTolerance is the number of controllers whose simultaneous loss the control
	// plane must survive. The default is voter.DefaultFaultTolerance.
	FaultTolerance int
	// Admission sets which services are under admission control.
	Admission quota.Mode
	// HeartbeatTimeout is the age of the last heartbeat up to which an upstream is used.
	HeartbeatTimeout time.Duration
	// DialOptions are the options for connections to other daemons.
	DialOptions []grpc.DialOption
}

// Controller is one member of the control plane. It is safe for concurrent use.
type Controller struct {
	settings Settings
	decoder  release.SubmissionDecoder
	clock    fleet.Clock
	logger   *zap.Logger
	store    *store.Store
	catalog  *catalog.Catalog
	// departures holds the departures of upstreams that a majority has stored.
	departures *departure.Log
	voter      *voter.Voter
	feed       *feed.Server
	placer     *placer.Placer
	server     *grpc.Server
	cancel     context.CancelFunc
	wait       sync.WaitGroup

	tenure *tenure.Tenure

	mu          sync.Mutex
	members     []string
	dataCentres map[string]fleet.DataCentreID // data centres of the other controllers
	peers       map[string]*feed.Client
	stopping    bool

	current atomic.Pointer[release.Release]
}

// New opens the data folder, listens for other daemons and starts the controller.
func New(s Settings, d release.SubmissionDecoder, m placement.Commander, clock fleet.Clock, l *zap.Logger) (*Controller, error) {
	c := &Controller{
		settings: s, decoder: d, clock: clock, logger: l.Named("controller"),
		store: store.New(), peers: make(map[string]*feed.Client),
		dataCentres: make(map[string]fleet.DataCentreID),
	}
	c.catalog = catalog.New(clock, catalog.WithKnownPools(c.knowsPool))
	// Departures count as received here, so that the other controllers learn of them even if the
	// one that the upstream had called is lost.
	c.departures = departure.New(clock, func(e registry.Entry) { c.catalog.Put(e, true) })
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
			c.logger.Error("Server for other daemons failed.", zap.Error(err))
		}
	})
	c.wait.Go(func() {
		started := c.clock.Now()
		for ctx.Err() == nil {
			start := c.clock.Now()
			c.confirm(ctx)
			switch now := c.clock.Now(); {
			case now.Sub(start) > slowConfirmationThreshold:
				// Stamps of followers that arrived in the meantime are not confirmed yet,
				// so confirm again without a pause.
			case now.Sub(started) < startupPeriod:
				c.sleep(ctx, startupConfirmInterval)
			default:
				c.sleep(ctx, confirmInterval)
			}
		}
	})
	c.wait.Go(func() {
		for ctx.Err() == nil {
			c.updateMembers(ctx)
			c.sleep(ctx, membersInterval)
		}
	})
	c.wait.Go(func() {
		for ctx.Err() == nil {
			c.followReleases(ctx)
		}
	})
	c.placer = placer.New(clock, c.catalog, c.tenure, c, m, c.feed, s.HeartbeatTimeout, l, placer.WithAdmission(s.Admission))
	return c, nil
}

func (c *Controller) voterOptions(l *zap.Logger) []voter.Option {
	s := c.settings
	os := []voter.Option{
		voter.Instance(s.Instance, s.Address), voter.Folder(s.Folder), voter.Clock(c.clock),
		voter.Group(quorum.ConfigGroup, configgroup.New(c.store, c.departures)), voter.DialOptions(s.DialOptions...), voter.Logger(l),
		voter.Contacts(contacts(s.Seeds)...), voter.AllowJoin(),
	}
	if s.FaultTolerance > 0 {
		os = append(os, voter.FaultTolerance(s.FaultTolerance))
	}
	if s.Bootstrap {
		os = append(os, voter.InitialVoters(initialVoters(s.Seeds)...))
	}
	return os
}

// initialVoters returns the voters of a new group. All instances derive the same voters
// from the same seeds.
func initialVoters(seeds []string) []voter.Peer {
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

// InstanceAt returns the ID of the instance that listens at an address, which is the
// host. An instance keeps its host across restarts.
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

// Submit proposes a release. A nil error means that a majority has stored it or a
// higher version. An error of kind refusal.BadRequest means that the release is
// invalid. After any other error it is unknown whether the release was or will be
// accepted.
func (c *Controller) Submit(ctx context.Context, content []byte) error {
	r, err := c.decoder.DecodeSubmission(content)
	if err != nil {
		c.logger.Info("Rejected invalid release.", zap.Error(err))
		return err
	}
	command, err := store.Command(r.Version, content)
	if err != nil {
		return err
	}
	reply, err := c.voter.Propose(ctx, quorum.ConfigGroup, command)
	if err != nil {
		c.logger.Warn("Outcome of release proposal is unknown.", zap.Uint64("version", uint64(r.Version)), zap.Error(err))
		return err
	}
	held, err := store.DecodeVersion(reply)
	c.logger.Info("Release accepted.", zap.Uint64("version", uint64(r.Version)),
		zap.Uint64("held", uint64(held)), zap.Int("bytes", len(content)))
	return err
}

// Read returns the newest accepted release as the operator sent it, or nil if there is
// none.
func (c *Controller) Read(ctx context.Context) ([]byte, error) {
	newestVersion, err := c.newestVersion(ctx)
	if err != nil {
		return nil, err
	}
	for {
		held, newer := c.store.Current()
		if held.Version >= newestVersion {
			if held.Version == 0 {
				return nil, nil
			}
			return held.Decompress()
		}
		select {
		case <-newer:
		case <-ctx.Done():
			return nil, refusal.WithCause(refusal.NotReady, ctx.Err(), "release %d has not arrived here", newestVersion)
		}
	}
}

// Heartbeat processes a heartbeat of an upstream. If the upstream is leaving, a nil error
// means that a majority has stored that. After an error the upstream should send the
// heartbeat to another controller.
func (c *Controller) Heartbeat(ctx context.Context, e registry.Entry) error {
	e.LastHeartbeat = c.clock.Now()
	if c.catalog.Put(e, true) {
		c.logger.Info("Upstream changed.", zap.String("upstream", string(e.ID)), zap.Stringer("state", e.State),
			zap.String("pool", string(e.Pool)), zap.String("address", e.Address), zap.Uint64("sequence", e.Sequence),
			zap.Uint64("born", uint64(e.Incarnation)), zap.Int("from", int(e.Layers.From)), zap.Int("to", int(e.Layers.To)))
	}
	if e.State == registry.Ready {
		return nil
	}
	return c.recordDeparture(ctx, e)
}

// Leave removes an upstream that announces its shutdown. incarnation is 0 if the upstream
// does not state it. A nil error means that a majority has stored the departure, and an error
// of kind refusal.BadRequest that no upstream has such an ID. After any other error the
// upstream should announce it to another controller.
func (c *Controller) Leave(ctx context.Context, id fleet.UpstreamID, incarnation fleet.Incarnation) error {
	if err := registry.CheckID(id); err != nil {
		return err
	}
	e, known := c.catalog.Remove(id, incarnation)
	if !known {
		return refusal.New(refusal.NotReady, "upstream %.64q is not known here", id)
	}
	c.logger.Info("Upstream left.", zap.String("upstream", string(id)), zap.Uint64("born", uint64(e.Incarnation)),
		zap.String("pool", string(e.Pool)))
	return c.recordDeparture(ctx, e)
}

// recordDeparture has a majority store that an upstream is leaving or gone. An upstream
// that announced its shutdown once may never repeat it, so neither the loss of this
// controller nor a restart of all controllers may undo an acknowledgement.
func (c *Controller) recordDeparture(ctx context.Context, e registry.Entry) error {
	e.LastHeartbeat = c.clock.Now()
	if c.departures.Contains(e) {
		return nil
	}
	command, err := configgroup.DepartureCommand(e)
	if err != nil {
		return err
	}
	if _, err := c.voter.Propose(ctx, quorum.ConfigGroup, command); err != nil {
		c.logger.Warn("Departure of an upstream is not known to be stored.", zap.String("upstream", string(e.ID)), zap.Error(err))
		return err
	}
	return nil
}

// confirm has a majority confirm the newest version and the leadership.
func (c *Controller) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.tenure.Confirm(ctx); err != nil {
		c.logger.Debug("Confirmation of newest release failed.", zap.Error(err))
	}
}

// newestVersion asks the leader for the version that a majority confirms as the newest.
func (c *Controller) newestVersion(ctx context.Context) (release.Version, error) {
	reply, err := c.voter.Read(ctx, quorum.ConfigGroup, nil)
	if err != nil {
		return 0, err
	}
	v, err := store.DecodeVersion(reply)
	if err != nil {
		c.logger.Error("Failed to decode newest release version.", zap.Error(err))
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
			ks = append(ks, feed.Controller{Address: a, DataCentre: c.dataCentres[a]})
		}
	}
	return ks
}

// recordDataCentre records the data centre of another controller, as reported by that
// controller itself.
func (c *Controller) recordDataCentre(u feed.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range u.Controllers {
		if k.Address == u.From {
			c.dataCentres[k.Address] = k.DataCentre
		}
	}
}

// ActiveRelease implements placer.Releases.
func (c *Controller) ActiveRelease() *release.Release { return c.current.Load() }

func (c *Controller) knowsPool(id fleet.PoolID) bool {
	r := c.current.Load()
	return r != nil && slices.ContainsFunc(r.Services, func(s release.Service) bool { return s.Pool == id })
}

// followReleases applies the release that the log holds and waits for a newer one.
func (c *Controller) followReleases(ctx context.Context) {
	held, newer := c.store.Current()
	if held.Version > 0 {
		c.applyRelease(held)
	}
	select {
	case <-ctx.Done():
	case <-newer:
	}
}

func (c *Controller) applyRelease(h store.CompressedRelease) {
	r, err := h.Decode(c.decoder)
	if err != nil {
		c.logger.Error("Failed to decode release.", zap.Uint64("version", uint64(h.Version)), zap.Error(err))
		return
	}
	c.current.Store(r)
}

// updateMembers updates the members of the group. It starts feed clients for new members
// and stops those of former ones.
func (c *Controller) updateMembers(ctx context.Context) {
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
			c.peers[a] = feed.NewClient(c.settings.Instance, c.clock, &peerReceiver{c}, c.logger,
				feed.WithOnlyController(a), feed.WithPrompts(c.feed.Prompts()), feed.WithDialOptions(c.settings.DialOptions...))
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

// peerReceiver merges the registry entries of another controller into the local catalog.
type peerReceiver struct{ controller *Controller }

// ClockReading implements feed.Receiver. It returns 0 because controllers confirm releases
// themselves.
func (p *peerReceiver) ClockReading() time.Duration { return 0 }

// Version implements feed.Receiver.
func (p *peerReceiver) Version() release.Version { return 0 }

// Report implements feed.Receiver.
func (p *peerReceiver) Report() usage.Report { return usage.Report{} }

// Receive implements feed.Receiver.
func (p *peerReceiver) Receive(u feed.Update) error {
	for _, e := range u.Entries {
		p.controller.catalog.Put(e, false)
	}
	p.controller.feed.RecordPeer(u)
	p.controller.recordDataCentre(u)
	return u.Renew(p.controller.catalog)
}

// Collector returns the metrics of the replicated log.
func (c *Controller) Collector() prometheus.Collector { return c.voter.Collector() }

// Failed returns a channel that receives the error that keeps the controller from
// continuing.
func (c *Controller) Failed() <-chan error { return c.voter.Failed() }

// Stop hands over the leadership, closes all connections and waits for all goroutines.
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
