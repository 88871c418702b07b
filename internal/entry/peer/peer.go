// Package peer implements the gRPC service that daemons offer to each other, and keeps
// the connections to it.
//
// Package voter implements the methods of the replicated logs. Fetch returns the active
// configuration, Explain a decision record.
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

// maxLongPollTimeout is the longest time for which Fetch waits for a newer revision.
const maxLongPollTimeout = 30 * time.Second

// ConfigSource provides the active document of this instance.
type ConfigSource interface {
	// ChangesSince returns the changes of the active document after a revision. It
	// waits for a newer revision for up to wait.
	ChangesSince(ctx context.Context, after fleet.Revision, wait time.Duration) follower.Reply
	// Status tells whether the document is at least as new as any that this instance
	// had before.
	Status() follower.Status
}

// Server implements peerv1.PeerServer. The embedded server implements the methods of
// the replicated logs.
type Server struct {
	peerv1.PeerServer
	source ConfigSource
	trail  report.Trail
}

// NewServer returns a Server. The logServer implements the methods of the replicated
// logs; it is nil on an instance that does not vote.
func NewServer(logServer peerv1.PeerServer, source ConfigSource, trail report.Trail) *Server {
	if logServer == nil {
		logServer = peerv1.UnimplementedPeerServer{}
	}
	return &Server{PeerServer: logServer, source: source, trail: trail}
}

// Fetch returns the sections that are newer than the revision of the requesting
// instance. It waits for a newer revision for up to the time given in the request. An
// instance that is not ready returns an error, because the requesting instance could
// mistake an old revision for the newest.
func (s *Server) Fetch(ctx context.Context, r *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	if state := s.source.Status().State; state != follower.Ready {
		return nil, status.Errorf(codes.Unavailable, "the configuration of this instance is %s", state)
	}
	wait := min(time.Duration(r.GetWaitMs())*time.Millisecond, maxLongPollTimeout)
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
