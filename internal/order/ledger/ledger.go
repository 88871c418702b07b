// Package ledger contains the replicated state machine that stores order claims
// and recorded responses, and a client that implements order.Ledger on top of it.
//
// Claims are sharded over groups by account: GroupOf returns the group of an
// account, and each group has its own Machine on every voter.
//
//	client := ledger.NewClient(proposer, clock, instance, ledger.WithShards(8))
//	record, err := client.Claim(ctx, claim)
//
// A recorded response is kept for Limits.Retention. A claim without a response is
// kept until it is finished, released or settled by an operator, because its
// order may have run. When Limits.MaxRecords or Limits.MaxBytes is reached, new
// claims are refused; no key is dropped early. One account can use at most half
// of either limit.
//
// Each command carries the limits, so that replicas with different settings do
// not diverge. Time is taken from the commands as well: it is the second newest
// time reported by any instance, so that one instance whose clock runs ahead does
// not make keys expire early.
package ledger

import (
	"container/heap"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/timeline"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/cespare/xxhash/v2"
)

// Limits are the size and retention limits of one group.
type Limits struct {
	// Retention is the time for which a response is kept after it was recorded.
	// Values below MaxClaimAge act as MaxClaimAge.
	Retention time.Duration `json:"retention"`
	// MaxRecords is the maximum number of keys and released attempts together.
	MaxRecords int `json:"maxRecords"`
	// MaxBytes is the maximum total size of the recorded responses in bytes. Each
	// claim without a response reserves MaxResponseBytes.
	MaxBytes int `json:"maxBytes"`
	// MaxResponseBytes is the maximum size of an encoded response that is kept
	// for replay. Of a larger one only the fact that the order ran is kept.
	MaxResponseBytes int `json:"maxAnswer"`
}

// DefaultLimits are the limits of a Client without WithLimits.
var DefaultLimits = Limits{
	Retention:        24 * time.Hour,
	MaxRecords:       200_000,
	MaxBytes:         128 << 20,
	MaxResponseBytes: 64 << 10,
}

const (
	// MaxKeyBytes is the maximum length of a key name in bytes.
	MaxKeyBytes = 256
	// MaxSettlements is the number of settlements that a group keeps. The oldest
	// are dropped first.
	MaxSettlements = 10_000
	// MaxPageEntries is the maximum number of entries in a query reply.
	MaxPageEntries = 500

	// MaxClaimAge is the age at which a claim command is refused. A released
	// attempt is remembered for the same time, so that a delayed claim command of
	// that attempt can't take effect after the release.
	MaxClaimAge = 10 * time.Minute

	// MinSettleAge is the age that a claim must reach before an operator may
	// settle it. It is longer than desk.MaxSendAge, after which an instance no
	// longer sends the order of a claim, so that an instance that was suspended
	// and resumes can't run a settled order.
	MinSettleAge = 5 * time.Minute

	accountDivisor = 2 // one account may use 1/accountDivisor of each limit
)

// GroupOf returns the group, one of shards, that stores the claims of an account.
func GroupOf(a fleet.AccountID, shards int) quorum.GroupID {
	return quorum.GroupID(fmt.Sprintf("orders-%d", xxhash.Sum64String(string(a))%uint64(shards)))
}

// Machine is the state machine of one group. It is safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex
	time    timeline.Timeline
	records map[order.Key]*record
	// released holds the attempts whose claim commands no longer take effect.
	released    map[order.AttemptID]released
	accounts    map[fleet.AccountID]totals
	total       totals
	expiries    expiryHeap
	settlements []Settlement
}

// record is the stored state of a key.
type record struct {
	State    order.State      `json:"state"`
	Attempt  order.AttemptID  `json:"attempt"`
	Digest   []byte           `json:"digest"`
	Request  fleet.RequestID  `json:"request"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
	// Reserved is the size in bytes that the claim counts towards
	// Limits.MaxBytes until it has a response.
	Reserved int `json:"reserved,omitempty"`
	// Response is an upstream.Response in JSON. It is empty when the response
	// was too large to be kept.
	Response []byte `json:"answer,omitempty"`
	// Expires is the time at which the record is dropped. It is set when State
	// is order.Done.
	Expires time.Time `json:"expires"`
}

func (r *record) size() int { return r.Reserved + len(r.Response) }

// released marks an attempt as released until a given time.
type released struct {
	Account fleet.AccountID `json:"account"`
	Until   time.Time       `json:"until"`
}

// totals holds the number of records and the bytes that they use or reserve.
type totals struct {
	records, bytes int
}

// New returns an empty Machine.
func New() *Machine {
	return &Machine{
		records:  make(map[order.Key]*record),
		released: make(map[order.AttemptID]released),
		accounts: make(map[fleet.AccountID]totals),
	}
}

func (m *Machine) claim(c command) reply {
	m.advanceTime(c)
	r, ok := m.records[c.Key]
	if ok {
		return m.recordReply(r, c)
	}
	if _, wasReleased := m.released[c.Attempt]; wasReleased {
		return reply{State: order.Free}
	}
	if !c.At.Add(MaxClaimAge).After(m.time.Now()) {
		return reply{RejectReason: "the claim came too late, or the clock of the instance is behind"}
	}
	if reason := m.reachedLimit(c); reason != "" {
		return reply{RejectReason: reason}
	}
	r = &record{
		State:    order.Claimed,
		Attempt:  c.Attempt,
		Digest:   c.Digest,
		Request:  c.Request,
		Instance: c.Instance,
		At:       c.At,
		Reserved: c.Limits.MaxResponseBytes,
	}
	m.records[c.Key] = r
	m.addTotals(c.Key.Account, 1, r.size())
	return m.recordReply(r, c)
}

// recordReply returns the reply to claim command c when the key has record r. If
// the digests differ, it leaves out the response.
func (m *Machine) recordReply(r *record, c command) reply {
	p := reply{State: r.State, Record: r, HeldByCaller: r.Attempt == c.Attempt}
	if !slices.Equal(r.Digest, c.Digest) {
		redacted := *r
		redacted.Response = nil
		p.Record, p.DigestMismatch, p.HeldByCaller = &redacted, true, false
	}
	return p
}

// reachedLimit returns a text that names the limit that a new claim would exceed,
// or "" if there is none.
func (m *Machine) reachedLimit(c command) string {
	limits, reserved := c.Limits, c.Limits.MaxResponseBytes
	account := m.accounts[c.Key.Account]
	switch {
	case m.total.records >= limits.MaxRecords:
		return "the ledger holds its largest number of keys"
	case m.total.bytes+reserved > limits.MaxBytes:
		return "the ledger holds its largest number of bytes"
	case account.records >= limits.MaxRecords/accountDivisor:
		return "the account holds its largest number of keys"
	case account.bytes+reserved > limits.MaxBytes/accountDivisor:
		return "the account holds its largest number of bytes"
	}
	return ""
}

func (m *Machine) finish(c command) reply {
	m.advanceTime(c)
	r, ok := m.records[c.Key]
	if !ok || r.Attempt != c.Attempt {
		m.markLateResponse(c)
		return reply{NotHeld: true}
	}
	if r.State == order.Done {
		m.markLateResponse(c)
		return reply{State: r.State}
	}
	m.complete(c, r, c.Response)
	return reply{State: r.State}
}

// complete marks a claim as done and records its response, unless that is larger
// than the reserved size.
func (m *Machine) complete(c command, r *record, response []byte) {
	oldSize := r.size()
	if len(response) > r.Reserved {
		response = nil
	}
	r.State, r.Response, r.Reserved = order.Done, response, 0
	r.Expires = m.time.PeriodStart(c.At).Add(max(c.Limits.Retention, MaxClaimAge))
	m.addTotals(c.Key.Account, 0, r.size()-oldSize)
	heap.Push(&m.expiries, expiry{at: r.Expires, key: c.Key})
}

// release removes a claim. The attempt is marked as released even if it has no
// claim, because its claim command may still arrive.
func (m *Machine) release(c command) reply {
	m.advanceTime(c)
	r, ok := m.records[c.Key]
	switch {
	case ok && r.Attempt == c.Attempt && r.State == order.Done:
		return reply{NotHeld: true}
	case ok && r.Attempt == c.Attempt:
		m.remove(c.Key)
	case m.total.records >= c.Limits.MaxRecords:
		return reply{RejectReason: "the ledger holds its largest number of keys"}
	}
	m.markReleased(c)
	return reply{State: order.Free}
}

// markReleased prevents an attempt from claiming for MaxClaimAge.
func (m *Machine) markReleased(c command) {
	if _, known := m.released[c.Attempt]; !known {
		m.addTotals(c.Key.Account, 1, 0)
	}
	until := m.time.PeriodStart(c.At).Add(MaxClaimAge)
	m.released[c.Attempt] = released{Account: c.Key.Account, Until: until}
	heap.Push(&m.expiries, expiry{at: until, attempt: c.Attempt})
}

func (m *Machine) settle(c command) reply {
	m.advanceTime(c)
	for _, s := range m.settlements {
		if s.Attempt == c.Attempt && s.Key == c.Key {
			return reply{Settlement: &s}
		}
	}
	r, ok := m.records[c.Key]
	if !ok || r.Attempt != c.Attempt || r.State != order.Claimed {
		return reply{NotHeld: true}
	}
	if c.At.Before(r.At.Add(MinSettleAge)) || m.time.Now().Before(r.At.Add(MinSettleAge)) {
		return reply{RejectReason: "the claim is younger than " + MinSettleAge.String()}
	}
	s := Settlement{Key: c.Key, Attempt: c.Attempt, Operator: c.Operator, Note: c.Note, Ran: c.Ran, At: c.At}
	m.settlements = append(m.settlements, s)
	if len(m.settlements) > MaxSettlements {
		m.settlements = slices.Delete(m.settlements, 0, 1)
	}
	if c.Ran {
		m.complete(c, r, c.Response)
	} else {
		m.remove(c.Key)
		m.markReleased(c)
	}
	return reply{Settlement: &s}
}

// markLateResponse marks the settlement of an attempt, if there is one, whose
// response arrived after the claim was settled.
func (m *Machine) markLateResponse(c command) {
	for i := range m.settlements {
		if s := &m.settlements[i]; s.Attempt == c.Attempt && s.Key == c.Key {
			s.LateResponse = true
		}
	}
}

func (m *Machine) remove(k order.Key) {
	m.addTotals(k.Account, -1, -m.records[k].size())
	delete(m.records, k)
}

func (m *Machine) addTotals(a fleet.AccountID, records, bytes int) {
	t := m.accounts[a]
	t.records += records
	t.bytes += bytes
	if t.records == 0 {
		delete(m.accounts, a)
	} else {
		m.accounts[a] = t
	}
	m.total.records += records
	m.total.bytes += bytes
}

// advanceTime observes the time of a command and drops expired entries.
func (m *Machine) advanceTime(c command) {
	m.time.Observe(c.Instance, c.At)
	now := m.time.Now()
	for len(m.expiries) > 0 && !m.expiries[0].at.After(now) {
		e := heap.Pop(&m.expiries).(expiry)
		m.expire(e)
	}
}

// expire drops the key or released attempt of e, unless its expiry time has
// changed since e was added.
func (m *Machine) expire(e expiry) {
	if e.attempt != "" {
		if rel, ok := m.released[e.attempt]; ok && rel.Until.Equal(e.at) {
			delete(m.released, e.attempt)
			m.addTotals(rel.Account, -1, 0)
		}
		return
	}
	r, ok := m.records[e.key]
	if ok && r.State == order.Done && r.Expires.Equal(e.at) {
		m.remove(e.key)
	}
}

// expiry is the time at which a key or a released attempt is dropped. attempt is
// empty for a key.
type expiry struct {
	at      time.Time
	key     order.Key
	attempt order.AttemptID
}

// expiryHeap is a min-heap ordered by time.
type expiryHeap []expiry

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = expiry{}
	*e = (*e)[:last]
	return x
}
