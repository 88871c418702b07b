package feed

import (
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// sumsAge is the time for which encoded sums are sent again. Each of many followers gets
// them four times a second.
const sumsAge = 50 * time.Millisecond

// sums encodes the sums of a table once for all followers that ask within sumsAge. With
// 60 followers and 220 engines, sums that each follower had encoded for itself were most
// of the garbage of a controller.
type sums struct {
	clock fleet.Clock
	table *usage.Table

	mu sync.Mutex
	// newest are those of the own gateways, and those of all.
	newest [2]encoded
}

type encoded struct {
	bytes []byte
	at    time.Time
}

// encode returns the sums of the own gateways, or of all. They must not be changed.
func (s *sums) encode(all bool) ([]byte, error) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &s.newest[0]
	if all {
		n = &s.newest[1]
	}
	if !n.at.IsZero() && now.Sub(n.at) < sumsAge {
		return n.bytes, nil
	}
	r := s.table.Sums(all)
	b, err := proto.Marshal(&peerv1.Sums{
		Gateways: uint32(r.Gateways), Uses: usesToProto(r.Uses), Sends: sendsToProto(r.Sends),
	})
	if err != nil {
		return nil, err
	}
	*n = encoded{bytes: b, at: now}
	return b, nil
}

// decodeSums returns nil if a message has no sums.
func decodeSums(b []byte) (*usage.Report, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var p peerv1.Sums
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, errors.Wrap(err, "decode the sums")
	}
	return &usage.Report{Gateways: int(p.GetGateways()), Uses: usesFromProto(p.GetUses()), Sends: sendsFromProto(p.GetSends())}, nil
}
