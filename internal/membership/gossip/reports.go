package gossip

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	gossipv1 "github.com/bilberryrock/bilberryrock/api/gossip/v1"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// The reports of a message are a list of entries, at least one for each instance:
//
//	hash of id and boot    4 bytes
//	lag                    varint, 1 + highest revision - its revision; 0 for none
//	since                  varint, age of its revision in seconds
//	base, count            varints, the window of slots
//	ages                   count values of 6 bits, in units of 50 ms
//
// Ages are those of the last heartbeats of the upstreams; 63 means that no
// heartbeat is known or that it is too old. Ages are rounded up, so a heartbeat
// appears older by at most 50 ms on each hop.
const (
	ageUnit = 50 * time.Millisecond
	ageBits = 6
	noAge   = 1<<ageBits - 1
	// maxReportBytes is the maximum size of the reports in one message. Entries that
	// do not fit are sent in the next message.
	maxReportBytes = 1000
	// maxRepairReportBytes is the maximum size of the reports in an ack that also
	// carries the records of a repair.
	maxRepairReportBytes = 400
	// unusedSlotAllowance is the number of unused slots that a table may have in
	// addition to a quarter of the number of used slots.
	unusedSlotAllowance = 8
	// minSplitGap is the number of consecutive unused slots at which a window is
	// split, because they take more bytes than the header of another entry.
	minSplitGap = 12
	// maxSlotWindow is the maximum number of slots of one instance.
	maxSlotWindow = 1 << 14
)

// upstreamEntry is the record of an upstream, which contains its slot, and the time
// of its last heartbeat.
type upstreamEntry struct {
	record        *gossipv1.Upstream
	lastHeartbeat time.Time
	// idleSince is the time at which UpstreamRetention starts.
	idleSince time.Time
}

// slotTable maps the slots that one owner assigned to upstreams. The first slot is
// base.
type slotTable struct {
	base  uint32
	slots []*upstreamEntry
}

func (t *slotTable) get(slot uint32) *upstreamEntry {
	if slot < t.base || slot-t.base >= uint32(len(t.slots)) {
		return nil
	}
	return t.slots[slot-t.base]
}

func (t *slotTable) set(slot uint32, i *upstreamEntry) {
	if len(t.slots) == 0 {
		t.base = slot
	}
	if slot < t.base {
		t.slots = slices.Concat(make([]*upstreamEntry, t.base-slot), t.slots)
		t.base = slot
	}
	for slot-t.base >= uint32(len(t.slots)) {
		t.slots = append(t.slots, nil)
	}
	t.slots[slot-t.base] = i
}

// accepts reports whether the table stays within maxSlotWindow slots if slot is set.
func (t *slotTable) accepts(slot uint32) bool {
	if len(t.slots) == 0 {
		return true
	}
	return slot < t.base+maxSlotWindow && slot+maxSlotWindow > t.base+uint32(len(t.slots))
}

func (t *slotTable) trim() {
	for len(t.slots) > 0 && t.slots[0] == nil {
		t.slots = t.slots[1:]
		t.base++
	}
	for len(t.slots) > 0 && t.slots[len(t.slots)-1] == nil {
		t.slots = t.slots[:len(t.slots)-1]
	}
}

func (i *upstreamEntry) leaving() bool { return i.record.State == uint32(upstream.Leaving) }

// leftDigest reports whether the upstream is excluded from the digests, which
// happens some time before it is deleted because instances delete it at different
// times.
func (i *upstreamEntry) leftDigest(now time.Time) bool {
	return now.Sub(i.idleSince) > UpstreamRetention/2
}

func (i *upstreamEntry) versionHash() uint64 {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], i.record.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], i.record.Sequence)
	binary.LittleEndian.PutUint32(b[16:], i.record.Owner)
	binary.LittleEndian.PutUint32(b[20:], i.record.Slot)
	binary.LittleEndian.PutUint32(b[24:], i.record.State)
	return xxhash.Sum64(b[:])
}

func (i *upstreamEntry) wireRecord(now time.Time) *gossipv1.Upstream {
	record := proto.Clone(i.record).(*gossipv1.Upstream)
	record.IdleSeconds = uint32(max(0, now.Sub(i.idleSince)) / time.Second)
	return record
}

// Announce processes an announcement that this instance received at now and that
// the roster accepted. heartbeat is the time of the heartbeat; it is zero if the
// announcement does not count as one.
func (c *Core) Announce(a upstream.Announcement, heartbeat, now time.Time) Effects {
	c.lastCall = laterOf(c.lastCall, now)
	old, ok := c.upstreams[a.ID]
	if ok && uint64(a.Incarnation) < old.record.Incarnation {
		return c.takeEffects()
	}
	if ok && uint64(a.Incarnation) == old.record.Incarnation {
		c.updateOwnUpstream(old, a, heartbeat, now)
		return c.takeEffects()
	}
	record := upstreamRecord(a)
	record.Owner = c.self.hash
	record.Slot = c.nextSlot()
	i := c.storeUpstream(record, now)
	i.recordHeartbeat(heartbeat)
	return c.takeEffects()
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (c *Core) updateOwnUpstream(i *upstreamEntry, a upstream.Announcement, heartbeat, now time.Time) {
	i.recordHeartbeat(heartbeat)
	if i.leaving() {
		return
	}
	record := upstreamRecord(a)
	record.Owner, record.Slot = i.record.Owner, i.record.Slot
	record.Sequence, record.IdleSeconds = i.record.Sequence, i.record.IdleSeconds
	if proto.Equal(record, i.record) {
		return
	}
	record.Sequence, record.IdleSeconds = a.Sequence, 0
	c.storeUpstream(record, now)
}

func (i *upstreamEntry) recordHeartbeat(at time.Time) bool {
	if i.leaving() || !at.After(i.lastHeartbeat) {
		return false
	}
	i.lastHeartbeat = at
	i.idleSince = laterOf(i.idleSince, at)
	return true
}

func upstreamRecord(a upstream.Announcement) *gossipv1.Upstream {
	return &gossipv1.Upstream{
		Id: string(a.ID), Incarnation: uint64(a.Incarnation), Sequence: a.Sequence,
		Kind: uint32(a.Kind), State: uint32(a.State), Address: a.Address, Pool: string(a.Pool),
		Accelerator: a.Accelerator, Model: string(a.Model), Version: a.Version, Adapter: a.Adapter,
		LayersFrom: uint32(a.Layers.From), LayersTo: uint32(a.Layers.To),
		Fencing: uint32(a.Fencing), Slots: uint32(a.Slots),
	}
}

func (c *Core) announcement(r *gossipv1.Upstream) upstream.Announcement {
	return upstream.Announcement{
		ID: fleet.UpstreamID(r.Id), Incarnation: fleet.Incarnation(r.Incarnation), Sequence: r.Sequence,
		Kind: upstream.Kind(r.Kind), State: upstream.State(r.State), Address: r.Address,
		DataCentre: fleet.DataCentreID(c.self.record.DataCentre), Pool: fleet.PoolID(r.Pool),
		Accelerator: r.Accelerator, Model: fleet.ModelID(r.Model), Version: r.Version, Adapter: r.Adapter,
		Layers:  upstream.LayerRange{From: fleet.Layer(r.LayersFrom), To: fleet.Layer(r.LayersTo)},
		Fencing: upstream.FencePolicy(r.Fencing), Slots: int(r.Slots),
	}
}

// nextSlot returns a slot of this instance that was never used.
func (c *Core) nextSlot() uint32 {
	c.lastSlot++
	return c.lastSlot
}

// storeUpstream stores record, assigns its slot to the upstream and queues the record
// for dissemination.
func (c *Core) storeUpstream(record *gossipv1.Upstream, now time.Time) *upstreamEntry {
	id := fleet.UpstreamID(record.Id)
	i, ok := c.upstreams[id]
	if !ok || i.record.Incarnation != record.Incarnation {
		if ok {
			c.freeSlots(i)
		}
		i = &upstreamEntry{idleSince: now.Add(-time.Duration(record.IdleSeconds) * time.Second)}
		c.upstreams[id] = i
	}
	i.record = record
	if i.leaving() {
		i.idleSince = now.Add(-time.Duration(record.IdleSeconds) * time.Second)
	}
	t, ok := c.slotTables[record.Owner]
	if !ok {
		t = &slotTable{}
		c.slotTables[record.Owner] = t
	}
	t.set(record.Slot, i)
	c.digests.stale = true
	c.enqueue(upstreamKey(record.Id))
	return i
}

// freeSlots frees all slots of i in all tables.
func (c *Core) freeSlots(i *upstreamEntry) {
	for owner, t := range c.slotTables {
		for n := range t.slots {
			if t.slots[n] == i {
				t.slots[n] = nil
			}
		}
		c.trimTable(owner, t)
	}
	c.digests.stale = true
}

func (c *Core) trimTable(owner uint32, t *slotTable) {
	t.trim()
	if len(t.slots) == 0 {
		delete(c.slotTables, owner)
	}
}

// compactOwnTable keeps the size of this instance's slot table close to the number of
// upstreams in it. It frees slots of upstreams whose current slot belongs to another
// instance, and moves the upstream in the oldest slot to a new slot if too many slots
// are unused.
func (c *Core) compactOwnTable(now time.Time) {
	t, ok := c.slotTables[c.self.hash]
	if !ok {
		return
	}
	used := 0
	for n, i := range t.slots {
		if i == nil || !c.isCurrentSlot(t, n, i) {
			t.slots[n] = nil
			continue
		}
		used++
	}
	c.trimTable(c.self.hash, t)
	if len(t.slots) <= used+used/4+unusedSlotAllowance {
		return
	}
	record := proto.Clone(t.slots[0].record).(*gossipv1.Upstream)
	t.slots[0] = nil
	record.Slot = c.nextSlot()
	c.storeUpstream(record, now)
}

// isCurrentSlot reports whether the slot at index n of t is the one under which the
// heartbeats of i are sent.
func (c *Core) isCurrentSlot(t *slotTable, n int, i *upstreamEntry) bool {
	return t.base+uint32(n) == i.record.Slot && c.slotTables[i.record.Owner] == t
}

// mergeUpstream merges a received record by the precedence rules of the roster.
func (c *Core) mergeUpstream(u *gossipv1.Upstream, now time.Time) {
	if time.Duration(u.IdleSeconds)*time.Second > UpstreamRetention {
		return
	}
	if t, ok := c.slotTables[u.Owner]; ok {
		if occupant := t.get(u.Slot); !t.accepts(u.Slot) || (occupant != nil && occupant.record.Id != u.Id) {
			return
		}
	}
	i, ok := c.upstreams[fleet.UpstreamID(u.Id)]
	if ok && !supersedesUpstream(u, i) {
		c.addAlias(u, i)
		return
	}
	if ok && i.leaving() && u.Incarnation == i.record.Incarnation {
		record := proto.Clone(u).(*gossipv1.Upstream)
		record.State = uint32(upstream.Leaving)
		u = record
	}
	i = c.storeUpstream(u, now)
	announced := Upstream{Announcement: c.announcement(u), Age: -1}
	if !i.lastHeartbeat.IsZero() {
		announced.Age = now.Sub(i.lastHeartbeat)
	}
	c.effects.Announced = append(c.effects.Announced, announced)
}

// addAlias assigns another slot to a known upstream. This happens when two instances
// receive announcements of an upstream at the same time and both assign it a slot.
func (c *Core) addAlias(u *gossipv1.Upstream, i *upstreamEntry) {
	if u.Incarnation != i.record.Incarnation {
		return
	}
	t, ok := c.slotTables[u.Owner]
	if !ok {
		t = &slotTable{}
		c.slotTables[u.Owner] = t
	}
	t.set(u.Slot, i)
}

// supersedesUpstream reports whether u takes precedence over the record of i. Records
// are ordered by incarnation, by state (leaving after serving), by sequence, and
// finally by owner and slot, so that all instances use the same slot.
func supersedesUpstream(u *gossipv1.Upstream, i *upstreamEntry) bool {
	old := i.record
	if u.Incarnation != old.Incarnation {
		return u.Incarnation > old.Incarnation
	}
	if u.State != old.State {
		return u.State > old.State
	}
	if u.Sequence != old.Sequence {
		return u.Sequence > old.Sequence
	}
	if u.Owner != old.Owner {
		return u.Owner > old.Owner
	}
	return u.Slot > old.Slot
}

func (c *Core) pruneUpstreams(now time.Time) {
	for _, id := range sortedKeys(c.upstreams) {
		i := c.upstreams[id]
		if now.Sub(i.idleSince) > UpstreamRetention {
			delete(c.upstreams, id)
			c.freeSlots(i)
		}
	}
	c.compactOwnTable(now)
}

// packReports returns the encoded reports of the members, with the ages of the
// upstream heartbeats if ages is set.
func (c *Core) packReports(ages bool, limit int, now time.Time) []byte {
	hashes := c.reportHashes()
	var b []byte
	for n := range hashes {
		hash := hashes[(c.reportOffset+n)%len(hashes)]
		before := len(b)
		b = c.packReport(b, hash, ages, now)
		if len(b) > limit {
			c.reportOffset = (c.reportOffset + n) % len(hashes)
			return b[:before]
		}
	}
	return b
}

// reportHashes returns the hashes of the alive and suspect members and of other
// owners of slots.
func (c *Core) reportHashes() []uint32 {
	var hashes []uint32
	for _, m := range c.membersByID() {
		if m.present() && (!c.largeFleet || c.isLocal(m.record.DataCentre)) {
			hashes = append(hashes, m.hash)
		}
	}
	for _, owner := range sortedKeys(c.slotTables) {
		if m, ok := c.byHash[owner]; !ok || !m.present() {
			hashes = append(hashes, owner)
		}
	}
	return hashes
}

func (c *Core) packReport(b []byte, hash uint32, ages bool, now time.Time) []byte {
	b = binary.LittleEndian.AppendUint32(b, hash)
	var lag, since uint64
	if m, ok := c.byHash[hash]; ok && m.revision > 0 {
		lag = 1 + uint64(c.highest-m.revision)
		since = uint64(max(0, now.Sub(m.since)) / time.Second)
	}
	b = binary.AppendUvarint(b, lag)
	b = binary.AppendUvarint(b, since)
	t := c.slotTables[hash]
	if !ages || t == nil {
		return append(b, 0, 0)
	}
	return c.packAges(b, hash, t, now)
}

// packAges appends the slot windows of t with their ages. A gap of minSplitGap
// unused slots starts another entry.
func (c *Core) packAges(b []byte, hash uint32, t *slotTable, now time.Time) []byte {
	ages := make([]uint32, len(t.slots))
	for n, i := range t.slots {
		ages[n] = noAge
		// An upstream with two slots is reported under one of them only.
		if i != nil && c.isCurrentSlot(t, n, i) {
			ages[n] = encodeAge(i, now)
		}
	}
	first, count := nextWindow(ages, 0)
	b = packWindow(b, t.base, first, ages[first:first+count])
	for first, count = nextWindow(ages, first+count); count > 0; first, count = nextWindow(ages, first+count) {
		b = binary.LittleEndian.AppendUint32(b, hash)
		b = append(b, 0, 0) // no revision
		b = packWindow(b, t.base, first, ages[first:first+count])
	}
	return b
}

// nextWindow returns the next window at or after from, which starts and ends with a
// slot with an age and has no gap of minSplitGap slots. count is 0 if there is none.
func nextWindow(ages []uint32, from int) (first, count int) {
	for from < len(ages) && ages[from] == noAge {
		from++
	}
	last := from - 1
	for n := from; n < len(ages) && n-last <= minSplitGap; n++ {
		if ages[n] != noAge {
			last = n
		}
	}
	return from, last - from + 1
}

func packWindow(b []byte, base uint32, first int, ages []uint32) []byte {
	b = binary.AppendUvarint(b, uint64(base)+uint64(first))
	b = binary.AppendUvarint(b, uint64(len(ages)))
	w := bitWriter{bytes: b}
	for _, age := range ages {
		w.write(age)
	}
	return w.flush()
}

func encodeAge(i *upstreamEntry, now time.Time) uint32 {
	if i.leaving() || i.lastHeartbeat.IsZero() {
		return noAge
	}
	age := max(0, now.Sub(i.lastHeartbeat))
	units := (age + ageUnit - 1) / ageUnit
	return uint32(min(units, noAge))
}

// mergeReports merges the reports of the ack of a ping that was sent at sent.
func (c *Core) mergeReports(b []byte, sent, now time.Time) {
	r := reportReader{bytes: b}
	for len(r.bytes) > 0 {
		hash, lag, since := r.uint32(), r.uvarint(), r.uvarint()
		base, count := r.uvarint(), r.uvarint()
		if r.failed || count > maxSlotWindow || base > math.MaxUint32 {
			return
		}
		c.mergeRevision(hash, lag, since, now)
		ages := r.take((int(count)*ageBits + 7) / 8)
		if r.failed {
			return
		}
		if t, ok := c.slotTables[hash]; ok {
			c.mergeAges(t, uint32(base), int(count), ages, sent, now)
		}
	}
}

// mergeRevision merges the revision of the member with the given hash. The lag is
// relative to the highest revision known to the sender of the ack.
func (c *Core) mergeRevision(hash uint32, lag, since uint64, now time.Time) {
	m, ok := c.byHash[hash]
	if !ok || m == c.self || lag == 0 || lag-1 > uint64(c.ackRevision) {
		return
	}
	revision := c.ackRevision - fleet.Revision(lag-1)
	if revision <= m.revision {
		return
	}
	m.revision = revision
	m.since = now.Add(-time.Duration(min(since, math.MaxInt32)) * time.Second)
	c.reportChange(m)
}

func (c *Core) mergeAges(t *slotTable, base uint32, count int, ages []byte, sent, now time.Time) {
	r := bitReader{bytes: ages}
	for n := range count {
		age := r.read()
		if age == noAge {
			continue
		}
		i := t.get(base + uint32(n))
		if i == nil || !i.recordHeartbeat(sent.Add(-time.Duration(age)*ageUnit)) {
			continue
		}
		c.effects.Renewed = append(c.effects.Renewed, Renewal{
			ID: fleet.UpstreamID(i.record.Id), Incarnation: fleet.Incarnation(i.record.Incarnation),
			Age: now.Sub(i.lastHeartbeat),
		})
	}
}

// bitWriter appends values of ageBits bits to bytes.
type bitWriter struct {
	bytes []byte
	value uint32
	bits  int
}

func (w *bitWriter) write(v uint32) {
	w.value |= v << w.bits
	w.bits += ageBits
	for w.bits >= 8 {
		w.bytes = append(w.bytes, byte(w.value))
		w.value >>= 8
		w.bits -= 8
	}
}

func (w *bitWriter) flush() []byte {
	if w.bits > 0 {
		w.bytes = append(w.bytes, byte(w.value))
	}
	return w.bytes
}

// bitReader reads the values that a bitWriter wrote.
type bitReader struct {
	bytes []byte
	value uint32
	bits  int
}

func (r *bitReader) read() uint32 {
	if r.bits < ageBits {
		r.value |= uint32(r.bytes[0]) << r.bits
		r.bytes = r.bytes[1:]
		r.bits += 8
	}
	v := r.value & noAge
	r.value >>= ageBits
	r.bits -= ageBits
	return v
}

// reportReader reads the fields of encoded reports. After a failed read all further
// reads return zero.
type reportReader struct {
	bytes  []byte
	failed bool
}

func (r *reportReader) take(n int) []byte {
	if r.failed || n > len(r.bytes) {
		r.failed = true
		r.bytes = nil
		return nil
	}
	prefix := r.bytes[:n]
	r.bytes = r.bytes[n:]
	return prefix
}

func (r *reportReader) uint32() uint32 {
	if b := r.take(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reportReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.bytes)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.take(n)
	return v
}
