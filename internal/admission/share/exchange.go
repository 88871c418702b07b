package share

import (
	"encoding/binary"
	"math"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// maxEntries bounds a summary to less than 1 KB.
	maxEntries = 60
	// headerSize is in bytes: number of instances.
	headerSize = 2
	// entrySize is in bytes: hash of the account, demand, share with asksBit,
	// reserved places.
	entrySize = 8 + 4 + 2 + 2
	shareUnit = 1<<15 - 1
	asksBit   = 1 << 15
)

// entry is what a summary says of one hot account.
type entry struct {
	hash     uint64
	demand   float64
	share    float64
	reserved int // places in use or kept
	// asks tells that the sender comes near its even share. An account that
	// nobody asks for goes back to even shares.
	asks bool
}

// peer is another instance, or another data centre as a whole.
type peer struct {
	at        time.Time
	instances int
	remote    bool // a data centre
	entries   map[uint64]entry
}

// Summary returns the demand and the shares of the hot accounts for the other
// instances. Its form is private to this package.
func (l *Limiter) Summary() []byte {
	return encode(1, l.hot())
}

// GroupSummary returns the sums over this instance and the ones that it hears of
// by Absorb, those of its data centre. One instance of a data centre sends it to
// the other data centres.
func (l *Limiter) GroupSummary(now time.Time) []byte {
	hot := l.hot()
	l.mu.Lock()
	defer l.mu.Unlock()
	local := l.local(now)
	instances := 1
	sums := make(map[uint64]entry)
	for _, p := range local {
		instances += p.instances
		for sum := range p.entries {
			sums[sum] = entry{hash: sum}
		}
	}
	for _, e := range hot {
		sums[e.hash] = e
	}
	for sum := range sums {
		sums[sum] = l.sum(sums[sum], local)
	}
	all := make([]entry, 0, len(sums))
	for _, e := range sums {
		all = append(all, e)
	}
	sortByDemand(all)
	return encode(instances, all[:min(len(all), maxEntries)])
}

// sum adds what the other instances of the data centre say of an account.
func (l *Limiter) sum(e entry, local []*peer) entry {
	if e.share == 0 {
		e.share = l.part()
	}
	for _, p := range local {
		o, ok := p.entries[e.hash]
		if !ok {
			o.share = l.part()
		}
		e.demand += o.demand
		e.share += o.share
		e.reserved += o.reserved
		e.asks = e.asks || o.asks
	}
	return e
}

func encode(instances int, entries []entry) []byte {
	data := make([]byte, 0, headerSize+len(entries)*entrySize)
	data = binary.BigEndian.AppendUint16(data, uint16(min(instances, math.MaxUint16)))
	for _, e := range entries {
		data = binary.BigEndian.AppendUint64(data, e.hash)
		data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(e.demand)))
		data = binary.BigEndian.AppendUint16(data, e.packedShare())
		data = binary.BigEndian.AppendUint16(data, uint16(min(e.reserved, math.MaxUint16)))
	}
	return data
}

// packedShare returns the share, rounded up, with asksBit.
func (e entry) packedShare() uint16 {
	packed := uint16(math.Ceil(min(e.share, 1) * shareUnit))
	if e.asks {
		packed |= asksBit
	}
	return packed
}

// Absorb takes over the Summary of another instance. In a fleet with group
// summaries it is one of the same data centre.
func (l *Limiter) Absorb(from fleet.InstanceID, data []byte, now time.Time) error {
	return l.absorb(string(from), false, data, now)
}

// AbsorbGroup takes over the GroupSummary of another data centre.
func (l *Limiter) AbsorbGroup(from fleet.DataCentreID, data []byte, now time.Time) error {
	return l.absorb(string(from), true, data, now)
}

func (l *Limiter) absorb(from string, remote bool, data []byte, now time.Time) error {
	if len(data) < headerSize || (len(data)-headerSize)%entrySize != 0 || len(data) > headerSize+maxEntries*entrySize {
		return errors.Errorf("usage summary of %q has %d bytes", from, len(data))
	}
	instances := int(binary.BigEndian.Uint16(data))
	data = data[headerSize:]
	entries := make(map[uint64]entry, len(data)/entrySize)
	for ; len(data) > 0; data = data[entrySize:] {
		e := entry{
			hash:     binary.BigEndian.Uint64(data),
			demand:   float64(math.Float32frombits(binary.BigEndian.Uint32(data[8:]))),
			share:    float64(binary.BigEndian.Uint16(data[12:])&^asksBit) / shareUnit,
			asks:     data[12]&(asksBit>>8) != 0,
			reserved: int(binary.BigEndian.Uint16(data[14:])),
		}
		if e.demand >= 0 && e.demand < math.MaxFloat32 {
			entries[e.hash] = e
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[origin{from, remote}] = &peer{at: now, instances: instances, remote: remote, entries: entries}
	return nil
}

// Tick recomputes the shares. It is called about once a second.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.ticked).Seconds()
	if l.ticked.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	l.ticked = now
	fresh := l.fresh(now)
	l.track(fresh, now)
	limits := *l.limits.Load()
	for i := range l.shards {
		h := &l.shards[i]
		h.mu.Lock()
		for id, a := range h.accounts {
			l.update(id, a, limits[id], fresh, elapsed, now)
			if a.idle() {
				delete(h.accounts, id)
			}
		}
		h.mu.Unlock()
	}
	l.trim()
}

// hot returns the entries of the hot accounts, those with the most demand first.
func (l *Limiter) hot() []entry {
	var all []entry
	limits := *l.limits.Load()
	for i := range l.shards {
		h := &l.shards[i]
		h.mu.Lock()
		for id, a := range h.accounts {
			if a.hot {
				all = append(all, entry{hash: hash(id), demand: a.demand, share: a.share, reserved: a.reserved(limits[id]), asks: a.asks})
			}
		}
		h.mu.Unlock()
	}
	sortByDemand(all)
	return all[:min(len(all), maxEntries)]
}

func sortByDemand(all []entry) {
	sort.Slice(all, func(i, j int) bool {
		if all[i].demand != all[j].demand {
			return all[i].demand > all[j].demand
		}
		return all[i].hash < all[j].hash
	})
}

// fresh returns the peers that were heard lately, in a fixed order, and forgets
// those long silent.
func (l *Limiter) fresh(now time.Time) []*peer {
	var heard []origin
	for o, p := range l.peers {
		if now.Sub(p.at) <= silence {
			heard = append(heard, o)
			continue
		}
		delete(l.peers, o)
	}
	sort.Slice(heard, func(i, j int) bool {
		if heard[i].remote != heard[j].remote {
			return heard[j].remote
		}
		return heard[i].id < heard[j].id
	})
	fresh := make([]*peer, len(heard))
	for i, o := range heard {
		fresh[i] = l.peers[o]
	}
	return fresh
}

// local returns the fresh peers of the same data centre.
func (l *Limiter) local(now time.Time) []*peer {
	var local []*peer
	for _, p := range l.fresh(now) {
		if !p.remote {
			local = append(local, p)
		}
	}
	return local
}

// track starts state for accounts that are hot elsewhere, so that this instance
// gives up what it does not need.
func (l *Limiter) track(fresh []*peer, now time.Time) {
	limits := *l.limits.Load()
	for _, p := range fresh {
		for sum := range p.entries {
			id, ok := l.hashes[sum]
			if !ok {
				continue
			}
			h := l.shard(id)
			h.mu.Lock()
			l.account(h, id, limits[id], now)
			h.mu.Unlock()
		}
	}
}

// update moves demand, heat and share of an account.
func (l *Limiter) update(id fleet.AccountID, a *account, limit document.Account, fresh []*peer, elapsed float64, now time.Time) {
	a.demand += demandWeight * (float64(a.arrivals)/elapsed - a.demand)
	a.arrivals = 0
	a.asks = a.blocked || a.near(limit, l.part())
	a.blocked = false
	if l.part() < 1 && len(fresh) > 0 && (a.asks || asked(fresh, hash(id))) {
		a.hot = true
		a.fraction = l.fraction(id, a, limit, fresh)
		l.move(id, a, fresh, now)
		return
	}
	a.hot = false
	a.fraction = true
	a.share = l.part()
}

// move brings the share nearer to what the demand asks for.
func (l *Limiter) move(id fleet.AccountID, a *account, fresh []*peer, now time.Time) {
	v := l.view(id, a, fresh)
	if v.target < a.share*(1-deadBand) {
		a.share = v.target
		return
	}
	if v.target <= a.share {
		return
	}
	if now.Sub(a.grown) < settleTime {
		return
	}
	room := max(1-v.used-a.share, 0)
	want := v.target - a.share
	a.share += min(want, room*want/max(v.wanted, want))
	a.grown = now
}

// view is what an instance knows about the shares of one account.
type view struct {
	used   float64 // shares of all others
	target float64 // share that the own demand asks for
	wanted float64 // growth that all instances want
}

func (l *Limiter) view(id fleet.AccountID, a *account, fresh []*peer) view {
	part := l.part()
	group := 1.0
	for _, p := range fresh {
		group += float64(p.instances)
	}
	absent := max(float64(l.instances.Load())-group, 0)
	v := view{used: absent * part}
	demand := a.demand
	for _, p := range fresh {
		demand += p.entries[hash(id)].demand
	}
	divided := max(1-absent*part-group*floorShare*part, 0)
	target := func(own, instances float64) float64 {
		if demand <= 0 {
			return part * instances
		}
		return floorShare*part*instances + divided*own/demand
	}
	v.target = target(a.demand, 1)
	v.wanted = max(v.target-a.share, 0)
	for _, p := range fresh {
		e, ok := p.entries[hash(id)]
		if !ok {
			e.share = part * float64(p.instances)
		}
		v.used += e.share
		v.wanted += max(target(e.demand, float64(p.instances))-e.share, 0)
	}
	return v
}

// trim returns accounts that do not fit into a summary to the even share, which
// the others assume for accounts that are not listed.
func (l *Limiter) trim() {
	listed := make(map[uint64]bool, maxEntries)
	for _, e := range l.hot() {
		listed[e.hash] = true
	}
	for i := range l.shards {
		h := &l.shards[i]
		h.mu.Lock()
		for id, a := range h.accounts {
			if a.hot && !listed[hash(id)] {
				a.hot = false
				a.share = min(a.share, l.part())
			}
		}
		h.mu.Unlock()
	}
}

// near returns whether the use comes near the even share.
func (a *account) near(limit document.Account, part float64) bool {
	if limit.RequestRate > 0 && a.demand > hotShare*part*limit.RequestRate {
		return true
	}
	return limit.MaxInFlight > 0 && float64(a.inFlight) > hotShare*part*float64(limit.MaxInFlight)
}

func (a *account) idle() bool {
	return !a.hot && a.inFlight == 0 && a.demand < idleDemand
}

func asked(fresh []*peer, sum uint64) bool {
	for _, p := range fresh {
		if p.entries[sum].asks {
			return true
		}
	}
	return false
}

// fraction returns whether this instance keeps the place that the fraction of
// its share stands for. Instances take and give up such places at random, as many
// as there are free or too many, and keep one while requests come.
func (l *Limiter) fraction(id fleet.AccountID, a *account, limit document.Account, fresh []*peer) bool {
	own := a.reserved(limit)
	total := own
	for _, p := range fresh {
		total += p.entries[hash(id)].reserved
	}
	room := float64(limit.MaxInFlight - total)
	if !a.fraction {
		return l.draw() < room/(lagTicks*float64(l.instances.Load()))
	}
	if a.demand < idleDemand && a.inFlight == 0 {
		return false
	}
	return room >= 0 || l.draw() >= -room/float64(max(total, 1))
}
