// Package ledger is the replicated state machine of order claims and their
// recorded answers, and the client that implements order.Ledger over it.
//
// Claims are spread over groups by account: GroupOf names the group of an
// account, and each group has its own Machine on every voter.
//
//	client := ledger.NewClient(proposer, clock, instance, ledger.WithShards(8))
//	record, err := client.Claim(ctx, claim)
//
// A recorded answer is kept for Limits.Retention. A claim without an answer is
// kept until it is finished, released or settled by an operator, because its
// order may have run. When Limits.MaxRecords or Limits.MaxBytes is reached, new
// claims are refused; no key is forgotten early. An account can use half of
// either bound.
//
// The limits are part of each command, so that replicas with different settings
// stay equal. Time comes from the commands as well: it is the second newest time
// of any instance, so that one instance whose clock runs ahead does not make the
// ledger forget keys early.
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

// Limits bound one group.
type Limits struct {
	// Retention is the time for which an answer is kept after it was recorded.
	// It is at least ClaimAge.
	Retention time.Duration `json:"retention"`
	// MaxRecords bounds the keys and released attempts.
	MaxRecords int `json:"maxRecords"`
	// MaxBytes bounds the recorded answers. Each claim without an answer counts
	// MaxAnswer bytes.
	MaxBytes int `json:"maxBytes"`
	// MaxAnswer is the largest answer in bytes that is kept for replay.
	MaxAnswer int `json:"maxAnswer"`
}

// DefaultLimits hold when a Client has no others.
var DefaultLimits = Limits{
	Retention:  24 * time.Hour,
	MaxRecords: 200_000,
	MaxBytes:   128 << 20,
	MaxAnswer:  64 << 10,
}

const (
	// MaxKeyBytes is the longest key name in bytes.
	MaxKeyBytes = 256
	// MaxSettlements is the number of settlements that are kept, the newest.
	MaxSettlements = 10_000
	// MaxPageEntries is the largest number of entries of one answer to a query.
	MaxPageEntries = 500

	// MaxClaimAge is the age from which on a claim is refused. A released attempt
	// is remembered as long, so that its claim can't take effect afterwards.
	MaxClaimAge = 10 * time.Minute

	// MinSettleAge is the age of a claim from which on an operator may settle it. It
	// is longer than the time after which an instance no longer sends the order
	// of a claim, so that a thawed instance can't run a settled order.
	MinSettleAge = 5 * time.Minute

	accountDivisor = 2 // an account may use one part in accountShare
)

// GroupOf returns the group of an account.
func GroupOf(a fleet.AccountID, shards int) quorum.GroupID {
	return quorum.GroupID(fmt.Sprintf("orders-%d", xxhash.Sum64String(string(a))%uint64(shards)))
}

// Machine is the state machine of one group. It is safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex
	time    timeline.Timeline
	records map[order.Key]*record
	// released holds the attempts that may not claim any more.
	released    map[order.AttemptID]released
	accounts    map[fleet.AccountID]totals
	total       totals
	expiries    expiryHeap
	settlements []Settlement
}

// record is what is kept of a key.
type record struct {
	State    order.State      `json:"state"`
	Attempt  order.AttemptID  `json:"attempt"`
	Digest   []byte           `json:"digest"`
	Request  fleet.RequestID  `json:"request"`
	Instance fleet.InstanceID `json:"instance"`
	At       time.Time        `json:"at"`
	// Reserved is the size that the claim counts until it has an answer.
	Reserved int `json:"reserved,omitempty"`
	// Response is an encoded upstream.Answer.
	Response []byte `json:"answer,omitempty"`
	// Expires is set when the state is order.Done.
	Expires time.Time `json:"expires"`
}

func (r *record) size() int { return r.Reserved + len(r.Response) }

// released is an attempt that was released.
type released struct {
	Account fleet.AccountID `json:"account"`
	Until   time.Time       `json:"until"`
}

// totals counts records and bytes.
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
		Reserved: c.Limits.MaxAnswer,
	}
	m.records[c.Key] = r
	m.addTotals(c.Key.Account, 1, r.size())
	return m.recordReply(r, c)
}

// recordReply returns a record as the attempt of c sees it. The answer of another
// content is not shown.
func (m *Machine) recordReply(r *record, c command) reply {
	p := reply{State: r.State, Record: r, HeldByCaller: r.Attempt == c.Attempt}
	if !slices.Equal(r.Digest, c.Digest) {
		redacted := *r
		redacted.Response = nil
		p.Record, p.DigestMismatch, p.HeldByCaller = &redacted, true, false
	}
	return p
}

// reachedLimit tells which bound a new claim would exceed.
func (m *Machine) reachedLimit(c command) string {
	limits, reserved := c.Limits, c.Limits.MaxAnswer
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

// complete records the answer of a claim.
func (m *Machine) complete(c command, r *record, response []byte) {
	oldSize := r.size()
	if len(response) > r.Reserved {
		response = nil
	}
	r.State, r.Response, r.Reserved = order.Done, response, 0
	r.Expires = m.time.From(c.At).Add(max(c.Limits.Retention, MaxClaimAge))
	m.addTotals(c.Key.Account, 0, r.size()-oldSize)
	heap.Push(&m.expiries, expiry{at: r.Expires, key: c.Key})
}

// release gives up a claim. The attempt is remembered also when it has no claim,
// because the command of the claim may still be under way.
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

// markReleased keeps an attempt from claiming again.
func (m *Machine) markReleased(c command) {
	if _, known := m.released[c.Attempt]; !known {
		m.addTotals(c.Key.Account, 1, 0)
	}
	until := m.time.From(c.At).Add(MaxClaimAge)
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

// markLateResponse notes that an answer arrived after its claim was settled.
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
	u := m.accounts[a]
	u.records += records
	u.bytes += bytes
	if u.records == 0 {
		delete(m.accounts, a)
	} else {
		m.accounts[a] = u
	}
	m.total.records += records
	m.total.bytes += bytes
}

// advanceTime takes over the time of a command and forgets what has expired.
func (m *Machine) advanceTime(c command) {
	m.time.Observe(c.Instance, c.At)
	now := m.time.Now()
	for len(m.expiries) > 0 && !m.expiries[0].at.After(now) {
		e := heap.Pop(&m.expiries).(expiry)
		m.expire(e)
	}
}

// expire drops what e stands for, unless it was recorded again since.
func (m *Machine) expire(e expiry) {
	if e.attempt != "" {
		if r, ok := m.released[e.attempt]; ok && r.Until.Equal(e.at) {
			delete(m.released, e.attempt)
			m.addTotals(r.Account, -1, 0)
		}
		return
	}
	r, ok := m.records[e.key]
	if ok && r.State == order.Done && r.Expires.Equal(e.at) {
		m.remove(e.key)
	}
}

// expiry is the time at which a key or a released attempt is forgotten.
type expiry struct {
	at      time.Time
	key     order.Key
	attempt order.AttemptID
}

type expiryHeap []expiry

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *expiryHeap) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop is part of heap.Interface.
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = expiry{}
	*e = (*e)[:last]
	return x
}
