package daemon

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/configgroup"
	"github.com/bilberryrock/bilberryrock/internal/document/follower"
	"github.com/bilberryrock/bilberryrock/internal/document/register"
	"github.com/bilberryrock/bilberryrock/internal/entry/peer"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/order/ledger"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/voter"
	"github.com/bilberryrock/bilberryrock/internal/report/trail"
	"github.com/bilberryrock/bilberryrock/internal/upstream/fencing"
)

// state holds the replicated logs, their clients and the active configuration.
type state struct {
	proposer quorum.Proposer
	voter    *voter.Voter
	client   *voter.Client
	register *register.Client
	ledger   *ledger.Client
	// localRegister is the register replica of this instance's voter. It is nil if the
	// instance is not a voter.
	localRegister *register.Register
	follower      *follower.Follower
	config        board.Cell[document.Config]
	trail         *trail.Trail
}

// openState starts the voter of the replicated logs, or on an instance that does not
// vote a client of the voters.
func (d *Daemon) openState() error {
	d.state = &state{trail: trail.New()}
	if err := d.openQuorum(); err != nil {
		return err
	}
	s := d.state
	s.register = register.NewClient(configgroup.Select(s.proposer, configgroup.Register), quorum.ConfigGroup, d.clock)
	s.ledger = ledger.NewClient(s.proposer, d.clock, d.settings.Instance.ID, ledger.WithShards(d.settings.Orders.Shards), ledger.WithLimits(d.orderLimits()))
	return nil
}

func (d *Daemon) orderLimits() ledger.Limits {
	o := d.settings.Orders
	return ledger.Limits{
		Retention:        o.Retention,
		MaxRecords:       o.MaxRecords,
		MaxBytes:         int(o.MaxBytes),
		MaxResponseBytes: int(o.MaxResponseBytes),
	}
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
		case <-d.done:
		}
	}()
	return nil
}

func (d *Daemon) quorumOptions() []voter.Option {
	s := d.settings
	var peers []voter.Peer
	for _, v := range s.Quorum.InitialVoters {
		peers = append(peers, voter.Peer{ID: v.ID, Instance: v.Instance, Address: v.Address})
	}
	return []voter.Option{
		voter.Instance(s.Instance.ID, s.Listeners.Peers),
		voter.InitialVoters(peers...),
		voter.Clock(d.clock),
		voter.TickInterval(s.Quorum.TickInterval),
		voter.AttemptTimeout(s.Quorum.ProposalTimeout),
		voter.DialOptions(grpc.WithTransportCredentials(d.credentials.Client)),
		voter.Logger(d.base),
		voter.Cut(d.faults.shouldDrop),
	}
}

// retainedEntriesDivisor determines how many log entries are retained after a snapshot
// for members that lag: the number of entries between two snapshots divided by it.
const retainedEntriesDivisor = 10

func (d *Daemon) groupOptions() []voter.Option {
	d.state.localRegister = register.New()
	entries := d.settings.Quorum.SnapshotEntries
	options := []voter.Option{
		voter.Folder(d.settings.Instance.DataFolder),
		voter.SnapshotEntries(entries, entries/retainedEntriesDivisor),
		voter.Group(quorum.ConfigGroup, configgroup.New(d.state.localRegister, fencing.NewMachine())),
	}
	for i := range d.settings.Orders.Shards {
		options = append(options, voter.Group(quorum.GroupID(fmt.Sprintf("orders-%d", i)), ledger.New()))
	}
	return options
}

// openFollower starts the follower, which keeps the active configuration up to date,
// and the gRPC server that offers the configuration to the other instances.
func (d *Daemon) openFollower() error {
	s := d.state
	s.follower = follower.New(d.node, fetcher{d}, d.clock, &s.config, d.base)
	server := grpc.NewServer(append(voter.ServerOptions(), grpc.Creds(d.credentials.Server))...)
	var logServer peerv1.PeerServer
	if s.voter != nil {
		logServer = s.voter.Service()
	}
	peerv1.RegisterPeerServer(server, peer.NewServer(logServer, s.follower, s.trail))
	return d.serveGRPC(server)
}

// activeConfig returns the active configuration, or nil before the daemon is ready.
func (d *Daemon) activeConfig() *document.Config {
	if !d.ready.Load() {
		return nil
	}
	return d.state.config.Load()
}

// activeRevision returns the active revision, or zero before the daemon is ready.
func (d *Daemon) activeRevision() fleet.Revision {
	if c := d.activeConfig(); c != nil {
		return c.Revision
	}
	return 0
}

func (s *state) stop(ctx context.Context) error {
	s.follower.Close()
	if s.client != nil {
		s.client.Close()
		return nil
	}
	return errors.Wrap(s.voter.Stop(ctx), "stop voter")
}
