package replica

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

// isMajority reports whether f is true for a majority of the members that counts selects.
func isMajority(members []Voter, counts func(Voter) bool, f func(quorum.VoterID) bool) bool {
	yes, voters := 0, 0
	for _, v := range members {
		if !counts(v) {
			continue
		}
		voters++
		if f(v.ID) {
			yes++
		}
	}
	return yes > voters/2
}

// majority reports whether f is true for a majority of the voters. If the voters exclude the
// lost one, only the others are counted, and f must also be true for a majority of the others
// after an announced change. lost is 0 if no voter is left out.
func (r *Replica) majority(lost quorum.VoterID, f func(quorum.VoterID) bool) bool {
	members := r.members()
	if !r.excludes(lost) {
		return isMajority(members, func(v Voter) bool { return !v.Learner }, f)
	}
	return isMajority(members, func(v Voter) bool { return v.ID != lost && !v.Learner }, f) &&
		isMajority(members, func(v Voter) bool { return v.ID != lost && v.Learner == v.Announced }, f)
}

// excludes reports whether majorities are counted without a lost voter. An odd number of
// voters would not gain from it. While the change to an even number is not known to be
// committed, a majority of the voters before it may still decide.
func (r *Replica) excludes(lost quorum.VoterID) bool {
	if lost == 0 {
		return false
	}
	members := r.members()
	v, ok := findMember(members, lost)
	if !ok || v.Learner || countVoters(members)%2 == 1 {
		return false
	}
	if !r.ChangePending() {
		return true
	}
	// A change is proposed only once the one before it is committed.
	return sameVoters(r.configs[len(r.configs)-2].members, members)
}

func countVoters(members []Voter) int {
	n := 0
	for _, v := range members {
		if !v.Learner {
			n++
		}
	}
	return n
}

// sameVoters reports whether two lists of members that differ by one change have the same
// voters.
func sameVoters(before, after []Voter) bool {
	return countVoters(before) == countVoters(after)
}

// RecordLoss records that a voter has lost its disk, and with it its log and its votes, and
// reports whether that is news. The caller must know that no process with that disk answers
// any more, now or later.
//
// With one voter lost and one gone, the rest of an even group is no majority: two of four.
// But each majority of the past contains, beside the lost voter, half of the group, and so a
// voter of any other half. A candidate that knows of the loss therefore needs a majority of
// the others only. In its term such majorities decide, until the lost voter is removed.
//
// Two halves might decide without each other, each without another voter. They can't if both
// voters are lost: each half then contains the voter that the other one leaves out, and each
// of these two would have voted after the loss of the other.
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
