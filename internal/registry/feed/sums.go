package feed

import (
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// sumsCache encodes the sums of a table once for all followers that request them before
// they are recomputed. Otherwise the sums of 220 engines would be encoded four times per
// second for each of 60 followers.
type sumsCache struct {
	table *usage.Table

	mu sync.Mutex
	// cached holds the sums of the gateways that report to this controller, and of all.
	cached [2]encodedSums
}

type encodedSums struct {
	bytes      []byte
	computedAt time.Time
}

// encode returns the encoded sums of the gateways that report to this controller, or of
// all gateways. The result must not be changed.
func (s *sumsCache) encode(all bool) ([]byte, error) {
	r := s.table.Sums(all)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &s.cached[0]
	if all {
		n = &s.cached[1]
	}
	if n.computedAt.Equal(r.ComputedAt) {
		return n.bytes, nil
	}
	b, err := proto.Marshal(&peerv1.Sums{
		Gateways: uint32(r.Gateways), Uses: statsToProto(r.Upstreams), Sends: attemptsToProto(r.Attempts),
		Demands: demandsToProto(r.Demands),
	})
	if err != nil {
		return nil, err
	}
	*n = encodedSums{bytes: b, computedAt: r.ComputedAt}
	return b, nil
}

// decodeSums returns nil if a message carries no sums.
func decodeSums(b []byte) (*usage.Report, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var p peerv1.Sums
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, errors.Wrap(err, "decode sums")
	}
	return &usage.Report{
		Gateways: int(p.GetGateways()), Upstreams: statsFromProto(p.GetUses()), Attempts: attemptsFromProto(p.GetSends()),
		Demands: demandsFromProto(p.GetDemands()),
	}, nil
}
