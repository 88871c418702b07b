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
	// settlePauses bounds the wait for the others to settle, in formPause.
	settlePauses = 25
	// lonelyPauses is the number of pauses without a leader after which a voter asks
	// whether it is still a member. Elections take less.
	lonelyPauses = 8
	joinPause    = 300 * time.Millisecond
)

// form finds out under which id this folder takes part, and starts the groups.
//
// A voter that knows its id waits a while for the others to know theirs: a voter
// that does not yet would have to wait for one that is lost meanwhile.
func (v *Voter) form() error {
	k := slices.IndexFunc(v.config.initial, func(p Peer) bool { return p.Instance == v.config.instance })
	if k < 0 {
		return v.settleAndStart(0)
	}
	f := &formation{own: v.config.initial[k].ID, bound: make(map[quorum.VoterID]bool), settled: make(map[quorum.VoterID]bool)}
	others := len(v.config.initial) - 1
	for waited := 0; waited < settlePauses; {
		v.askAll(f)
		if f.lost {
			v.config.logger.Warn("The voter id belongs to a lost data folder.", zap.Uint64("voter", uint64(f.own)))
			return v.settleAndStart(0)
		}
		if len(f.bound) == others {
			if err := v.settle(f.own); err != nil {
				return err
			}
			if f.started || len(f.settled) == others {
				break
			}
			waited++
		}
		if !v.pause(formPause) {
			return nil
		}
	}
	return v.start()
}

// formation is what a voter with a new folder learned from the others.
type formation struct {
	own     quorum.VoterID
	bound   map[quorum.VoterID]bool // bound the own id to the own folder
	settled map[quorum.VoterID]bool
	started bool // one of them runs its replicas
	lost    bool // the own id belongs to another folder
}

func (v *Voter) askAll(f *formation) {
	for _, p := range v.config.initial {
		if p.ID == f.own || f.settled[p.ID] {
			continue
		}
		r, err := v.identify(p, f.own)
		if err != nil {
			continue
		}
		if journal.FolderID(r.GetFolder()) != v.identity.Folder {
			f.lost = true
			return
		}
		f.bound[p.ID] = true
		f.started = f.started || r.GetStarted()
		if r.GetSettled() {
			f.settled[p.ID] = true
		}
	}
}

func (v *Voter) settleAndStart(id quorum.VoterID) error {
	if err := v.settle(id); err != nil {
		return err
	}
	return v.start()
}

// settle stores the id of this folder, or a new one for 0.
func (v *Voter) settle(id quorum.VoterID) error {
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

// identify asks a peer which folder it saw first under an id.
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

// bind returns the first folder that was seen under an id. It stores a new one
// before it returns.
func (v *Voter) bind(id quorum.VoterID, f journal.FolderID) (*peerv1.IdentifyReply, error) {
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
	v.identity.Folders[id] = f
	if err := journal.SaveIdentity(v.config.disk, v.config.folder, v.identity); err != nil {
		delete(v.identity.Folders, id)
		return nil, err
	}
	r.Folder = uint64(f)
	return r, nil
}

// join asks the leader to add the own voter, until the group has it as a full
// member. In a closed group it does nothing for a member of the initial set. In an
// open one it goes on, because a voter that was away for long may have been removed
// and then hears from no leader.
func (v *Voter) join(g *group) {
	if !v.identity.Replaced && !v.config.open {
		return
	}
	lonely := 0
	for {
		s, err := g.status(v.ctx)
		member := err == nil && slices.ContainsFunc(s.Voters, func(m replica.Voter) bool {
			return m.ID == s.ID && !m.Learner
		})
		if member && !v.config.open {
			return
		}
		lonely++
		if member && s.Leader != 0 {
			lonely = 0
		}
		if member && lonely < lonelyPauses {
			if !v.pause(joinPause) {
				return
			}
			continue
		}
		if err := v.askToJoin(g.id); err != nil {
			v.config.logger.Info("This voter has not joined its group yet.", zap.String("group", string(g.id)), zap.Error(err))
		}
		if !v.pause(joinPause) {
			return
		}
	}
}

func (v *Voter) askToJoin(id quorum.GroupID) error {
	var err error
	asked := make(map[string]bool)
	for _, p := range slices.Concat(v.config.initial, v.config.contacts, v.heard()) {
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
