// Package voter runs the replicas of several groups in one daemon. It provides
// their journals, transport, clock, batching and snapshots, and replaces a voter
// whose data folder was lost.
//
//	v, err := voter.New(
//		voter.Instance("london-1", "10.0.0.1:7300"),
//		voter.Folder("/var/lib/bilberryrock"),
//		voter.InitialVoters(
//			voter.Peer{ID: 1, Instance: "london-1", Address: "10.0.0.1:7300"},
//			voter.Peer{ID: 2, Instance: "leeds-1", Address: "10.0.1.1:7300"},
//			voter.Peer{ID: 3, Instance: "derby-1", Address: "10.0.2.1:7300"},
//		),
//		voter.Group(quorum.ConfigGroup, stateMachine),
//		voter.Logger(logger),
//	)
//	server := grpc.NewServer(voter.ServerOptions()...)
//	v.Register(server)
//	reply, err := v.Propose(ctx, quorum.ConfigGroup, command)
//	err = v.Stop(ctx)
//
// A Voter is a quorum.Proposer: it forwards to the leader of the group. A daemon
// without a data folder uses a Client instead.
//
// # First start and lost folders
//
// The ids in InitialVoters belong to data folders, not to instances. A voter with
// a new folder first asks all other initial voters to bind its id to the folder,
// and each of them keeps the first binding that it received. The group therefore
// forms once all initial voters have been up at the same time. A voter whose id is
// already bound to another folder is the successor of a lost voter: it takes a new
// random id and joins as a learner. When it has caught up, the leader removes the
// lost voter and then promotes the learner.
package voter

import (
	"context"
	"io"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

// Voter runs the replicas of one daemon. It is safe for concurrent use.
type Voter struct {
	config     *config
	conns      *connections
	client     *Client
	lock       io.Closer
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	failed     chan error
	// startTime is the time from which ticks are counted.
	startTime time.Time

	mu        sync.Mutex
	identity  journal.Identity
	groups    map[quorum.GroupID]*group
	transport *transport
	// knownVoters holds what the sender of the last batch from each voter stated
	// about itself.
	knownVoters map[quorum.VoterID]replica.Voter
	stopping    bool
}

var _ quorum.Proposer = (*Voter)(nil)

// New opens the data folder and starts the replicas. If the folder is damaged, the
// error names the file. New does not wait for other voters.
func New(options ...Option) (*Voter, error) {
	c, err := newConfig(options)
	if err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, err
	}
	if err := c.disk.MakeDir(c.folder); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	lock, err := c.disk.Lock(c.folder)
	if err != nil {
		return nil, err
	}
	v := &Voter{
		config: c, conns: newConnections(c.dialOptions()), lock: lock,
		failed: make(chan error, 1), startTime: c.clock.Now(), groups: make(map[quorum.GroupID]*group),
		knownVoters: make(map[quorum.VoterID]replica.Voter),
	}
	v.ctx, v.cancel = context.WithCancel(context.Background())
	v.client = newClient(c, v.conns)
	v.client.local = v.callLocal
	v.client.knownPeers = v.knownPeers
	if err := v.initialize(); err != nil {
		_ = v.Stop(context.Background())
		return nil, err
	}
	return v, nil
}

// initialize loads the identity of the data folder. It starts the groups at once
// if the voter id is known, and otherwise in the background after bootstrap.
func (v *Voter) initialize() error {
	id, err := journal.LoadIdentity(v.config.disk, v.config.folder)
	if err != nil {
		return err
	}
	if id.Folder == 0 {
		id = journal.Identity{Folder: journal.FolderID(newID()), Folders: make(map[quorum.VoterID]journal.FolderID)}
		if err := journal.SaveIdentity(v.config.disk, v.config.folder, id); err != nil {
			return err
		}
	}
	if id.Damage != "" {
		return errors.Errorf("data folder %s: %s", v.config.folder, id.Damage)
	}
	v.identity = id
	if id.Voter != 0 {
		return v.startGroups()
	}
	v.goroutines.Go(func() {
		if err := v.bootstrap(); err != nil {
			v.fail(err)
		}
	})
	return nil
}

// startGroups opens and runs all groups, unless the voter is stopping.
func (v *Voter) startGroups() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil
	}
	self := replica.Voter{ID: v.identity.Voter, Instance: v.config.instance, Address: v.config.address}
	v.transport = newTransport(v.config, v.conns, self)
	for _, id := range v.config.groupOrder {
		if err := v.startGroup(id); err != nil {
			return err
		}
	}
	for _, id := range v.config.groupOrder {
		g := v.groups[id]
		v.goroutines.Go(func() { v.ensureMembership(g) })
		v.goroutines.Go(func() { v.watchLosses(g) })
	}
	return nil
}

func (v *Voter) startGroup(id quorum.GroupID) error {
	dir := filepath.Join(v.config.folder, string(id))
	if err := v.checkFolder(id, dir); err != nil {
		return err
	}
	o := v.config.replicaOptions
	o.ID = v.identity.Voter
	if o.Seed == 0 {
		o.Seed = newID()
	}
	g := &group{voter: v, id: id, inbox: make(chan func(*member), inboxSize), stopped: make(chan struct{})}
	m, err := openMember(memberConfig{
		group: id, options: o, initial: v.initialVoters(), machine: v.config.stateMachines[id],
		disk: v.config.disk, dir: dir, send: g.send, background: g.background,
		snapshotEntries: v.config.snapshotEntries, retainedEntries: v.config.retainedEntries,
		allowJoin: v.config.allowJoin, faultTolerance: v.config.faultTolerance, logger: v.config.logger,
	})
	if err != nil {
		return err
	}
	if err := v.recordGroup(id); err != nil {
		return err
	}
	g.member = m
	v.groups[id] = g
	g.run()
	return nil
}

// checkFolder returns an error if the journal is empty although the identity lists
// the group: the voter may have cast votes and acknowledged entries that are lost.
func (v *Voter) checkFolder(id quorum.GroupID, dir string) error {
	if err := v.config.disk.MakeDir(dir); err != nil {
		return errors.Wrap(err, "data folder")
	}
	names, err := v.config.disk.List(dir)
	if err != nil {
		return errors.Wrap(err, "data folder")
	}
	for _, g := range v.identity.Groups {
		if g == id && len(names) == 0 {
			return &journal.CorruptError{File: dir, Reason: "the journal of the group is missing"}
		}
	}
	return nil
}

// recordGroup stores in the identity that this folder takes part in a group.
func (v *Voter) recordGroup(id quorum.GroupID) error {
	for _, g := range v.identity.Groups {
		if g == id {
			return nil
		}
	}
	v.identity.Groups = append(v.identity.Groups, id)
	return journal.SaveIdentity(v.config.disk, v.config.folder, v.identity)
}

// initialVoters returns the members of a new group. For the successor of a lost
// voter it returns nil: that voter is no initial member and receives the members
// from the leader.
func (v *Voter) initialVoters() []replica.Voter {
	if v.identity.Replaced {
		return nil
	}
	if len(v.identity.Initial) > 0 {
		return v.identity.Initial
	}
	// The identity was stored by a version that did not record the initial voters.
	var vs []replica.Voter
	for _, p := range v.config.initial {
		vs = append(vs, replica.Voter{ID: p.ID, Instance: p.Instance, Address: p.Address})
	}
	return vs
}

// Propose forwards a command to the leader of a group.
func (v *Voter) Propose(ctx context.Context, id quorum.GroupID, command []byte) ([]byte, error) {
	return v.client.Propose(ctx, id, command)
}

// Read forwards a query to the leader of a group.
func (v *Voter) Read(ctx context.Context, id quorum.GroupID, query []byte) ([]byte, error) {
	return v.client.Read(ctx, id, query)
}

// Lead runs a query on the replica of this voter, and returns the reply and the
// term once a majority has confirmed that the replica leads the group. The kind of
// the error is refusal.NotReady if another replica leads.
func (v *Voter) Lead(ctx context.Context, id quorum.GroupID, query []byte) ([]byte, quorum.Term, error) {
	ctx, cancel := context.WithTimeout(ctx, v.config.attemptTimeout)
	defer cancel()
	g, err := v.group(id)
	if err != nil {
		return nil, 0, err
	}
	var term quorum.Term
	reply, err := g.do(ctx, func(m *member, d doneFunc) {
		m.read(query, func(reply []byte, err error) {
			// Pending reads fail when the replica loses the leadership, so this is
			// the term in which the leadership was confirmed.
			term = m.replica.Term()
			d(reply, err)
		})
	})
	if err != nil {
		return nil, 0, err // The callback may still write term.
	}
	return reply, term, nil
}

// callLocal runs a request on the replica of this voter.
func (v *Voter) callLocal(ctx context.Context, req request) ([]byte, error) {
	g, err := v.group(req.group)
	if err != nil {
		return nil, err
	}
	return g.do(ctx, func(m *member, d doneFunc) {
		if req.read {
			m.read(req.data, d)
			return
		}
		m.propose(req.data, d)
	})
}

// AddLearner adds a member that receives the log without voting. It must be
// called on the leader.
func (v *Voter) AddLearner(ctx context.Context, id quorum.GroupID, p Peer) error {
	return v.changeMembership(ctx, id, replica.Change{
		Kind:  replica.AddLearner,
		Voter: replica.Voter{ID: p.ID, Instance: p.Instance, Address: p.Address},
	})
}

// Promote turns a learner that has caught up into a voter. It must be called on
// the leader.
func (v *Voter) Promote(ctx context.Context, id quorum.GroupID, voter quorum.VoterID) error {
	return v.changeMembership(ctx, id, replica.Change{Kind: replica.Promote, Voter: replica.Voter{ID: voter}})
}

// Remove removes a member. It must be called on the leader.
func (v *Voter) Remove(ctx context.Context, id quorum.GroupID, voter quorum.VoterID) error {
	return v.changeMembership(ctx, id, replica.Change{Kind: replica.Remove, Voter: replica.Voter{ID: voter}})
}

// TransferLeadership starts a transfer of the leadership to another voter. It must
// be called on the leader and returns before the transfer is complete.
func (v *Voter) TransferLeadership(ctx context.Context, id quorum.GroupID, to quorum.VoterID) error {
	g, err := v.group(id)
	if err != nil {
		return err
	}
	return g.transferTo(ctx, to)
}

func (v *Voter) changeMembership(ctx context.Context, id quorum.GroupID, c replica.Change) error {
	g, err := v.group(id)
	if err != nil {
		return err
	}
	_, err = g.do(ctx, func(m *member, d doneFunc) { m.change(c, d) })
	return err
}

func (v *Voter) group(id quorum.GroupID) (*group, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil, refusal.New(refusal.Stopping, "voter is stopping")
	}
	g, ok := v.groups[id]
	if !ok {
		return nil, refusal.New(refusal.NotReady, "group %q does not run here yet", id)
	}
	return g, nil
}

// runningGroup returns a group even while the voter is stopping, so that a
// transfer of its leadership can complete.
func (v *Voter) runningGroup(id quorum.GroupID) (*group, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	g, ok := v.groups[id]
	return g, ok
}

// Failed returns a channel that receives the first fatal error of a replica, such
// as a failed sync. The daemon should then stop.
func (v *Voter) Failed() <-chan error { return v.failed }

func (v *Voter) fail(err error) {
	v.config.logger.Error("A replica failed.", zap.Error(err))
	v.recordDamage(err)
	select {
	case v.failed <- err:
	default:
	}
}

// recordDamage stores in the identity that the folder lost entries, so that it
// can't be used after a restart.
func (v *Voter) recordDamage(err error) {
	var lost *replica.LostEntriesError
	if !errors.As(err, &lost) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.identity.Damage = lost.Error()
	if err := journal.SaveIdentity(v.config.disk, v.config.folder, v.identity); err != nil {
		v.config.logger.Error("Failed to record the damage of the data folder.", zap.Error(err))
	}
}

// timeToNextTick returns the time until the next tick. All groups tick at the same
// times, so that their heartbeats are sent in one batch.
func (v *Voter) timeToNextTick() time.Duration {
	passed := v.config.clock.Now().Sub(v.startTime)
	return v.config.tickInterval - passed%v.config.tickInterval
}

// Stop transfers the leadership of all groups to other voters, stops the replicas
// and closes the journals. It waits for the transfers until ctx ends, but no longer
// than two election timeouts. With AllowJoin, a voter without which a group survives as
// many losses leaves it before, see FaultTolerance: it need not return. The group no longer
// counts it once Stop has returned, unless no leader answered in time.
func (v *Voter) Stop(ctx context.Context) error {
	v.mu.Lock()
	if v.stopping {
		v.mu.Unlock()
		return nil
	}
	v.stopping = true // startGroups adds no groups from here on.
	groups, t := v.groups, v.transport
	v.mu.Unlock()
	var transfers sync.WaitGroup
	for _, g := range groups {
		transfers.Go(func() {
			g.transferLeadership(ctx)
			if v.config.allowJoin {
				left := v.leave(ctx, g)
				v.config.logger.Info("The voter stops.", zap.String("group", string(g.id)), zap.Bool("left", left))
			}
		})
	}
	transfers.Wait()
	v.cancel()
	var err error
	for _, g := range groups {
		<-g.stopped
		if e := g.member.stop(); e != nil && err == nil {
			err = e
		}
	}
	v.goroutines.Wait()
	if t != nil {
		t.close()
	}
	v.conns.close()
	if e := v.lock.Close(); e != nil && err == nil {
		err = e
	}
	return err
}

// newID returns a random id of 63 bits above 1<<32. Such ids don't collide in
// practice with each other or with the small ids in the settings.
func newID() uint64 {
	for {
		if id := rand.Uint64() >> 1; id > 1<<32 {
			return id
		}
	}
}
