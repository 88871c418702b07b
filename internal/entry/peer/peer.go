// Package peer is the gRPC service that daemons offer each other, and the
// connections to it.
//
// The methods of the replicated logs are those of package voter. Fetch hands out
// the configuration in force, Explain a decision record.
package peer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/document/follower"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/report"
)

// maxFetchWait bounds the time that a Fetch waits for a newer revision.
const maxFetchWait = 30 * time.Second

// Source is the document in force on this instance.
type Source interface {
	// ChangesSince returns what is in force after a revision, and waits for it
	// up to wait.
	ChangesSince(ctx context.Context, after fleet.Revision, wait time.Duration) follower.Reply
	// Status tells whether the document is at least as new as any before.
	Status() follower.Status
}

// Server implements peerv1.PeerServer. The methods of the replicated logs are
// those of the embedded server.
type Server struct {
	peerv1.PeerServer
	source Source
	trail  report.Trail
}

// NewServer returns a Server. The log serves the methods of the replicated logs;
// an instance that does not vote has a nil one.
func NewServer(log peerv1.PeerServer, source Source, trail report.Trail) *Server {
	if log == nil {
		log = peerv1.UnimplementedPeerServer{}
	}
	return &Server{PeerServer: log, source: source, trail: trail}
}

// Fetch returns the sections that are newer than the asking instance's revision.
// It waits for a newer revision for the time that the request names. An instance
// that is not ready refuses: the asking one could take an old revision for the
// newest.
func (s *Server) Fetch(ctx context.Context, r *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	if state := s.source.Status().State; state != follower.Ready {
		return nil, status.Errorf(codes.Unavailable, "the configuration of this instance is %s", state)
	}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxFetchWait)
	changes := s.source.ChangesSince(ctx, fleet.Revision(r.GetAfter()), wait)
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err()
	}
	reply := &peerv1.FetchReply{Revision: uint64(changes.Document.Revision), Full: changes.Full}
	for _, section := range changes.Document.Sections {
		reply.Sections = append(reply.Sections, &peerv1.Section{
			Team:     string(section.Team),
			Revision: uint64(section.Revision),
			Text:     section.Text,
		})
	}
	return reply, nil
}

// Explain returns a decision record of this instance.
func (s *Server) Explain(_ context.Context, r *peerv1.ExplainRequest) (*peerv1.ExplainReply, error) {
	record, found := s.trail.Find(r.GetId())
	if !found {
		return &peerv1.ExplainReply{}, nil
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	return &peerv1.ExplainReply{Found: true, Record: raw}, nil
}
