// Package feed streams releases and the upstream registry from the controllers to the
// gateways, and the registry between controllers.
//
// A Server sends a message at least once per Interval, so that a Client detects a dead
// connection and follows another controller.
package feed

import (
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/store"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// Interval is the longest time between two messages of a Server.
	Interval = 250 * time.Millisecond
	// batchDelay is the pause after a change in which further changes join its message.
	batchDelay = 5 * time.Millisecond
	// promptBatchDelay replaces batchDelay after a change of the prompt records, since
	// many gateways report the same crash.
	promptBatchDelay = 40 * time.Millisecond
	// unconfirmedInterval replaces Interval for a gateway without a confirmation, since it
	// accepts no requests until it has one.
	unconfirmedInterval = 40 * time.Millisecond
)

// Confirmation records that a majority confirmed a release as the newest one at some
// time after Start. The zero value means that there is none.
type Confirmation struct {
	Version release.Version
	Start   time.Time
}

// Source provides the confirmations and controllers that a Server streams.
type Source interface {
	// Confirmation returns the newest confirmation.
	Confirmation() Confirmation
	// Controllers returns all known controllers.
	Controllers() []Controller
}

// Controller is the address and the location of a controller.
type Controller struct {
	Address string // peer address
	// DataCentre is empty if it is not known.
	DataCentre fleet.DataCentreID
}

// Server implements peerv1.FeedServer. It is safe for concurrent use.
type Server struct {
	peerv1.UnimplementedFeedServer
	clock   fleet.Clock
	catalog *catalog.Catalog
	store   *store.Store
	source  Source
	usage   *usage.Table
	sums    *sumsCache
	prompts *quarantine.Table
	logger  *zap.Logger
	stop    chan struct{}
}

// NewServer returns a Server that streams the contents of a catalog, a store and a
// source.
func NewServer(clock fleet.Clock, c *catalog.Catalog, s *store.Store, o Source, l *zap.Logger) *Server {
	table := usage.New(clock)
	return &Server{
		clock: clock, catalog: c, store: s, source: o, usage: table, sums: &sumsCache{table: table}, prompts: quarantine.New(clock, l),
		logger: l.Named("feed"), stop: make(chan struct{}),
	}
}

// Suspects returns the upstreams at which requests of several gateways recently
// failed.
func (s *Server) Suspects() []fleet.UpstreamID {
	return s.selectUpstreams(func(u usage.UpstreamStats) bool { return u.Failed })
}

// Serving returns the upstreams at which requests of any gateway recently made
// progress.
func (s *Server) Serving() []fleet.UpstreamID {
	return s.selectUpstreams(func(u usage.UpstreamStats) bool { return u.Served })
}

func (s *Server) selectUpstreams(keep func(usage.UpstreamStats) bool) []fleet.UpstreamID {
	var ids []fleet.UpstreamID
	for _, u := range s.usage.Sums(true).Upstreams {
		if keep(u) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Prompts returns the table of prompt records that the server exchanges with its
// followers.
func (s *Server) Prompts() *quarantine.Table { return s.prompts }

// Stop ends all streams, so that the followers switch to other controllers.
func (s *Server) Stop() { close(s.stop) }

// RecordPeer records the sums of the gateways of another controller.
func (s *Server) RecordPeer(u Update) {
	if u.Sums != nil {
		s.usage.SetPeer(u.From, *u.Sums)
	}
}

// DropPeer removes the sums of a controller that is no longer a member.
func (s *Server) DropPeer(address string) {
	s.usage.DropPeer(address)
}

// Follow implements peerv1.FeedServer.
func (s *Server) Follow(stream peerv1.Feed_FollowServer) error {
	r, err := stream.Recv()
	if err != nil {
		return err
	}
	instance := fleet.InstanceID(r.GetInstance())
	var readings clockReadings
	readings.add(r.GetStamp(), s.clock.Now())
	go func() {
		for {
			q, err := stream.Recv()
			if err != nil {
				return // the context of the stream is done as well
			}
			readings.add(q.GetStamp(), s.clock.Now())
			s.prompts.Merge(promptsFromProto(q.GetPrompts(), s.clock.Now()))
			if !r.GetController() && !q.GetBare() {
				s.usage.SetGateway(instance, usage.Report{
					Upstreams: statsFromProto(q.GetUses()), Attempts: attemptsFromProto(q.GetSends()), Demands: demandsFromProto(q.GetDemands()),
				})
			}
		}
	}()
	if err := s.checkRelease(r); err != nil {
		return err
	}
	if !r.GetController() {
		s.usage.SetGateway(instance, usage.Report{}) // so that the gateway counts before its first report
	}
	defer s.usage.DropGateway(instance)
	s.logger.Info("Follower connected.", zap.String("instance", r.GetInstance()), zap.Bool("controller", r.GetController()))
	defer s.logger.Info("Follower disconnected.", zap.String("instance", r.GetInstance()))
	sentVersion := release.Version(r.GetVersion())
	revision, promptRevision := uint64(0), uint64(0)
	var sumsSent time.Time // when the newest sums were sent
	for {
		changed, promptsChanged := s.catalog.Changed(), s.prompts.Changed()
		current, replaced := s.store.Current()
		u := s.update(r.GetController(), &revision)
		u.ReceivedStamp = readings.latest()
		if now := s.clock.Now(); now.Sub(sumsSent) >= Interval {
			if u.Sums, err = s.sums.encode(!r.GetController()); err != nil {
				return status.Errorf(codes.Internal, "encode the sums: %v", err)
			}
			sumsSent = now
		}
		var prompts []quarantine.Record
		prompts, promptRevision = s.prompts.Delta(promptRevision)
		u.Prompts = promptsToProto(prompts, s.clock.Now())
		c := s.source.Confirmation()
		u.ConfirmedVersion, u.ConfirmedStamp = uint64(c.Version), readings.before(c.Start)
		if current.Version > sentVersion && !r.GetController() {
			u.Version, u.Release = uint64(current.Version), current.Gzipped
			sentVersion = current.Version
		}
		if err := stream.Send(u); err != nil {
			return err
		}
		interval, delay := Interval, batchDelay
		if u.GetConfirmedStamp() == 0 && !r.GetController() {
			interval = unconfirmedInterval
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.stop:
			return nil
		case <-changed:
		case <-replaced:
		case <-promptsChanged:
			delay = promptBatchDelay
		case <-s.clock.After(interval):
			continue
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-s.clock.After(delay):
		}
	}
}

// checkRelease rejects gateways while this controller lacks the newest confirmed release,
// such as after the loss of its disk, or has no confirmation yet.
func (s *Server) checkRelease(r *peerv1.FollowRequest) error {
	current, _ := s.store.Current()
	c := s.source.Confirmation()
	if r.GetController() || current.Version >= c.Version && !c.Start.IsZero() {
		return nil
	}
	return status.Errorf(codes.Unavailable, "release %d has not arrived here", c.Version)
}

// clockReadings holds the clock readings that a follower sent, with the local times at
// which they were received.
type clockReadings struct {
	mu      sync.Mutex
	pending []clockReading
	newest  uint64
	last    uint64 // newest reading, also if no confirmation covers it
}

type clockReading struct {
	value    uint64
	received time.Time
}

func (t *clockReadings) add(value uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = append(t.pending, clockReading{value, at})
	t.last = max(t.last, value)
}

// latest returns the newest reading.
func (t *clockReadings) latest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// before returns the newest reading received before start, or 0. start must not
// decrease from call to call.
func (t *clockReadings) before(start time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < len(t.pending) && t.pending[n].received.Before(start) {
		t.newest = max(t.newest, t.pending[n].value)
		n++
	}
	t.pending = t.pending[n:]
	return t.newest
}

func (s *Server) update(controller bool, revision *uint64) *peerv1.FeedUpdate {
	u := &peerv1.FeedUpdate{}
	for _, k := range s.source.Controllers() {
		u.Controllers = append(u.Controllers, &peerv1.Controller{Address: k.Address, DataCentre: string(k.DataCentre)})
	}
	n := s.catalog.Since(*revision, controller)
	*revision = n.Revision
	now := s.clock.Now()
	for _, e := range n.Entries {
		u.Entries = append(u.Entries, EntryToProto(e, now))
	}
	for _, r := range n.Renewals {
		u.Signs = append(u.Signs, renewalToProto(r, now))
	}
	return u
}
