package voter

import (
	"cmp"
	"context"
	"slices"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Service implements the methods of peerv1.PeerServer that belong to a Voter. A
// daemon that serves further methods delegates these to it.
type Service struct {
	peerv1.UnimplementedPeerServer
	voter *Voter
}

// Service returns the gRPC service of the voter.
func (v *Voter) Service() *Service { return &Service{voter: v} }

// Register registers the service of the voter. The other methods of
// peerv1.PeerServer are unimplemented.
func (v *Voter) Register(s grpc.ServiceRegistrar) { peerv1.RegisterPeerServer(s, v.Service()) }

// Consensus receives the consensus messages of another voter.
func (s *Service) Consensus(stream peerv1.Peer_ConsensusServer) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var a snapshotAssembler
		for {
			b, err := stream.Recv()
			if err != nil {
				return
			}
			for _, g := range b.GetGroups() {
				g.Messages = slices.DeleteFunc(g.Messages, func(m *peerv1.Message) bool { return !a.add(m) })
			}
			s.voter.deliver(b)
		}
	}()
	select {
	case <-ended:
	case <-s.voter.ctx.Done():
	}
	return stream.SendAndClose(&peerv1.ConsensusDone{})
}

// Propose runs a command on the replica of this voter. It does not forward the
// command: if another replica leads, the refusal names the leader.
func (s *Service) Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeReply, error) {
	reply, err := s.voter.callLocal(ctx, request{group: quorum.GroupID(r.GetGroup()), data: r.GetCommand()})
	return &peerv1.ProposeReply{Reply: reply, Refusal: refusalToProto(err)}, nil
}

// Read runs a query on the replica of this voter. It does not forward the query.
func (s *Service) Read(ctx context.Context, r *peerv1.ReadRequest) (*peerv1.ReadReply, error) {
	reply, err := s.voter.callLocal(ctx, request{group: quorum.GroupID(r.GetGroup()), data: r.GetQuery(), read: true})
	return &peerv1.ReadReply{Reply: reply, Refusal: refusalToProto(err)}, nil
}

// Identify binds the id of an initial voter to a data folder, unless it is bound
// already. The reply holds the folder to which it is bound.
func (s *Service) Identify(_ context.Context, r *peerv1.IdentifyRequest) (*peerv1.IdentifyReply, error) {
	reply, err := s.voter.bindFolder(quorum.VoterID(r.GetId()), journal.FolderID(r.GetFolder()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return reply, nil
}

// Describe returns the voter of this daemon once its groups run.
func (s *Service) Describe(context.Context, *peerv1.DescribeRequest) (*peerv1.DescribeReply, error) {
	v := s.voter
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.transport == nil {
		return &peerv1.DescribeReply{}, nil
	}
	return &peerv1.DescribeReply{Voter: voterToProto(v.transport.self)}, nil
}

// Join adds a voter to a group as a learner: the successor of a lost voter or, with
// AllowJoin, a new instance.
func (s *Service) Join(ctx context.Context, r *peerv1.JoinRequest) (*peerv1.JoinReply, error) {
	g, err := s.voter.group(quorum.GroupID(r.GetGroup()))
	if err == nil {
		_, err = g.do(ctx, func(m *member, d doneFunc) { m.join(voterFromProto(r.GetVoter()), d) })
	}
	return &peerv1.JoinReply{Refusal: refusalToProto(err)}, nil
}

// Leave removes a voter that is about to stop from a group, unless the group needs it. A
// leader that is stopping itself answers too, since all voters may stop at once.
func (s *Service) Leave(ctx context.Context, r *peerv1.LeaveRequest) (*peerv1.LeaveReply, error) {
	err := error(refusal.New(refusal.NotReady, "group %q does not run here", r.GetGroup()))
	if g, ok := s.voter.runningGroup(quorum.GroupID(r.GetGroup())); ok {
		_, err = g.do(ctx, func(m *member, d doneFunc) { m.leave(quorum.VoterID(r.GetVoter()), d) })
	}
	return &peerv1.LeaveReply{Refusal: refusalToProto(err)}, nil
}

// deliver passes the messages of a batch to their groups.
func (v *Voter) deliver(b *peerv1.ConsensusBatch) {
	v.recordVoter(voterFromProto(b.GetSender()))
	for _, ms := range b.GetGroups() {
		g, ok := v.runningGroup(quorum.GroupID(ms.GetGroup()))
		if !ok {
			continue
		}
		g.enqueue(func(m *member) {
			for _, p := range ms.GetMessages() {
				m.step(replica.MessageFromProto(p))
			}
		})
	}
}

// recordVoter stores the address and instance that a voter stated about itself.
func (v *Voter) recordVoter(o replica.Voter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.knownVoters[o.ID] = o
}

// knownPeers returns the voters that have sent messages to this one, ordered by id.
func (v *Voter) knownPeers() []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ps []Peer
	for _, o := range v.knownVoters {
		ps = append(ps, Peer{ID: o.ID, Instance: o.Instance, Address: o.Address})
	}
	slices.SortFunc(ps, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return ps
}

// knownVoter returns what a voter last stated about itself.
func (v *Voter) knownVoter(id quorum.VoterID) (replica.Voter, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	o, ok := v.knownVoters[id]
	return o, ok
}
