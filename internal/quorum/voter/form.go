package voter

import (
	"context"
	"slices"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// bootstrapPollInterval is the pause between two rounds of Identify calls.
	bootstrapPollInterval = 200 * time.Millisecond
	// maxBootstrapPolls is the number of rounds for which a voter that knows its id
	// waits for the other voters to know theirs.
	maxBootstrapPolls = 25
	// maxLeaderlessPolls is the number of successive checks without a leader after
	// which a voter asks to join again, in case it was removed. Elections take less
	// time. The request has no effect if the voter is still a member.
	maxLeaderlessPolls = 8
	// maxLeaveElections is the number of election timeouts for which a voter that stops
	// tries to leave. Each attempt takes one of them at most.
	maxLeaveElections = 6
	// joinPollInterval is the pause between two checks of the own membership.
	joinPollInterval = 300 * time.Millisecond
)

// bootstrap determines the voter id of this data folder and starts the groups.
//
// A voter that knows its id waits for the others to know theirs, for at most
// maxBootstrapPolls rounds: a voter without an id needs the answers of all others,
// and would have to wait for one that is lost in the meantime.
func (v *Voter) bootstrap() error {
	k := slices.IndexFunc(v.config.initial, func(p Peer) bool { return p.Instance == v.config.instance })
	if k < 0 {
		return v.storeVoterIDAndStart(0)
	}
	state := &bootstrapState{own: v.config.initial[k].ID, bound: make(map[quorum.VoterID]bool), haveID: make(map[quorum.VoterID]bool)}
	peers := len(v.config.initial) - 1
	for polls := 0; polls < maxBootstrapPolls; {
		v.identifyAll(state)
		if state.idInUse {
			v.config.logger.Warn("The voter id is bound to another data folder; joining under a new id.", zap.Uint64("voter", uint64(state.own)))
			return v.storeVoterIDAndStart(0)
		}
		if len(state.bound) == peers {
			if err := v.storeVoterID(state.own); err != nil {
				return err
			}
			if state.anyStarted || len(state.haveID) == peers {
				break
			}
			polls++
		}
		if !v.sleep(bootstrapPollInterval) {
			return nil
		}
	}
	return v.startGroups()
}

// bootstrapState is what a voter with a new folder has learned from the others.
type bootstrapState struct {
	own        quorum.VoterID
	bound      map[quorum.VoterID]bool // voters that bound the id to this folder
	haveID     map[quorum.VoterID]bool // voters that have stored their own id
	anyStarted bool                    // one of the others runs its replicas
	idInUse    bool                    // the id is bound to another folder
}

// identifyAll asks each initial voter that is not known to have an id to bind the
// own id to this folder. It stops at the first one that has bound it to another
// folder.
func (v *Voter) identifyAll(state *bootstrapState) {
	for _, p := range v.config.initial {
		if p.ID == state.own || state.haveID[p.ID] {
			continue
		}
		r, err := v.identify(p, state.own)
		if err != nil {
			continue
		}
		if journal.FolderID(r.GetFolder()) != v.identity.Folder {
			state.idInUse = true
			return
		}
		state.bound[p.ID] = true
		state.anyStarted = state.anyStarted || r.GetStarted()
		if r.GetSettled() {
			state.haveID[p.ID] = true
		}
	}
}

func (v *Voter) storeVoterIDAndStart(id quorum.VoterID) error {
	if err := v.storeVoterID(id); err != nil {
		return err
	}
	return v.startGroups()
}

// storeVoterID stores the voter id of this folder in the identity. For 0 it stores a
// new random id and marks the voter as a replacement. It does nothing if the
// identity has an id already.
func (v *Voter) storeVoterID(id quorum.VoterID) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.identity.Voter != 0 {
		return nil
	}
	v.identity.Voter = id
	for _, p := range v.config.initial {
		v.identity.Initial = append(v.identity.Initial, replica.Voter{ID: p.ID, Instance: p.Instance, Address: p.Address})
	}
	if id == 0 {
		v.identity.Voter = quorum.VoterID(newID())
		v.identity.Replaced = true
	}
	return journal.SaveIdentity(v.config.disk, v.config.folder, v.identity)
}

// identify asks a peer to bind an id to this folder, and returns the folder to which
// the peer has bound it.
func (v *Voter) identify(p Peer, id quorum.VoterID) (*peerv1.IdentifyReply, error) {
	if v.config.cut(v.config.instance, p.Instance) || v.config.cut(p.Instance, v.config.instance) {
		return nil, errors.New("link is cut")
	}
	ctx, cancel := context.WithTimeout(v.ctx, v.config.attemptTimeout)
	defer cancel()
	conn, err := v.conns.ready(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	return peerv1.NewPeerClient(conn).Identify(ctx, &peerv1.IdentifyRequest{
		Id: uint64(id), Folder: uint64(v.identity.Folder),
	})
}

// bindFolder binds an id to a folder, unless the id is bound already, and returns
// the folder to which it is bound. It stores a new binding before it returns.
func (v *Voter) bindFolder(id quorum.VoterID, folderID journal.FolderID) (*peerv1.IdentifyReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return nil, refusal.New(refusal.Stopping, "voter is stopping")
	}
	r := &peerv1.IdentifyReply{Settled: v.identity.Voter != 0, Started: v.transport != nil}
	if first, ok := v.identity.Folders[id]; ok {
		r.Folder = uint64(first)
		return r, nil
	}
	v.identity.Folders[id] = folderID
	if err := journal.SaveIdentity(v.config.disk, v.config.folder, v.identity); err != nil {
		delete(v.identity.Folders, id)
		return nil, err
	}
	r.Folder = uint64(folderID)
	return r, nil
}

// ensureMembership asks the leader to add this voter until the group has it as a
// full member. Without AllowJoin it does nothing for an initial voter. With AllowJoin
// it keeps checking, because a voter that was unreachable for a long time may have
// been removed and then receives nothing from a leader.
func (v *Voter) ensureMembership(g *group) {
	if !v.identity.Replaced && !v.config.allowJoin {
		return
	}
	// A voter that left the group when it stopped does not know it. It asks at once.
	leaderlessPolls := maxLeaderlessPolls
	for !v.isStopping() {
		s, err := g.status(v.ctx)
		member := err == nil && slices.ContainsFunc(s.Voters, func(m replica.Voter) bool {
			return m.ID == s.ID && !m.Learner
		})
		if member && !v.config.allowJoin {
			return
		}
		leaderlessPolls++
		if member && s.Leader != 0 {
			leaderlessPolls = 0
		}
		if member && leaderlessPolls < maxLeaderlessPolls {
			if !v.sleep(joinPollInterval) {
				return
			}
			continue
		}
		if err := v.requestJoin(g.id); err != nil {
			v.config.logger.Info("Request to join the group failed; it will be repeated.", zap.String("group", string(g.id)), zap.Error(err))
		}
		if !v.sleep(joinPollInterval) {
			return
		}
	}
}

func (v *Voter) isStopping() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stopping
}

// requestJoin asks the leader to add this voter to a group.
func (v *Voter) requestJoin(id quorum.GroupID) error {
	r := &peerv1.JoinRequest{Group: string(id), Voter: voterToProto(v.transport.self)}
	peers := slices.Concat(v.config.initial, v.config.contacts, v.knownPeers())
	return v.askLeader(v.ctx, peers, v.config.attemptTimeout, func(ctx context.Context, c peerv1.PeerClient) (*peerv1.Refusal, error) {
		reply, err := c.Join(ctx, r)
		return reply.GetRefusal(), err
	})
}

// leave asks the leader to remove this voter from a group, until it did or the group needs
// the voter, and reports whether the voter was removed. It gives up after
// maxLeaveElections election timeouts, or when ctx ends.
func (v *Voter) leave(ctx context.Context, g *group) bool {
	electionTimeout := time.Duration(v.config.replicaOptions.ElectionTicks) * v.config.tickInterval
	ctx, cancel := context.WithTimeout(ctx, maxLeaveElections*electionTimeout)
	defer cancel()
	r := &peerv1.LeaveRequest{Group: string(g.id), Voter: uint64(v.identity.Voter)}
	for ctx.Err() == nil {
		err := v.askLeader(ctx, v.otherMembers(ctx, g), electionTimeout, func(ctx context.Context, c peerv1.PeerClient) (*peerv1.Refusal, error) {
			reply, err := c.Leave(ctx, r)
			return reply.GetRefusal(), err
		})
		if err == nil || refusal.KindOf(err) == refusal.Conflict {
			return err == nil
		}
		select {
		case <-ctx.Done():
		case <-v.config.clock.After(v.config.tickInterval):
		}
	}
	return false
}

// otherMembers returns the other members of a group, the leader first if it is known.
func (v *Voter) otherMembers(ctx context.Context, g *group) []Peer {
	s, err := g.status(ctx)
	if err != nil {
		return nil
	}
	var ps []Peer
	for _, m := range s.Voters {
		p := Peer{ID: m.ID, Instance: m.Instance, Address: m.Address}
		if m.ID == s.Leader {
			ps = slices.Insert(ps, 0, p)
		} else {
			ps = append(ps, p)
		}
	}
	return ps
}

// askLeader sends a request to voters, following their leader hints, until one of them
// accepts it or refuses it as the leader. timeout limits each attempt. It returns the last
// error.
func (v *Voter) askLeader(ctx context.Context, peers []Peer, timeout time.Duration, call peerCall) error {
	err := error(refusal.New(refusal.NotReady, "no voter is known"))
	asked := make(map[string]bool)
	for _, p := range peers {
		for p.Address != "" && p.Instance != v.config.instance && !asked[p.Address] {
			asked[p.Address] = true
			if err = v.callPeer(ctx, p, timeout, call); err == nil || refusal.KindOf(err) == refusal.Conflict {
				return err
			}
			var hint *leaderHint
			if !errors.As(err, &hint) {
				break
			}
			p = Peer{Instance: hint.instance, Address: hint.address}
		}
	}
	return err
}

// peerCall calls a method of another daemon.
type peerCall func(ctx context.Context, c peerv1.PeerClient) (*peerv1.Refusal, error)

func (v *Voter) callPeer(ctx context.Context, p Peer, timeout time.Duration, call peerCall) error {
	if v.config.cut(v.config.instance, p.Instance) || v.config.cut(p.Instance, v.config.instance) {
		return errors.New("link is cut")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := v.conns.ready(ctx, p.Address)
	if err != nil {
		return err
	}
	r, err := call(ctx, peerv1.NewPeerClient(conn))
	if err != nil {
		return err
	}
	return refusalFromProto(r)
}

// sleep waits for d and reports whether the voter still runs.
func (v *Voter) sleep(d time.Duration) bool {
	select {
	case <-v.ctx.Done():
		return false
	case <-v.config.clock.After(d):
		return true
	}
}
