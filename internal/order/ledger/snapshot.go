package ledger

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/timeline"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// A snapshot consists of a header in JSON and the records sorted by key. Each part
// is prefixed with its length. Records are in the protobuf wire format without
// field numbers instead of JSON: encoding a group of 100,000 records as JSON took
// 0.65 s, longer than a leader may go without sending heartbeats.

// snapshotHeader holds all state except the records.
type snapshotHeader struct {
	Version     int                          `json:"version"`
	Time        timeline.Timeline            `json:"time"`
	Released    map[order.AttemptID]released `json:"released"`
	Settlements []Settlement                 `json:"settlements"`
}

// Snapshot implements quorum.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, err := json.Marshal(snapshotHeader{Version: version, Time: m.time, Released: m.released, Settlements: m.settlements})
	if err != nil {
		return nil, errors.Wrap(err, "encode ledger snapshot")
	}
	const typicalRecordBytes = 512
	data := make([]byte, 0, len(h)+typicalRecordBytes*len(m.records))
	data = protowire.AppendBytes(data, h)
	var recordData []byte
	for _, k := range m.sortedKeys() {
		recordData = appendRecord(recordData[:0], k, m.records[k])
		data = protowire.AppendBytes(data, recordData)
	}
	return data, nil
}

// sortedKeys returns the keys sorted by account and name, so that the snapshots of
// equal states are equal.
func (m *Machine) sortedKeys() []order.Key {
	keys := make([]order.Key, 0, len(m.records))
	for k := range m.records {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b order.Key) int {
		return cmp.Or(strings.Compare(string(a.Account), string(b.Account)), strings.Compare(a.Name, b.Name))
	})
	return keys
}

// Restore implements quorum.StateMachine. If the snapshot is not valid, it leaves
// the state unchanged.
func (m *Machine) Restore(data []byte) error {
	in := decoder{data: data}
	var h snapshotHeader
	if err := json.Unmarshal(in.bytes(), &h); err != nil {
		return errors.Wrap(err, "decode ledger snapshot")
	}
	if h.Version != version {
		return errors.Errorf("ledger snapshot version %d is not supported", h.Version)
	}
	next := New()
	for len(in.data) > 0 {
		recordIn := decoder{data: in.bytes()}
		k, r := recordIn.record()
		if in.invalid || recordIn.invalid || len(recordIn.data) > 0 {
			return errors.Errorf("record %d of the ledger snapshot is not valid", len(next.records))
		}
		next.addRecord(k, r)
	}
	for attempt, rel := range h.Released {
		next.released[attempt] = rel
		next.addTotals(rel.Account, 1, 0)
		next.expiries = append(next.expiries, expiry{at: rel.Until, attempt: attempt})
	}
	heap.Init(&next.expiries)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.time, m.settlements = h.Time, h.Settlements
	m.records, m.released, m.accounts = next.records, next.released, next.accounts
	m.total, m.expiries = next.total, next.expiries
	return nil
}

// addRecord adds a record of a snapshot. The caller initializes the heap
// afterwards.
func (m *Machine) addRecord(k order.Key, r *record) {
	m.records[k] = r
	m.addTotals(k.Account, 1, r.size())
	if r.State == order.Done {
		m.expiries = append(m.expiries, expiry{at: r.Expires, key: k})
	}
}

func appendRecord(b []byte, k order.Key, r *record) []byte {
	b = protowire.AppendString(b, string(k.Account))
	b = protowire.AppendString(b, k.Name)
	b = protowire.AppendVarint(b, uint64(r.State))
	b = protowire.AppendString(b, string(r.Attempt))
	b = protowire.AppendBytes(b, r.Digest)
	b = protowire.AppendString(b, string(r.Request))
	b = protowire.AppendString(b, string(r.Instance))
	b = appendTime(b, r.At)
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(int64(r.Reserved)))
	b = protowire.AppendBytes(b, r.Response)
	return appendTime(b, r.Expires)
}

// appendTime appends t as seconds since year 1 and nanoseconds, so that the zero
// time is restored as the zero time.
func appendTime(b []byte, t time.Time) []byte {
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(t.Unix()-time.Time{}.Unix()))
	return protowire.AppendVarint(b, uint64(t.Nanosecond()))
}

// decoder consumes values from the front of data. After a malformed value, invalid
// is set and all further values are zero.
type decoder struct {
	data    []byte
	invalid bool
}

func (d *decoder) bytes() []byte {
	v, n := protowire.ConsumeBytes(d.data)
	d.advance(n)
	return slices.Clone(v)
}

func (d *decoder) varint() uint64 {
	v, n := protowire.ConsumeVarint(d.data)
	d.advance(n)
	return v
}

func (d *decoder) advance(n int) {
	if n < 0 {
		d.invalid, d.data = true, nil
		return
	}
	d.data = d.data[n:]
}

func (d *decoder) time() time.Time {
	seconds := protowire.DecodeZigZag(d.varint())
	return time.Unix(seconds+time.Time{}.Unix(), int64(d.varint())).UTC()
}

func (d *decoder) record() (order.Key, *record) {
	k := order.Key{Account: fleet.AccountID(d.bytes()), Name: string(d.bytes())}
	return k, &record{
		State:    order.State(d.varint()),
		Attempt:  order.AttemptID(d.bytes()),
		Digest:   d.bytes(),
		Request:  fleet.RequestID(d.bytes()),
		Instance: fleet.InstanceID(d.bytes()),
		At:       d.time(),
		Reserved: int(protowire.DecodeZigZag(d.varint())),
		Response: d.bytes(),
		Expires:  d.time(),
	}
}
