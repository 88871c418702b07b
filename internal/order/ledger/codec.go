package ledger

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/pkg/errors"
)

// version is the format version of commands, queries, replies and snapshots.
const version = 1

// kind selects the operation of a command or query.
type kind string

const (
	claimKind       kind = "claim"
	finishKind      kind = "finish"
	releaseKind     kind = "release"
	settleKind      kind = "settle"
	openClaimsKind  kind = "open"
	settlementsKind kind = "settlements"
	usageKind       kind = "usage"
)

// command is a command or a query in JSON.
type command struct {
	Version  int              `json:"version"`
	Kind     kind             `json:"kind"`
	Key      order.Key        `json:"key"`
	Attempt  order.AttemptID  `json:"attempt,omitempty"`
	Digest   []byte           `json:"digest,omitempty"`
	Request  fleet.RequestID  `json:"request,omitempty"`
	Instance fleet.InstanceID `json:"instance,omitempty"`
	At       time.Time        `json:"at"`
	Limits   Limits           `json:"limits"`
	// Response is an upstream.Response in JSON. It is empty when the response is
	// too large to be kept.
	Response []byte `json:"answer,omitempty"`
	// Operator, Note and Ran are only set for settleKind.
	Operator string `json:"operator,omitempty"`
	Note     string `json:"note,omitempty"`
	Ran      bool   `json:"ran,omitempty"`
	// Limit is the maximum number of entries in the reply to a query.
	Limit int `json:"limit,omitempty"`
}

// reply is the reply to a command or a query, in JSON.
type reply struct {
	Version        int         `json:"version"`
	Error          string      `json:"error,omitempty"`
	State          order.State `json:"state"`
	Record         *record     `json:"record,omitempty"`
	HeldByCaller   bool        `json:"mine,omitempty"`
	DigestMismatch bool        `json:"reused,omitempty"`
	// RejectReason says why a command was rejected, for example which limit a
	// claim would exceed.
	RejectReason string `json:"full,omitempty"`
	// NotHeld reports that the attempt does not hold the claim.
	NotHeld     bool         `json:"lost,omitempty"`
	Settlement  *Settlement  `json:"settled,omitempty"`
	OpenClaims  []OpenClaim  `json:"open,omitempty"`
	Settlements []Settlement `json:"settlements,omitempty"`
	Usage       *Usage       `json:"usage,omitempty"`
}

// Usage shows how much of its limits a group uses.
type Usage struct {
	// Records is the number of keys and released attempts.
	Records int `json:"records"`
	// OpenClaims is the number of claims without a response.
	OpenClaims int `json:"open"`
	// Bytes is the size of the recorded responses plus what open claims reserve.
	Bytes int `json:"bytes"`
	// OldestOpen is the time of the oldest claim without a response, or zero if
	// there is none.
	OldestOpen time.Time `json:"oldest"`
}

// Settlement is an operator's statement about an order whose outcome was unknown.
type Settlement struct {
	Key      order.Key       `json:"key"`
	Attempt  order.AttemptID `json:"attempt"`
	Operator string          `json:"operator"`
	Note     string          `json:"note,omitempty"`
	// Ran reports whether the order ran. The key of an order that did not run
	// becomes free again.
	Ran bool      `json:"ran"`
	At  time.Time `json:"at"`
	// LateResponse reports whether a response of the attempt arrived after the
	// settlement.
	LateResponse bool `json:"answeredLater,omitempty"`
}

// OpenClaim is a claim without a response.
type OpenClaim struct {
	Key      order.Key        `json:"key"`
	Attempt  order.AttemptID  `json:"attempt"`
	Request  fleet.RequestID  `json:"request"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
}

var _ quorum.QueryableStateMachine = (*Machine)(nil)

// Apply implements quorum.StateMachine.
func (m *Machine) Apply(_ quorum.Index, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, err := decodeCommand(data)
	if err != nil {
		return encodeReply(reply{Error: err.Error()})
	}
	switch c.Kind {
	case claimKind:
		return encodeReply(m.claim(c))
	case finishKind:
		return encodeReply(m.finish(c))
	case releaseKind:
		return encodeReply(m.release(c))
	case settleKind:
		return encodeReply(m.settle(c))
	}
	return encodeReply(reply{Error: "unknown kind of command"})
}

// Query implements quorum.QueryableStateMachine.
func (m *Machine) Query(data []byte) []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	c, err := decodeCommand(data)
	if err != nil {
		return encodeReply(reply{Error: err.Error()})
	}
	switch c.Kind {
	case openClaimsKind:
		return encodeReply(reply{OpenClaims: m.openClaims(c)})
	case settlementsKind:
		return encodeReply(reply{Settlements: m.accountSettlements(c)})
	case usageKind:
		return encodeReply(reply{Usage: m.usage()})
	}
	return encodeReply(reply{Error: "unknown kind of query"})
}

// openClaims returns the claims of an account without a response, the oldest
// first.
func (m *Machine) openClaims(c command) []OpenClaim {
	var list []OpenClaim
	for k, r := range m.records {
		if k.Account == c.Key.Account && r.State == order.Claimed {
			list = append(list, OpenClaim{Key: k, Attempt: r.Attempt, Request: r.Request, Instance: r.Instance, At: r.At})
		}
	}
	slices.SortFunc(list, func(a, b OpenClaim) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Key.Name, b.Key.Name))
	})
	return list[:min(len(list), max(c.Limit, 0), MaxPageEntries)]
}

func (m *Machine) usage() *Usage {
	u := &Usage{Records: m.total.records, Bytes: m.total.bytes}
	for _, r := range m.records {
		if r.State != order.Claimed {
			continue
		}
		u.OpenClaims++
		if u.OldestOpen.IsZero() || r.At.Before(u.OldestOpen) {
			u.OldestOpen = r.At
		}
	}
	return u
}

// accountSettlements returns the settlements of an account, the newest first.
func (m *Machine) accountSettlements(c command) []Settlement {
	var list []Settlement
	for i := len(m.settlements) - 1; i >= 0 && len(list) < min(c.Limit, MaxPageEntries); i-- {
		if s := m.settlements[i]; s.Key.Account == c.Key.Account {
			list = append(list, s)
		}
	}
	return list
}

func decodeCommand(data []byte) (command, error) {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(err, "decode command of the ledger")
	}
	if c.Version != version {
		return c, errors.Errorf("command version %d of the ledger is not supported", c.Version)
	}
	return c, nil
}

// encodeReply returns p in JSON. It panics on an encoding error, which can't occur
// for a reply.
func encodeReply(p reply) []byte {
	p.Version = version
	data, err := json.Marshal(p)
	if err != nil {
		panic(errors.Wrap(err, "ledger: encode reply"))
	}
	return data
}
