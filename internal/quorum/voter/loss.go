package voter

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/quorum/replica"
	"go.uber.org/zap"
)

// lossPollInterval is the pause between two searches for lost voters.
const lossPollInterval = 300 * time.Millisecond

// watchLosses asks, while the group has no leader, the daemons of the other voters which voter
// they run. A daemon that runs another one has lost the disk of the former one: it chose a
// new ID on an empty disk. Only the answer of the daemon itself at the address of the voter
// proves this, and not a request to join, which may be late or come from elsewhere.
func (v *Voter) watchLosses(g *group) {
	for v.sleep(lossPollInterval) {
		s, err := g.status(v.ctx)
		if err != nil || s.HasLeader {
			continue
		}
		var calls sync.WaitGroup
		for _, o := range s.Voters {
			if o.Learner || o.Instance == v.config.instance {
				continue
			}
			calls.Go(func() {
				if v.hasLostDisk(o) {
					g.recordLoss(o.ID)
				}
			})
		}
		calls.Wait()
	}
}

// hasLostDisk reports whether the daemon of a voter runs another voter. It returns false if
// the daemon does not answer.
func (v *Voter) hasLostDisk(o replica.Voter) bool {
	if known, ok := v.knownVoter(o.ID); ok {
		o.Address = known.Address
	}
	var running replica.Voter
	err := v.callPeer(v.ctx, Peer{Instance: o.Instance, Address: o.Address}, v.config.attemptTimeout,
		func(ctx context.Context, c peerv1.PeerClient) (*peerv1.Refusal, error) {
			reply, err := c.Describe(ctx, &peerv1.DescribeRequest{})
			running = voterFromProto(reply.GetVoter())
			return nil, err
		})
	return err == nil && running.ID != 0 && running.ID != o.ID && running.Instance == o.Instance
}

func (g *group) recordLoss(id quorum.VoterID) {
	g.enqueue(func(m *member) {
		if m.replica.RecordLoss(id) {
			m.logger.Warn("A voter lost its disk.", zap.String("group", string(g.id)), zap.Uint64("voter", uint64(id)))
		}
	})
}
