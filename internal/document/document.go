// Package document holds the types of the configuration document: the sections
// that teams submit, the outcome of a submission, and the validated Config that
// an instance uses.
//
// A team owns one section, a text in INI format. All sections together form one
// document. An accepted submission gives the document a new revision. A Config
// is built from all sections of one revision. It is validated as a whole and
// becomes active as a whole.
package document

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Submission is a request to replace one section.
type Submission struct {
	// Change identifies the submission. A resent submission has the same Change.
	Change fleet.ChangeID `json:"change"`
	// Team owns the section.
	Team fleet.TeamID `json:"team"`
	// Operator is the name of the submitting person or token.
	Operator string `json:"operator"`
	// Base is the revision of the section that the operator edited. It is zero
	// for a section that does not exist yet.
	Base fleet.Revision `json:"base"`
	// Text is the new section in INI format.
	Text string `json:"text"`
	// At is the time at which the instance received the submission.
	At time.Time `json:"at"`
}

// Verdict is the decision about a submission.
type Verdict int

// The verdicts.
const (
	// Unknown means that the outcome could not be determined in time. The
	// operator submits again with the same change id.
	Unknown Verdict = iota // unknown
	// Accepted means that the section is part of the document from
	// Outcome.Revision on.
	Accepted // accepted
	// Conflicted means that the base revision is not the current revision of the
	// section.
	Conflicted // conflicted
	// Refused means that the document would fail validation with the new section.
	Refused // refused
	// Reused means that the change id was used before with a different content.
	Reused // reused
)

// Outcome is the result of a submission.
type Outcome struct {
	Change  fleet.ChangeID `json:"change"`
	Verdict Verdict        `json:"verdict"`
	// Revision is the revision of the document that the submission created, or
	// the current revision of the section when it was not accepted.
	Revision fleet.Revision `json:"revision"`
	// Reason says why a submission was not accepted.
	Reason string `json:"reason,omitempty"`
	// Repeated reports that the change id was already known and that this is
	// the outcome of its first submission.
	Repeated bool `json:"repeated,omitempty"`
}

// Section is the accepted text of one team.
type Section struct {
	Team     fleet.TeamID   `json:"team"`
	Revision fleet.Revision `json:"revision"`
	Text     string         `json:"text"`
}

// AuditEntry is one entry of the audit trail.
type AuditEntry struct {
	At       time.Time      `json:"at"`
	Team     fleet.TeamID   `json:"team"`
	Operator string         `json:"operator"`
	Change   fleet.ChangeID `json:"change"`
	Base     fleet.Revision `json:"base"`
	Outcome  Outcome        `json:"outcome"`
	// Difference lists the changed lines, each with a leading + or -.
	Difference string `json:"difference,omitempty"`
}

// Document is the accepted text of all teams at one revision.
type Document struct {
	Revision fleet.Revision `json:"revision"`
	Sections []Section      `json:"sections"`
}

// Config is a validated document. It is immutable once it is built.
type Config struct {
	Revision fleet.Revision
	Models   map[fleet.ModelID]Model
	Accounts map[fleet.AccountID]Account
	// Keys maps the SHA-256 of an account key, in lower-case hexadecimal, to its
	// client account.
	Keys        map[string]fleet.AccountID
	DataCentres map[fleet.DataCentreID]DataCentre
	Pools       map[fleet.PoolID]Pool
	Windows     map[string]Window
}

// Model is a model and the version of it that is served.
type Model struct {
	ID      fleet.ModelID
	Team    fleet.TeamID
	Version string
	Adapter string
	// Layers is the number of layers; a chain covers layers 0 to Layers-1.
	Layers fleet.Layer
	Pool   fleet.PoolID
	// MinHolders is the minimum number of upstreams that should hold each layer.
	MinHolders int
	// MaxTokens limits the tokens of one response.
	MaxTokens int
}

// Account is a client account with its limits. A limit of zero means no limit.
type Account struct {
	ID       fleet.AccountID
	Team     fleet.TeamID
	Weight   int
	Priority fleet.Priority
	// RequestRate is in requests per second over all instances.
	RequestRate float64
	// Burst is the number of requests that may arrive at once.
	Burst int
	// MaxInFlight limits the requests in progress over all instances.
	MaxInFlight int
}

// DataCentre is a data centre that the document names.
type DataCentre struct {
	ID     fleet.DataCentreID
	Team   fleet.TeamID
	Region fleet.RegionID
}

// PoolKind distinguishes pools of engines from pools of plain services.
type PoolKind int

// The kinds of pools.
const (
	EnginePool  PoolKind = iota // engine
	ServicePool                 // service
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	ID   fleet.PoolID
	Team fleet.TeamID
	Kind PoolKind
	// AtMostOncePaths are the path prefixes of a service pool whose calls must
	// not be repeated. All other calls are idempotent.
	AtMostOncePaths []string
	// Timeout limits the duration of one call to an upstream of the pool.
	Timeout time.Duration
}

// Window is a weekly quiet-hours window of a data centre.
type Window struct {
	Name       string
	Team       fleet.TeamID
	DataCentre fleet.DataCentreID
	// Days are the days on which the window starts.
	Days []time.Weekday
	// From and To are times of day in Zone, as durations after midnight. A To
	// that is not after From is on the next day.
	From, To time.Duration
	Zone     *time.Location
	// MaxInFlight limits the requests in progress in the data centre.
	MaxInFlight int
}

// Register accepts submissions and answers queries about the document.
type Register interface {
	// Submit applies s and returns its outcome. It is called once per committed
	// submission, in the same order on every replica.
	Submit(s Submission) Outcome
	// Document returns the current document.
	Document() Document
	// History returns the latest audit entries of a team, newest first.
	History(team fleet.TeamID, limit int) []AuditEntry
}
