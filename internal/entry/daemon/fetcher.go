package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/follower"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/membership"
)

// replicaPollInterval is the interval at which the local register is polled for changes.
const replicaPollInterval = 50 * time.Millisecond

// fetcher implements follower.Fetcher with gRPC calls to the other instances and reads
// from the local voter.
type fetcher struct{ daemon *Daemon }

// Fetch implements follower.Fetcher.
func (f fetcher) Fetch(ctx context.Context, from membership.Member, after fleet.Revision, wait time.Duration) (follower.Reply, error) {
	d := f.daemon
	self := d.settings.Instance.ID
	if from.ID == self {
		return d.readLocal(ctx, after, wait)
	}
	if d.faults.shouldDrop(self, from.ID) || d.faults.shouldDrop(from.ID, self) {
		return follower.Reply{}, errors.Errorf("fault injection drops messages to or from %s", from.ID)
	}
	conn, err := d.peers.Get(from.Peers)
	if err != nil {
		return follower.Reply{}, err
	}
	reply, err := peerv1.NewPeerClient(conn).Fetch(ctx, &peerv1.FetchRequest{
		After:  uint64(after),
		WaitMs: uint32(wait.Milliseconds()),
	})
	if err != nil {
		return follower.Reply{}, errors.Wrapf(err, "fetch from %s", from.ID)
	}
	return decodeReply(reply), nil
}

func decodeReply(r *peerv1.FetchReply) follower.Reply {
	reply := follower.Reply{Full: r.GetFull(), Document: document.Document{Revision: fleet.Revision(r.GetRevision())}}
	for _, section := range r.GetSections() {
		reply.Document.Sections = append(reply.Document.Sections, document.Section{
			Team:     fleet.TeamID(section.GetTeam()),
			Revision: fleet.Revision(section.GetRevision()),
			Text:     section.GetText(),
		})
	}
	return reply
}

// readLocal reads the document through the local voter. Until the daemon is ready, a
// majority has to confirm that there is no newer revision: a replica that has just
// restarted applies its log step by step, so its state can be older than the
// configuration that was active on this instance before.
func (d *Daemon) readLocal(ctx context.Context, after fleet.Revision, wait time.Duration) (follower.Reply, error) {
	if d.ready.Load() {
		return d.readReplica(ctx, after, wait)
	}
	changed, full, err := d.state.register.ChangesSince(ctx, after)
	if err != nil {
		return follower.Reply{}, errors.Wrap(err, "read document from the voters")
	}
	return follower.Reply{Document: changed, Full: full}, nil
}

// readReplica returns what the local voter has applied after a revision. It waits for a
// newer revision for up to wait.
func (d *Daemon) readReplica(ctx context.Context, after fleet.Revision, wait time.Duration) (follower.Reply, error) {
	if d.state.localRegister == nil {
		return follower.Reply{}, errors.New("this instance is not a voter")
	}
	timeout := d.clock.After(wait)
	for {
		changed, full := d.state.localRegister.ChangesSince(after)
		if changed.Revision > after {
			return follower.Reply{Document: changed, Full: full}, nil
		}
		select {
		case <-d.clock.After(replicaPollInterval):
		case <-timeout:
			return follower.Reply{Document: document.Document{Revision: changed.Revision}}, nil
		case <-ctx.Done():
			return follower.Reply{}, ctx.Err()
		}
	}
}
