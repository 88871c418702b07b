package replica

import (
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
)

//go:generate ../../../bin/stringer -type=Role,MessageKind,EntryKind,ChangeKind -linecomment -output=names_string.go

// Role is the part that a replica plays in its group.
type Role int

// The roles.
const (
	Follower     Role = iota // follower
	PreCandidate             // preCandidate
	Candidate                // candidate
	Leader                   // leader
)

// MessageKind is the kind of a Message. The values are those of
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

// EntryKind is the kind of an Entry. The values are those of peerv1.EntryKind.
type EntryKind int

// The kinds of entries.
const (
	// Blank is the entry that a new leader appends to commit the entries of
	// earlier terms.
	Blank EntryKind = iota // blank
	// Command holds a command of the state machine.
	Command // command
	// Membership holds an encoded list of voters.
	Membership // membership
)

// Entry is one entry of the log.
type Entry struct {
	Kind  EntryKind
	Term  quorum.Term
	Index quorum.Index
	Data  []byte
}

// Voter is one member of a group.
type Voter struct {
	ID       quorum.VoterID
	Instance fleet.InstanceID
	// Address is the host and port of the peers listener.
	Address string
	// Learner receives the log but neither votes nor counts for a commit.
	Learner bool
	// Replaces is the lost voter whose place the member takes, or 0.
	Replaces quorum.VoterID
}

// Snapshot is the state of the state machine up to Index.
type Snapshot struct {
	Index  quorum.Index
	Term   quorum.Term
	Voters []Voter
	State  []byte
}

// State is what a replica must find again after a restart, besides its log.
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
	// LogIndex and LogTerm name the entry before Entries, the last entry of a
	// candidate, the last matching entry of a reply, or the rejected entry.
	LogIndex quorum.Index
	LogTerm  quorum.Term
	Commit   quorum.Index
	Reject   bool
	// Hint is the index at which a rejecting follower may match; LogTerm of the
	// reply is its term.
	Hint quorum.Index
	// Context numbers heartbeats, so that a reply confirms the reads that were
	// asked before. In a Vote, 1 marks a transfer of leadership.
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
)

// Change adds, promotes or removes one member.
type Change struct {
	Kind  ChangeKind
	Voter Voter
}

// ReadReady tells that a read may be answered once the state machine has applied
// Index.
type ReadReady struct {
	ID    uint64
	Index quorum.Index
}

// Effects is what the owner of a Replica must do, in the order of the fields.
type Effects struct {
	// Early may be sent before Snapshot, State and Entries are synced.
	Early []Message
	// Snapshot replaces log and state machine, when it is not nil.
	Snapshot *Snapshot
	// Entries are appended to the log. The first one cuts off entries at or
	// after its index.
	Entries []Entry
	// State is to be stored when SaveState is set.
	State     State
	SaveState bool
	// MustSync tells that Messages depend on a sync of the above.
	MustSync bool
	// Messages may be sent once the above is synced.
	Messages []Message
	// Committed are the entries to apply to the state machine.
	Committed []Entry
	// Reads were confirmed by a majority. FailedReads were not, because the
	// leadership ended.
	Reads       []ReadReady
	FailedReads []uint64
}

// Empty reports whether there is nothing to do.
func (e Effects) Empty() bool {
	return len(e.Early) == 0 && e.Snapshot == nil && len(e.Entries) == 0 && !e.SaveState &&
		len(e.Messages) == 0 && len(e.Committed) == 0 && len(e.Reads) == 0 && len(e.FailedReads) == 0
}

// Progress is what a leader knows about one member.
type Progress struct {
	Voter Voter
	// Match is the highest index that the member has synced.
	Match quorum.Index
	// Active tells that the member answered within the last two election timeouts.
	Active bool
	// Lost tells that the member no longer holds entries that it had
	// acknowledged. It counts for nothing until it is replaced.
	Lost bool
}

// Status is a copy of the state of a replica.
type Status struct {
	ID       quorum.VoterID
	Role     Role
	Term     quorum.Term
	Leader   quorum.VoterID
	Commit   quorum.Index
	Last     quorum.Index
	Voters   []Voter
	Progress []Progress // empty unless the replica leads
}
