package voter

import (
	"cmp"
	"context"
	"slices"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/journal"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Service serves the methods of peerv1.PeerServer that belong to a Voter. A
// daemon that serves all methods delegates these to it.
type Service struct {
	peerv1.UnimplementedPeerServer
	voter *Voter
}

// Service returns the gRPC methods of the voter.
func (v *Voter) Service() *Service { return &Service{voter: v} }

// Register serves the voter alone.
func (v *Voter) Register(s grpc.ServiceRegistrar) { peerv1.RegisterPeerServer(s, v.Service()) }

// Consensus receives the messages of another voter.
func (s *Service) Consensus(stream peerv1.Peer_ConsensusServer) error {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var a assembler
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

// Propose runs a command on the own replica. It does not forward: the refusal
// names the leader.
func (s *Service) Propose(ctx context.Context, r *peerv1.ProposeRequest) (*peerv1.ProposeReply, error) {
	reply, err := s.voter.local(ctx, call{group: quorum.GroupID(r.GetGroup()), data: r.GetCommand()})
	return &peerv1.ProposeReply{Reply: reply, Refusal: refusalToProto(err)}, nil
}

// Read runs a query on the own replica. It does not forward.
func (s *Service) Read(ctx context.Context, r *peerv1.ReadRequest) (*peerv1.ReadReply, error) {
	reply, err := s.voter.local(ctx, call{group: quorum.GroupID(r.GetGroup()), data: r.GetQuery(), read: true})
	return &peerv1.ReadReply{Reply: reply, Refusal: refusalToProto(err)}, nil
}

// Identify binds the id of an initial voter to a data folder.
func (s *Service) Identify(_ context.Context, r *peerv1.IdentifyRequest) (*peerv1.IdentifyReply, error) {
	reply, err := s.voter.bind(quorum.VoterID(r.GetId()), journal.FolderID(r.GetFolder()))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return reply, nil
}

// Join adds the successor of a lost voter as a learner.
func (s *Service) Join(ctx context.Context, r *peerv1.JoinRequest) (*peerv1.JoinReply, error) {
	g, err := s.voter.group(quorum.GroupID(r.GetGroup()))
	if err == nil {
		_, err = g.await(ctx, func(m *member, d done) { m.join(voterOf(r.GetVoter()), d) })
	}
	return &peerv1.JoinReply{Refusal: refusalToProto(err)}, nil
}

// deliver hands the messages of a batch to their groups.
func (v *Voter) deliver(b *peerv1.ConsensusBatch) {
	v.learn(voterOf(b.GetSender()))
	for _, ms := range b.GetGroups() {
		g, ok := v.running(quorum.GroupID(ms.GetGroup()))
		if !ok {
			continue
		}
		g.post(func(m *member) {
			for _, p := range ms.GetMessages() {
				m.step(replica.MessageFromProto(p))
			}
		})
	}
}

func (v *Voter) learn(o replica.Voter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.directory[o.ID] = o
}

// heard returns the voters that sent messages to this one.
func (v *Voter) heard() []Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ps []Peer
	for _, o := range v.directory {
		ps = append(ps, Peer{ID: o.ID, Instance: o.Instance, Address: o.Address})
	}
	slices.SortFunc(ps, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return ps
}

func (v *Voter) known(id quorum.VoterID) (replica.Voter, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	o, ok := v.directory[id]
	return o, ok
}
