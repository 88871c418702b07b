package replica

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// votersOf returns the members that are no learners.
func votersOf(members []Voter) []Voter {
	return slices.DeleteFunc(slices.Clone(members), func(v Voter) bool { return v.Learner })
}

// votersAfterAnnounced returns the voters that the members have after their announced change.
func votersAfterAnnounced(members []Voter) []Voter {
	return slices.DeleteFunc(slices.Clone(members), func(v Voter) bool { return v.Learner != v.Announced })
}

func without(vs []Voter, id quorum.VoterID) []Voter {
	return slices.DeleteFunc(vs, func(v Voter) bool { return v.ID == id })
}

func isMajority(voters []Voter, f func(quorum.VoterID) bool) bool {
	yes := 0
	for _, v := range voters {
		if f(v.ID) {
			yes++
		}
	}
	return yes > len(voters)/2
}

// majority reports whether f is true for a majority of the voters. If the voters exclude the
// lost one, only the others are counted, and they must also be a majority of the others after
// an announced change. lost is 0 if no voter is left out.
func (r *Replica) majority(lost quorum.VoterID, f func(quorum.VoterID) bool) bool {
	if !r.excludes(lost) {
		return isMajority(votersOf(r.members()), f)
	}
	return isMajority(without(votersOf(r.members()), lost), f) &&
		isMajority(without(votersAfterAnnounced(r.members()), lost), f)
}

// excludes reports whether majorities are counted without a lost voter. An odd number of
// voters would not gain from it. While the change to an even number is not known to be
// committed, a majority of the voters before it may still decide.
func (r *Replica) excludes(lost quorum.VoterID) bool {
	voters := votersOf(r.members())
	if _, ok := findMember(voters, lost); !ok || len(voters)%2 == 1 {
		return false
	}
	if !r.ChangePending() {
		return true
	}
	// A change is proposed only once the one before it is committed.
	previous := votersOf(r.configs[len(r.configs)-2].members)
	return slices.EqualFunc(previous, voters, func(a, b Voter) bool { return a.ID == b.ID })
}

// RecordLoss records that a voter has lost its disk, and with it its log and its votes, and
// reports whether that is news. The caller must know that no process with that disk answers
// any more, now or later.
//
// With one voter lost and one gone, the rest of an even group is no majority: two of four.
// But each majority of the past contains, beside the lost voter, half of the group, and so a
// voter of any other half. The voters that know of the loss therefore elect a leader by a
// majority of the others. In its term such majorities decide, until the lost voter is removed.
//
// Two halves might decide without each other, each without another voter. They can't if both
// voters are lost: each half then contains the voter that the other one leaves out, and that
// voter had acted after the loss of the other.
//
// The voters of an even group change in two steps, so that such a majority has a voter in
// common with each majority after the change, too: see Announce.
func (r *Replica) RecordLoss(id quorum.VoterID) bool {
	_, ok := findMember(r.members(), id)
	if !ok || id == r.options.ID || r.lost[id] {
		return false
	}
	r.lost[id] = true
	return true
}

// forgetRemoved drops what is known of the loss of voters that are no members any more. A
// member that joins under the same ID has its disk.
func (r *Replica) forgetRemoved() {
	for id := range r.lost {
		if _, ok := findMember(r.members(), id); !ok {
			delete(r.lost, id)
		}
	}
	if _, ok := findMember(r.members(), r.excluded); !ok {
		r.excluded = 0
	}
}

// nextLostVoter returns a lost voter that the voters exclude, or 0. Successive calls return
// each of them in turn, since the others may know of one loss only.
func (r *Replica) nextLostVoter() quorum.VoterID {
	var lost []quorum.VoterID
	for _, v := range r.members() {
		if r.lost[v.ID] && r.excludes(v.ID) {
			lost = append(lost, v.ID)
		}
	}
	if len(lost) == 0 {
		return 0
	}
	slices.Sort(lost)
	k, found := slices.BinarySearch(lost, r.lastExcluded)
	if found {
		k++
	}
	r.lastExcluded = lost[k%len(lost)]
	return r.lastExcluded
}
