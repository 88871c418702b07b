package replica

import (
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

//go:generate ../../../bin/stringer -type=Role,MessageKind,EntryKind,ChangeKind -linecomment -output=names_string.go

// Role is the role of a replica in its group.
type Role int

// The roles.
const (
	Follower     Role = iota // follower
	PreCandidate             // preCandidate
	Candidate                // candidate
	Leader                   // leader
)

// MessageKind is the kind of a Message. Its values equal those of
// peerv1.MessageKind.
type MessageKind int

// The kinds of messages.
const (
	NoMessage       MessageKind = iota // none
	PreVote                            // preVote
	PreVoteReply                       // preVoteReply
	Vote                               // vote
	VoteReply                          // voteReply
	Append                             // append
	AppendReply                        // appendReply
	Heartbeat                          // heartbeat
	HeartbeatReply                     // heartbeatReply
	InstallSnapshot                    // snapshot
	TimeoutNow                         // timeoutNow
	LostEntries                        // lostEntries
)

// EntryKind is the kind of an Entry. Its values equal those of peerv1.EntryKind.
type EntryKind int

// The kinds of entries.
const (
	// NoOp is an entry without data that a new leader appends in order to commit
	// the entries of earlier terms.
	NoOp EntryKind = iota // blank
	// Command holds a command for the state machine.
	Command // command
	// Membership holds the encoded list of all members.
	Membership // membership
)

// Entry is one log entry.
type Entry struct {
	Kind  EntryKind
	Term  quorum.Term
	Index quorum.Index
	Data  []byte
}

// Voter is one member of a group, either a full voter or a learner.
type Voter struct {
	ID       quorum.VoterID
	Instance fleet.InstanceID
	// Address is the host and port at which the member accepts connections of
	// other daemons.
	Address string
	// Learner is set for a member that receives the log but neither votes nor
	// counts towards a majority.
	Learner bool
	// Replaces is the lost voter that the member replaces, or 0.
	Replaces quorum.VoterID
	// Announced is set for a voter whose removal, and for a learner whose promotion is
	// announced.
	Announced bool
}

// Snapshot is the encoded state after all entries up to Index, with the members
// at that point.
type Snapshot struct {
	Index  quorum.Index
	Term   quorum.Term
	Voters []Voter
	State  []byte
}

// State is the state besides the log that a replica must keep across restarts.
type State struct {
	Term   quorum.Term
	Vote   quorum.VoterID
	Commit quorum.Index
}

// Message is one message between two replicas of a group.
type Message struct {
	Kind     MessageKind
	From, To quorum.VoterID
	Term     quorum.Term
	// LogIndex and LogTerm identify the entry before Entries in an Append, and the
	// last entry of the candidate in a PreVote or Vote. In an AppendReply, LogIndex
	// is the last matching entry or the rejected one, in a HeartbeatReply the last
	// entry of the log.
	LogIndex quorum.Index
	LogTerm  quorum.Term
	Commit   quorum.Index
	Reject   bool
	// Hint is the highest index at which the log of a rejecting follower may match
	// the leader's; LogTerm of the reply is the term of that entry. In a LostEntries
	// message, LogIndex is the entry that the receiver had acknowledged and Hint the
	// last one that it holds.
	Hint quorum.Index
	// Context is the number of the heartbeat round. A reply with that number
	// confirms the reads that were requested before the round. In a Vote, 1 marks
	// a leadership transfer.
	Context  uint64
	Entries  []Entry
	Snapshot *Snapshot
}

// ChangeKind is the kind of a membership change.
type ChangeKind int

// The kinds of membership changes.
const (
	AddLearner ChangeKind = iota // addLearner
	Promote                      // promote
	Remove                       // remove
	Withdraw                     // withdraw
)

// Change adds, promotes or removes one member, or withdraws the announcement of such a change.
type Change struct {
	Kind  ChangeKind
	Voter Voter
}

// ReadReady is a confirmed read. It may be answered once the state machine has
// applied Index.
type ReadReady struct {
	ID    uint64
	Index quorum.Index
}

// Effects holds the actions that the owner of a Replica must execute, in the
// order of the fields.
type Effects struct {
	// ImmediateMessages holds messages that may be sent before Snapshot, State and Entries are
	// synced.
	ImmediateMessages []Message
	// Snapshot replaces the log and the state of the state machine, unless it is
	// nil.
	Snapshot *Snapshot
	// Entries are appended to the log. The first one replaces all entries from its
	// index on.
	Entries []Entry
	// State must be stored if SaveState is set.
	State     State
	SaveState bool
	// MustSync is set if Messages may only be sent after the fields above have been
	// synced.
	MustSync bool
	// Messages may be sent once the fields above are synced.
	Messages []Message
	// Committed holds the entries to apply to the state machine.
	Committed []Entry
	// Reads holds the reads that a majority confirmed, FailedReads the IDs of those
	// that it did not confirm before the leadership ended.
	Reads       []ReadReady
	FailedReads []uint64
}

// Empty reports whether there is nothing to do.
func (e Effects) Empty() bool {
	return len(e.ImmediateMessages) == 0 && e.Snapshot == nil && len(e.Entries) == 0 && !e.SaveState &&
		len(e.Messages) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0 && len(e.FailedReads) == 0
}

// Progress is the replication state of one member as seen by the leader.
type Progress struct {
	Voter Voter
	// Match is the highest index that the member has synced.
	Match quorum.Index
	// Active is set if the member answered within the last two election timeouts.
	Active bool
	// Lost is set if the member no longer holds entries that it had acknowledged.
	// Such a member does not count towards any majority until it is replaced.
	Lost bool
}

// Status is a copy of the state of a replica.
type Status struct {
	ID     quorum.VoterID
	Role   Role
	Term   quorum.Term
	Leader quorum.VoterID
	// HasLeader is set if the replica leads or has recently heard from Leader.
	HasLeader bool
	Commit    quorum.Index
	Last      quorum.Index // of the last log entry
	Voters    []Voter
	Progress  []Progress // empty unless the replica is the leader
	// Excluded is the lost voter without which the leader was elected, or 0.
	Excluded quorum.VoterID
}
