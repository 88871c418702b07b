// Package register is the replicated state machine of the configuration
// document: accepted sections, change ids and the audit trail.
//
// A Register is part of the config group on every voter. Other code uses a
// Client, which encodes commands and queries and hands them to a
// quorum.Proposer:
//
//	client := register.NewClient(proposer, quorum.ConfigGroup, clock)
//	outcome, err := client.Submit(ctx, submission)
//
// A resent change id gets the outcome of its first submission, as long as the
// register keeps it. Change ids and audit entries are kept up to MaxChanges,
// MaxEntries and MaxHistory over all teams. When a bound is reached, the team
// that uses most of it loses its oldest entry, so that a busy team does not push
// out the entries of others. A resent change whose id was dropped is not applied
// a second time: its base revision is no longer the current one.
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
	// MaxChanges is the number of change ids that are kept. It covers four days
	// at 12,000 changes a day.
	MaxChanges = 48_000
	// MaxEntries is the number of audit entries that are kept.
	MaxEntries = 48_000
	// MaxHistory bounds the kept audit entries in bytes.
	MaxHistory = 24 << 20
	// MaxPage is the largest number of audit entries of one answer.
	MaxPage = 500
	// WindowLead is the time before its start at which a window must be
	// accepted.
	WindowLead = 60 * time.Second

	maxOperator   = 128     // bytes of the operator's name
	maxChangeID   = 128     // bytes
	maxTeamID     = 64      // bytes
	maxReason     = 4 << 10 // bytes
	entryOverhead = 256     // bytes of an audit entry besides its texts
)

// Register holds the document. It is safe for concurrent use.
type Register struct {
	mu       sync.RWMutex
	revision fleet.Revision
	sections map[fleet.TeamID]*entry
	teams    map[fleet.TeamID]*team
	changes  int
	entries  int
	bytes    int
}

// entry is an accepted section.
type entry struct {
	document.Section
	parsed *section.Parsed
}

// team holds what is kept of the submissions of one team, the oldest first.
type team struct {
	Changes map[fleet.ChangeID]change `json:"changes"`
	Order   []fleet.ChangeID          `json:"order"`
	Entries []document.Audit          `json:"entries"`
	Bytes   int                       `json:"bytes"`
}

// change is a known change id.
type change struct {
	Digest  []byte           `json:"digest"`
	Outcome document.Outcome `json:"outcome"`
}

// New returns an empty Register.
func New() *Register {
	return &Register{
		sections: make(map[fleet.TeamID]*entry),
		teams:    make(map[fleet.TeamID]*team),
	}
}

// Submit applies s with the time zones of this machine. The voters apply the
// command that Client has prepared instead, which does not depend on them.
func (r *Register) Submit(s document.Submission) document.Outcome {
	return r.submit(prepare(s))
}

// Document returns the current document, ordered by team.
func (r *Register) Document() document.Document {
	d, _ := r.ChangesSince(0)
	return d
}

// ChangesSince returns the sections whose revision is after since, ordered by
// team. The second result tells that they are the whole document. No section is
// ever removed from the register, so the difference is complete.
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

// History returns the newest audit entries of a team, the newest first. The
// limit is at most MaxPage.
func (r *Register) History(id fleet.TeamID, limit int) []document.Audit {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t, ok := r.teams[id]
	if !ok || limit <= 0 {
		return nil
	}
	count := min(limit, MaxPage, len(t.Entries))
	page := slices.Clone(t.Entries[len(t.Entries)-count:])
	slices.Reverse(page)
	return page
}

func (r *Register) submit(c command) document.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := c.Submission
	if reason := malformed(s); reason != "" {
		return document.Outcome{Change: s.Change, Verdict: document.Refused, Reason: reason}
	}
	t := r.team(s.Team)
	digest := digestOf(s)
	if known, ok := t.Changes[s.Change]; ok {
		return r.repeat(t, s, known, digest)
	}
	old := r.sections[s.Team]
	outcome, parsed := r.decide(c, old)
	difference := ""
	if outcome.Verdict == document.Accepted {
		difference = section.Difference(textOf(old), s.Text)
		r.accept(s, outcome.Revision, parsed)
	}
	r.remember(t, s.Change, change{Digest: digest, Outcome: outcome})
	r.audit(t, s, outcome, difference)
	return outcome
}

// malformed tells what is wrong with the fields by which a submission is
// known. Such a submission leaves no trace.
func malformed(s document.Submission) string {
	switch {
	case s.Change == "" || len(s.Change) > maxChangeID:
		return fmt.Sprintf("change id must have 1 to %d bytes", maxChangeID)
	case s.Team == "" || len(s.Team) > maxTeamID:
		return fmt.Sprintf("team must have 1 to %d bytes", maxTeamID)
	case len(s.Operator) > maxOperator:
		return fmt.Sprintf("operator must have at most %d bytes", maxOperator)
	case !utf8.ValidString(string(s.Change) + string(s.Team) + s.Operator):
		return "change id, team and operator must be valid UTF-8"
	case s.At.IsZero():
		return "time of the submission is missing"
	}
	return ""
}

func (r *Register) team(id fleet.TeamID) *team {
	t, ok := r.teams[id]
	if !ok {
		t = &team{Changes: make(map[fleet.ChangeID]change)}
		r.teams[id] = t
	}
	return t
}

func (r *Register) repeat(t *team, s document.Submission, known change, digest []byte) document.Outcome {
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
	r.audit(t, s, outcome, "")
	return outcome
}

// decide returns the outcome of c and, when it is accepted, the parsed section.
func (r *Register) decide(c command, old *entry) (document.Outcome, *section.Parsed) {
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

// check returns the parsed section, or why the document would be unsound with it.
func (r *Register) check(c command, old *entry) (*section.Parsed, string) {
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
	if err := section.Cross(list, s.Team); err != nil {
		return nil, err.Error()
	}
	var before *section.Parsed
	if old != nil {
		before = old.parsed
	}
	for _, name := range parsed.NewWindows(before) {
		start, ok := c.Starts[name]
		if !ok || start.Before(s.At.Add(WindowLead)) {
			return nil, fmt.Sprintf("[window %q]: must be accepted at least %v before it starts", name, WindowLead)
		}
	}
	return parsed, ""
}

func (r *Register) accept(s document.Submission, revision fleet.Revision, parsed *section.Parsed) {
	r.revision = revision
	r.sections[s.Team] = &entry{
		Section: document.Section{Team: s.Team, Revision: revision, Text: s.Text},
		parsed:  parsed,
	}
}

func (r *Register) remember(t *team, id fleet.ChangeID, c change) {
	t.Changes[id] = c
	t.Order = append(t.Order, id)
	r.changes++
	if r.changes > MaxChanges {
		r.forget(r.largest(func(t *team) int { return len(t.Order) }))
	}
}

// forget drops the oldest change id of t.
func (r *Register) forget(t *team) {
	delete(t.Changes, t.Order[0])
	t.Order = t.Order[1:]
	r.changes--
}

func (r *Register) audit(t *team, s document.Submission, o document.Outcome, difference string) {
	a := document.Audit{
		At:         s.At,
		Team:       s.Team,
		Operator:   s.Operator,
		Change:     s.Change,
		Base:       s.Base,
		Outcome:    o,
		Difference: difference,
	}
	t.Entries = append(t.Entries, a)
	t.Bytes += sizeOf(a)
	r.entries++
	r.bytes += sizeOf(a)
	for r.bytes > MaxHistory {
		r.dropOldest(r.largest(func(t *team) int { return t.Bytes }))
	}
	for r.entries > MaxEntries {
		r.dropOldest(r.largest(func(t *team) int { return len(t.Entries) }))
	}
}

func (r *Register) dropOldest(t *team) {
	size := sizeOf(t.Entries[0])
	t.Entries[0] = document.Audit{}
	t.Entries = t.Entries[1:]
	t.Bytes -= size
	r.entries--
	r.bytes -= size
}

// largest returns the team with the largest use, the first by name among
// equals.
func (r *Register) largest(use func(*team) int) *team {
	var best *team
	var bestID fleet.TeamID
	for id, t := range r.teams {
		if best == nil || use(t) > use(best) || use(t) == use(best) && id < bestID {
			best, bestID = t, id
		}
	}
	return best
}

func sizeOf(a document.Audit) int {
	return entryOverhead + len(a.Operator) + 2*len(a.Change) + len(a.Outcome.Reason) + len(a.Difference)
}

// digestOf identifies the content of a submission. Operator and time may differ
// when it is sent again.
func digestOf(s document.Submission) []byte {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(s.Base))
	h.Write(base[:])
	h.Write([]byte(s.Text))
	return h.Sum(nil)
}

func textOf(e *entry) string {
	if e == nil {
		return ""
	}
	return e.Text
}

func revisionOf(e *entry) fleet.Revision {
	if e == nil {
		return 0
	}
	return e.Revision
}

// truncate bounds a reason. It cuts between characters, because JSON would alter a
// part of one and replicas that were restored would hold another outcome.
func truncate(reason string) string {
	if len(reason) <= maxReason {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReason], "") + "..."
}
