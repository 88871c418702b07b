package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/configgroup"
	"github.com/bilberryrock/bilberryrock/internal/document/register"
	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/entry/peer"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/voter"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/report/trail"
)

// state holds the replicated logs, their clients and the configuration in force.
type state struct {
	proposer quorum.Proposer
	voter    *voter.Voter
	client   *voter.Client
	register *register.Client
	ledger   *ledger.Client
	config   board.Cell[document.Config]
	trail    report.Trail

	mu        sync.Mutex
	document  document.Document
	newer     chan struct{}
	since     time.Time
	confirmed time.Time
}

// openState starts the replicated logs, or the client of those of other
// instances.
func (d *Daemon) openState() error {
	d.state = &state{newer: make(chan struct{}), trail: trail.New()}
	if err := d.openQuorum(); err != nil {
		return err
	}
	s := d.state
	s.register = register.NewClient(configgroup.Select(s.proposer, configgroup.Register), quorum.ConfigGroup, d.clock)
	s.ledger = ledger.NewClient(s.proposer, d.clock, d.settings.Instance.ID, ledger.WithShards(d.settings.Orders.Shards))
	return d.servePeers()
}

func (d *Daemon) openQuorum() error {
	options := d.quorumOptions()
	if !d.settings.Instance.Votes {
		client, err := voter.NewClient(options...)
		d.state.client, d.state.proposer = client, client
		return errors.Wrap(err, "open client of the voters")
	}
	v, err := voter.New(append(options, d.groupOptions()...)...)
	if err != nil {
		return errors.Wrap(err, "open voter")
	}
	d.state.voter, d.state.proposer = v, v
	go func() {
		select {
		case err := <-v.Failed():
			d.failed <- errors.Wrap(err, "voter")
		case <-d.ended:
		}
	}()
	return nil
}

func (d *Daemon) quorumOptions() []voter.Option {
	s := d.settings
	var peers []voter.Peer
	for _, v := range s.Quorum.Voters {
		peers = append(peers, voter.Peer{ID: v.ID, Instance: v.Instance, Address: v.Address})
	}
	return []voter.Option{
		voter.Instance(s.Instance.ID, s.Listeners.Peers),
		voter.Initial(peers...),
		voter.Clock(d.clock),
		voter.Tick(s.Quorum.Tick),
		voter.AttemptTimeout(s.Quorum.ProposalTimeout),
		voter.Dial(grpc.WithTransportCredentials(d.security.Client)),
		voter.Logger(d.log),
		voter.Cut(d.faults.cut),
	}
}

// keptFraction is the part of the log entries between two snapshots that is kept
// for members that lag.
const keptFraction = 10

func (d *Daemon) groupOptions() []voter.Option {
	entries := d.settings.Quorum.SnapshotEntries
	options := []voter.Option{
		voter.Folder(d.settings.Instance.DataFolder),
		voter.SnapshotEntries(entries, entries/keptFraction),
		voter.Group(quorum.ConfigGroup, configgroup.New(register.New(), register.New())),
	}
	for i := range d.settings.Orders.Shards {
		options = append(options, voter.Group(quorum.GroupID(fmt.Sprintf("orders-%d", i)), ledger.New()))
	}
	return options
}

func (d *Daemon) servePeers() error {
	server := grpc.NewServer(append(voter.ServerOptions(), grpc.Creds(d.security.Server))...)
	var log peerv1.PeerServer
	if d.state.voter != nil {
		log = d.state.voter.Service()
	}
	peerv1.RegisterPeerServer(server, peer.NewServer(log, d.state, d.state.trail, d.clock))
	return d.serveGRPC(server)
}

// InForce implements peer.Source.
func (s *state) InForce() (document.Document, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, s.newer
}

// adopt puts a document into force unless it is older than the present one.
func (s *state) adopt(doc document.Document, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = now
	if doc.Revision <= s.document.Revision {
		return nil
	}
	config, err := section.Check(doc)
	if err != nil {
		return errors.Wrapf(err, "check revision %d", doc.Revision)
	}
	s.document, s.since = doc, now
	s.config.Advance(config, func(old *document.Config) bool { return old == nil || old.Revision < config.Revision })
	close(s.newer)
	s.newer = make(chan struct{})
	return nil
}

// follow asks the voters for a newer configuration.
func (d *Daemon) follow(ctx context.Context) {
	doc, err := d.state.register.Document(ctx)
	if err != nil {
		d.log.Debug("The configuration could not be confirmed.", zap.Error(err))
		return
	}
	before := d.revision()
	if err := d.state.adopt(doc, d.clock.Now()); err != nil {
		d.log.Error("The accepted configuration is not usable.", zap.Error(err))
		return
	}
	if after := d.revision(); after != before {
		d.node.SetRevision(after, d.clock.Now())
		d.log.Info("Configuration in force.", zap.Uint64("revision", uint64(after)))
	}
}

func (d *Daemon) revision() fleet.Revision {
	if c := d.state.config.Load(); c != nil {
		return c.Revision
	}
	return 0
}

func (s *state) stop(ctx context.Context) error {
	if s.client != nil {
		s.client.Close()
		return nil
	}
	return errors.Wrap(s.voter.Stop(ctx), "stop voter")
}
