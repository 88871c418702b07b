package replica

import (
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// EncodeVoters encodes the data of a Membership entry.
func EncodeVoters(vs []Voter) []byte {
	// Marshal fails only on invalid UTF-8, which settings never contain.
	b, _ := proto.Marshal(votersToProto(vs))
	return b
}

// DecodeVoters decodes the data of a Membership entry.
func DecodeVoters(b []byte) ([]Voter, error) {
	var p peerv1.Voters
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, errors.Wrap(err, "membership entry")
	}
	return votersFromProto(&p), nil
}

// EntryToProto converts an entry to its wire form.
func EntryToProto(e Entry) *peerv1.Entry {
	return &peerv1.Entry{Kind: peerv1.EntryKind(e.Kind), Term: uint64(e.Term), Index: uint64(e.Index), Data: e.Data}
}

// EntryFromProto converts an entry from its wire form.
func EntryFromProto(p *peerv1.Entry) Entry {
	return Entry{
		Kind: EntryKind(p.GetKind()), Term: quorum.Term(p.GetTerm()),
		Index: quorum.Index(p.GetIndex()), Data: p.GetData(),
	}
}

// SnapshotToProto converts a snapshot to its wire form.
func SnapshotToProto(s *Snapshot) *peerv1.Snapshot {
	if s == nil {
		return nil
	}
	return &peerv1.Snapshot{
		Index: uint64(s.Index), Term: uint64(s.Term),
		Voters: votersToProto(s.Voters), State: s.State,
	}
}

// SnapshotFromProto converts a snapshot from its wire form.
func SnapshotFromProto(p *peerv1.Snapshot) *Snapshot {
	if p == nil {
		return nil
	}
	return &Snapshot{
		Index: quorum.Index(p.GetIndex()), Term: quorum.Term(p.GetTerm()),
		Voters: votersFromProto(p.GetVoters()), State: p.GetState(),
	}
}

// MessageToProto converts a message to its wire form.
func MessageToProto(m Message) *peerv1.Message {
	p := &peerv1.Message{
		Kind: peerv1.MessageKind(m.Kind), From: uint64(m.From), To: uint64(m.To),
		Term: uint64(m.Term), LogIndex: uint64(m.LogIndex), LogTerm: uint64(m.LogTerm),
		Commit: uint64(m.Commit), Reject: m.Reject, Hint: uint64(m.Hint), Context: m.Context,
		Snapshot: SnapshotToProto(m.Snapshot),
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, EntryToProto(e))
	}
	return p
}

// MessageFromProto converts a message from its wire form. It keeps unknown kinds,
// which a Replica ignores.
func MessageFromProto(p *peerv1.Message) Message {
	m := Message{
		Kind: MessageKind(p.GetKind()), From: quorum.VoterID(p.GetFrom()), To: quorum.VoterID(p.GetTo()),
		Term: quorum.Term(p.GetTerm()), LogIndex: quorum.Index(p.GetLogIndex()), LogTerm: quorum.Term(p.GetLogTerm()),
		Commit: quorum.Index(p.GetCommit()), Reject: p.GetReject(), Hint: quorum.Index(p.GetHint()),
		Context: p.GetContext(), Snapshot: SnapshotFromProto(p.GetSnapshot()),
	}
	for _, e := range p.GetEntries() {
		m.Entries = append(m.Entries, EntryFromProto(e))
	}
	return m
}

func votersToProto(vs []Voter) *peerv1.Voters {
	p := &peerv1.Voters{}
	for _, v := range vs {
		p.Voters = append(p.Voters, &peerv1.Voter{
			Id: uint64(v.ID), Instance: string(v.Instance), Address: v.Address,
			Learner: v.Learner, Replaces: uint64(v.Replaces), Announced: v.Announced,
		})
	}
	return p
}

func votersFromProto(p *peerv1.Voters) []Voter {
	var vs []Voter
	for _, v := range p.GetVoters() {
		vs = append(vs, Voter{
			ID: quorum.VoterID(v.GetId()), Instance: fleet.InstanceID(v.GetInstance()),
			Address: v.GetAddress(), Learner: v.GetLearner(),
			Replaces: quorum.VoterID(v.GetReplaces()), Announced: v.GetAnnounced(),
		})
	}
	return vs
}
