// Package register implements the replicated state machine of the configuration
// document: accepted sections, change ids and the audit trail.
//
// A Register is part of the config group on every voter. Other code uses a
// Client, which encodes commands and queries and passes them to a
// quorum.Proposer:
//
//	client := register.NewClient(proposer, quorum.ConfigGroup, clock)
//	outcome, err := client.Submit(ctx, submission)
//
// A resent change id gets the outcome of its first submission, as long as the
// register keeps it. Change ids and audit entries are kept up to MaxChangeIDs,
// MaxAuditEntries and MaxAuditBytes over all teams. When a limit is exceeded, the
// oldest entry of the team that uses most of it is dropped, so that a busy team
// does not evict the entries of others. A resent change whose id was dropped is
// not applied a second time: its base revision is no longer the current one.
package register

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// MaxChangeIDs is the largest number of change ids that are kept. It covers
	// four days at 12,000 changes per day.
	MaxChangeIDs = 48_000
	// MaxAuditEntries is the largest number of audit entries that are kept.
	MaxAuditEntries = 48_000
	// MaxAuditBytes is the largest total size of the audit entries that are kept.
	MaxAuditBytes = 24 << 20
	// MaxPageEntries is the largest number of audit entries in one reply.
	MaxPageEntries = 500
	// MinWindowLead is the shortest time between the acceptance of a window and
	// its start.
	MinWindowLead = 60 * time.Second

	maxOperatorBytes   = 128 // length of the operator's name
	maxChangeIDBytes   = 128
	maxTeamIDBytes     = 64
	maxReasonBytes     = 4 << 10
	entryOverheadBytes = 256 // size of an audit entry without its texts
)

// Register holds the document, the change ids and the audit trail. It is safe for
// concurrent use.
type Register struct {
	mu           sync.RWMutex
	revision     fleet.Revision
	sections     map[fleet.TeamID]*parsedSection
	teams        map[fleet.TeamID]*teamHistory
	changeIDs    int
	auditEntries int
	auditBytes   int
}

// parsedSection is an accepted section with its parsed content.
type parsedSection struct {
	document.Section
	parsed *section.Parsed
}

// teamHistory holds the change ids and audit entries of one team, oldest first.
type teamHistory struct {
	Changes map[fleet.ChangeID]changeRecord `json:"changes"`
	Order   []fleet.ChangeID                `json:"order"`
	Entries []document.AuditEntry           `json:"entries"`
	Bytes   int                             `json:"bytes"`
}

// changeRecord is the digest and the outcome of the first submission of a change
// id.
type changeRecord struct {
	Digest  []byte           `json:"digest"`
	Outcome document.Outcome `json:"outcome"`
}

// New returns an empty Register.
func New() *Register {
	return &Register{
		sections: make(map[fleet.TeamID]*parsedSection),
		teams:    make(map[fleet.TeamID]*teamHistory),
	}
}

// Submit applies s with the time zone data of this machine. Voters apply the
// command that a Client has prepared instead, which does not depend on that data.
func (r *Register) Submit(s document.Submission) document.Outcome {
	return r.submit(prepareCommand(s))
}

// Document returns the current document, ordered by team.
func (r *Register) Document() document.Document {
	d, _ := r.ChangesSince(0)
	return d
}

// ChangesSince returns the sections whose revision is higher than since, ordered
// by team. The second result reports whether they are the whole document. No
// section is ever removed from the register, so the result is complete.
func (r *Register) ChangesSince(since fleet.Revision) (document.Document, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	d := document.Document{Revision: r.revision}
	for _, e := range r.sections {
		if e.Revision > since {
			d.Sections = append(d.Sections, e.Section)
		}
	}
	sort.Slice(d.Sections, func(i, j int) bool { return d.Sections[i].Team < d.Sections[j].Team })
	return d, since == 0
}

// History returns the latest audit entries of a team, newest first. A limit above
// MaxPageEntries counts as MaxPageEntries.
func (r *Register) History(id fleet.TeamID, limit int) []document.AuditEntry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.teams[id]
	if !ok || limit <= 0 {
		return nil
	}
	count := min(limit, MaxPageEntries, len(t.Entries))
	page := slices.Clone(t.Entries[len(t.Entries)-count:])
	slices.Reverse(page)
	return page
}

func (r *Register) submit(c command) document.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := c.Submission
	if reason := checkFields(s); reason != "" {
		return document.Outcome{Change: s.Change, Verdict: document.Refused, Reason: reason}
	}
	t := r.historyOf(s.Team)
	digest := digestOf(s)
	if known, ok := t.Changes[s.Change]; ok {
		return r.repeatedOutcome(t, s, known, digest)
	}
	old := r.sections[s.Team]
	outcome, parsed := r.decide(c, old)
	difference := ""
	if outcome.Verdict == document.Accepted {
		difference = section.Diff(textOf(old), s.Text)
		r.accept(s, outcome.Revision, parsed)
	}
	r.recordChange(t, s.Change, changeRecord{Digest: digest, Outcome: outcome})
	r.recordAudit(t, s, outcome, difference)
	return outcome
}

// checkFields checks the fields that identify a submission. It returns a message
// when one is invalid, or else the empty string. An invalid submission is not
// recorded.
func checkFields(s document.Submission) string {
	switch {
	case s.Change == "" || len(s.Change) > maxChangeIDBytes:
		return fmt.Sprintf("change id must have 1 to %d bytes", maxChangeIDBytes)
	case s.Team == "" || len(s.Team) > maxTeamIDBytes:
		return fmt.Sprintf("team must have 1 to %d bytes", maxTeamIDBytes)
	case len(s.Operator) > maxOperatorBytes:
		return fmt.Sprintf("operator must have at most %d bytes", maxOperatorBytes)
	case !utf8.ValidString(string(s.Change) + string(s.Team) + s.Operator):
		return "change id, team and operator must be valid UTF-8"
	case s.At.IsZero():
		return "time of the submission is missing"
	}
	return ""
}

// historyOf returns the history of a team, which it creates when there is none.
func (r *Register) historyOf(id fleet.TeamID) *teamHistory {
	t, ok := r.teams[id]
	if !ok {
		t = &teamHistory{Changes: make(map[fleet.ChangeID]changeRecord)}
		r.teams[id] = t
	}
	return t
}

// repeatedOutcome returns the outcome of a submission whose change id is known. It
// records an audit entry only when the content differs from that of the first
// submission.
func (r *Register) repeatedOutcome(t *teamHistory, s document.Submission, known changeRecord, digest []byte) document.Outcome {
	if slices.Equal(known.Digest, digest) {
		outcome := known.Outcome
		outcome.Repeated = true
		return outcome
	}
	outcome := document.Outcome{
		Change:   s.Change,
		Verdict:  document.Reused,
		Revision: revisionOf(r.sections[s.Team]),
		Reason:   "the change id was used before with another content",
	}
	r.recordAudit(t, s, outcome, "")
	return outcome
}

// decide returns the outcome of c and, when it is accepted, the parsed section.
func (r *Register) decide(c command, old *parsedSection) (document.Outcome, *section.Parsed) {
	s := c.Submission
	current := revisionOf(old)
	if s.Base != current {
		reason := fmt.Sprintf("base revision %d is not the current revision %d of the section", s.Base, current)
		return document.Outcome{Change: s.Change, Verdict: document.Conflicted, Revision: current, Reason: reason}, nil
	}
	parsed, reason := r.check(c, old)
	if reason != "" {
		return document.Outcome{Change: s.Change, Verdict: document.Refused, Revision: current, Reason: truncate(reason)}, nil
	}
	return document.Outcome{Change: s.Change, Verdict: document.Accepted, Revision: r.revision + 1}, parsed
}

// check returns the parsed section, or the reason for which the document would be
// invalid with it.
func (r *Register) check(c command, old *parsedSection) (*section.Parsed, string) {
	s := c.Submission
	if c.Fault != "" {
		return nil, c.Fault
	}
	parsed, err := section.Parse(s.Team, s.Text)
	if err != nil {
		return nil, err.Error()
	}
	list := []*section.Parsed{parsed}
	for id, e := range r.sections {
		if id != s.Team {
			list = append(list, e.parsed)
		}
	}
	if err := section.CrossCheck(list, s.Team); err != nil {
		return nil, err.Error()
	}
	var oldParsed *section.Parsed
	if old != nil {
		oldParsed = old.parsed
	}
	for _, name := range parsed.ChangedWindows(oldParsed) {
		start, ok := c.Starts[name]
		if !ok || start.Before(s.At.Add(MinWindowLead)) {
			return nil, fmt.Sprintf("[window %q]: must be accepted at least %v before it starts", name, MinWindowLead)
		}
	}
	return parsed, ""
}

func (r *Register) accept(s document.Submission, revision fleet.Revision, parsed *section.Parsed) {
	r.revision = revision
	r.sections[s.Team] = &parsedSection{
		Section: document.Section{Team: s.Team, Revision: revision, Text: s.Text},
		parsed:  parsed,
	}
}

func (r *Register) recordChange(t *teamHistory, id fleet.ChangeID, c changeRecord) {
	t.Changes[id] = c
	t.Order = append(t.Order, id)
	r.changeIDs++
	if r.changeIDs > MaxChangeIDs {
		r.dropOldestChange(r.largestTeam(func(t *teamHistory) int { return len(t.Order) }))
	}
}

// dropOldestChange drops the oldest change id of t.
func (r *Register) dropOldestChange(t *teamHistory) {
	delete(t.Changes, t.Order[0])
	t.Order = t.Order[1:]
	r.changeIDs--
}

func (r *Register) recordAudit(t *teamHistory, s document.Submission, o document.Outcome, difference string) {
	a := document.AuditEntry{
		At:         s.At,
		Team:       s.Team,
		Operator:   s.Operator,
		Change:     s.Change,
		Base:       s.Base,
		Outcome:    o,
		Difference: difference,
	}
	t.Entries = append(t.Entries, a)
	t.Bytes += auditSize(a)
	r.auditEntries++
	r.auditBytes += auditSize(a)
	for r.auditBytes > MaxAuditBytes {
		r.dropOldestAudit(r.largestTeam(func(t *teamHistory) int { return t.Bytes }))
	}
	for r.auditEntries > MaxAuditEntries {
		r.dropOldestAudit(r.largestTeam(func(t *teamHistory) int { return len(t.Entries) }))
	}
}

func (r *Register) dropOldestAudit(t *teamHistory) {
	size := auditSize(t.Entries[0])
	t.Entries[0] = document.AuditEntry{}
	t.Entries = t.Entries[1:]
	t.Bytes -= size
	r.auditEntries--
	r.auditBytes -= size
}

// largestTeam returns the team with the largest size, and among equals the first
// by name.
func (r *Register) largestTeam(size func(*teamHistory) int) *teamHistory {
	var largest *teamHistory
	var largestID fleet.TeamID
	for id, t := range r.teams {
		if largest == nil || size(t) > size(largest) || size(t) == size(largest) && id < largestID {
			largest, largestID = t, id
		}
	}
	return largest
}

// auditSize returns the size of an audit entry as counted towards MaxAuditBytes.
func auditSize(a document.AuditEntry) int {
	return entryOverheadBytes + len(a.Operator) + 2*len(a.Change) + len(a.Outcome.Reason) + len(a.Difference)
}

// digestOf returns a digest of the content of a submission. It excludes operator
// and time, which may differ when a submission is sent again.
func digestOf(s document.Submission) []byte {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(s.Base))
	h.Write(base[:])
	h.Write([]byte(s.Text))
	return h.Sum(nil)
}

func textOf(e *parsedSection) string {
	if e == nil {
		return ""
	}
	return e.Text
}

func revisionOf(e *parsedSection) fleet.Revision {
	if e == nil {
		return 0
	}
	return e.Revision
}

// truncate shortens a reason to about maxReasonBytes. It cuts between characters:
// JSON encoding would replace an incomplete character, and replicas restored from a
// snapshot would then hold a different outcome.
func truncate(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
}
