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
	formPause = 200 * time.Millisecond
	joinPause = time.Second
)

// form finds out under which id this folder takes part, and starts the groups.
func (v *Voter) form() error {
	k := slices.IndexFunc(v.config.initial, func(p Peer) bool { return p.Instance == v.config.instance })
	if k < 0 {
		return v.settle(0)
	}
	own := v.config.initial[k]
	bound := map[quorum.VoterID]bool{own.ID: true}
	for len(bound) < len(v.config.initial) {
		for _, p := range v.config.initial {
			if bound[p.ID] {
				continue
			}
			f, err := v.identify(p, own.ID)
			if err != nil {
				continue
			}
			if f != v.identity.Folder {
				v.config.logger.Warn("voter id belongs to a lost data folder", zap.Uint64("voter", uint64(own.ID)))
				return v.settle(0)
			}
			bound[p.ID] = true
		}
		if len(bound) < len(v.config.initial) && !v.pause(formPause) {
			return nil
		}
	}
	return v.settle(own.ID)
}

// settle stores the id of this folder, a new one for 0, and starts the groups.
func (v *Voter) settle(id quorum.VoterID) error {
	v.mu.Lock()
	v.identity.Voter = id
	if id == 0 {
		v.identity.Voter = quorum.VoterID(newID())
		v.identity.Replaced = true
	}
	err := journal.SaveIdentity(v.config.disk, v.config.folder, v.identity)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	return v.start()
}

// identify asks a peer which folder it saw first under an id.
func (v *Voter) identify(p Peer, id quorum.VoterID) (journal.FolderID, error) {
	if v.config.cut(v.config.instance, p.Instance) || v.config.cut(p.Instance, v.config.instance) {
		return 0, errors.New("link is cut")
	}
	ctx, cancel := context.WithTimeout(v.ctx, v.config.attemptTimeout)
	defer cancel()
	conn, err := v.conns.ready(ctx, p.Address)
	if err != nil {
		return 0, err
	}
	r, err := peerv1.NewPeerClient(conn).Identify(ctx, &peerv1.IdentifyRequest{
		Id: uint64(id), Folder: uint64(v.identity.Folder),
	})
	return journal.FolderID(r.GetFolder()), err
}

// bind returns the first folder that was seen under an id. It stores a new one
// before it returns.
func (v *Voter) bind(id quorum.VoterID, f journal.FolderID) (journal.FolderID, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopping {
		return 0, refusal.New(refusal.Stopping, "voter is stopping")
	}
	if first, ok := v.identity.Folders[id]; ok {
		return first, nil
	}
	v.identity.Folders[id] = f
	if err := journal.SaveIdentity(v.config.disk, v.config.folder, v.identity); err != nil {
		delete(v.identity.Folders, id)
		return 0, err
	}
	return f, nil
}

// join asks the leader to add the own voter, until the group has it as a full
// member. It does nothing for a member of the initial set.
func (v *Voter) join(g *group) {
	if !v.identity.Replaced {
		return
	}
	for {
		s, err := g.status(v.ctx)
		if err == nil && slices.ContainsFunc(s.Voters, func(m replica.Voter) bool {
			return m.ID == s.ID && !m.Learner
		}) {
			return
		}
		if err := v.askToJoin(g.id); err != nil {
			v.config.logger.Info("not joined yet", zap.String("group", string(g.id)), zap.Error(err))
		}
		if !v.pause(joinPause) {
			return
		}
	}
}

func (v *Voter) askToJoin(id quorum.GroupID) error {
	var err error
	asked := make(map[string]bool)
	for _, p := range v.config.initial {
		for p.Address != "" && p.Instance != v.config.instance && !asked[p.Address] {
			asked[p.Address] = true
			if err = v.joinAt(p, id); err == nil {
				return nil
			}
			var h *leaderHint
			if !errors.As(err, &h) {
				break
			}
			p = Peer{Instance: h.instance, Address: h.address}
		}
	}
	return err
}

func (v *Voter) joinAt(p Peer, id quorum.GroupID) error {
	if v.config.cut(v.config.instance, p.Instance) || v.config.cut(p.Instance, v.config.instance) {
		return errors.New("link is cut")
	}
	ctx, cancel := context.WithTimeout(v.ctx, v.config.attemptTimeout)
	defer cancel()
	conn, err := v.conns.ready(ctx, p.Address)
	if err != nil {
		return err
	}
	r, err := peerv1.NewPeerClient(conn).Join(ctx, &peerv1.JoinRequest{
		Group: string(id), Voter: senderOf(v.transport.self),
	})
	if err != nil {
		return err
	}
	return refusalFromProto(r.GetRefusal())
}

// pause waits and reports whether the voter still runs.
func (v *Voter) pause(d time.Duration) bool {
	select {
	case <-v.ctx.Done():
		return false
	case <-v.config.clock.After(d):
		return true
	}
}
