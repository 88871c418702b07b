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

// A snapshot is a head in JSON and the records ordered by key, each part with its
// length. Records are in the wire format of protobuf without field numbers: a
// group of 100,000 records took 0.65 s to encode as JSON, longer than the
// heartbeats of a leader may stop.

// head is the part of a snapshot besides the records.
type head struct {
	Version     int                          `json:"version"`
	Time        timeline.Timeline            `json:"time"`
	Released    map[order.AttemptID]released `json:"released"`
	Settlements []Settlement                 `json:"settlements"`
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	h, err := json.Marshal(head{Version: version, Time: m.time, Released: m.released, Settlements: m.settlements})
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot of the ledger")
	}
	const usualRecord = 512 // bytes
	data := make([]byte, 0, len(h)+usualRecord*len(m.records))
	data = protowire.AppendBytes(data, h)
	var one []byte
	for _, k := range m.keys() {
		one = appendRecord(one[:0], k, m.records[k])
		data = protowire.AppendBytes(data, one)
	}
	return data, nil
}

// keys returns the keys in order.
func (m *Machine) keys() []order.Key {
	keys := make([]order.Key, 0, len(m.records))
	for k := range m.records {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b order.Key) int {
		return cmp.Or(strings.Compare(string(a.Account), string(b.Account)), strings.Compare(a.Name, b.Name))
	})
	return keys
}

// Restore replaces the state by a snapshot. It leaves the state as it was when
// the snapshot is not valid.
func (m *Machine) Restore(data []byte) error {
	in := reader{data: data}
	var h head
	if err := json.Unmarshal(in.bytes(), &h); err != nil {
		return errors.Wrap(err, "decode snapshot of the ledger")
	}
	if h.Version != version {
		return errors.Errorf("snapshot version %d of the ledger is not supported", h.Version)
	}
	next := New()
	for len(in.data) > 0 {
		one := reader{data: in.bytes()}
		k, r := one.record()
		if in.broken || one.broken || len(one.data) > 0 {
			return errors.Errorf("record %d in the snapshot of the ledger is not valid", len(next.records))
		}
		next.addRecord(k, r)
	}
	for a, b := range h.Released {
		next.released[a] = b
		next.count(b.Account, 1, 0)
		next.expiries = append(next.expiries, expiry{at: b.Until, attempt: a})
	}
	heap.Init(&next.expiries)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.time, m.settlements = h.Time, h.Settlements
	m.records, m.released, m.accounts = next.records, next.released, next.accounts
	m.total, m.expiries = next.total, next.expiries
	return nil
}

func (m *Machine) addRecord(k order.Key, r *record) {
	m.records[k] = r
	m.count(k.Account, 1, r.size())
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
	b = protowire.AppendBytes(b, r.Answer)
	return appendTime(b, r.Expires)
}

// appendTime writes the seconds since the year 1 and the nanoseconds, so that the
// zero time stays zero.
func appendTime(b []byte, t time.Time) []byte {
	b = protowire.AppendVarint(b, protowire.EncodeZigZag(t.Unix()-time.Time{}.Unix()))
	return protowire.AppendVarint(b, uint64(t.Nanosecond()))
}

// reader takes values from the front of data. After a value that is not valid it
// is broken and returns zero values.
type reader struct {
	data   []byte
	broken bool
}

func (r *reader) bytes() []byte {
	v, n := protowire.ConsumeBytes(r.data)
	r.skip(n)
	return slices.Clone(v)
}

func (r *reader) varint() uint64 {
	v, n := protowire.ConsumeVarint(r.data)
	r.skip(n)
	return v
}

func (r *reader) skip(n int) {
	if n < 0 {
		r.broken, r.data = true, nil
		return
	}
	r.data = r.data[n:]
}

func (r *reader) time() time.Time {
	seconds := protowire.DecodeZigZag(r.varint())
	return time.Unix(seconds+time.Time{}.Unix(), int64(r.varint())).UTC()
}

func (r *reader) record() (order.Key, *record) {
	k := order.Key{Account: fleet.AccountID(r.bytes()), Name: string(r.bytes())}
	return k, &record{
		State:    order.State(r.varint()),
		Attempt:  order.AttemptID(r.bytes()),
		Digest:   r.bytes(),
		Request:  fleet.RequestID(r.bytes()),
		Instance: fleet.InstanceID(r.bytes()),
		At:       r.time(),
		Reserved: int(protowire.DecodeZigZag(r.varint())),
		Answer:   r.bytes(),
		Expires:  r.time(),
	}
}
