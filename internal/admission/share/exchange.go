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
	// maxEntries is the maximum number of entries of a summary. It keeps a summary
	// below 1 KB.
	maxEntries = 60
	// headerSize is the size of the number of instances, in bytes.
	headerSize = 2
	// entrySize is the size, in bytes, of the hash of the account, the demand, the
	// share with highDemandBit and the number of reserved permits.
	entrySize     = 8 + 4 + 2 + 2
	shareUnit     = 1<<15 - 1
	highDemandBit = 1 << 15
)

// entry describes one hot account in a summary.
type entry struct {
	hash     uint64
	demand   float64
	share    float64
	reserved int // permits in use or held
	// highDemand tells that the sender uses more than hotThreshold of its even share
	// or refused requests for lack of permits. An account without high demand at any
	// instance returns to even shares.
	highDemand bool
}

// peer is another instance, or another data centre as a whole.
type peer struct {
	receivedAt time.Time
	instances  int
	remote     bool // it is a data centre
	entries    map[uint64]entry
}

// Summary returns the demand and the shares of the hot accounts, encoded for the other
// instances. The encoding is private to this package.
func (l *Limiter) Summary() []byte {
	return encode(1, l.hotEntries())
}

// GroupSummary returns a Summary aggregated over this instance and those whose
// summaries it got by ReceiveSummary, which are those of its data centre. One
// instance of a data centre sends it to the other data centres.
func (l *Limiter) GroupSummary(now time.Time) []byte {
	hot := l.hotEntries()
	l.mu.Lock()
	defer l.mu.Unlock()
	local := l.localPeers(now)
	instances := 1
	totals := make(map[uint64]entry)
	for _, p := range local {
		instances += p.instances
		for accountHash := range p.entries {
			totals[accountHash] = entry{hash: accountHash}
		}
	}
	for _, e := range hot {
		totals[e.hash] = e
	}
	for accountHash := range totals {
		totals[accountHash] = l.addLocalPeers(totals[accountHash], local)
	}
	all := make([]entry, 0, len(totals))
	for _, e := range totals {
		all = append(all, e)
	}
	sortByDemand(all)
	return encode(instances, all[:min(len(all), maxEntries)])
}

// addLocalPeers adds the entries of the other instances of the data centre to e.
func (l *Limiter) addLocalPeers(e entry, local []*peer) entry {
	if e.share == 0 {
		e.share = l.evenShare()
	}
	for _, p := range local {
		o, ok := p.entries[e.hash]
		if !ok {
			o.share = l.evenShare()
		}
		e.demand += o.demand
		e.share += o.share
		e.reserved += o.reserved
		e.highDemand = e.highDemand || o.highDemand
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

// packedShare returns the share, rounded up, with highDemandBit.
func (e entry) packedShare() uint16 {
	packed := uint16(math.Ceil(min(e.share, 1) * shareUnit))
	if e.highDemand {
		packed |= highDemandBit
	}
	return packed
}

// ReceiveSummary stores the Summary of another instance. In a fleet with group summaries it
// is an instance of the same data centre.
func (l *Limiter) ReceiveSummary(from fleet.InstanceID, data []byte, now time.Time) error {
	return l.receive(string(from), false, data, now)
}

// ReceiveGroupSummary stores the GroupSummary of another data centre.
func (l *Limiter) ReceiveGroupSummary(from fleet.DataCentreID, data []byte, now time.Time) error {
	return l.receive(string(from), true, data, now)
}

func (l *Limiter) receive(from string, remote bool, data []byte, now time.Time) error {
	if len(data) < headerSize || (len(data)-headerSize)%entrySize != 0 || len(data) > headerSize+maxEntries*entrySize {
		return errors.Errorf("usage summary of %q has an invalid length of %d bytes", from, len(data))
	}
	instances := int(binary.BigEndian.Uint16(data))
	data = data[headerSize:]
	entries := make(map[uint64]entry, len(data)/entrySize)
	for ; len(data) > 0; data = data[entrySize:] {
		e := entry{
			hash:       binary.BigEndian.Uint64(data),
			demand:     float64(math.Float32frombits(binary.BigEndian.Uint32(data[8:]))),
			share:      float64(binary.BigEndian.Uint16(data[12:])&^highDemandBit) / shareUnit,
			highDemand: data[12]&(highDemandBit>>8) != 0,
			reserved:   int(binary.BigEndian.Uint16(data[14:])),
		}
		if e.demand >= 0 && e.demand < math.MaxFloat32 {
			entries[e.hash] = e
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[sender{from, remote}] = &peer{receivedAt: now, instances: instances, remote: remote, entries: entries}
	return nil
}

// Tick recomputes the shares. Call it about once a second.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastTick).Seconds()
	if l.lastTick.IsZero() || elapsed <= 0 {
		elapsed = 1
	}
	l.lastTick = now
	fresh := l.freshPeers(now)
	l.trackHotAccounts(fresh, now)
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
	l.demoteUnlisted()
}

// hotEntries returns the entries of at most maxEntries hot accounts, sorted by
// descending demand.
func (l *Limiter) hotEntries() []entry {
	var all []entry
	limits := *l.limits.Load()
	for i := range l.shards {
		h := &l.shards[i]
		h.mu.Lock()
		for id, a := range h.accounts {
			if a.hot {
				all = append(all, entry{hash: hash(id), demand: a.demand, share: a.share, reserved: a.reserved(limits[id]), highDemand: a.highDemand})
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

// freshPeers returns the peers whose summary is not older than peerTimeout, in a fixed
// order, and removes the others.
func (l *Limiter) freshPeers(now time.Time) []*peer {
	var senders []sender
	for o, p := range l.peers {
		if now.Sub(p.receivedAt) <= peerTimeout {
			senders = append(senders, o)
			continue
		}
		delete(l.peers, o)
	}
	sort.Slice(senders, func(i, j int) bool {
		if senders[i].remote != senders[j].remote {
			return senders[j].remote
		}
		return senders[i].id < senders[j].id
	})
	fresh := make([]*peer, len(senders))
	for i, o := range senders {
		fresh[i] = l.peers[o]
	}
	return fresh
}

// localPeers returns the fresh peers of the same data centre.
func (l *Limiter) localPeers(now time.Time) []*peer {
	var local []*peer
	for _, p := range l.freshPeers(now) {
		if !p.remote {
			local = append(local, p)
		}
	}
	return local
}

// trackHotAccounts creates state for accounts that are hot at a peer, so that this
// instance gives up the part of its share that it does not need.
func (l *Limiter) trackHotAccounts(fresh []*peer, now time.Time) {
	limits := *l.limits.Load()
	for _, p := range fresh {
		for accountHash := range p.entries {
			id, ok := l.accountByHash[accountHash]
			if !ok {
				continue
			}
			h := l.shard(id)
			h.mu.Lock()
			l.accountState(h, id, limits[id], now)
			h.mu.Unlock()
		}
	}
}

// update recomputes the demand and the share of an account and whether it is hot.
func (l *Limiter) update(id fleet.AccountID, a *account, limit document.Account, fresh []*peer, elapsed float64, now time.Time) {
	a.demand += demandWeight * (float64(a.arrivals)/elapsed - a.demand)
	a.arrivals = 0
	a.highDemand = a.blocked || a.nearEvenShare(limit, l.evenShare())
	a.blocked = false
	if l.evenShare() < 1 && len(fresh) > 0 && (a.highDemand || highDemandAtPeer(fresh, hash(id))) {
		a.hot = true
		a.roundUp = l.keepRoundUp(id, a, limit, fresh)
		l.adjustShare(id, a, fresh, now)
		return
	}
	a.hot = false
	a.roundUp = true
	a.share = l.evenShare()
}

// adjustShare moves the share towards its target, which follows the demand.
func (l *Limiter) adjustShare(id fleet.AccountID, a *account, fresh []*peer, now time.Time) {
	v := l.fleetView(id, a, fresh)
	if v.target < a.share*(1-deadBand) {
		a.share = v.target
		return
	}
	if v.target <= a.share {
		return
	}
	if now.Sub(a.grownAt) < growthInterval {
		return
	}
	available := max(1-v.othersShare-a.share, 0)
	want := v.target - a.share
	a.share += min(want, available*want/max(v.totalGrowth, want))
	a.grownAt = now
}

// fleetView summarizes the shares of one account over the fleet.
type fleetView struct {
	othersShare float64 // sum of the shares of all other instances
	target      float64 // share of this instance that corresponds to its demand
	totalGrowth float64 // sum of the increases that all instances need to reach their targets
}

func (l *Limiter) fleetView(id fleet.AccountID, a *account, fresh []*peer) fleetView {
	evenShare := l.evenShare()
	reporting := 1.0
	for _, p := range fresh {
		reporting += float64(p.instances)
	}
	missing := max(float64(l.instances.Load())-reporting, 0)
	v := fleetView{othersShare: missing * evenShare}
	demand := a.demand
	for _, p := range fresh {
		demand += p.entries[hash(id)].demand
	}
	distributable := max(1-missing*evenShare-reporting*floorShare*evenShare, 0)
	target := func(own, instances float64) float64 {
		if demand <= 0 {
			return evenShare * instances
		}
		return floorShare*evenShare*instances + distributable*own/demand
	}
	v.target = target(a.demand, 1)
	v.totalGrowth = max(v.target-a.share, 0)
	for _, p := range fresh {
		e, ok := p.entries[hash(id)]
		if !ok {
			e.share = evenShare * float64(p.instances)
		}
		v.othersShare += e.share
		v.totalGrowth += max(target(e.demand, float64(p.instances))-e.share, 0)
	}
	return v
}

// demoteUnlisted limits the share of accounts that do not fit into a summary to the
// even share, which the others assume for accounts that are not listed.
func (l *Limiter) demoteUnlisted() {
	listed := make(map[uint64]bool, maxEntries)
	for _, e := range l.hotEntries() {
		listed[e.hash] = true
	}
	for i := range l.shards {
		h := &l.shards[i]
		h.mu.Lock()
		for id, a := range h.accounts {
			if a.hot && !listed[hash(id)] {
				a.hot = false
				a.share = min(a.share, l.evenShare())
			}
		}
		h.mu.Unlock()
	}
}

// nearEvenShare reports whether the use exceeds hotThreshold of the even share.
func (a *account) nearEvenShare(limit document.Account, evenShare float64) bool {
	if limit.RequestRate > 0 && a.demand > hotThreshold*evenShare*limit.RequestRate {
		return true
	}
	return limit.MaxInFlight > 0 && float64(a.inFlight) > hotThreshold*evenShare*float64(limit.MaxInFlight)
}

func (a *account) idle() bool {
	return !a.hot && a.inFlight == 0 && a.demand < idleDemand
}

func highDemandAtPeer(fresh []*peer, accountHash uint64) bool {
	for _, p := range fresh {
		if p.entries[accountHash].highDemand {
			return true
		}
	}
	return false
}

// keepRoundUp returns the next value of a.roundUp. Instances start and stop to round
// up at random, with probabilities that on average use up the free permits or give up
// the excess ones. Unless there are too many, an instance keeps rounding up while
// requests arrive.
func (l *Limiter) keepRoundUp(id fleet.AccountID, a *account, limit document.Account, fresh []*peer) bool {
	own := a.reserved(limit)
	total := own
	for _, p := range fresh {
		total += p.entries[hash(id)].reserved
	}
	headroom := float64(limit.MaxInFlight - total)
	if !a.roundUp {
		return l.random() < headroom/(propagationTicks*float64(l.instances.Load()))
	}
	if a.demand < idleDemand && a.inFlight == 0 {
		return false
	}
	return headroom >= 0 || l.random() >= -headroom/float64(max(total, 1))
}
