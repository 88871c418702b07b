package register

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/document/section"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// version is the format version of commands, queries, replies and snapshots.
const version = 1

// command is a submission with the data that depend on time zones, computed by the
// machine that received it. Voters may have different zone data, so they do not
// load zones.
type command struct {
	Version    int                 `json:"version"`
	Submission document.Submission `json:"submission"`
	// Fault describes what the receiving instance found wrong, such as an unknown
	// time zone, or a text that JSON would alter because it is not valid UTF-8.
	Fault string `json:"fault,omitempty"`
	// Starts holds, for each window, the start of the occurrence that is in
	// progress at Submission.At, or of the next one.
	Starts map[string]time.Time `json:"starts,omitempty"`
}

type query struct {
	Version int       `json:"version"`
	Kind    queryKind `json:"kind"`
	// Since is used by changesSinceQuery.
	Since fleet.Revision `json:"since,omitempty"`
	// Team and Limit are used by historyQuery.
	Team  fleet.TeamID `json:"team,omitempty"`
	Limit int          `json:"limit,omitempty"`
}

type queryKind string

const (
	changesSinceQuery queryKind = "changesSince"
	historyQuery      queryKind = "history"
)

// reply answers a command or a query.
type reply struct {
	Version  int                   `json:"version"`
	Error    string                `json:"error,omitempty"`
	Outcome  *document.Outcome     `json:"outcome,omitempty"`
	Document document.Document     `json:"document"`
	Full     bool                  `json:"full,omitempty"`
	History  []document.AuditEntry `json:"history,omitempty"`
}

// snapshot is the whole state of a Register.
type snapshot struct {
	Version  int                           `json:"version"`
	Revision fleet.Revision                `json:"revision"`
	Sections []document.Section            `json:"sections"`
	Teams    map[fleet.TeamID]*teamHistory `json:"teams"`
}

var (
	_ quorum.QueryableStateMachine = (*Register)(nil)
	_ document.Register            = (*Register)(nil)
)

// prepareCommand returns the command of s with the data that depend on time zones.
func prepareCommand(s document.Submission) command {
	c := command{Version: version, Submission: s}
	parsed, err := section.Parse(s.Team, s.Text)
	if err != nil {
		c.Fault = err.Error()
		return c
	}
	windows, err := parsed.Windows()
	if err != nil {
		c.Fault = err.Error()
		return c
	}
	c.Starts = make(map[string]time.Time, len(windows))
	for _, w := range windows {
		c.Starts[w.Name] = section.OccurrenceStart(w, s.At).UTC()
	}
	return c
}

// Apply applies an encoded command.
func (r *Register) Apply(_ quorum.Index, data []byte) []byte {
	var c command
	if err := decode(data, &c); err != nil {
		return errorReply(err)
	}
	if c.Version != version {
		return errorReply(errors.Errorf("command version %d is not supported", c.Version))
	}
	outcome := r.submit(c)
	return encode(reply{Version: version, Outcome: &outcome})
}

// Query answers an encoded query.
func (r *Register) Query(data []byte) []byte {
	var q query
	if err := decode(data, &q); err != nil {
		return errorReply(err)
	}
	switch {
	case q.Version != version:
		return errorReply(errors.Errorf("query version %d is not supported", q.Version))
	case q.Kind == changesSinceQuery:
		d, full := r.ChangesSince(q.Since)
		return encode(reply{Version: version, Document: d, Full: full})
	case q.Kind == historyQuery:
		return encode(reply{Version: version, History: r.History(q.Team, q.Limit)})
	}
	return errorReply(errors.Errorf("query kind %q is not known", q.Kind))
}

// Snapshot returns the whole state in JSON.
func (r *Register) Snapshot() ([]byte, error) {
	d := r.Document()
	r.mu.RLock()
	defer r.mu.RUnlock()
	return encode(snapshot{Version: version, Revision: d.Revision, Sections: d.Sections, Teams: r.teams}), nil
}

// Restore replaces the state by a snapshot. It leaves the state unchanged when the
// snapshot is not valid.
func (r *Register) Restore(data []byte) error {
	var s snapshot
	if err := decode(data, &s); err != nil {
		return errors.Wrap(err, "decode snapshot of the register")
	}
	if s.Version != version {
		return errors.Errorf("snapshot version %d of the register is not supported", s.Version)
	}
	next := New()
	next.revision = s.Revision
	for _, x := range s.Sections {
		parsed, err := section.Parse(x.Team, x.Text)
		if err != nil {
			return errors.Wrapf(err, "section of team %q in the snapshot", x.Team)
		}
		next.sections[x.Team] = &parsedSection{Section: x, parsed: parsed}
	}
	for id, t := range s.Teams {
		if t == nil {
			return errors.Errorf("team %q has no state in the snapshot", id)
		}
		next.addTeam(id, t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision, r.sections, r.teams = next.revision, next.sections, next.teams
	r.changeIDs, r.auditEntries, r.auditBytes = next.changeIDs, next.auditEntries, next.auditBytes
	return nil
}

func (r *Register) addTeam(id fleet.TeamID, t *teamHistory) {
	if t.Changes == nil {
		t.Changes = make(map[fleet.ChangeID]changeRecord)
	}
	r.teams[id] = t
	r.changeIDs += len(t.Order)
	r.auditEntries += len(t.Entries)
	r.auditBytes += t.Bytes
}

// encode returns v in JSON. It panics on an error, which the types of this package
// never cause.
func encode(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic(errors.Wrap(err, "register: encode"))
	}
	return b.Bytes()
}

func decode(data []byte, v any) error {
	return json.Unmarshal(data, v)
}

// errorReply returns an encoded reply that carries an error.
func errorReply(err error) []byte {
	return encode(reply{Version: version, Error: err.Error()})
}
